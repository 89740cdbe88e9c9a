package node

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"zinniapin/dispatch"
	"zinniapin/event"
	"zinniapin/link"
	"zinniapin/metering"
	"zinniapin/peers"
	"zinniapin/target"
	"zinniapin/wire"
)

// gossip is what a node tells and asks its peers.
type gossip struct {
	mu sync.Mutex
	// demand is what callers asked of each service, in the last second.
	demand   []*wire.ServiceDemand
	measured time.Time
	// prompts are the prompts sent since the last digest, and those of the one
	// before: each is told twice, as a datagram may be lost.
	prompts, told []*wire.CachedPrompt
	// long are those that hosts of other zones are told in a large fleet.
	long       []*wire.CachedPrompt
	count      int
	usageRound int
	usagePart  int
	asking     atomic.Bool
	// behind is since when a peer is known to know more.
	behind time.Time
	asked  time.Time
	// newest and newestTargets are the newest that any peer is known to have.
	newest, newestTargets uint64
}

const (
	// maxLong bounds the prompts kept for hosts of other zones.
	maxLong = 40
	// usageEvery is the number of digests for each one with counts of usage.
	usageEvery = 2
	// usageAge is how long after a window's end its counts are still told.
	usageAge = 4 * time.Second
	// behindTime is how long a peer may know more before it is asked: the news
	// is usually under way from the store already.
	behindTime = 250 * time.Millisecond
	// aloneTime is how long a peer may know more, though it was asked, before
	// this host turns to the store itself.
	aloneTime = time.Second
	// snapshotTimeout bounds the asking of a peer.
	snapshotTimeout = time.Second
)

// behindFor returns for how long a peer has been known to know more.
func (n *Node) behindFor() time.Duration {
	g := &n.gossip
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.behind.IsZero() {
		return 0
	}
	return time.Since(g.behind)
}

// targetID converts the name of an entry.
func targetID(name string) target.ID { return target.ID(name) }

// compose returns the digest to send now. In a large fleet only near hosts hear
// of prompts, only far ones of the demand, and only those who report of usage.
func (n *Node) compose(a peers.Audience) *wire.HostDigest {
	d := &wire.HostDigest{
		Host: n.settings.Host, Zone: string(n.settings.Zone), Address: n.settings.Mesh,
		Incarnation: n.self.Incarnation, Sequence: n.sequence.Add(1),
		StoreReachable: n.targetsLink.ok() && n.configurationLink.ok(),
		TrueTimeMs:     n.clock.Now().UnixMilli(), UptimeMs: uint64(time.Since(n.started).Milliseconds()),
		Leaving: n.leaving.Load(),
	}
	if answered := n.targetsLink.lastCall(); !answered.IsZero() {
		d.StoreAnswerAgeMs = proto.Uint64(uint64(time.Since(answered).Milliseconds()))
	}
	if t := n.table.Load(); t != nil {
		d.ConfigurationVersion = t.Version()
	}
	n.rosterMu.Lock()
	d.TargetsChanged = n.roster.ChangedRevision()
	n.rosterMu.Unlock()
	d.DutyHost, d.DutyFence = n.keeper.known()
	d.HoldsDuties = n.keeper.heldHere()
	n.composeLoads(d)
	g := &n.gossip
	if a == peers.AllHosts || a == peers.SameZoneHosts {
		n.composePrompts(d)
	}
	g.mu.Lock()
	if a == peers.OtherZoneHosts {
		d.Prompts, g.long = g.long, nil
	}
	d.Demand = g.demand
	g.usageRound++
	usage := a == peers.UsageReporters || a == peers.AllHosts && g.usageRound%usageEvery == 0
	g.mu.Unlock()
	if usage {
		n.composeUsage(d)
	}
	return d
}

// composeLoads adds what this host has under way.
func (n *Node) composeLoads(d *wire.HostDigest) {
	n.handler.PlannerMu.Lock()
	defer n.handler.PlannerMu.Unlock()
	for key, l := range n.handler.Planner.Loads() {
		d.Loads = append(d.Loads, &wire.TargetLoad{Target: key, UnreadTokens: uint32(l.PendingTokens), Active: uint32(l.Active)})
	}
}

// composePrompts adds the prompts sent lately.
func (n *Node) composePrompts(d *wire.HostDigest) {
	n.handler.PlannerMu.Lock()
	fresh := n.handler.Planner.TakeSentPrompts()
	n.handler.PlannerMu.Unlock()
	g := &n.gossip
	g.mu.Lock()
	defer g.mu.Unlock()
	g.told = g.prompts
	g.prompts = nil
	for _, s := range fresh {
		p := &wire.CachedPrompt{Target: s.Target, Chains: s.Chains}
		g.prompts = append(g.prompts, p)
		if s.Long && len(g.long) < maxLong {
			g.long = append(g.long, p)
		}
	}
	d.Prompts = append(g.told[:len(g.told):len(g.told)], g.prompts...)
}

// usageChunk is the number of organisations whose counts one digest carries; 16
// bytes each leave room for the rest of a datagram.
const usageChunk = 50

// composeUsage adds a part of the counts of the windows that are open or have
// just ended: another part each time, since a datagram cannot hold them all.
func (n *Node) composeUsage(d *wire.HostDigest) {
	n.ledgerMu.Lock()
	own := n.ledger.OwnCounts(n.clock.Now(), usageAge)
	var parts []*wire.WindowCount
	for _, w := range slices.Sorted(maps.Keys(own)) {
		organisations := slices.Sorted(maps.Keys(own[w]))
		for chunk := range slices.Chunk(organisations, usageChunk) {
			c := &wire.WindowCount{Window: uint64(w)}
			for _, o := range chunk {
				c.Counts = append(c.Counts, &wire.OrganisationCount{Organisation: o, Requests: own[w][o]})
			}
			parts = append(parts, c)
		}
	}
	n.ledgerMu.Unlock()
	if len(parts) == 0 {
		return
	}
	g := &n.gossip
	g.mu.Lock()
	g.usagePart++
	d.Usage = []*wire.WindowCount{parts[g.usagePart%len(parts)]}
	g.mu.Unlock()
}

// received takes a peer's digest.
func (n *Node) received(d *wire.HostDigest) {
	now := time.Now()
	loads := make(map[uint32]dispatch.Load, len(d.Loads))
	for _, l := range d.Loads {
		loads[l.Target] = dispatch.Load{PendingTokens: int(l.UnreadTokens), Active: int(l.Active)}
	}
	n.handler.PlannerMu.Lock()
	n.handler.Planner.SetPeerLoads(now, d.Host, loads)
	for _, p := range d.Prompts {
		n.handler.Planner.MarkCached(now, p.Target, p.Chains)
	}
	n.handler.PlannerMu.Unlock()
	if d.StoreAnswerAgeMs != nil {
		n.targetsLink.peerAnswered(now.Add(-time.Duration(d.GetStoreAnswerAgeMs()) * time.Millisecond))
	}
	n.clock.ObservePeer(d.Host, time.UnixMilli(d.TrueTimeMs), time.Duration(d.UptimeMs)*time.Millisecond, time.Since(n.started))
	n.ledgerMu.Lock()
	for _, w := range d.Usage {
		counts := make(metering.Counts, len(w.Counts))
		for _, c := range w.Counts {
			counts[c.Organisation] = c.Requests
		}
		n.ledger.Merge(metering.Process{Host: d.Host, Incarnation: d.Incarnation}, metering.Window(w.Window), counts)
	}
	n.ledgerMu.Unlock()
	n.keeper.heard(d.DutyHost, d.DutyFence)
	n.compare(now, d)
}

// compare asks a peer that knows more than this host for what it knows.
func (n *Node) compare(now time.Time, d *wire.HostDigest) {
	var version uint64
	if t := n.table.Load(); t != nil {
		version = t.Version()
	}
	n.rosterMu.Lock()
	known, revision := n.roster.HasSynced(), n.roster.Revision()
	n.rosterMu.Unlock()
	ahead := d.ConfigurationVersion > version || d.TargetsChanged > revision
	g := &n.gossip
	g.mu.Lock()
	if !ahead {
		if version >= g.newest && revision >= g.newestTargets {
			g.behind = time.Time{}
		}
		g.mu.Unlock()
		return
	}
	g.newest, g.newestTargets = max(g.newest, d.ConfigurationVersion), max(g.newestTargets, d.TargetsChanged)
	if g.behind.IsZero() {
		g.behind = now
	}
	waited := now.Sub(g.behind)
	g.mu.Unlock()
	watching := n.watches()
	g.mu.Lock()
	due := !known || version == 0 || waited >= behindTime && watching || now.Sub(g.asked) >= batchPause && !watching
	if due {
		g.asked = now
	}
	g.mu.Unlock()
	if due && g.asking.CompareAndSwap(false, true) {
		go func() {
			defer g.asking.Store(false)
			n.askSnapshot(d)
		}()
	}
}

// acceptLink takes a link; peers only ask over it.
func acceptLink(link.Link) {}

// found logs a host that is heard.
func (n *Node) found(host string) {
	event.PeerFound.Log(n.log).Str("peer", host).Send()
}

// lost forgets the load of a host that is not heard.
func (n *Node) lost(host string) {
	event.PeerLost.Log(n.log).Str("peer", host).Send()
	n.handler.PlannerMu.Lock()
	n.handler.Planner.DropPeer(host)
	n.handler.PlannerMu.Unlock()
}

// measureDemand works out what callers asked for in the last second.
func (n *Node) measureDemand(now time.Time) {
	taken := n.handler.TakeDemand()
	g := &n.gossip
	g.mu.Lock()
	defer g.mu.Unlock()
	span := now.Sub(g.measured).Seconds()
	first := g.measured.IsZero()
	g.measured = now
	g.demand = nil
	if first || span <= 0 {
		return
	}
	for service, d := range taken {
		g.demand = append(g.demand, &wire.ServiceDemand{
			Service: service, Tokens: float32(d.Tokens / span), Requests: float32(float64(d.Requests) / span),
			Refused: float32(d.Refused) / float32(max(d.Requests, 1)),
		})
	}
}

// live returns the live peers.
func (n *Node) live() []*peers.Peer { return n.mesh.Live(time.Now()) }

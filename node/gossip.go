package node

import (
	"context"
	"encoding/json"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"zinniapin/dispatch"
	"zinniapin/event"
	"zinniapin/link"
	"zinniapin/metering"
	"zinniapin/peers"
	"zinniapin/result"
	"zinniapin/roster"
	"zinniapin/route"
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
	// snapshotTimeout bounds the asking of a peer.
	snapshotTimeout = time.Second
)

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
	if t := n.table.Load(); t != nil {
		d.ConfigurationVersion = t.Version()
	}
	n.rosterMu.Lock()
	d.TargetsChanged = n.roster.Changed()
	n.rosterMu.Unlock()
	d.DutyHost, d.DutyFence = n.keeper.known()
	n.composeLoads(d)
	g := &n.gossip
	if a == peers.All || a == peers.Near {
		n.composePrompts(d)
	}
	g.mu.Lock()
	if a == peers.Far {
		d.Prompts, g.long = g.long, nil
	}
	d.Demand = g.demand
	g.usageRound++
	usage := a == peers.Reporter || a == peers.All && g.usageRound%usageEvery == 0
	g.mu.Unlock()
	if usage {
		n.composeUsage(d)
	}
	return d
}

// composeLoads adds what this host has under way.
func (n *Node) composeLoads(d *wire.HostDigest) {
	n.handler.Planning.Lock()
	defer n.handler.Planning.Unlock()
	for key, l := range n.handler.Planner.Loads() {
		d.Loads = append(d.Loads, &wire.TargetLoad{Target: key, UnreadTokens: uint32(l.Unread), Active: uint32(l.Active)})
	}
}

// composePrompts adds the prompts sent lately.
func (n *Node) composePrompts(d *wire.HostDigest) {
	n.handler.Planning.Lock()
	fresh := n.handler.Planner.TakePrompts()
	n.handler.Planning.Unlock()
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
	own := n.ledger.Own(n.clock.Now(), usageAge)
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
		loads[l.Target] = dispatch.Load{Unread: int(l.UnreadTokens), Active: int(l.Active)}
	}
	n.handler.Planning.Lock()
	n.handler.Planner.PeerLoads(now, d.Host, loads)
	for _, p := range d.Prompts {
		n.handler.Planner.Cached(now, p.Target, p.Chains)
	}
	n.handler.Planning.Unlock()
	n.clock.Peer(d.Host, time.UnixMilli(d.TrueTimeMs), time.Duration(d.UptimeMs)*time.Millisecond, time.Since(n.started))
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
	known, revision := n.roster.Known(), n.roster.Revision()
	n.rosterMu.Unlock()
	ahead := d.ConfigurationVersion > version || d.TargetsChanged > revision
	g := &n.gossip
	g.mu.Lock()
	if !ahead {
		if d.ConfigurationVersion == version {
			g.behind = time.Time{}
		}
		g.mu.Unlock()
		return
	}
	if g.behind.IsZero() {
		g.behind = now
	}
	waited := now.Sub(g.behind)
	due := waited >= behindTime || !known || version == 0 || now.Sub(g.asked) >= batchPause && !n.watches()
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

// askSnapshot asks a peer for its configuration and targets.
func (n *Node) askSnapshot(d *wire.HostDigest) {
	ctx, cancel := context.WithTimeout(context.Background(), snapshotTimeout)
	defer cancel()
	l, err := n.network.Dial(ctx, d.Address, n.snapshots())
	if err != nil {
		event.SnapshotFailed.Log(n.log).Str("peer", d.Host).Err(err).Send()
		return
	}
	defer l.Close() //nolint:errcheck // the answer is in
	reply, err := l.Call(ctx, &wire.Envelope{Body: &wire.Envelope_SnapshotRequest{SnapshotRequest: &wire.SnapshotRequest{}}})
	if err != nil {
		event.SnapshotFailed.Log(n.log).Str("peer", d.Host).Err(err).Send()
		return
	}
	n.takeSnapshot(d.Host, reply.GetSnapshotReply())
}

// takeSnapshot takes what a peer knows.
func (n *Node) takeSnapshot(peer string, s *wire.SnapshotReply) {
	if s == nil {
		return
	}
	var c route.Configuration
	if len(s.Configuration) > 0 {
		if err := json.Unmarshal(s.Configuration, &c); err != nil {
			event.SnapshotFailed.Log(n.log).Str("peer", peer).Err(err).Send()
			return
		}
		n.takeConfiguration(&c, peer)
	}
	var entries []roster.Entry
	if len(s.Targets) > 0 {
		if err := json.Unmarshal(s.Targets, &entries); err != nil {
			event.SnapshotFailed.Log(n.log).Str("peer", peer).Err(err).Send()
			return
		}
		n.takeTargets(entries, s.TargetsRevision, false)
	}
	event.SnapshotTaken.Log(n.log).Str("peer", peer).Uint64("configuration", c.Version).Uint64("revision", s.TargetsRevision).Int("targets", len(entries)).Send()
}

// snapshots serves peers that ask.
func (n *Node) snapshots() link.Handler {
	return link.HandlerFunc(func(_ context.Context, _ link.Link, request *wire.Envelope) (*wire.Envelope, error) {
		if request.GetSnapshotRequest() == nil {
			return nil, result.New(result.LinkRefused, "a node answers questions for snapshots only")
		}
		reply := &wire.SnapshotReply{}
		var err error
		if c := n.raw.Load(); c != nil {
			if reply.Configuration, err = json.Marshal(c); err != nil {
				return nil, err
			}
		}
		n.rosterMu.Lock()
		known, entries := n.roster.Known(), n.roster.Entries()
		reply.TargetsRevision = n.roster.Revision()
		n.rosterMu.Unlock()
		if known {
			if reply.Targets, err = json.Marshal(entries); err != nil {
				return nil, err
			}
		}
		return &wire.Envelope{Body: &wire.Envelope_SnapshotReply{SnapshotReply: reply}}, nil
	})
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
	n.handler.Planning.Lock()
	n.handler.Planner.DropPeer(host)
	n.handler.Planning.Unlock()
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

// hostsCollection holds the addresses of hosts, for those that start when the
// seeds are out of date.
const hostsCollection = "zinnia-hosts"

// hostRecord is a member of that collection.
type hostRecord struct {
	Address string `json:"address"`
}

// announce writes this host's address to the store once and reads the others'.
func (n *Node) announce(ctx context.Context) {
	for wait := retryMost; ctx.Err() == nil; wait = min(2*wait, 5*time.Second) {
		if n.announceOnce(ctx) {
			return
		}
		time.Sleep(wait/2 + time.Duration(rand.Int64N(int64(wait))))
	}
}

// announceOnce returns whether the record is written.
func (n *Node) announceOnce(ctx context.Context) bool {
	listing, err := n.platform.Objects.List(ctx, hostsCollection)
	if err != nil {
		return false
	}
	var addresses []string
	var revision uint64
	for _, m := range listing.Members {
		var h hostRecord
		if json.Unmarshal(m.Value, &h) != nil {
			continue // another release's record; gossip finds the host as well
		}
		addresses = append(addresses, h.Address)
		if m.Name == n.settings.Host {
			if h.Address == n.settings.Mesh {
				return true
			}
			revision = m.Revision
		}
	}
	n.mesh.Name(addresses)
	value, err := json.Marshal(hostRecord{n.settings.Mesh})
	if err != nil {
		return true
	}
	if revision > 0 {
		_, err = n.platform.Objects.Replace(ctx, hostsCollection, n.settings.Host, revision, value)
	} else {
		_, err = n.platform.Objects.Create(ctx, hostsCollection, n.settings.Host, value)
	}
	return err == nil
}

// live returns the live peers.
func (n *Node) live() []*peers.Peer { return n.mesh.Live(time.Now()) }

package node

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"zinniapin/dispatch"
	"zinniapin/event"
	"zinniapin/invariant"
	"zinniapin/link"
	"zinniapin/metering"
	"zinniapin/peers"
	"zinniapin/target"
	"zinniapin/wire"
)

// gossip is the state of a node's exchange with its peers: what its next digests
// carry, and whether peers have announced newer data than this host has.
type gossip struct {
	mu sync.Mutex
	// demand is the load that callers put on each service in the last second.
	demand           []*wire.ServiceDemand
	demandMeasuredAt time.Time
	// newPrompts are the prompts sent to targets since the last digest, and
	// repeatedPrompts those of the digest before. Each prompt goes into two
	// digests, because a datagram may be lost.
	newPrompts, repeatedPrompts []*wire.CachedPrompt
	// zones is the demand in each zone of a large fleet.
	zones           map[string]zoneDemand
	ticks           int
	usageRound      int
	usagePart       int
	snapshotPending atomic.Bool
	// behindSince is when a peer first announced newer data than this host has;
	// zero while none does.
	behindSince         time.Time
	snapshotRequestedAt time.Time
	// newestConfiguration and newestTargets are the highest configuration version
	// and targets revision that any peer has announced.
	newestConfiguration, newestTargets uint64
	// digestHeard is set once a peer's digest named a configuration.
	digestHeard bool
}

const (
	// usageRounds is how seldom a digest carries usage counts in a small fleet:
	// one digest in this many.
	usageRounds = 2
	// usageSendTime is how long after the end of a usage window its counts are
	// still sent.
	usageSendTime = 4 * time.Second
	// snapshotDelay is how long this host may lag behind a peer before it
	// requests a snapshot; the change usually arrives from the store first.
	snapshotDelay = 250 * time.Millisecond
	// storeFallbackDelay is how long this host may lag behind its peers, despite
	// snapshot requests, before it calls the store itself.
	storeFallbackDelay = time.Second
	// snapshotTimeout bounds one snapshot request to a peer.
	snapshotTimeout = time.Second
)

// behindFor returns how long this host has lagged behind its peers; 0 when it
// does not.
func (n *Node) behindFor() time.Duration {
	g := &n.gossip
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.behindSince.IsZero() {
		return 0
	}
	return time.Since(g.behindSince)
}

// targetID returns the ID of the target with the given entry name.
func targetID(name string) target.ID { return target.ID(name) }

// composeDigest returns the digest to send to an audience. In a large fleet, loads,
// newly sent prompts and reports go to hosts of the same zone, long prompts to other
// zones, and usage counts to the hosts that may have to report them.
func (n *Node) composeDigest(a peers.Audience) *wire.HostDigest {
	d := &wire.HostDigest{
		Host: n.settings.Host, Zone: string(n.settings.Zone), Address: n.settings.Mesh,
		Incarnation: n.self.Incarnation, Sequence: n.sequence.Add(1),
		StoreReachable: n.targetsStore.reachable() && n.configurationStore.reachable(),
		TrueTimeMs:     n.clock.Now().UnixMilli(), UptimeMs: uint64(time.Since(n.started).Milliseconds()),
		Leaving: n.leaving.Load(),
	}
	if answered := n.targetsStore.lastAnswer(); !answered.IsZero() {
		d.StoreAnswerAgeMs = proto.Uint64(uint64(time.Since(answered).Milliseconds()))
	}
	if t := n.table.Load(); t != nil {
		d.ConfigurationVersion = t.Version()
	}
	n.rosterMu.Lock()
	d.TargetsChanged = n.roster.ChangedRevision()
	n.rosterMu.Unlock()
	d.DutyHost, d.DutyFence = n.duties.newestHolder()
	d.HoldsDuties = n.duties.isHolding()
	n.composeContents(d, a)
	return d
}

// composeContents adds to a digest what depends on its audience.
func (n *Node) composeContents(d *wire.HostDigest, a peers.Audience) {
	g := &n.gossip
	switch a {
	case peers.Members:
		return
	case peers.UsageReporters:
		n.composeUsage(d)
		return
	}
	n.composeLoads(d)
	maxAge := newsAge()
	n.composePromptEvidence(d, maxAge)
	n.composeTargetLimits(d, maxAge)
	g.mu.Lock()
	d.Demand = g.demand
	g.usageRound++
	usage := a == peers.AllHosts && g.usageRound%usageRounds == 0
	g.mu.Unlock()
	if a == peers.AllHosts || a == peers.Relay || a == peers.Subscribers {
		n.composePrompts(d)
		n.composeReports(d)
	}
	if usage {
		n.composeUsage(d)
	}
}

const (
	// newsTime is how long a digest carries what was learnt of failing targets. Peers may miss some digests,
	// and a relay passes on what it learns as its own.
	newsTime = 2 * time.Second
	// repeatNews is how seldom, in digests on the mean, all of that is told again, for hosts that have just
	// started. It is left to chance, since the audiences of digests take turns.
	repeatNews = 10
	// oldestNews is older than anything that is kept.
	oldestNews = time.Hour
)

// newsAge returns the age up to which the next digest carries what was learnt of failing targets.
func newsAge() time.Duration {
	if rand.IntN(repeatNews) == 0 {
		return oldestNews
	}
	return newsTime
}

// composeLoads adds the load that this host has in flight at each target.
func (n *Node) composeLoads(d *wire.HostDigest) {
	n.handler.PlannerMu.Lock()
	defer n.handler.PlannerMu.Unlock()
	for key, l := range n.handler.Planner.Loads(time.Now()) {
		d.Loads = append(d.Loads, &wire.TargetLoad{Target: key, UnreadTokens: uint32(l.PendingTokens), Active: uint32(l.Active), Sent: uint32(l.Sent)})
	}
}

// composePrompts adds the prompts sent since the last digest and repeats those
// of the one before.
func (n *Node) composePrompts(d *wire.HostDigest) {
	n.handler.PlannerMu.Lock()
	fresh := n.handler.Planner.TakeSentPrompts()
	n.handler.PlannerMu.Unlock()
	g := &n.gossip
	g.mu.Lock()
	defer g.mu.Unlock()
	g.repeatedPrompts = g.newPrompts
	g.newPrompts = nil
	for _, s := range fresh {
		g.newPrompts = append(g.newPrompts, &wire.CachedPrompt{Target: s.Target, Chains: s.Chains, Long: s.Long})
	}
	d.Prompts = append(g.repeatedPrompts[:len(g.repeatedPrompts):len(g.repeatedPrompts)], g.newPrompts...)
}

// composeReports adds what this host observed of targets since the last digest.
func (n *Node) composeReports(d *wire.HostDigest) {
	now := time.Now()
	n.handler.PlannerMu.Lock()
	n.handler.Planner.ReportSlowdowns(now)
	reports := n.handler.Planner.TakeReports()
	n.handler.PlannerMu.Unlock()
	for _, r := range reports {
		report := &wire.TargetReport{Target: r.Target, Answered: uint32(r.Answered), Failed: uint32(r.Failed), Unreachable: uint32(r.Unreachable), Leaving: r.Leaving, Born: r.StartedMillis}
		for _, s := range r.Samples {
			report.Samples = append(report.Samples, &wire.PromptSample{UncachedTokens: uint32(s.Uncached), PromptTokens: uint32(s.Prompt), BacklogTokens: uint32(s.Backlog), Ms: uint32(s.Millis)})
		}
		report.OutputSamples = composeOutputSamples(r.OutputSamples)
		composeSlowdown(now, report, r)
		d.Reports = append(d.Reports, report)
	}
}

// applyUpdate passes the loads, prompts and reports of a peer to the planner, whether its
// own digest brought them or a relay's. The age is that of the loads. Prompts of other
// zones come without a host.
func (n *Node) applyUpdate(now time.Time, age time.Duration, u *wire.HostUpdate) {
	host := planHostName(u.Host)
	n.handler.PlannerMu.Lock()
	defer n.handler.PlannerMu.Unlock()
	if u.Host != 0 {
		n.handler.Planner.SetPeerLoads(now.Add(-age), host, loadsOf(u.Loads))
	}
	for _, p := range u.Prompts {
		n.handler.Planner.MarkCached(now, p.Target, p.Chains)
	}
	for _, report := range u.Reports {
		r := dispatch.Report{Target: report.Target, Answered: int(report.Answered), Failed: int(report.Failed), Unreachable: int(report.Unreachable), Leaving: report.Leaving, StartedMillis: report.Born}
		for _, s := range report.Samples {
			r.Samples = append(r.Samples, dispatch.Sample{Uncached: int(s.UncachedTokens), Prompt: int(s.PromptTokens), Backlog: int(s.BacklogTokens), Millis: float64(s.Ms)})
		}
		r.OutputSamples = outputSamplesOf(report.OutputSamples)
		takeSlowdown(now, age, &r, report)
		n.handler.Planner.ApplyReport(now, host, r)
	}
}

// planHostName returns the name of a host for the planner by the key that relays use.
func planHostName(key uint32) string { return strconv.FormatUint(uint64(key), 36) }

// loadsOf returns loads by target key.
func loadsOf(all []*wire.TargetLoad) map[uint32]dispatch.Load {
	loads := make(map[uint32]dispatch.Load, len(all))
	for _, l := range all {
		loads[l.Target] = dispatch.Load{PendingTokens: int(l.UnreadTokens), Active: int(l.Active), Sent: int(l.Sent)}
	}
	return loads
}

// handleRelayed applies the update of a host of this zone that a relay passed on.
func (n *Node) handleRelayed(u *wire.HostUpdate) {
	if u.Host != peers.HostKey(n.settings.Host) {
		n.applyUpdate(time.Now(), relayedAge, u)
	}
}

// organisationsPerDigest is the number of organisations whose usage counts one
// digest carries; at 16 bytes each they leave room for the rest of a datagram.
const organisationsPerDigest = 50

// composeUsage adds a part of this process's counts for the usage windows that
// are open or have just ended. Successive digests carry successive parts, because
// one datagram cannot hold them all.
func (n *Node) composeUsage(d *wire.HostDigest) {
	n.ledgerMu.Lock()
	own := n.ledger.OwnCounts(n.clock.Now(), usageSendTime)
	var parts []*wire.WindowCount
	for _, w := range slices.Sorted(maps.Keys(own)) {
		organisations := slices.Sorted(maps.Keys(own[w]))
		for chunk := range slices.Chunk(organisations, organisationsPerDigest) {
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

// handleDigest applies a peer's digest: loads, cached prompts, store health, time
// estimate, usage counts and the holder of the duties.
func (n *Node) handleDigest(d *wire.HostDigest) {
	now := time.Now()
	if d.Kind == wire.DigestKind_ALL || d.Kind == wire.DigestKind_SUBSCRIBE {
		n.applyUpdate(now, 0, &wire.HostUpdate{Host: peers.HostKey(d.Host), Loads: d.Loads, Prompts: d.Prompts, Reports: d.Reports})
	} else if len(d.Prompts) > 0 {
		n.applyUpdate(now, 0, &wire.HostUpdate{Prompts: d.Prompts})
	}
	if d.StoreAnswerAgeMs != nil {
		n.targetsStore.recordPeerAnswer(now.Add(-time.Duration(d.GetStoreAnswerAgeMs()) * time.Millisecond))
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
	n.mergePromptEvidence(d)
	n.mergeTargetLimits(d)
	n.observeEra(d.TargetsChanged, d.Host)
	n.duties.observeHolder(d.DutyHost, d.DutyFence)
	n.requestSnapshotIfBehind(now, d)
}

// requestSnapshotIfBehind requests a snapshot from the sender of a digest when
// that peer has a newer configuration or a later change of the targets than this
// host (the message's TargetsChanged is the store's revision of that change). A
// host without a configuration or list of targets requests one at once. One that
// watches the store first waits for snapshotDelay, in which the change usually
// arrives from the store; one that does not requests at most one every
// minWatchInterval. At most one request runs at a time.
func (n *Node) requestSnapshotIfBehind(now time.Time, d *wire.HostDigest) {
	var version uint64
	if t := n.table.Load(); t != nil {
		version = t.Version()
	}
	n.rosterMu.Lock()
	synced, revision := n.roster.HasSynced(), n.roster.Revision()
	n.rosterMu.Unlock()
	peerAhead := d.ConfigurationVersion > version || d.TargetsChanged > revision
	g := &n.gossip
	g.mu.Lock()
	g.digestHeard = g.digestHeard || d.ConfigurationVersion > 0
	if !peerAhead {
		if version >= g.newestConfiguration && revision >= g.newestTargets {
			g.behindSince = time.Time{}
		}
		g.mu.Unlock()
		return
	}
	g.newestConfiguration, g.newestTargets = max(g.newestConfiguration, d.ConfigurationVersion), max(g.newestTargets, d.TargetsChanged)
	if g.behindSince.IsZero() {
		g.behindSince = now
	}
	waited := now.Sub(g.behindSince)
	g.mu.Unlock()
	watchesStore := n.shouldWatchStore()
	g.mu.Lock()
	mayRequest := !synced || version == 0 || version < d.ConfigurationVersion && !n.hasCaughtUp.Load() || waited >= snapshotDelay && watchesStore || now.Sub(g.snapshotRequestedAt) >= minWatchInterval && !watchesStore
	if mayRequest {
		g.snapshotRequestedAt = now
	}
	g.mu.Unlock()
	if mayRequest && g.snapshotPending.CompareAndSwap(false, true) {
		go func() {
			defer invariant.Contain("snapshot of a peer", nil)
			defer g.snapshotPending.Store(false)
			n.requestSnapshot(d)
		}()
	}
}

// acceptLink accepts a link from a peer. Nothing is to be done: the handler
// answers the peer's requests, and this host opens its own links for its own.
func acceptLink(link.Link) {}

// peerFound logs that a peer became live.
func (n *Node) peerFound(host string) {
	event.PeerFound.Log(n.log).Str("peer", host).Send()
}

// peerLost logs that a peer is no longer live and drops the loads it reported.
func (n *Node) peerLost(host string) {
	event.PeerLost.Log(n.log).Str("peer", host).Send()
	n.handler.PlannerMu.Lock()
	n.handler.Planner.DropPeer(planHostName(peers.HostKey(host)))
	n.handler.PlannerMu.Unlock()
}

// measureDemand computes the demand on each service, per second, since the last
// call.
func (n *Node) measureDemand(now time.Time) {
	counted := n.handler.TakeDemand()
	g := &n.gossip
	g.mu.Lock()
	defer g.mu.Unlock()
	span := now.Sub(g.demandMeasuredAt).Seconds()
	first := g.demandMeasuredAt.IsZero()
	g.demandMeasuredAt = now
	g.demand = nil
	if first || span <= 0 {
		return
	}
	for service, d := range counted {
		g.demand = append(g.demand, &wire.ServiceDemand{
			Service: service, Tokens: float32(d.Tokens / span), Requests: float32(float64(d.Requests) / span),
			Refused: float32(d.Refused) / float32(max(d.Requests, 1)),
		})
	}
}

// livePeers returns the peers that are live at present: all hosts of a small fleet, and
// in a large one the hosts whose digests reach this one directly.
func (n *Node) livePeers() []*peers.Peer { return n.mesh.Live(time.Now()) }

// largeFleet reports whether there are so many hosts that digests go through relays.
func (n *Node) largeFleet() bool { return !peers.SmallFleet(n.mesh.LiveMembers(time.Now())) }

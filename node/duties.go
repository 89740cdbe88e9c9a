package node

import (
	"context"
	"errors"
	"strconv"
	"sync"
	"time"

	"zinniapin/duty"
	"zinniapin/event"
	"zinniapin/metering"
	"zinniapin/provider"
	"zinniapin/route"
	"zinniapin/scaling"
)

const (
	// dutyInterval is how often dutyRunner.tick is called.
	dutyInterval = 250 * time.Millisecond
	// dutiesCollection and dutiesName locate the duty.Record in the store.
	dutiesCollection = "zinnia-duties"
	dutiesName       = "holder"
	// reportDelay is the time from the end of a usage window to its report; by
	// then the last counts of all hosts have arrived.
	reportDelay = 2500 * time.Millisecond
	// recordedWindows is the number of usage windows kept in the record.
	recordedWindows = 6
)

// dutyRunner acquires the duties when the elector says so and, while this process
// holds them, reports usage and orders targets.
type dutyRunner struct {
	node    *Node
	elector *duty.Elector

	mu sync.Mutex
	// holder and fence are those of the newest record that this host knows of.
	holder string
	fence  uint64
	// holdingShown is a copy of holding for readers that do not hold runMu, such
	// as composeDigest.
	holdingShown bool
	// mustConfirm is set when the record must be read again before any duty is
	// carried out.
	mustConfirm bool

	// runMu guards the fields that follow. It is held during a whole tick, calls
	// to the platform included.
	runMu           sync.Mutex
	holding         bool
	hold            duty.Hold // used where the platform does not check fences
	record          duty.Record
	revision        uint64
	reportedWindows map[metering.Window]bool
	fleet           fleetWriter
	pools           map[poolKey]*pool
	planners        map[string]*scaling.Planner
	demandSampledAt time.Time
	lastTick        time.Time
	// servicesToScale are the services whose pools have not been checked since
	// the last sample of the demand.
	servicesToScale []route.Service
}

// newDutyRunner returns the duty runner of a node.
func newDutyRunner(n *Node, e *duty.Elector) *dutyRunner {
	return &dutyRunner{
		node: n, elector: e, reportedWindows: make(map[metering.Window]bool),
		pools: make(map[poolKey]*pool), planners: make(map[string]*scaling.Planner),
		fleet: fleetWriter{objects: n.platform.Objects, limits: n.sharedLimits, era: n.era.current, started: time.Now()},
	}
}

// newestHolder returns the holder and the fence of the newest known record.
func (r *dutyRunner) newestHolder() (string, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holder, r.fence
}

// setHolding sets whether this process holds the duties. The caller holds runMu.
func (r *dutyRunner) setHolding(holding bool) {
	r.holding = holding
	r.mu.Lock()
	r.holdingShown = holding
	r.mu.Unlock()
}

// isHolding reports whether this process holds the duties.
func (r *dutyRunner) isHolding() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.holdingShown
}

// observeHolder notes a holder that a peer or the record names, if its fence is
// newer.
func (r *dutyRunner) observeHolder(holder string, fence uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if fence > r.fence {
		r.holder, r.fence = holder, fence
	}
}

// requestConfirm makes the next tick read the record before any duty is carried
// out.
func (r *dutyRunner) requestConfirm() {
	r.mu.Lock()
	r.mustConfirm = true
	r.mu.Unlock()
}

// tick carries out the duties if this process holds them, and otherwise tries to
// acquire them if it is this host's turn.
func (r *dutyRunner) tick(ctx context.Context) {
	n := r.node
	duties := n.currentSettings().Duties
	if !duties.Usage && !duties.Scaling || n.leaving.Load() {
		return
	}
	r.runMu.Lock()
	defer r.runMu.Unlock()
	now := time.Now()
	if !r.lastTick.IsZero() && now.Sub(r.lastTick) > stalledLimit {
		r.requestConfirm() // another host may hold the duties by now
	}
	r.lastTick = now
	if duties.Scaling {
		r.sampleDemand(now)
	}
	if r.holding {
		r.runDuties(ctx, now)
		if r.holding {
			r.fleet.keep(ctx, now)
		}
		return
	}
	if n.largeFleet() && !n.mesh.Relays(now) {
		return // only the relays hear all who may hold the duties
	}
	holder, _ := r.newestHolder()
	if r.elector.ShouldAcquire(now, n.targetsStore.reachable(), r.electionPeers(), holder) {
		r.acquire(ctx, now)
	}
}

// electionPeers returns the live peers that take part in the election, in the form that
// package duty takes. In a large fleet these are the relays, which hear each other, and
// the holder.
func (r *dutyRunner) electionPeers() []duty.Peer {
	large := r.node.largeFleet()
	var all []duty.Peer
	for _, p := range r.node.livePeers() {
		d := p.Digest
		if large && !d.Relays && !d.HoldsDuties {
			continue
		}
		all = append(all, duty.Peer{Host: d.Host, StoreReachable: d.StoreReachable, Leaving: d.Leaving, HoldsDuties: d.HoldsDuties, Holder: d.DutyHost, Fence: d.DutyFence, LastSeen: p.LastSeen})
	}
	return all
}

// reporters returns the hosts that need usage counts: the holder of the duties
// and those most likely to hold them next.
func (n *Node) reporters() []string {
	holder, _ := n.duties.newestHolder()
	return append(duty.NextCandidates(time.Now(), n.duties.electionPeers(), spareReporters), holder)
}

// spareReporters is the number of hosts besides the holder of the duties that
// receive usage counts.
const spareReporters = 2

// acquire reads the record and writes this process into it with the next fence.
func (r *dutyRunner) acquire(ctx context.Context, now time.Time) {
	_, knownFence := r.newestHolder()
	record, revision, err := r.readRecord(ctx)
	if err != nil {
		return
	}
	if record.Fence > knownFence && record.Holder != "" && record.Holder != r.node.settings.Host && !record.Outdated(revision) {
		r.observeHolder(record.Holder, record.Fence) // its digests have not arrived yet
		return
	}
	if r.claim(ctx, record, revision) {
		r.setHolding(true)
		r.fleet.forget()
		r.reportedWindows = make(map[metering.Window]bool)
		r.pools = make(map[poolKey]*pool)
		event.DutiesTaken.Log(r.node.log).Uint64("fence", r.record.Fence).Uint64("revision", r.revision).Send()
		return
	}
	r.elector.MarkLost(now)
}

// stopHolding ends this process's hold on the duties and logs the reason.
func (r *dutyRunner) stopHolding(now time.Time, reason string) {
	r.setHolding(false)
	r.elector.MarkLost(now)
	event.DutiesLost.Log(r.node.log).Uint64("fence", r.record.Fence).Str("why", reason).Send()
}

// runDuties carries out the duties, unless there is a newer holder.
func (r *dutyRunner) runDuties(ctx context.Context, now time.Time) {
	if _, fence := r.newestHolder(); fence > r.record.Fence {
		r.stopHolding(now, "a peer knows of a newer holder")
		return
	}
	r.mu.Lock()
	mustConfirm := r.mustConfirm
	r.mu.Unlock()
	if mustConfirm && !r.confirmHolding(ctx, now) {
		return
	}
	duties := r.node.currentSettings().Duties
	if duties.Usage {
		r.reportUsage(ctx, now)
	}
	if r.holding && duties.Scaling {
		r.scaleServices(ctx, now)
	}
}

// mayAct reports whether this process may call the platform as the holder of the
// duties. It reads the record first if that was requested and, where the platform
// does not check fences, if the hold was not confirmed lately. So it must be asked
// before each call.
func (r *dutyRunner) mayAct(ctx context.Context) bool {
	r.mu.Lock()
	mustConfirm := r.mustConfirm
	r.mu.Unlock()
	now := time.Now()
	if !r.node.currentSettings().Bounds.FencesChecked {
		if r.hold.Waits(now) {
			return false
		}
		mustConfirm = mustConfirm || !r.hold.Confirmed(now)
	}
	return !mustConfirm || r.confirmHolding(ctx, now)
}

// dutyHolder returns the holder and fence that this process's calls carry.
func (r *dutyRunner) dutyHolder() provider.DutyHolder {
	return provider.DutyHolder{Host: r.node.settings.Host, Fence: r.record.Fence}
}

// reportUsage freezes and reports the usage windows that are due.
func (r *dutyRunner) reportUsage(ctx context.Context, _ time.Time) {
	n := r.node
	at := n.clock.Now()
	n.ledgerMu.Lock()
	due := n.ledger.EndedWindows(at, reportDelay, seconds(n.currentSettings().Bounds.UsageLateSeconds))
	n.ledgerMu.Unlock()
	for _, w := range due {
		if r.reportedWindows[w] {
			continue
		}
		if r.mayBeReported(w) {
			r.reportedWindows[w] = true
			event.CountsSkipped.Log(n.log).Uint64("window", uint64(w)).Uint64("due_from", r.record.DueFrom).Send()
			continue
		}
		counts, ok := r.freezeWindow(ctx, w)
		if !ok {
			return
		}
		if !r.mayAct(ctx) {
			return
		}
		err := n.platform.Duties.ReportWindow(ctx, r.dutyHolder(), uint64(w), counts)
		r.handleReportResult(w, counts, at, err)
		if err != nil {
			return
		}
		r.reportedWindows[w] = true
	}
}

// handleReportResult logs the result of a report, and ends the hold on the duties
// if the platform refused the fence.
func (r *dutyRunner) handleReportResult(w metering.Window, counts map[string]uint32, at time.Time, err error) {
	r.node.ledgerMu.Lock()
	age := at.Sub(r.node.ledger.WindowEnd(w))
	r.node.ledgerMu.Unlock()
	if err == nil {
		event.CountsReported.Log(r.node.log).Uint64("window", uint64(w)).Uint64("fence", r.record.Fence).Int("organisations", len(counts)).Float64("age_ms", milliseconds(age)).Send()
		return
	}
	event.CountsFailed.Log(r.node.log).Uint64("window", uint64(w)).Uint64("fence", r.record.Fence).Float64("age_ms", milliseconds(age)).Err(err).Send()
	if errors.Is(err, provider.ErrFencedOrNoCapacity) {
		r.stopHolding(time.Now(), "the platform has seen a newer holder")
	}
}

// mayBeReported tells whether a former holder may have reported a window with counts that were lost with
// the store's latest changes.
func (r *dutyRunner) mayBeReported(w metering.Window) bool {
	_, frozen := r.record.Windows[strconv.FormatUint(uint64(w), 10)]
	return !frozen && uint64(w) < r.record.DueFrom
}

// freezeWindow returns the counts of a window and stores them in the record, so
// that a repeat by this or a later holder reports the same counts.
func (r *dutyRunner) freezeWindow(ctx context.Context, w metering.Window) (map[string]uint32, bool) {
	key := strconv.FormatUint(uint64(w), 10)
	if counts, ok := r.record.Windows[key]; ok {
		return counts, true
	}
	r.node.ledgerMu.Lock()
	counts := r.node.ledger.Total(w)
	r.node.ledgerMu.Unlock()
	next := r.record
	next.Windows = make(map[string]map[string]uint32, recordedWindows+1)
	for keptKey, c := range r.record.Windows {
		number, err := strconv.ParseUint(keptKey, 10, 64)
		if err == nil && number+recordedWindows > uint64(w) {
			next.Windows[keptKey] = c
		}
	}
	next.Windows[key] = counts
	if !r.writeRecord(ctx, next, r.revision) {
		r.requestConfirm()
		return nil, false
	}
	return counts, true
}

const (
	// handOverTime bounds the attempts to hand the duties over. Another host acquires them after the lease in any case.
	handOverTime = 3 * time.Second
	// handOverRetryDelay is the time between two attempts.
	handOverRetryDelay = 100 * time.Millisecond
)

// handOver clears the holder in the record, so that another host can acquire the
// duties without waiting for the lease. It tries until the store shows that this
// process holds them no more, at most for handOverTime.
func (r *dutyRunner) handOver(ctx context.Context) {
	r.runMu.Lock() // waits for a tick in progress
	defer r.runMu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, handOverTime)
	defer cancel()
	for r.holding {
		record := r.record
		record.Holder = ""
		if r.writeRecord(ctx, record, r.revision) {
			r.stopHolding(time.Now(), "the node is stopping")
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(handOverRetryDelay):
		}
		found, revision, err := r.readRecord(ctx)
		switch {
		case err != nil:
		case found.Outdated(revision) || !r.isOwn(found):
			r.stopHolding(time.Now(), "the record names this process no more")
		default:
			r.record, r.revision = found, revision // a late write was carried out
		}
	}
}

// milliseconds returns a duration in milliseconds, for the log.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

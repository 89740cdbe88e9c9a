package node

import (
	"context"
	"encoding/json"
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
	"zinniapin/store"
)

const (
	// keeperInterval is the pace of the duties.
	keeperInterval = 250 * time.Millisecond
	// dutiesCollection and dutiesName name the record of the duties.
	dutiesCollection = "zinnia-duties"
	dutiesName       = "holder"
	// reportAfter is how long after its end a usage window is reported: the
	// last counts of all hosts are in by then.
	reportAfter = 2500 * time.Millisecond
	// keptReports is the number of windows kept in the record.
	keptReports = 6
)

// keeper takes and carries out the duties.
type keeper struct {
	node    *Node
	elector *duty.Elector

	mu sync.Mutex
	// holder and fence are the newest that is known of the record.
	holder string
	fence  uint64
	// carries is set while this process holds the duties.
	carries bool
	// doubtful asks to read the record before anything is done.
	doubtful bool

	// working guards what follows.
	working  sync.Mutex
	holding  bool
	record   duty.Record
	revision uint64
	sent     map[metering.Window]bool
	pools    map[poolKey]*pool
	planners map[string]*scaling.Planner
	lastLook time.Time
	ticked   time.Time
	// scaled are the services whose pools are to be looked at.
	scaled []route.Service
}

// newKeeper returns the keeper of a node.
func newKeeper(n *Node, e *duty.Elector) *keeper {
	return &keeper{
		node: n, elector: e, sent: make(map[metering.Window]bool),
		pools: make(map[poolKey]*pool), planners: make(map[string]*scaling.Planner),
	}
}

// known returns the newest holder that is known, and its fence.
func (k *keeper) known() (string, uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.holder, k.fence
}

// setHolding notes whether this process holds the duties. The caller holds
// working.
func (k *keeper) setHolding(holding bool) {
	k.holding = holding
	k.mu.Lock()
	k.carries = holding
	k.mu.Unlock()
}

// heldHere tells whether this process holds the duties.
func (k *keeper) heldHere() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.carries
}

// heard takes what a peer knows of the holder.
func (k *keeper) heard(holder string, fence uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if fence > k.fence {
		k.holder, k.fence = holder, fence
	}
}

// doubt asks to read the record again before anything is done.
func (k *keeper) doubt() {
	k.mu.Lock()
	k.doubtful = true
	k.mu.Unlock()
}

// tick takes the duties where it is this host's turn, and carries them out.
func (k *keeper) tick(ctx context.Context) {
	n := k.node
	duties := n.current().Duties
	if !duties.Usage && !duties.Scaling || n.leaving.Load() {
		return
	}
	k.working.Lock()
	defer k.working.Unlock()
	now := time.Now()
	if !k.ticked.IsZero() && now.Sub(k.ticked) > stoppedLimit {
		k.doubt() // another host may hold the duties by now
	}
	k.ticked = now
	if duties.Scaling {
		k.watchDemand(now)
	}
	if k.holding {
		k.hold(ctx, now)
		return
	}
	holder, _ := k.known()
	if k.elector.ShouldAcquire(now, n.targetsLink.ok(), k.candidates(), holder) {
		k.take(ctx, now)
	}
}

// candidates returns the live peers as the elector needs them.
func (k *keeper) candidates() []duty.Peer {
	var all []duty.Peer
	for _, p := range k.node.live() {
		d := p.Digest
		all = append(all, duty.Peer{Host: d.Host, StoreReachable: d.StoreReachable, Leaving: d.Leaving, HoldsDuties: d.HoldsDuties, Holder: d.DutyHost, Fence: d.DutyFence, LastSeen: p.LastSeen})
	}
	return all
}

// reporters returns the hosts that need counts of usage.
func (n *Node) reporters() []string {
	holder, _ := n.keeper.known()
	return append(duty.NextCandidates(time.Now(), n.keeper.candidates(), spareReporters), holder)
}

// spareReporters is the number of hosts besides the holder of the duties that
// are told counts of usage.
const spareReporters = 2

// take reads the record and puts this host into it.
func (k *keeper) take(ctx context.Context, now time.Time) {
	_, known := k.known()
	member, err := k.node.platform.Objects.Get(ctx, dutiesCollection, dutiesName)
	var record duty.Record
	switch {
	case errors.Is(err, store.ErrNotFound):
		member = store.Member{}
	case err != nil:
		return // the store's state is logged by those who follow it
	default:
		if err := json.Unmarshal(member.Value, &record); err != nil {
			event.DutiesFailed.Log(k.node.log).Err(err).Send()
			return
		}
	}
	if record.Fence > known && record.Holder != "" && record.Holder != k.node.settings.Host {
		k.heard(record.Holder, record.Fence) // a holder that was not heard of
		return
	}
	record.Holder, record.Incarnation = k.node.settings.Host, k.node.self.Incarnation
	record.Fence++
	if k.write(ctx, record, member.Revision) {
		k.setHolding(true)
		k.sent = make(map[metering.Window]bool)
		k.pools = make(map[poolKey]*pool)
		event.DutiesTaken.Log(k.node.log).Uint64("fence", record.Fence).Uint64("revision", k.revision).Send()
		return
	}
	k.elector.MarkLost(now)
}

// write writes the record where its revision is still the given one. After a
// lost answer it reads back whether the record is this process's.
func (k *keeper) write(ctx context.Context, record duty.Record, revision uint64) bool {
	value, err := json.Marshal(record)
	if err != nil {
		event.DutiesFailed.Log(k.node.log).Err(err).Send()
		return false
	}
	var member store.Member
	if revision == 0 {
		member, err = k.node.platform.Objects.Create(ctx, dutiesCollection, dutiesName, value)
	} else {
		member, err = k.node.platform.Objects.Replace(ctx, dutiesCollection, dutiesName, revision, value)
	}
	if errors.Is(err, store.ErrUnknown) {
		member, err = k.readBack(ctx, record)
	}
	if err != nil {
		event.DutiesFailed.Log(k.node.log).Uint64("fence", record.Fence).Err(err).Send()
		return false
	}
	k.record, k.revision = record, member.Revision
	k.heard(record.Holder, record.Fence)
	return true
}

// readBack returns the record when it is the one that was written.
func (k *keeper) readBack(ctx context.Context, wrote duty.Record) (store.Member, error) {
	member, err := k.node.platform.Objects.Get(ctx, dutiesCollection, dutiesName)
	if err != nil {
		return member, err
	}
	var found duty.Record
	if err := json.Unmarshal(member.Value, &found); err != nil {
		return member, err
	}
	if found.Incarnation != wrote.Incarnation || found.Fence != wrote.Fence || len(found.Windows) != len(wrote.Windows) {
		return member, store.ErrConflict
	}
	for w := range wrote.Windows {
		if _, ok := found.Windows[w]; !ok {
			return member, store.ErrConflict
		}
	}
	return member, nil
}

// drop stops holding the duties.
func (k *keeper) drop(now time.Time, why string) {
	k.setHolding(false)
	k.elector.MarkLost(now)
	event.DutiesLost.Log(k.node.log).Uint64("fence", k.record.Fence).Str("why", why).Send()
}

// hold carries out the duties.
func (k *keeper) hold(ctx context.Context, now time.Time) {
	if _, fence := k.known(); fence > k.record.Fence {
		k.drop(now, "a peer knows of a newer holder")
		return
	}
	k.mu.Lock()
	doubtful := k.doubtful
	k.mu.Unlock()
	if doubtful && !k.confirm(ctx, now) {
		return
	}
	duties := k.node.current().Duties
	if duties.Usage {
		k.report(ctx, now)
	}
	if k.holding && duties.Scaling {
		k.scale(ctx, now)
	}
}

// confirm reads the record and returns whether this process still holds it.
func (k *keeper) confirm(ctx context.Context, now time.Time) bool {
	member, err := k.node.platform.Objects.Get(ctx, dutiesCollection, dutiesName)
	if err != nil {
		return false
	}
	var found duty.Record
	if err := json.Unmarshal(member.Value, &found); err != nil {
		event.DutiesFailed.Log(k.node.log).Err(err).Send()
		return false
	}
	if found.Incarnation != k.record.Incarnation || found.Fence != k.record.Fence {
		k.heard(found.Holder, found.Fence)
		k.drop(now, "the record names another holder")
		return false
	}
	k.record, k.revision = found, member.Revision
	k.mu.Lock()
	k.doubtful = false
	k.mu.Unlock()
	return true
}

// author returns who makes the calls.
func (k *keeper) author() provider.DutyHolder {
	return provider.DutyHolder{Host: k.node.settings.Host, Fence: k.record.Fence}
}

// report fixes and reports the usage windows that are due.
func (k *keeper) report(ctx context.Context, _ time.Time) {
	n := k.node
	at := n.clock.Now()
	n.ledgerMu.Lock()
	due := n.ledger.EndedWindows(at, reportAfter, seconds(n.current().Bounds.UsageLateSeconds))
	n.ledgerMu.Unlock()
	for _, w := range due {
		if k.sent[w] {
			continue
		}
		counts, ok := k.fix(ctx, w)
		if !ok {
			return
		}
		err := n.platform.Duties.ReportWindow(ctx, k.author(), uint64(w), counts)
		k.reported(w, counts, at, err)
		if err != nil {
			return
		}
		k.sent[w] = true
	}
}

// reported logs a report and steps down where another holder was seen.
func (k *keeper) reported(w metering.Window, counts map[string]uint32, at time.Time, err error) {
	k.node.ledgerMu.Lock()
	age := at.Sub(k.node.ledger.WindowEnd(w))
	k.node.ledgerMu.Unlock()
	if err == nil {
		event.CountsReported.Log(k.node.log).Uint64("window", uint64(w)).Uint64("fence", k.record.Fence).Int("organisations", len(counts)).Float64("age_ms", milliseconds(age)).Send()
		return
	}
	event.CountsFailed.Log(k.node.log).Uint64("window", uint64(w)).Uint64("fence", k.record.Fence).Float64("age_ms", milliseconds(age)).Err(err).Send()
	if errors.Is(err, provider.ErrFencedOrNoCapacity) {
		k.drop(time.Now(), "the platform has seen a newer holder")
	}
}

// fix returns the figures of a window, which the record keeps from then on.
func (k *keeper) fix(ctx context.Context, w metering.Window) (map[string]uint32, bool) {
	name := strconv.FormatUint(uint64(w), 10)
	if counts, ok := k.record.Windows[name]; ok {
		return counts, true
	}
	k.node.ledgerMu.Lock()
	counts := k.node.ledger.Total(w)
	k.node.ledgerMu.Unlock()
	next := k.record
	next.Windows = make(map[string]map[string]uint32, keptReports+1)
	for held, c := range k.record.Windows {
		number, err := strconv.ParseUint(held, 10, 64)
		if err == nil && number+keptReports > uint64(w) {
			next.Windows[held] = c
		}
	}
	next.Windows[name] = counts
	if !k.write(ctx, next, k.revision) {
		k.doubt()
		return nil, false
	}
	return counts, true
}

// giveUp lets another host take the duties at once.
func (k *keeper) giveUp(ctx context.Context) {
	k.working.Lock() // a tick under way ends first
	defer k.working.Unlock()
	if !k.holding {
		return
	}
	record := k.record
	record.Holder = ""
	if k.write(ctx, record, k.revision) {
		k.drop(time.Now(), "the node is stopping")
	}
}

// milliseconds converts a duration for the log.
func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// Package targetview keeps a process's table of the targets of a region, which is
// spread by gossip: the state that the platform lists, the reports of the targets
// and their cordons. It does no I/O and reads no clock: callers pass in the time.
//
// The three parts of an entry are merged independently, and the newer wins. The
// listed state only changes from live to leaving to gone. Of two cordons the one
// with the higher epoch wins, and with equal epochs a lift. Reports are ordered
// by sequence within a boot, and between boots by when they were received from
// the target.
//
// # Bytes
//
// A load (see wire.Loads) takes 16.4 bytes (BenchmarkBytes). The full state, 121
// bytes, is sent only when more than the load changed. With n targets in a region
// a load is published every PublishInterval(n), so that at most
// maxReportsPerSecond change in a second: with 240 targets, each every 4 s. A
// controller reads them from at most 4 sources of its region, and a gateway from
// one controller. TestCostOfTheMesh in package controller measures that a host
// sends and receives 5.2 KB of targets a second with 390 hosts and 720 targets in
// 3 regions.
package targetview

import (
	"slices"
	"sort"
	"time"

	"zinniapin/control"
	"zinniapin/provider"
	"zinniapin/target"
	"zinniapin/wire"
	"zinniapin/zone"
)

const (
	// maxReportsPerSecond bounds the loads that are published in a second for all
	// targets of a region together. With more targets each load is published less
	// often (see PublishInterval).
	maxReportsPerSecond = 60
	// maxAbsence is how long a target must be missing from the platform's list
	// before it counts as gone.
	maxAbsence = 10 * time.Second
	// forgetAfter is how long the entry of a target that is gone is kept, so that
	// a peer with stale records cannot bring the target back.
	forgetAfter = 10 * time.Minute
	// maxTargets bounds the targets in one process's table, those that are gone and
	// not yet forgotten included. Further targets are ignored.
	maxTargets = 8192
)

// PublishInterval returns the time between two published loads of a target when the
// region has n targets. A report that changes more than the load is published at
// once.
func PublishInterval(n int) time.Duration {
	seconds := (n + maxReportsPerSecond - 1) / maxReportsPerSecond
	return time.Duration(max(1, seconds)) * time.Second
}

// Table holds the entries that one process has of the targets of its region. It
// is not safe for concurrent use.
type Table struct {
	entries       map[target.ID]*entry
	byTag         map[uint32][]*entry // by tagOf(id)
	version       uint64              // incremented by each change
	urgentVersion uint64              // table version of the last urgent change of any target
}

// entry is the state of one target and when and from whom it was received.
type entry struct {
	state         control.TargetState
	absentSince   time.Time // when it was first missing from the list; zero if it is listed
	goneAt        time.Time // when it was marked as gone; zero if it is not
	publishedAt   time.Time // when a report was last published by this process or received from a peer
	changed       uint64    // table version of the last change
	staticChanged uint64    // table version of the last change of more than the load
	urgentChanged uint64    // table version of the last urgent change
	source        uint64    // incarnation of the peer that sent the last change; 0 if made here
	staticSource  uint64    // the same for the last change of more than the load
}

// New returns an empty table.
func New() *Table {
	return &Table{entries: map[target.ID]*entry{}, byTag: map[uint32][]*entry{}}
}

// Version returns the version of the table, the number of changes so far.
func (t *Table) Version() uint64 {
	return t.version
}

// markChanged gives an entry a new table version, so that Since returns it.
// static tells that more than the load has changed.
func (t *Table) markChanged(e *entry, source uint64, static bool) {
	t.version++
	e.changed = t.version
	e.source = source
	if static {
		e.staticChanged = t.version
		e.staticSource = source
	}
}

// findOrAdd returns the entry of a target and adds one if there is none. It
// returns nil when the table is full.
func (t *Table) findOrAdd(id target.ID) *entry {
	if e, ok := t.entries[id]; ok {
		return e
	}
	if len(t.entries) >= maxTargets {
		return nil
	}
	e := &entry{}
	e.state.Target.ID = id
	t.entries[id] = e
	t.byTag[tagOf(id)] = append(t.byTag[tagOf(id)], e)
	return e
}

// ApplyList applies a complete list of the platform's hosts. Targets that stay
// missing from it for maxAbsence are marked as gone. Hosts in availability zones
// for which local returns false are ignored.
func (t *Table) ApplyList(now time.Time, hosts []provider.Host, local func(zone.Name) bool) {
	t.markAbsent(now, t.ApplyPresent(now, hosts, local))
}

// ApplyPresent applies the targets in a list of the platform's hosts and returns
// their ids. Unlike ApplyList it leaves targets that are not in the list as they
// are, so that processes that read the list only occasionally can use it.
func (t *Table) ApplyPresent(now time.Time, hosts []provider.Host, local func(zone.Name) bool) map[target.ID]bool {
	present := map[target.ID]bool{}
	for i := range hosts {
		h := &hosts[i]
		if h.Target == nil || !local(h.Zone) {
			continue
		}
		present[h.Target.ID] = true
		t.mergeListed(now, 0, *h.Target, h.State, h.LeavesAt)
	}
	return present
}

// markAbsent notes which targets are missing from the list, and marks those that
// have been missing for maxAbsence as gone.
func (t *Table) markAbsent(now time.Time, listed map[target.ID]bool) {
	for id, e := range t.entries {
		switch {
		case listed[id] || e.state.State == "" || e.state.State == provider.Gone:
			e.absentSince = time.Time{}
		case e.absentSince.IsZero():
			e.absentSince = now
		case now.Sub(e.absentSince) >= maxAbsence:
			t.mergeListed(now, 0, e.state.Target, provider.Gone, time.Time{})
		}
	}
}

// stateOrder returns the position of a listed state in the order in which a
// target passes through the states; it never goes back.
func stateOrder(s provider.HostState) int {
	switch s {
	case provider.Live:
		return 1
	case provider.Leaving:
		return 2
	case provider.Gone:
		return 3
	default:
		return 0
	}
}

// mergeListed merges the listed part of a target: its description, its state and
// when it leaves. A state that comes before the known one is ignored.
func (t *Table) mergeListed(now time.Time, source uint64, listed target.Target, s provider.HostState, leavesAt time.Time) {
	leavesAt = leavesAt.Truncate(time.Millisecond) // the resolution of times on the wire
	e := t.findOrAdd(listed.ID)
	if e == nil || stateOrder(s) < stateOrder(e.state.State) {
		return
	}
	if stateOrder(s) == stateOrder(e.state.State) && listed == e.state.Target && leavesAt.Equal(e.state.LeavesAt) {
		return
	}
	if s == provider.Gone && e.goneAt.IsZero() {
		e.goneAt = now
	}
	urgent := stateOrder(e.state.State) > 0 && stateOrder(s) > stateOrder(e.state.State)
	e.state.Target = listed
	e.state.State = s
	e.state.LeavesAt = leavesAt
	t.markChanged(e, source, true)
	if urgent {
		e.urgentChanged, t.urgentVersion = t.version, t.version
	}
}

// MarkLeaving marks a target as leaving when this process finds that out before
// the platform's list shows it.
func (t *Table) MarkLeaving(now time.Time, id target.ID, leavesAt time.Time) {
	if e, ok := t.entries[id]; ok {
		t.mergeListed(now, 0, e.state.Target, provider.Leaving, leavesAt)
	}
}

// ApplyReport applies a report that this process read from a target, if the target
// is known and the report newer than the last. It publishes the report at once if
// more than the load changed; otherwise only if none was published, or received
// from another poller, within the last PublishInterval.
func (t *Table) ApplyReport(now time.Time, r target.Report) {
	e, ok := t.entries[r.Target]
	if !ok || !newer(&r, &e.state.Report) {
		return
	}
	static := staticDiffers(&r, &e.state.Report)
	e.state.Report = r
	if !static && now.Sub(e.publishedAt) < PublishInterval(len(t.entries)) {
		return
	}
	e.publishedAt = now
	t.markChanged(e, 0, static)
}

// newer tells whether report a replaces b. Boot numbers are not ordered, so of
// reports of two boots the one that was received from the target later wins.
func newer(a, b *target.Report) bool {
	if a.Boot == b.Boot {
		return a.Sequence > b.Sequence
	}
	return a.ReceivedAt.After(b.ReceivedAt)
}

// minRateChange is the relative change of a prefill or decode rate above which a
// report is published at once.
const minRateChange = 0.2

// staticDiffers tells whether two reports differ in more than the load. Of the
// rates only large changes count.
func staticDiffers(a, b *target.Report) bool {
	if a.Boot != b.Boot || a.Role != b.Role || a.Changing != b.Changing || a.Fence != b.Fence {
		return true
	}
	if a.LastOrder != b.LastOrder || a.Capacity != b.Capacity || a.KVPiecesTotal != b.KVPiecesTotal {
		return true
	}
	return rateChanged(a.PrefillRate, b.PrefillRate) || rateChanged(a.DecodeRate, b.DecodeRate) || !sameModels(a.Models, b.Models)
}

// rateChanged tells whether two rates differ by more than minRateChange.
func rateChanged(a, b float64) bool {
	return a > b*(1+minRateChange) || a < b*(1-minRateChange)
}

// sameModels tells whether two lists of models are equal.
func sameModels(a, b []string) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

// Cordon sets or lifts the cordon of a target. It returns false when it did not
// take effect, because a cordon of a higher epoch is known, the cordon was lifted
// in the same epoch, or the table is full.
func (t *Table) Cordon(id target.ID, epoch uint64, lift bool) bool {
	e := t.findOrAdd(id)
	if e == nil {
		return false
	}
	return t.mergeCordon(e, 0, epoch, !lift)
}

// mergeCordon merges the cordon part of a target. A state of a lower epoch has no
// effect, and within an epoch a cordon can be lifted but not set again. It returns
// whether the target is in the given state afterwards.
func (t *Table) mergeCordon(e *entry, source, epoch uint64, cordoned bool) bool {
	if epoch < e.state.CordonEpoch {
		return false
	}
	if epoch == e.state.CordonEpoch && (cordoned || !e.state.Cordoned) {
		return cordoned == e.state.Cordoned
	}
	e.state.Cordoned = cordoned
	e.state.CordonEpoch = epoch
	t.markChanged(e, source, true)
	return true
}

// Forget removes targets that have been gone for forgetAfter.
func (t *Table) Forget(now time.Time) {
	for id, e := range t.entries {
		if !e.goneAt.IsZero() && now.Sub(e.goneAt) > forgetAfter {
			t.remove(id)
		}
	}
}

// remove removes an entry from the table and from the index of tags.
func (t *Table) remove(id target.ID) {
	tag := tagOf(id)
	e := t.entries[id]
	delete(t.entries, id)
	t.byTag[tag] = slices.DeleteFunc(t.byTag[tag], func(other *entry) bool { return other == e })
	if len(t.byTag[tag]) == 0 {
		delete(t.byTag, tag)
	}
}

// States returns the states of the live and leaving targets, in order of id.
func (t *Table) States() []control.TargetState {
	ordered := make([]*entry, 0, len(t.entries))
	for _, e := range t.entries {
		if e.state.State == provider.Live || e.state.State == provider.Leaving {
			ordered = append(ordered, e)
		}
	}
	sort.Slice(ordered, func(i, j int) bool { return ordered[i].state.Target.ID < ordered[j].state.Target.ID })
	states := make([]control.TargetState, len(ordered))
	for i, e := range ordered {
		states[i] = e.state
	}
	return states
}

// ChangeSet holds the changes of a table that a reader lacks.
type ChangeSet struct {
	// Targets are full states, of targets of which the reader lacks more than the
	// load.
	Targets []*wire.TargetState
	// Loads are the loads of targets whose other state the reader has; nil if
	// there are none.
	Loads *wire.Loads
	// Version is the version of the table that the reader has read up to once it
	// has merged both.
	Version uint64
}

// Since returns the changes after a version, oldest first and about maxBytes at
// most. The reader is given by its incarnation; changes that came from it are left
// out. For a version above the present one Since returns the present version and
// no changes.
func (t *Table) Since(now time.Time, version, reader uint64, maxBytes int) ChangeSet {
	if version > t.version {
		return ChangeSet{Version: t.version}
	}
	var changed []*entry
	for _, e := range t.entries {
		if e.changed > version {
			changed = append(changed, e)
		}
	}
	sort.Slice(changed, func(i, j int) bool { return changed[i].changeVersion(version) < changed[j].changeVersion(version) })
	changes := ChangeSet{Version: version}
	used := 0
	for _, e := range changed {
		if used >= maxBytes {
			return changes
		}
		changes.Version = e.changeVersion(version)
		if e.sentBy(reader, version) {
			continue
		}
		if e.staticChanged <= version && len(t.byTag[tagOf(e.state.Target.ID)]) == 1 {
			changes.addLoad(now, &e.state)
			used += loadBytes
			continue
		}
		changes.Targets = append(changes.Targets, toWire(now, &e.state))
		used += stateBytes
	}
	changes.Version = max(changes.Version, t.version)
	return changes
}

// changeVersion returns the version by which Since orders the entry for a reader
// that has read up to version. A change of more than the load that the reader
// lacks keeps its own place in that order, however often the load changed since:
// a reader that has read up to a version has the static part of every entry whose
// static part last changed at or before it.
func (e *entry) changeVersion(version uint64) uint64 {
	if e.staticChanged > version {
		return e.staticChanged
	}
	return e.changed
}

// sentBy tells whether all changes of the entry after a version came from the
// reader.
func (e *entry) sentBy(reader, version uint64) bool {
	return e.source == reader && (e.staticChanged <= version || e.staticSource == reader)
}

// Sizes in bytes, rounded up, of one target in a heartbeat: as a load or as a full
// state.
const (
	loadBytes  = 24
	stateBytes = 250
)

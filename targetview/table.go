// Package targetview keeps what is known of the targets of a region: what the
// platform lists, what the targets report and which are cordoned. It does no
// I/O: time comes in.
//
// The three parts of an entry merge on their own, each towards the newer: the
// listed state only goes from live over leaving to gone, cordons go by epoch
// (with equal epochs a lift wins), reports by boot and sequence.
//
// # Bytes
//
// A load takes 16.4 bytes (BenchmarkBytes); the whole state, 121 bytes, is told
// only when more changed. With n targets in a region a load is published on
// every PublishInterval(n), so that at most digestsPerSecond change in a second:
// 240 targets every 4 s. A controller takes them from at most 4 sources of its
// region and a gateway from one controller. TestCostOfTheMesh in package
// controller measures 5.2 KB of targets a second that a host sends and receives
// with 390 hosts and 720 targets in 3 regions.
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
	// digestsPerSecond bounds the digests of a region in a second.
	digestsPerSecond = 60
	// absentFor is how long a target must be missing from the list before it
	// passes for gone.
	absentFor = 10 * time.Second
	// forgetAfter is how long a target that is gone is remembered, so that a
	// stale peer cannot bring it back.
	forgetAfter = 10 * time.Minute
	// maxTargets bounds the table.
	maxTargets = 8192
)

// PublishInterval returns the time between two digests of a target when the
// region has n.
func PublishInterval(n int) time.Duration {
	seconds := (n + digestsPerSecond - 1) / digestsPerSecond
	return time.Duration(max(1, seconds)) * time.Second
}

// Table is the view of one process. It is not safe for concurrent use.
type Table struct {
	entries map[target.ID]*entry
	tags    map[uint32][]*entry // by the tag of the id
	version uint64
	urgent  uint64 // version of the last urgent change
}

// entry is what is known of one target.
type entry struct {
	state      control.TargetState
	absent     time.Time // since when it is missing from the list; zero if not
	gone       time.Time // when it passed for gone
	published  time.Time // when a report was last published, here or by a peer
	changed    uint64    // version of the table at the last change
	introduced uint64    // version at the last change of more than the load
	urgent     uint64    // version at the last urgent change
	source     uint64    // incarnation of the peer that told of the last change
	origin     uint64    // incarnation of the peer that told of more than the load
}

// New returns an empty table.
func New() *Table {
	return &Table{entries: map[target.ID]*entry{}, tags: map[uint32][]*entry{}}
}

// Version returns the number of changes so far.
func (t *Table) Version() uint64 {
	return t.version
}

// touch marks an entry as changed.
func (t *Table) touch(e *entry, source uint64, static bool) {
	t.version++
	e.changed = t.version
	e.source = source
	if static {
		e.introduced = t.version
		e.origin = source
	}
}

// add returns the entry of a target, new if need be, or nil when the table is
// full.
func (t *Table) add(id target.ID) *entry {
	if e, ok := t.entries[id]; ok {
		return e
	}
	if len(t.entries) >= maxTargets {
		return nil
	}
	e := &entry{}
	e.state.Target.ID = id
	t.entries[id] = e
	t.tags[tagOf(id)] = append(t.tags[tagOf(id)], e)
	return e
}

// ApplyList takes in the platform's list. Targets of zones that local refuses
// are left out.
func (t *Table) ApplyList(now time.Time, hosts []provider.Host, local func(zone.Name) bool) {
	t.missing(now, t.ApplyPresent(now, hosts, local))
}

// ApplyPresent takes in the targets that the list shows and returns them. Unlike
// Listed it concludes nothing from those that are absent, so that it also fits
// a process that reads the list now and then.
func (t *Table) ApplyPresent(now time.Time, hosts []provider.Host, local func(zone.Name) bool) map[target.ID]bool {
	shown := map[target.ID]bool{}
	for i := range hosts {
		h := &hosts[i]
		if h.Target == nil || !local(h.Zone) {
			continue
		}
		shown[h.Target.ID] = true
		t.list(now, 0, *h.Target, h.State, h.LeavesAt)
	}
	return shown
}

// missing lets targets that are absent from the list pass for gone after a
// while.
func (t *Table) missing(now time.Time, listed map[target.ID]bool) {
	for id, e := range t.entries {
		switch {
		case listed[id] || e.state.State == "" || e.state.State == provider.Gone:
			e.absent = time.Time{}
		case e.absent.IsZero():
			e.absent = now
		case now.Sub(e.absent) >= absentFor:
			t.list(now, 0, e.state.Target, provider.Gone, time.Time{})
		}
	}
}

// rank orders the listed states; a target only moves up.
func rank(s provider.HostState) int {
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

// list takes in the listed part of a target.
func (t *Table) list(now time.Time, source uint64, described target.Target, s provider.HostState, leavesAt time.Time) {
	leavesAt = leavesAt.Truncate(time.Millisecond) // as peers tell it
	e := t.add(described.ID)
	if e == nil || rank(s) < rank(e.state.State) {
		return
	}
	if rank(s) == rank(e.state.State) && described == e.state.Target && leavesAt.Equal(e.state.LeavesAt) {
		return
	}
	if s == provider.Gone && e.gone.IsZero() {
		e.gone = now
	}
	urgent := rank(e.state.State) > 0 && rank(s) > rank(e.state.State)
	e.state.Target = described
	e.state.State = s
	e.state.LeavesAt = leavesAt
	t.touch(e, source, true)
	if urgent {
		e.urgent, t.urgent = t.version, t.version
	}
}

// MarkLeaving tells that a target was found to be leaving, before the list says so.
func (t *Table) MarkLeaving(now time.Time, id target.ID, leavesAt time.Time) {
	if e, ok := t.entries[id]; ok {
		t.list(now, 0, e.state.Target, provider.Leaving, leavesAt)
	}
}

// ApplyReport takes in a report that this process read itself. It is published
// at once when more than the load changed, else on its interval, unless another
// poller's report came in the meantime.
func (t *Table) ApplyReport(now time.Time, r target.Report) {
	e, ok := t.entries[r.Target]
	if !ok || !newer(&r, &e.state.Report) {
		return
	}
	static := differs(&r, &e.state.Report)
	e.state.Report = r
	if !static && now.Sub(e.published) < PublishInterval(len(t.entries)) {
		return
	}
	e.published = now
	t.touch(e, 0, static)
}

// newer tells whether report a replaces b. Boots are not ordered, so of two
// boots the report that was taken later counts.
func newer(a, b *target.Report) bool {
	if a.Boot == b.Boot {
		return a.Sequence > b.Sequence
	}
	return a.ReceivedAt.After(b.ReceivedAt)
}

// rateChange is the relative change of a rate that is told at once.
const rateChange = 0.2

// differs tells whether two reports differ in more than the load.
func differs(a, b *target.Report) bool {
	if a.Boot != b.Boot || a.Role != b.Role || a.Changing != b.Changing || a.Fence != b.Fence {
		return true
	}
	if a.LastOrder != b.LastOrder || a.Capacity != b.Capacity || a.KVPiecesTotal != b.KVPiecesTotal {
		return true
	}
	return far(a.PrefillRate, b.PrefillRate) || far(a.DecodeRate, b.DecodeRate) || !sameModels(a.Models, b.Models)
}

// far tells whether a rate changed much.
func far(a, b float64) bool {
	return a > b*(1+rateChange) || a < b*(1-rateChange)
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

// Cordon sets or lifts a cordon. It returns false when a higher epoch is
// known.
func (t *Table) Cordon(id target.ID, epoch uint64, lift bool) bool {
	e := t.add(id)
	if e == nil {
		return false
	}
	return t.cordon(e, 0, epoch, !lift)
}

// cordon takes in the cordon part of a target.
func (t *Table) cordon(e *entry, source, epoch uint64, cordoned bool) bool {
	if epoch < e.state.CordonEpoch {
		return false
	}
	if epoch == e.state.CordonEpoch && (cordoned || !e.state.Cordoned) {
		return cordoned == e.state.Cordoned
	}
	e.state.Cordoned = cordoned
	e.state.CordonEpoch = epoch
	t.touch(e, source, true)
	return true
}

// Forget drops targets that have been gone for long.
func (t *Table) Forget(now time.Time) {
	for id, e := range t.entries {
		if !e.gone.IsZero() && now.Sub(e.gone) > forgetAfter {
			t.remove(id)
		}
	}
}

// remove takes an entry out of the table and of the index of tags.
func (t *Table) remove(id target.ID) {
	tag := tagOf(id)
	e := t.entries[id]
	delete(t.entries, id)
	t.tags[tag] = slices.DeleteFunc(t.tags[tag], func(other *entry) bool { return other == e })
	if len(t.tags[tag]) == 0 {
		delete(t.tags, tag)
	}
}

// States returns every target that is not gone, in order of id.
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

// ChangeSet is what a table tells a reader.
type ChangeSet struct {
	// Targets are the states that the reader lacks.
	Targets []*wire.TargetState
	// Loads are those of targets that the reader knows; nil if there are none.
	Loads *wire.Loads
	// Version is the version of the table that the two reach.
	Version uint64
}

// Since returns what changed after a version, oldest change first and about
// maxBytes at most. What the reader itself was the source of is left out. For a
// version above the present one it returns the present one alone.
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
	sort.Slice(changed, func(i, j int) bool { return changed[i].due(version) < changed[j].due(version) })
	news := ChangeSet{Version: version}
	used := 0
	for _, e := range changed {
		if used >= maxBytes {
			return news
		}
		news.Version = e.due(version)
		if e.knownTo(reader, version) {
			continue
		}
		if e.introduced <= version && len(t.tags[tagOf(e.state.Target.ID)]) == 1 {
			news.addLoad(now, &e.state)
			used += loadBytes
			continue
		}
		news.Targets = append(news.Targets, toWire(now, &e.state))
		used += stateBytes
	}
	news.Version = max(news.Version, t.version)
	return news
}

// due returns the version at which a reader that has seen the given one must
// be told of the entry. What is more than the load counts from its own change,
// however often the load changed since: a reader that has seen a version knows
// the static part of every entry introduced up to it.
func (e *entry) due(version uint64) uint64 {
	if e.introduced > version {
		return e.introduced
	}
	return e.changed
}

// knownTo tells whether a reader that has seen a version told of all that
// changed since.
func (e *entry) knownTo(reader, version uint64) bool {
	return e.source == reader && (e.introduced <= version || e.origin == reader)
}

// Sizes of what a heartbeat tells of a target, rounded up, in bytes.
const (
	loadBytes  = 24
	stateBytes = 250
)

package membership

import (
	"sort"
	"time"

	"zinniapin/contract"
	"zinniapin/invariant"
	"zinniapin/machine"
	"zinniapin/wire"
)

// Table is what one process knows of all processes, itself included. It is
// not safe for concurrent use.
type Table struct {
	self     *entry
	entries  map[uint64]*entry // by incarnation
	tags     map[uint32]int    // number of entries by the tag of the incarnation
	byTag    map[uint32]*entry // the last entry added with the tag
	version  uint64
	ticked   time.Time
	started  time.Time
	nextBeat time.Time
	refuted  uint64
	shape    uint64 // rises when more than beats and silences changed
	view     view
}

// view is the answer of Members and Known as of a time.
type view struct {
	shape   uint64
	at      time.Time
	members []Member
	known   map[machine.Role]int
}

// viewAge is how long an answer serves while only beats rise.
const viewAge = time.Second

// entry is a record with what this process observed of it.
type entry struct {
	Member
	rose       time.Time // when the beat last rose, by the local clock
	spoke      time.Time // the same, but a pause of this process counts; zero: never
	changed    uint64    // version of the table at the last change
	introduced uint64    // version of the table at which the static part came
	source     uint64    // incarnation of the peer that told of the change
	doubted    time.Time // when a doubt at the present beat came; zero if none
}

// New returns a table that knows the process itself. The incarnation of self
// must be unique.
func New(self Member, now time.Time) *Table {
	t := &Table{entries: map[uint64]*entry{}, tags: map[uint32]int{}, byTag: map[uint32]*entry{}, ticked: now, started: now, nextBeat: now}
	t.self = &entry{Member: self, rose: now}
	t.add(t.self)
	t.touch(t.self, 0, true)
	return t
}

// touch marks an entry as changed.
func (t *Table) touch(e *entry, source uint64, static bool) {
	t.version++
	e.changed = t.version
	e.source = source
	if static {
		e.introduced = t.version
	}
}

// Update changes the own record; the change spreads at once.
func (t *Table) Update(change func(m *Member)) {
	before := t.self.Member
	change(&t.self.Member)
	after := &t.self.Member
	invariant.Check(after.Revision >= before.Revision, "revision_rises",
		"own revision fell from %d to %d", before.Revision, after.Revision)
	static := !sameStrings(before.Via, after.Via)
	if !static && sameState(&before, after) {
		return
	}
	t.self.Beat++
	t.shape++
	t.touch(t.self, 0, static)
}

// sameStrings tells whether two lists are equal.
func sameStrings(a, b []string) bool {
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

// Tick raises the own beat when it is due and forgets silent processes. A gap
// since the last tick (a pause of this process or a jump of its clock) does
// not count as silence of others.
func (t *Table) Tick(now time.Time) {
	gap := now.Sub(t.ticked)
	if gap > maxTickGap || gap < 0 {
		t.shift(now, gap)
	}
	t.ticked = now
	t.self.rose = now
	if !t.self.Settled && now.Sub(t.started) > settleTime(len(t.entries)) {
		t.Update(func(m *Member) { m.Settled = true })
	}
	if !now.Before(t.nextBeat) {
		t.self.Beat++
		t.touch(t.self, 0, false)
		t.nextBeat = now.Add(BeatInterval(len(t.entries)))
	}
	for _, e := range t.entries {
		if now.Sub(e.rose) > forgetAfter {
			t.remove(e)
		}
	}
}

// shift moves all observations by a gap in this process's own time, but none
// into the future: what was observed after the gap stays as it is.
func (t *Table) shift(now time.Time, gap time.Duration) {
	t.shape++
	for _, e := range t.entries {
		e.rose = earlier(e.rose.Add(gap), now)
		if !e.doubted.IsZero() {
			e.doubted = earlier(e.doubted.Add(gap), now)
		}
	}
	t.nextBeat = earlier(t.nextBeat.Add(gap), now)
	t.started = earlier(t.started.Add(gap), now)
}

// earlier returns the earlier of two times.
func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Merge takes in a record that a peer told of. It returns false when the
// record is compact and the process is not known, so that the peer must tell
// it in full.
func (t *Table) Merge(now time.Time, source uint64, w *wire.Member) bool {
	if w.Incarnation == t.self.Process.Incarnation {
		t.refute(w)
		return true
	}
	e, known := t.entries[w.Incarnation]
	full := w.Host != ""
	if !known {
		return t.introduce(now, source, w, full)
	}
	if w.Beat == e.Beat && w.Doubted {
		t.doubt(now, e, source)
	}
	if w.Beat <= e.Beat {
		return true
	}
	m := FromWire(w)
	static := full && !sameStrings(m.Via, e.Via)
	if !full {
		m.Process = e.Process
		m.Via = e.Via
	}
	m.Revision = max(m.Revision, e.Revision)
	m.Leaving = m.Leaving || e.Leaving
	if !t.live(e, now) || !sameState(&m, &e.Member) {
		t.shape++
	}
	e.Member = m
	e.rose = now
	e.spoke = now
	e.doubted = time.Time{}
	t.touch(e, source, static)
	if w.Doubted {
		t.doubt(now, e, source)
	}
	return true
}

// sameState tells whether two records of a process differ in the beat at most.
func sameState(a, b *Member) bool {
	return a.Revision == b.Revision && a.Leaving == b.Leaving && a.StoreReachable == b.StoreReachable &&
		a.StoreFailed == b.StoreFailed && a.Settled == b.Settled && sameStrings(a.Via, b.Via)
}

// refute raises the own beat above one that this process never gave, or that
// was doubted.
func (t *Table) refute(w *wire.Member) {
	if w.Beat > t.self.Beat {
		t.self.Beat = w.Beat
	}
	if w.Doubted && w.Beat == t.self.Beat {
		t.self.Beat++
		t.refuted++
		t.touch(t.self, 0, false)
	}
}

// Refutations returns how often this process raised its beat because others
// doubted it.
func (t *Table) Refutations() uint64 {
	return t.refuted
}

// introduce adds a process that was not known. One that the peer does not take
// for live passes for live only once its beat rises.
func (t *Table) introduce(now time.Time, source uint64, w *wire.Member, full bool) bool {
	if !full {
		return false
	}
	if len(t.entries) >= maxMembers {
		return true
	}
	e := &entry{Member: FromWire(w), rose: now}
	if w.Silent {
		e.rose = now.Add(-FailureTimeout(maxMembers) - time.Second)
	}
	t.add(e)
	t.touch(e, source, true)
	return true
}

// Suspect tells that this process lost its link to another. The doubt spreads;
// the other refutes it by raising its beat, or passes for dead after
// doubtGrace.
func (t *Table) Suspect(now time.Time, incarnation uint64) {
	if e, ok := t.entries[incarnation]; ok && e != t.self {
		t.doubt(now, e, 0)
	}
}

// Suspected tells whether a process is doubted at its present beat.
func (t *Table) Suspected(incarnation uint64) bool {
	e, ok := t.entries[incarnation]
	return ok && !e.doubted.IsZero()
}

// doubt marks an entry as doubted, once for each beat.
func (t *Table) doubt(now time.Time, e *entry, source uint64) {
	if !e.doubted.IsZero() {
		return
	}
	e.doubted = now
	t.shape++
	t.touch(e, source, false)
}

// due returns the version at which a reader that has seen the given one must
// be told of the entry. What is more than the beat counts from its own change,
// however often the beat changed since: a reader that has seen a version knows
// the static part of every entry introduced up to it.
func (e *entry) due(version uint64) uint64 {
	if e.introduced > version {
		return e.introduced
	}
	return e.changed
}

// Size returns the number of processes known, silent ones included.
func (t *Table) Size() int {
	return len(t.entries)
}

// Self returns the own record.
func (t *Table) Self() Member {
	return t.self.Member
}

// Members returns every record of live processes in order of host and role.
// Of two incarnations on a host only the one whose beat rose last counts. The
// beats and the silences are up to viewAge old. The caller must not change the
// records.
func (t *Table) Members(now time.Time) []Member {
	t.look(now)
	return t.view.members
}

// KnownHostCount returns the number of hosts with the role that are remembered, live
// or not. It is up to viewAge old.
func (t *Table) KnownHostCount(now time.Time, role machine.Role) int {
	t.look(now)
	return t.view.known[role]
}

// look renews the view if need be.
func (t *Table) look(now time.Time) {
	age := now.Sub(t.view.at)
	if t.view.members != nil && t.view.shape == t.shape && age >= 0 && age < viewAge {
		return
	}
	t.view = view{shape: t.shape, at: now, members: t.listLive(now), known: t.countKnown()}
}

// listLive returns the records of live processes.
func (t *Table) listLive(now time.Time) []Member {
	newest := make(map[place]*entry, len(t.entries))
	for _, e := range t.entries {
		if !t.live(e, now) {
			continue
		}
		p := place{e.Process.Host, e.Process.Role}
		if other, ok := newest[p]; !ok || t.supersedes(e, other) {
			newest[p] = e
		}
	}
	sorted := make([]*entry, 0, len(newest))
	for _, e := range newest {
		sorted = append(sorted, e)
	}
	sort.Slice(sorted, func(i, j int) bool { return before(&sorted[i].Member, &sorted[j].Member) })
	members := make([]Member, len(sorted))
	for i, e := range sorted {
		members[i] = e.Member
	}
	return members
}

// countKnown returns the numbers of hosts by role that are remembered.
func (t *Table) countKnown() map[machine.Role]int {
	hosts := make(map[place]bool, len(t.entries))
	known := map[machine.Role]int{}
	for _, e := range t.entries {
		p := place{e.Process.Host, e.Process.Role}
		if !e.Leaving && !hosts[p] {
			hosts[p] = true
			known[p.role]++
		}
	}
	return known
}

// place is a role on a host.
type place struct {
	host machine.HostID
	role machine.Role
}

// live tells whether an entry passes for live.
func (t *Table) live(e *entry, now time.Time) bool {
	if e == t.self {
		return true
	}
	if !e.doubted.IsZero() && now.Sub(e.doubted) > doubtGrace(len(t.entries)) {
		return false
	}
	return now.Sub(e.rose) <= FailureTimeout(len(t.entries))
}

// UnreachableTimeout is how long a process that fell silent may still run as far as
// this one can tell; after that it passes for ended.
const UnreachableTimeout = 90 * time.Second

// UnreachableMembers returns the records of processes with the role that do not pass for
// live, yet may run: they fell silent at most UnheardFor ago, did not say that
// they leave, and no other incarnation has taken their place.
func (t *Table) UnreachableMembers(now time.Time, role machine.Role) []Member {
	taken := map[place]bool{}
	for _, m := range t.Members(now) {
		taken[place{m.Process.Host, m.Process.Role}] = true
	}
	var unheard []Member
	for _, e := range t.entries {
		silent := e.Process.Role == role && !e.Leaving && now.Sub(e.rose) <= UnreachableTimeout
		if silent && !taken[place{e.Process.Host, role}] {
			unheard = append(unheard, e.Member)
		}
	}
	sort.Slice(unheard, func(i, j int) bool { return before(&unheard[i], &unheard[j]) })
	return unheard
}

// supersedes tells whether a takes the place of b.
func (t *Table) supersedes(a, b *entry) bool {
	if a == t.self || b == t.self {
		return a == t.self
	}
	if !a.rose.Equal(b.rose) {
		return a.rose.After(b.rose)
	}
	return a.Process.Incarnation > b.Process.Incarnation
}

// before orders records by host and role.
func before(a, b *Member) bool {
	if a.Process.Host != b.Process.Host {
		return a.Process.Host < b.Process.Host
	}
	return a.Process.Role < b.Process.Role
}

// HighestRevision returns the highest revision that any live process shows.
func (t *Table) HighestRevision(now time.Time) contract.Revision {
	highest := t.self.Revision
	for _, m := range t.Members(now) {
		highest = max(highest, m.Revision)
	}
	return highest
}

package membership

import (
	"sort"
	"time"

	"zinniapin/contract"
	"zinniapin/invariant"
	"zinniapin/machine"
	"zinniapin/wire"
)

// Table holds the records that one process has of all processes, itself
// included. It is not safe for concurrent use.
type Table struct {
	self         *entry
	entries      map[uint64]*entry // by incarnation
	tagCounts    map[uint32]int    // number of entries by the tag of the incarnation
	byTag        map[uint32]*entry // the last entry added with the tag
	version      uint64            // incremented by each change
	lastTick     time.Time         // time of the last Tick
	started      time.Time
	nextBeat     time.Time
	refutations  uint64 // result of Refutations
	stateVersion uint64 // incremented on each change that Members must return at once
	snapshot     snapshot
}

// snapshot holds the results of Members and KnownHostCount at one time.
type snapshot struct {
	stateVersion uint64
	at           time.Time
	members      []Member
	known        map[machine.Role]int
}

// maxSnapshotAge is how long a snapshot is reused while only beats change.
const maxSnapshotAge = time.Second

// entry is a record and when and how this process received it.
type entry struct {
	Member
	lastBeat           time.Time // local time of the last higher beat, pauses of this process discounted
	lastBeatUnadjusted time.Time // the same with pauses included; zero if no higher beat has come yet
	changed            uint64    // table version of the last change
	staticChanged      uint64    // table version of the last change of the static part (Process, Via)
	source             uint64    // incarnation of the peer that sent the last change; 0 if made here
	suspectedAt        time.Time // when it became suspected (wire: Doubted) at this beat; zero if not
	silentAt           time.Time // when a peer gave it out as failed, if its beat has not risen since; else zero
}

// New returns a table that holds only the record of this process. The
// incarnation of self must be unique.
func New(self Member, now time.Time) *Table {
	t := &Table{entries: map[uint64]*entry{}, tagCounts: map[uint32]int{}, byTag: map[uint32]*entry{}, lastTick: now, started: now, nextBeat: now}
	t.self = &entry{Member: self, lastBeat: now}
	t.add(t.self)
	t.markChanged(t.self, 0, true)
	return t
}

// markChanged gives an entry a new table version, so that Since returns it.
// static tells that the static part (Process, Via) has changed too.
func (t *Table) markChanged(e *entry, source uint64, static bool) {
	t.version++
	e.changed = t.version
	e.source = source
	if static {
		e.staticChanged = t.version
	}
}

// Update changes this process's own record. If that changes anything, it also
// increments the beat, so that the change spreads without waiting for the next
// heartbeat.
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
	t.stateVersion++
	t.markChanged(t.self, 0, static)
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

// Tick increments this process's beat when it is due and removes processes
// without a beat for forgetAfter. A gap of more than maxTickGap since the last
// tick (a pause of this process or a jump of its clock) does not count towards
// the timeouts of other processes.
func (t *Table) Tick(now time.Time) {
	gap := now.Sub(t.lastTick)
	if gap > maxTickGap || gap < 0 {
		t.discountGap(now, gap)
	}
	t.lastTick = now
	t.self.lastBeat = now
	if !t.self.Settled && now.Sub(t.started) > settleTime(len(t.entries)) {
		t.Update(func(m *Member) { m.Settled = true })
	}
	if !now.Before(t.nextBeat) {
		t.self.Beat++
		t.markChanged(t.self, 0, false)
		t.nextBeat = now.Add(BeatInterval(len(t.entries)))
	}
	for _, e := range t.entries {
		if now.Sub(e.lastBeat) > forgetAfter {
			t.remove(e)
		}
	}
}

// discountGap moves the recorded times forward by a gap in this process's own
// time, but not past now: times recorded after the gap stay as they are.
func (t *Table) discountGap(now time.Time, gap time.Duration) {
	t.stateVersion++
	for _, e := range t.entries {
		e.lastBeat = earlier(e.lastBeat.Add(gap), now)
		if !e.suspectedAt.IsZero() {
			e.suspectedAt = earlier(e.suspectedAt.Add(gap), now)
		}
		if !e.silentAt.IsZero() {
			e.silentAt = earlier(e.silentAt.Add(gap), now)
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

// Merge merges a record received from a peer. The record of a known process is
// applied if its beat is higher; at an equal beat only a suspicion is. Merge
// returns false when the process is unknown and the record compact, that is
// without Process and Via, so that the peer must send it in full.
func (t *Table) Merge(now time.Time, source uint64, w *wire.Member) bool {
	if w.Incarnation == t.self.Process.Incarnation {
		t.refute(w)
		return true
	}
	e, known := t.entries[w.Incarnation]
	full := w.Host != ""
	if !known {
		return t.insert(now, source, w, full)
	}
	if w.Beat == e.Beat && w.Doubted {
		t.suspect(now, e, source)
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
		t.stateVersion++
	}
	e.Member = m
	e.lastBeat = now
	e.lastBeatUnadjusted = now
	e.suspectedAt, e.silentAt = time.Time{}, time.Time{}
	t.markChanged(e, source, static)
	if w.Doubted {
		t.suspect(now, e, source)
	}
	return true
}

// sameState tells whether two records of a process are equal but for the beat.
func sameState(a, b *Member) bool {
	return a.Revision == b.Revision && a.Leaving == b.Leaving && a.StoreReachable == b.StoreReachable &&
		a.StoreFailed == b.StoreFailed && a.Settled == b.Settled && sameStrings(a.Via, b.Via)
}

// refute handles a record of this process that came from a peer. If the peer's
// beat is higher than any that this process gave out, it takes that beat over;
// if the process is suspected at its present beat, it increments the beat, which
// clears the suspicion at the others.
func (t *Table) refute(w *wire.Member) {
	if w.Beat > t.self.Beat {
		t.self.Beat = w.Beat
	}
	if w.Doubted && w.Beat == t.self.Beat {
		t.self.Beat++
		t.refutations++
		t.markChanged(t.self, 0, false)
	}
}

// Refutations returns how often this process incremented its beat because it
// was suspected.
func (t *Table) Refutations() uint64 {
	return t.refutations
}

// insert adds an unknown process; it returns false when the record is compact.
// A process that the peer considers failed is inserted as failed and counts as
// live only once its beat rises. When the table is full the record is dropped.
func (t *Table) insert(now time.Time, source uint64, w *wire.Member, full bool) bool {
	if !full {
		return false
	}
	if len(t.entries) >= maxMembers {
		return true
	}
	e := &entry{Member: FromWire(w), lastBeat: now}
	if w.Silent {
		e.lastBeat = now.Add(-FailureTimeout(maxMembers) - time.Second)
		e.silentAt = now
	}
	t.add(e)
	t.markChanged(e, source, true)
	return true
}

// Suspect marks a process as suspected because this process lost its link to
// it. The suspicion spreads; the other process refutes it with a higher beat, or
// counts as failed after suspicionTimeout.
func (t *Table) Suspect(now time.Time, incarnation uint64) {
	if e, ok := t.entries[incarnation]; ok && e != t.self {
		t.suspect(now, e, 0)
	}
}

// Suspected tells whether a process is suspected at its present beat.
func (t *Table) Suspected(incarnation uint64) bool {
	e, ok := t.entries[incarnation]
	return ok && !e.suspectedAt.IsZero()
}

// suspect marks an entry as suspected, once for each beat.
func (t *Table) suspect(now time.Time, e *entry, source uint64) {
	if !e.suspectedAt.IsZero() {
		return
	}
	e.suspectedAt = now
	t.stateVersion++
	t.markChanged(e, source, false)
}

// changeVersion returns the version by which Since orders the entry for a
// reader that has read up to version. A change of the static part that the
// reader lacks keeps its own place in that order, however often the beat changed
// since: a reader that has read up to a version has the static part of every
// entry whose static part last changed at or before it.
func (e *entry) changeVersion(version uint64) uint64 {
	if e.staticChanged > version {
		return e.staticChanged
	}
	return e.changed
}

// Size returns the number of processes in the table, failed ones included.
func (t *Table) Size() int {
	return len(t.entries)
}

// Self returns the record of this process.
func (t *Table) Self() Member {
	return t.self.Member
}

// Members returns the records of the live processes in order of host and role.
// Of several incarnations of a role on a host it returns the one whose beat rose
// last. Beats and expired timeouts may be up to maxSnapshotAge out of date. The
// caller must not change the records.
func (t *Table) Members(now time.Time) []Member {
	t.refreshSnapshot(now)
	return t.snapshot.members
}

// KnownHostCount returns the number of hosts with a process of the role in the
// table, live or failed, without those that are leaving. It may be up to
// maxSnapshotAge out of date.
func (t *Table) KnownHostCount(now time.Time, role machine.Role) int {
	t.refreshSnapshot(now)
	return t.snapshot.known[role]
}

// refreshSnapshot renews the snapshot if it is stale.
func (t *Table) refreshSnapshot(now time.Time) {
	age := now.Sub(t.snapshot.at)
	if t.snapshot.members != nil && t.snapshot.stateVersion == t.stateVersion && age >= 0 && age < maxSnapshotAge {
		return
	}
	t.snapshot = snapshot{stateVersion: t.stateVersion, at: now, members: t.listLive(now), known: t.countKnown()}
}

// listLive returns the records of live processes.
func (t *Table) listLive(now time.Time) []Member {
	newest := make(map[hostRole]*entry, len(t.entries))
	for _, e := range t.entries {
		if !t.live(e, now) {
			continue
		}
		p := hostRole{e.Process.Host, e.Process.Role}
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

// countKnown returns the numbers of hosts in the table by role, without those
// that are leaving.
func (t *Table) countKnown() map[machine.Role]int {
	hosts := make(map[hostRole]bool, len(t.entries))
	known := map[machine.Role]int{}
	for _, e := range t.entries {
		p := hostRole{e.Process.Host, e.Process.Role}
		if !e.Leaving && !hosts[p] {
			hosts[p] = true
			known[p.role]++
		}
	}
	return known
}

// hostRole identifies a process across its incarnations.
type hostRole struct {
	host machine.HostID
	role machine.Role
}

// live tells whether an entry counts as live: its beat rose within the failure
// timeout, and any suspicion is younger than the suspicion timeout.
func (t *Table) live(e *entry, now time.Time) bool {
	if e == t.self {
		return true
	}
	if !e.suspectedAt.IsZero() && now.Sub(e.suspectedAt) > suspicionTimeout(len(t.entries)) {
		return false
	}
	return now.Sub(e.lastBeat) <= FailureTimeout(len(t.entries))
}

// supersedes tells whether a rather than b is the present incarnation of a role
// on a host.
func (t *Table) supersedes(a, b *entry) bool {
	if a == t.self || b == t.self {
		return a == t.self
	}
	if !a.lastBeat.Equal(b.lastBeat) {
		return a.lastBeat.After(b.lastBeat)
	}
	return a.Process.Incarnation > b.Process.Incarnation
}

// HighestRevision returns the highest configuration revision of any live
// process.
func (t *Table) HighestRevision(now time.Time) contract.Revision {
	highest := t.self.Revision
	for _, m := range t.Members(now) {
		highest = max(highest, m.Revision)
	}
	return highest
}

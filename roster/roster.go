// Package roster holds the set of targets that the platform's store lists. Complete
// lists and single changes are applied with the store's revision; a list or an entry
// older than the one held is ignored.
package roster

import (
	"sort"
	"time"

	"zinniapin/store"
	"zinniapin/target"
	"zinniapin/zone"
)

// Target is a back end, as described by its entry in the store.
type Target struct {
	ID      target.ID `json:"id"`
	Service string    `json:"service"`
	// Address is IP:port. After the target has ended, the platform may reuse it for
	// a target of another service.
	Address string    `json:"address"`
	Zone    zone.Name `json:"zone"`
	// Version is the version of the target's software. Targets of several versions may serve
	// one service.
	Version string      `json:"version,omitempty"`
	Slots   int         `json:"slots"`
	Role    target.Role `json:"role,omitempty"` // of an engine; empty for other targets
	// Draining is set when the target is about to end and gets no new work.
	Draining bool `json:"draining,omitempty"`
	// Reclaimable is set for a cheap target that the platform may take back at
	// short notice.
	Reclaimable bool `json:"reclaimable,omitempty"`
	// StartedMillis is when the target started, in milliseconds of Unix time; 0 if
	// unknown. It distinguishes a restarted target with the same id.
	StartedMillis int64 `json:"born,omitempty"`
	// LeavesMillis is the time until a draining target ends, in milliseconds as of when its entry was
	// read; 0 if the entry does not state it.
	LeavesMillis int64 `json:"leaves_ms,omitempty"`
}

// MaxLeavesMillis bounds Target.LeavesMillis.
const MaxLeavesMillis = 24 * 60 * 60 * 1000

// Entry is a target with the store's revision of its last change.
type Entry struct {
	Target   Target `json:"target"`
	Revision uint64 `json:"revision"`
	// readAt is when the entry was read; zero if the target states no time left.
	readAt time.Time
}

// AsOf returns the entry with the time that its target has left at a later time, for a snapshot to a peer.
func (e Entry) AsOf(now time.Time) Entry {
	if e.Target.LeavesMillis > 0 {
		e.Target.LeavesMillis = max(e.Target.LeavesMillis-now.Sub(e.readAt).Milliseconds(), 1)
	}
	return e
}

// ReappearTimeout is how long a target whose entry is missing after an outage of the
// store is kept. The platform promises that an entry that lapsed during an outage is
// written again within this time, if its target still runs.
const ReappearTimeout = 2 * time.Second

// Roster is the set of known targets. It is not safe for concurrent use.
type Roster struct {
	targets map[target.ID]Entry
	// missing are the targets whose entries were absent after an outage, each with
	// the time until which it is kept.
	missing map[target.ID]time.Time
	// revision is the store's revision up to which the set is complete.
	revision uint64
	// changed is the revision of the last change of the set.
	changed uint64
	synced  bool
	// copiedUpTo is the revision of the first list after the store came back from an older copy; what
	// it holds up to there may be from the copy.
	copiedUpTo uint64
	// left are the targets whose entries were removed lately, so that a store that comes back from
	// an older copy does not bring them back.
	left map[target.ID]departure
	// version counts the changes of the set in this process.
	version uint64
}

// departure is which incarnation of a target left, and when it is forgotten.
type departure struct {
	startedMillis int64
	until         time.Time
}

// departureTTL is how long a target that left is remembered. A copy of the store is some seconds old.
const departureTTL = time.Minute

// New returns an empty roster.
func New() *Roster {
	return &Roster{targets: make(map[target.ID]Entry), missing: make(map[target.ID]time.Time), left: make(map[target.ID]departure)}
}

// HasSynced reports whether a list has been applied.
func (r *Roster) HasSynced() bool { return r.synced }

// Revision returns the store's revision up to which the roster is complete.
func (r *Roster) Revision() uint64 { return r.revision }

// ChangedRevision returns the store's revision of the last change of the set.
func (r *Roster) ChangedRevision() uint64 { return r.changed }

// Version returns the number of changes of the set in this process.
func (r *Roster) Version() uint64 { return r.version }

// ApplyList applies a complete list as of a revision. Targets absent from it are
// removed; if afterOutage is set, those that are not draining are kept for
// ReappearTimeout. It returns false, and changes nothing, if the list is older than
// the roster.
func (r *Roster) ApplyList(now time.Time, entries []Entry, revision uint64, afterOutage bool) bool {
	if r.synced && revision < r.revision {
		return false
	}
	if r.synced && store.EraOf(revision) > store.EraOf(r.revision) {
		r.copiedUpTo = revision
		afterOutage = true // targets that the copy lacks write their entries again
	}
	listed := make(map[target.ID]bool, len(entries))
	for _, e := range entries {
		listed[e.Target.ID] = true
		r.put(now, e)
	}
	for id, e := range r.targets {
		if listed[id] {
			continue
		}
		_, awaited := r.missing[id]
		if afterOutage && !awaited && !e.Target.Draining {
			r.missing[id] = now.Add(ReappearTimeout)
			awaited = true
		}
		if awaited {
			continue // Expire removes it in time
		}
		r.remove(now, id, revision)
	}
	r.revision, r.synced = revision, true
	return true
}

// takenBack tells whether an entry says that a target which left, or which is draining, serves again
// without having been started anew. A store that came back from an older copy lists such entries.
func (r *Roster) takenBack(e Entry) (left, draining bool) {
	if e.Revision > r.copiedUpTo {
		return false, false
	}
	if d, ok := r.left[e.Target.ID]; ok && d.startedMillis == e.Target.StartedMillis {
		return true, false
	}
	known, ok := r.targets[e.Target.ID]
	return false, ok && known.Target.Draining && !e.Target.Draining && known.Target.StartedMillis == e.Target.StartedMillis
}

// ApplyChange applies one change of an entry: its new state, or its deletion. A
// change older than the entry held is ignored.
func (r *Roster) ApplyChange(now time.Time, e Entry, deleted bool) {
	if e.Revision <= r.revision && e.Revision != 0 && r.synced {
		if current, ok := r.targets[e.Target.ID]; ok && current.Revision >= e.Revision {
			return
		}
	}
	if deleted {
		r.remove(now, e.Target.ID, e.Revision)
		return
	}
	r.put(now, e)
}

// AdvanceRevision marks the set as complete up to a revision.
func (r *Roster) AdvanceRevision(revision uint64) {
	r.revision = max(r.revision, revision)
}

// put adds or replaces an entry, unless the one held is newer.
func (r *Roster) put(now time.Time, e Entry) {
	left, draining := r.takenBack(e)
	if left {
		return
	}
	if draining {
		e.Target.Draining = true
	}
	delete(r.missing, e.Target.ID)
	delete(r.left, e.Target.ID)
	current, ok := r.targets[e.Target.ID]
	if ok && current.Revision > e.Revision {
		return
	}
	if ok && current.Revision == e.Revision && current.Target.LeavesMillis > 0 {
		// The time left counts from the first reading of a revision. A peer's snapshot states another one,
		// or none if the peer is of a build without it.
		e.Target.LeavesMillis, e.readAt = current.Target.LeavesMillis, current.readAt
	} else if e.Target.LeavesMillis > 0 {
		e.readAt = now
	}
	if !ok || current.Target != e.Target {
		r.version++
		r.changed = max(r.changed, e.Revision)
	}
	r.targets[e.Target.ID] = e
}

// remove removes a target from the set, as of a revision, if the set contains it.
func (r *Roster) remove(now time.Time, id target.ID, revision uint64) {
	delete(r.missing, id)
	e, ok := r.targets[id]
	if !ok {
		return
	}
	delete(r.targets, id)
	r.left[id] = departure{e.Target.StartedMillis, now.Add(departureTTL)}
	r.version++
	r.changed = max(r.changed, revision)
}

// Expire removes the targets whose entries did not reappear in time after an outage,
// and returns their ids.
func (r *Roster) Expire(now time.Time) []target.ID {
	var expired []target.ID
	for id, until := range r.missing {
		if !now.Before(until) {
			expired = append(expired, id)
		}
	}
	for _, id := range expired {
		r.remove(now, id, r.revision)
	}
	for id, d := range r.left {
		if !now.Before(d.until) {
			delete(r.left, id)
		}
	}
	return expired
}

// Forget removes a target that was found to have ended, for example because another
// target answers at its address. A later change of its entry adds it again.
func (r *Roster) Forget(now time.Time, id target.ID) {
	r.remove(now, id, r.changed)
}

// Targets returns all targets, ordered by id.
func (r *Roster) Targets() []Target {
	all := make([]Target, 0, len(r.targets))
	for _, e := range r.targets {
		all = append(all, e.Target)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}

// Entries returns all entries, ordered by id, for snapshots to peers.
func (r *Roster) Entries() []Entry {
	all := make([]Entry, 0, len(r.targets))
	for _, e := range r.targets {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Target.ID < all[j].Target.ID })
	return all
}

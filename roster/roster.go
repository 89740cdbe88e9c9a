// Package roster keeps the targets that the platform lists, by watching a
// collection of entries. Its core takes whole lists and single changes with
// the revision that they belong to, and never goes back to an older one.
package roster

import (
	"sort"
	"time"

	"zinniapin/target"
	"zinniapin/zone"
)

// Target is one start of a back end as its entry describes it.
type Target struct {
	ID      target.ID `json:"id"`
	Service string    `json:"service"`
	// Address is IP:port. It may be given to a target of another service after
	// this one has ended.
	Address string      `json:"address"`
	Zone    zone.Name   `json:"zone"`
	Slots   int         `json:"slots"`
	Role    target.Role `json:"role,omitempty"` // of engines
	// Draining targets end soon and get no new work.
	Draining bool `json:"draining,omitempty"`
	// Reclaimable targets are cheap and may be taken at short notice.
	Reclaimable bool `json:"reclaimable,omitempty"`
	// StartedMillis is when the target started, in milliseconds of Unix time; 0 when it
	// does not say. It tells a restart under the same id.
	StartedMillis int64 `json:"born,omitempty"`
}

// Entry is a target with the revision of its entry's last change.
type Entry struct {
	Target   Target `json:"target"`
	Revision uint64 `json:"revision"`
}

// ReappearTimeout is how long after an outage of the store an entry may take to
// come back before its target passes for gone. Source: the platform's promise
// for entries that lapsed while it was away.
const ReappearTimeout = 2 * time.Second

// Roster is the set of known targets. It is not safe for concurrent use.
type Roster struct {
	targets map[target.ID]Entry
	// missing are targets whose entries were absent after an outage, with the
	// time until which they are still used.
	missing map[target.ID]time.Time
	// revision is the newest revision that the set is complete for.
	revision uint64
	// changed is the revision at which the set changed last.
	changed uint64
	known   bool
	// version counts changes of the set in this process.
	version uint64
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{targets: make(map[target.ID]Entry), missing: make(map[target.ID]time.Time)}
}

// HasSynced tells whether a list was ever applied.
func (r *Roster) HasSynced() bool { return r.known }

// Revision returns the newest revision that the roster is complete for.
func (r *Roster) Revision() uint64 { return r.revision }

// ChangedRevision returns the revision at which the set changed last.
func (r *Roster) ChangedRevision() uint64 { return r.changed }

// Version counts the changes of the set in this process.
func (r *Roster) Version() uint64 { return r.version }

// ApplyList applies a whole list as of a revision. Entries absent from it are
// dropped, or, where afterOutage is set, kept until ReturnTime has passed. It
// returns false when the list is older than the roster.
func (r *Roster) ApplyList(now time.Time, entries []Entry, revision uint64, afterOutage bool) bool {
	if r.known && revision < r.revision {
		return false
	}
	listed := make(map[target.ID]bool, len(entries))
	for _, e := range entries {
		listed[e.Target.ID] = true
		r.put(e)
	}
	for id, e := range r.targets {
		if listed[id] {
			continue
		}
		if afterOutage && !e.Target.Draining {
			if _, noted := r.missing[id]; !noted {
				r.missing[id] = now.Add(ReappearTimeout)
			}
			continue
		}
		r.remove(id, revision)
	}
	r.revision, r.known = revision, true
	return true
}

// ApplyChange applies one change of an entry: its new state, or its end.
func (r *Roster) ApplyChange(e Entry, ended bool) {
	if e.Revision <= r.revision && e.Revision != 0 && r.known {
		if held, ok := r.targets[e.Target.ID]; ok && held.Revision >= e.Revision {
			return
		}
	}
	if ended {
		r.remove(e.Target.ID, e.Revision)
		return
	}
	r.put(e)
}

// AdvanceRevision notes that the set is complete up to a revision.
func (r *Roster) AdvanceRevision(revision uint64) {
	r.revision = max(r.revision, revision)
}

// put adds or replaces an entry that is not older than the one held.
func (r *Roster) put(e Entry) {
	delete(r.missing, e.Target.ID)
	held, ok := r.targets[e.Target.ID]
	if ok && held.Revision > e.Revision {
		return
	}
	if !ok || held.Target != e.Target {
		r.version++
		r.changed = max(r.changed, e.Revision)
	}
	r.targets[e.Target.ID] = e
}

// remove drops an entry.
func (r *Roster) remove(id target.ID, revision uint64) {
	delete(r.missing, id)
	if _, ok := r.targets[id]; !ok {
		return
	}
	delete(r.targets, id)
	r.version++
	r.changed = max(r.changed, revision)
}

// Expire drops targets that did not come back after an outage and returns
// their ids.
func (r *Roster) Expire(now time.Time) []target.ID {
	var gone []target.ID
	for id, until := range r.missing {
		if !now.Before(until) {
			gone = append(gone, id)
		}
	}
	for _, id := range gone {
		r.remove(id, r.revision)
	}
	return gone
}

// Forget drops a target that was found to have ended, such as one whose
// address answers for another. A later entry brings it back.
func (r *Roster) Forget(id target.ID) {
	r.remove(id, r.changed)
}

// Targets returns all known targets, ordered by id.
func (r *Roster) Targets() []Target {
	all := make([]Target, 0, len(r.targets))
	for _, e := range r.targets {
		all = append(all, e.Target)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID < all[j].ID })
	return all
}

// Entries returns all entries, for a peer that cannot reach the store.
func (r *Roster) Entries() []Entry {
	all := make([]Entry, 0, len(r.targets))
	for _, e := range r.targets {
		all = append(all, e)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Target.ID < all[j].Target.ID })
	return all
}

package roster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "zinniapin/internal/fixedseed"
	"zinniapin/roster"
	"zinniapin/store"
	"zinniapin/target"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// entry returns an entry of a target with a revision.
func entry(id string, revision uint64, draining bool) roster.Entry {
	return roster.Entry{Target: roster.Target{ID: target.ID(id), Service: "s", Address: "127.0.0.1:1", Draining: draining}, Revision: revision}
}

// targetIDs returns the ids of all targets, each draining one followed by "!".
func targetIDs(r *roster.Roster) string {
	s := ""
	for _, t := range r.Targets() {
		s += string(t.ID)
		if t.Draining {
			s += "!"
		}
	}
	return s
}

func TestOlderListChangesNothing(t *testing.T) {
	is := is.New(t)
	r := roster.New()
	is.True(r.ApplyList(start, []roster.Entry{entry("a", 5, false), entry("b", 6, true)}, 9, false))
	is.True(!r.ApplyList(start, []roster.Entry{entry("a", 5, false), entry("b", 4, false)}, 8, false))
	is.Equal(targetIDs(r), "ab!")
}

// An older entry that arrives late does not undo the draining state of a target.
func TestDrainingIsNotTakenBack(t *testing.T) {
	is := is.New(t)
	r := roster.New()
	r.ApplyList(start, []roster.Entry{entry("a", 5, false)}, 5, false)
	r.ApplyChange(start, entry("a", 7, true), false)
	r.ApplyChange(start, entry("a", 6, false), false)
	is.Equal(targetIDs(r), "a!")
}

// Unless the store had an outage, a target that is absent from a list is removed at once.
func TestTargetAbsentFromListIsRemoved(t *testing.T) {
	is := is.New(t)
	r := roster.New()
	r.ApplyList(start, []roster.Entry{entry("a", 5, false), entry("b", 5, false)}, 5, false)
	r.ApplyList(start, []roster.Entry{entry("b", 5, false)}, 8, false)
	is.Equal(targetIDs(r), "b")
	is.Equal(r.ChangedRevision(), uint64(8))
}

// Targets whose entries lapsed during an outage of the store stay in use for two
// seconds, in which their entries may reappear.
func TestLapsedEntriesMayComeBack(t *testing.T) {
	is := is.New(t)
	r := roster.New()
	r.ApplyList(start, []roster.Entry{entry("a", 5, false), entry("b", 5, false), entry("c", 5, true)}, 5, false)
	r.ApplyList(start, nil, 9, true)
	is.Equal(targetIDs(r), "ab") // the draining target is removed at once
	r.ApplyChange(start, entry("a", 12, false), false)
	is.Equal(len(r.Expire(start.Add(time.Second))), 0)
	is.Equal(len(r.Expire(start.Add(2*time.Second))), 1)
	is.Equal(targetIDs(r), "a")
}

// A deletion that a watch reports removes the target at once, even after an outage.
func TestWatchedDeletionCountsAtOnce(t *testing.T) {
	is := is.New(t)
	r := roster.New()
	r.ApplyList(start, []roster.Entry{entry("a", 5, false)}, 5, false)
	r.ApplyList(start, nil, 9, true)
	r.ApplyChange(start, entry("a", 11, false), true)
	is.Equal(targetIDs(r), "")
}

func TestForgottenTargetComesBackByANewEntry(t *testing.T) {
	is := is.New(t)
	r := roster.New()
	r.ApplyList(start, []roster.Entry{entry("a", 5, false)}, 5, false)
	r.Forget(start, "a")
	is.Equal(targetIDs(r), "")
	r.ApplyChange(start, entry("a", 6, false), false)
	is.Equal(targetIDs(r), "a")
}

// Whatever the order of lists and changes, a roster that has received everything up
// to a revision equals the store.
func TestRosterFollowsTheStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := make(map[string]roster.Entry)
		r := roster.New()
		var revision, seen uint64
		type change struct {
			entry roster.Entry
			ended bool
		}
		var history []change
		list := func() []roster.Entry {
			var all []roster.Entry
			for _, e := range store {
				all = append(all, e)
			}
			return all
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				revision++
				name := fmt.Sprint(rapid.IntRange(0, 4).Draw(t, "target"))
				e := entry(name, revision, rapid.Bool().Draw(t, "draining"))
				_, exists := store[name]
				ended := exists && rapid.Bool().Draw(t, "ended")
				if ended {
					delete(store, name)
				} else {
					store[name] = e
				}
				history = append(history, change{e, ended})
			case 2:
				for _, c := range history {
					if c.entry.Revision > seen {
						r.ApplyChange(start, c.entry, c.ended)
					}
				}
				r.AdvanceRevision(revision)
				seen = revision
			case 3:
				r.ApplyList(start, list(), revision, false)
				seen = revision
			}
		}
		r.ApplyList(start, list(), revision, false)
		if len(r.Targets()) != len(store) {
			t.Fatalf("the roster has %s, the store has %d targets", targetIDs(r), len(store))
		}
		for _, known := range r.Targets() {
			if store[string(known.ID)].Target != known {
				t.Fatalf("%+v differs from the store", known)
			}
		}
	})
}

// bornEntry returns the entry of an incarnation of a target in an era of the store.
func bornEntry(id string, era, revision uint64, draining bool, millis int64) roster.Entry {
	e := entry(id, store.RevisionIn(era, revision), draining)
	e.Target.StartedMillis = millis
	return e
}

// The store comes back from an older copy and gives its revisions out again. The roster follows the new
// era; what the copy takes back stays as it was acknowledged until the target is started anew.
func TestRosterFollowsAStoreThatComesBackFromACopy(t *testing.T) {
	is := is.New(t)
	r := roster.New()
	at := store.RevisionIn
	r.ApplyList(start, []roster.Entry{bornEntry("left", 1, 5, false, 1), bornEntry("draining", 1, 6, false, 1), bornEntry("stays", 1, 7, false, 1), bornEntry("newer", 1, 9, false, 1)}, at(1, 9), false)
	r.ApplyChange(start, bornEntry("left", 1, 10, false, 1), true)
	r.ApplyChange(start, bornEntry("draining", 1, 11, true, 1), false)
	copied := []roster.Entry{bornEntry("left", 2, 5, false, 1), bornEntry("draining", 2, 6, false, 1), bornEntry("stays", 2, 7, false, 1)}
	for range 2 { // it is listed again in the same era
		is.True(r.ApplyList(start, copied, at(2, 7), false))
		is.Equal(targetIDs(r), "draining!newerstays")
	}
	is.True(!r.ApplyList(start, nil, at(1, 20), false)) // a late answer of the era before
	is.Equal(len(r.Expire(start.Add(roster.ReappearTimeout))), 1)
	is.Equal(targetIDs(r), "draining!stays")
	r.ApplyChange(start, bornEntry("left", 2, 8, false, 2), false)
	r.ApplyChange(start, bornEntry("draining", 2, 9, false, 2), false)
	is.Equal(targetIDs(r), "drainingleftstays")
}

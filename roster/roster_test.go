package roster_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "zinniapin/internal/fixedseed"
	"zinniapin/roster"
	"zinniapin/target"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// entry returns an entry of a target at a revision.
func entry(id string, revision uint64, draining bool) roster.Entry {
	return roster.Entry{Target: roster.Target{ID: target.ID(id), Service: "s", Address: "127.0.0.1:1", Draining: draining}, Revision: revision}
}

// ids returns the ids of the known targets.
func ids(r *roster.Roster) string {
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
	is.Equal(ids(r), "ab!")
}

// A target that reported its leaving does not come back by an older entry.
func TestDrainingIsNotTakenBack(t *testing.T) {
	is := is.New(t)
	r := roster.New()
	r.ApplyList(start, []roster.Entry{entry("a", 5, false)}, 5, false)
	r.ApplyChange(entry("a", 7, true), false)
	r.ApplyChange(entry("a", 6, false), false)
	is.Equal(ids(r), "a!")
}

func TestEntryThatIsMissingInCalmIsGone(t *testing.T) {
	is := is.New(t)
	r := roster.New()
	r.ApplyList(start, []roster.Entry{entry("a", 5, false), entry("b", 5, false)}, 5, false)
	r.ApplyList(start, []roster.Entry{entry("b", 5, false)}, 8, false)
	is.Equal(ids(r), "b")
	is.Equal(r.ChangedRevision(), uint64(8))
}

// Entries that lapsed while the store was away may come back for two seconds;
// the targets are used meanwhile.
func TestLapsedEntriesMayComeBack(t *testing.T) {
	is := is.New(t)
	r := roster.New()
	r.ApplyList(start, []roster.Entry{entry("a", 5, false), entry("b", 5, false), entry("c", 5, true)}, 5, false)
	r.ApplyList(start, nil, 9, true)
	is.Equal(ids(r), "ab") // one that was leaving is gone
	r.ApplyChange(entry("a", 12, false), false)
	is.Equal(len(r.Expire(start.Add(time.Second))), 0)
	is.Equal(len(r.Expire(start.Add(2*time.Second))), 1)
	is.Equal(ids(r), "a")
}

// A deletion that is seen in a watch counts at once, also after an outage.
func TestSeenDeletionCountsAtOnce(t *testing.T) {
	is := is.New(t)
	r := roster.New()
	r.ApplyList(start, []roster.Entry{entry("a", 5, false)}, 5, false)
	r.ApplyList(start, nil, 9, true)
	r.ApplyChange(entry("a", 11, false), true)
	is.Equal(ids(r), "")
}

func TestForgottenTargetComesBackByANewEntry(t *testing.T) {
	is := is.New(t)
	r := roster.New()
	r.ApplyList(start, []roster.Entry{entry("a", 5, false)}, 5, false)
	r.Forget("a")
	is.Equal(ids(r), "")
	r.ApplyChange(entry("a", 6, false), false)
	is.Equal(ids(r), "a")
}

// Whatever the order in which a watch and peers tell, a roster that has heard
// everything up to a revision equals the store.
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
						r.ApplyChange(c.entry, c.ended)
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
			t.Fatalf("%s of %d", ids(r), len(store))
		}
		for _, known := range r.Targets() {
			if store[string(known.ID)].Target != known {
				t.Fatalf("%+v differs", known)
			}
		}
	})
}

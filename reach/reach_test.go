package reach_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/reach"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newTable returns a table with targets a, b, c and so on.
func newTable(targets int) (*reach.Table, []string) {
	t := reach.New(1)
	var all []string
	for i := range targets {
		all = append(all, string(rune('a'+i)))
	}
	t.SetTargets(listed(all...))
	return t, all
}

// listed returns targets of one group.
func listed(addresses ...string) []reach.Target {
	var all []reach.Target
	for _, a := range addresses {
		all = append(all, reach.Target{Address: a})
	}
	return all
}

// A target that nobody reaches is at fault itself, and leaves the links to others as they are.
func TestTargetThatNobodyReachesLosesNoLink(t *testing.T) {
	is := is.New(t)
	table, _ := newTable(3)
	is.True(!table.Failed("a"))
	is.True(!table.Failed("b"))
	table.Connected(start, "c")
	is.True(!table.Failed("a"))
	is.Equal(len(table.Lost()), 0)
	is.Equal(table.Probes(start), nil)
}

// Once one link is lost, all others are tried within half a second, and those that fail count as lost without asking
// another host.
func TestAllLinksAreTriedOnceOneIsLost(t *testing.T) {
	is := is.New(t)
	table, all := newTable(20)
	is.True(table.Bypassed("a"))
	is.True(!table.Bypassed("a"))
	now := start
	for range 5 {
		for _, p := range table.Probes(now) {
			if p < "f" {
				table.Failed(p)
			} else {
				table.Connected(now, p)
			}
		}
		now = now.Add(100 * time.Millisecond)
	}
	for _, a := range all {
		is.Equal(table.IsLost(a), a < "f")
	}
}

// A link that is back brings the others back for a try, since a partition ends for all at once.
func TestLinksComeBackTogether(t *testing.T) {
	is := is.New(t)
	table, _ := newTable(4)
	table.Bypassed("a")
	table.Bypassed("b")
	now := start
	tried := make(map[string]bool)
	for range 30 { // a lost link is tried again twice a second
		now = now.Add(100 * time.Millisecond)
		for _, p := range table.Probes(now) {
			tried[p] = true
		}
	}
	is.True(tried["a"])
	is.True(tried["b"])
	is.True(!table.Connected(now, "c")) // it was never lost
	is.True(table.IsLost("a"))
	is.True(table.Connected(now, "a"))
	is.Equal(len(table.Lost()), 0)
}

// A host without any other that could tell takes its links for lost only if it reaches no target at all.
func TestHostThatReachesNoTargetHasLostAllLinks(t *testing.T) {
	is := is.New(t)
	table, all := newTable(6)
	table.Failed("a")
	is.Equal(table.Probes(start), nil)
	table.Failed("b")
	news, now := false, start
	for range 3 {
		for _, p := range table.Probes(now) {
			news = table.Failed(p) || news
		}
		now = now.Add(100 * time.Millisecond)
	}
	is.True(news)
	is.Equal(len(table.Lost()), len(all))
	_, known := table.Comparable("a")
	is.True(!known) // so a target that fails is not at fault
	is.True(table.Connected(now, "c"))
	is.Equal(len(table.Lost()), 0)
}

// The only target of a host that cannot be connected to is at fault.
func TestOnlyTargetIsNotALostLink(t *testing.T) {
	is := is.New(t)
	table, _ := newTable(1)
	is.True(!table.Failed("a"))
	is.True(!table.IsLost("a"))
	others, known := table.Comparable("a")
	is.Equal(len(others), 0)
	is.True(known)
}

// Targets that are gone are forgotten with what is known of their links.
func TestTargetsThatAreGoneAreForgotten(t *testing.T) {
	is := is.New(t)
	table, _ := newTable(3)
	table.Bypassed("a")
	is.True(table.SetTargets(listed("b", "c")))
	is.Equal(len(table.Lost()), 0)
	is.True(!table.SetTargets(listed("a", "b", "c")))
	is.True(!table.IsLost("a"))
}

// A silent target is checked once a second, and not at all once its link is known to be lost.
func TestSilentTargetsAreCheckedSeldom(t *testing.T) {
	is := is.New(t)
	table, _ := newTable(3)
	is.True(table.MayCheck(start, "a"))
	is.True(!table.MayCheck(start.Add(900*time.Millisecond), "a"))
	is.True(table.MayCheck(start.Add(time.Second), "a"))
	table.Bypassed("b")
	is.True(!table.MayCheck(start, "b"))
}

// Hosts of the own zone are asked first, then those of the target's, at random among each, and those that were of no
// use lately not at all.
func TestHostsAreAskedByZone(t *testing.T) {
	is := is.New(t)
	table, _ := newTable(2)
	var all []reach.Host
	for i := range 12 {
		all = append(all, reach.Host{Address: fmt.Sprint(i), Zone: []string{"other", "target", "own"}[i%3]})
	}
	firsts := make(map[string]bool)
	for range 100 {
		order := table.Order(start, "a", all, "own", "target")
		is.Equal(len(order), 12)
		for i, h := range order {
			is.Equal(h.Zone, []string{"own", "target", "other"}[i/4])
		}
		firsts[order[0].Address] = true
	}
	is.Equal(len(firsts), 4)
	table.HasNoWay(start, "2", "a")
	table.DoesNotAnswer(start, "5")
	table.HasNoLinks(start, "8")
	table.Helped(start, "11")
	order := table.Order(start.Add(500*time.Millisecond), "a", all, "own", "target")
	is.True(!slices.ContainsFunc(order, func(h reach.Host) bool { return h.Address == "2" || h.Address == "5" || h.Address == "8" }))
	is.Equal(order[0].Address, "11") // it helped
	other := table.Order(start.Add(500*time.Millisecond), "b", all, "own", "target")
	is.True(slices.ContainsFunc(other, func(h reach.Host) bool { return h.Address == "2" })) // it may reach another target
	is.Equal(len(table.Order(start, "a", make([]reach.Host, 20), "own", "target")), 12)
	later := table.Order(start.Add(1500*time.Millisecond), "a", all, "own", "target")
	is.True(slices.ContainsFunc(later, func(h reach.Host) bool { return h.Address == "2" }))
	is.True(slices.ContainsFunc(later, func(h reach.Host) bool { return h.Address == "8" }))
	is.True(!slices.ContainsFunc(later, func(h reach.Host) bool { return h.Address == "5" }))
}

// The links to targets of one service may be lost while those to others work: a target is compared with others of its
// service, if there are any.
func TestTargetsAreComparedWithinTheirGroup(t *testing.T) {
	is := is.New(t)
	table := reach.New(1)
	table.SetTargets([]reach.Target{{"e1", "engines"}, {"e2", "engines"}, {"e3", "engines"}, {"d1", "desk"}, {"d2", "desk"}, {"s1", "single"}})
	table.Connected(start, "d1")
	is.True(table.Proven(start.Add(-time.Millisecond), "d2"))
	is.True(!table.Proven(start, "d2")) // the links may have been lost since
	is.True(!table.Proven(start.Add(-time.Millisecond), "e1"))
	others, known := table.Comparable("e1")
	slices.Sort(others)
	is.Equal(others, []string{"e2", "e3"})
	is.True(known)
	others, _ = table.Comparable("s1")
	is.Equal(len(others), 3)
	table.Bypassed("e2")
	table.Bypassed("e3")
	others, known = table.Comparable("e1")
	is.Equal(len(others), 0)
	is.True(!known)
}

// Each group has a state of its own.
func TestLinksOfAGroupAreLostAndComeBackAlone(t *testing.T) {
	is := is.New(t)
	table := reach.New(1)
	table.SetTargets([]reach.Target{{"e1", "engines"}, {"e2", "engines"}, {"d1", "desk"}, {"d2", "desk"}})
	table.Failed("e1")
	table.Connected(start, "d1")
	is.True(table.Failed("e2")) // so all engines are out of reach
	is.True(!table.Failed("d2"))
	is.Equal(len(table.Lost()), 2)
	is.True(!table.AllLost())
	table.Failed("d1")
	is.True(table.AllLost())
	is.Equal(len(table.Probes(start.Add(time.Second))), 2) // one of each group
	is.True(table.Connected(start, "d2"))
	is.True(table.IsLost("e1"))
	is.True(!table.IsLost("d1"))
}

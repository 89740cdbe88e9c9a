package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/dispatch"
	"zinniapin/roster"
	"zinniapin/target"
)

// limitedFleet returns the planners of so many hosts that have known of each other for a minute. Their clocks differ by up to
// 100 ms.
func limitedFleet(hosts int, all []roster.Target) []*dispatch.Planner {
	var names []string
	for i := range hosts {
		names = append(names, fmt.Sprint("h-", i))
	}
	var fleet []*dispatch.Planner
	for i, name := range names {
		p := dispatch.New(dispatch.DefaultPolicy(), "a", uint64(i))
		p.SetTargets(start, all)
		known := start.Add(-time.Minute)
		p.SetFleet(known, known.Add(time.Duration(i%100)*time.Millisecond), name, names)
		fleet = append(fleet, p)
	}
	return fleet
}

// All targets of a service take less than comes. Callers are refused at once, and told to come back when a
// target takes a request again.
func TestCallersOfTargetsAtTheirLimitAreToldWhenToComeBack(t *testing.T) {
	is := is.New(t)
	a := born("a", 1000)
	p := limitedFleet(1, []roster.Target{a})[0]
	is.True(p.SetLimit(start, a, 0.5, true))
	is.True(!p.SetLimit(start, a, 0.5, true)) // known already
	d := p.Plan(start, plainJob, nil)
	is.True(d.Refused())
	is.Equal(d.Reason, dispatch.TargetsPaused)
	is.True(d.RetryAfter >= 2*time.Second && d.RetryAfter <= 4*time.Second)
	is.Equal(p.Plan(start.Add(2100*time.Millisecond), plainJob, nil).Target.ID, a.ID)
}

// A host that has just started takes itself for the only one at first. It learns the limit of a target then, and
// sends nothing there until it knows the others; hosts that it hears of late start that time again.
func TestHostThatStartsWaitsUntilItKnowsTheFleet(t *testing.T) {
	is := is.New(t)
	a := born("a", 1000)
	p := planner([]roster.Target{a}, 1)
	p.SetLimit(start, a, 100, true)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	is.True(p.Plan(start, plainJob, nil).Refused())
	p.SetFleet(start, start, "h-0", nil)
	is.True(p.Plan(at(time.Second), plainJob, nil).Refused())
	p.SetFleet(at(time.Second), at(time.Second), "h-0", []string{"h-0", "h-1", "h-2"})
	d := p.Plan(at(3900*time.Millisecond), plainJob, nil)
	is.True(d.Refused() && d.RetryAfter >= 100*time.Millisecond)
	is.True(!p.Plan(at(4100*time.Millisecond), plainJob, nil).Refused())
}

// Hosts that fall silent may have crashed or be cut off, and may go on sending. They keep their share.
func TestLostHostsKeepTheirShareOfALimit(t *testing.T) {
	is := is.New(t)
	a := born("a", 1000)
	p := limitedFleet(10, []roster.Target{a})[0]
	p.SetFleet(start, start, "h-0", nil)
	p.SetLimit(start, a, 100, true)
	sent := 0
	for step := range 1000 {
		now := start.Add(time.Duration(step) * 10 * time.Millisecond)
		if d := p.Plan(now, plainJob, nil); !d.Refused() {
			p.End(p.Begin(now, a.ID, plainJob, 0))
			sent++
		}
	}
	is.True(sent > 80 && sent <= 101) // a tenth of 100 a second for 10 s, and one
}

// A target names no limit any more. A host that may send nothing there learns that from its peers, and news
// that arrives late or again doesn't bring the limit back. Another incarnation of the target has no limit.
func TestEndOfALimitIsLearnt(t *testing.T) {
	is := is.New(t)
	a := born("a", 1000)
	fleet := limitedFleet(12, []roster.Target{a})
	for _, p := range fleet {
		p.SetLimit(start, a, 1, true)
	}
	old := fleet[0].LimitNews(start, 8, time.Hour)
	var closed *dispatch.Planner
	for _, p := range fleet {
		if p.Plan(start.Add(2*time.Second), plainJob, nil).Refused() {
			closed = p
		}
	}
	is.True(closed != nil)
	teller := fleet[0]
	if teller == closed {
		teller = fleet[1]
	}
	later := start.Add(3 * time.Second)
	is.True(teller.SetLimit(later, a, 0, false))
	for _, news := range append(teller.LimitNews(later, 8, time.Hour), old...) {
		closed.ApplyLimit(later, news)
	}
	is.True(!closed.Plan(later, plainJob, nil).Refused())
	other := fleet[2]
	other.SetTargets(later, []roster.Target{born("a", 2000)})
	is.True(!other.Plan(later, plainJob, nil).Refused())
	is.True(!other.SetLimit(later, a, 1, true)) // a late answer of the incarnation before
	is.True(!other.Plan(later, plainJob, nil).Refused())
}

// Prompts that share a part go to one target that keeps it. A target that takes few requests isn't it.
func TestTargetWithALimitOwnsNoSharedPart(t *testing.T) {
	is := is.New(t)
	all := engines(0, 3, "a")
	p := planner(all, 1)
	owner := p.Plan(start, job(400, 100, 7), nil).Target
	p.SetLimit(start, owner, 100, true)
	later := start.Add(time.Second)
	seen := make(map[target.ID]int)
	for range 20 {
		d := p.Plan(later, job(400, 100, 7), nil)
		p.End(p.Begin(later, d.Target.ID, job(400, 100, 7), d.UncachedTokens))
		seen[d.Target.ID]++
	}
	is.Equal(seen[owner.ID], 0)
}

// sendAll lets each host send all that it may at a time, and returns how many requests that are.
func sendAll(fleet []*dispatch.Planner, now time.Time, id target.ID) int {
	sent := 0
	for _, p := range fleet {
		for d := p.Plan(now, plainJob, nil); !d.Refused(); d = p.Plan(now, plainJob, nil) {
			p.End(p.Begin(now, id, plainJob, 0))
			sent++
		}
	}
	return sent
}

// Hosts that hear nothing of each other's requests take turns by the clock alone. Even if all that have a turn
// have waited with it, and all send whatever they may, they keep to the limit.
func TestTurnsKeepToTheLimitWithoutNews(t *testing.T) {
	const span, factor, slack = 4 * time.Second, 1.5, 5
	for _, perSecond := range []float64{0, 0.5, 1, 12.5, 149} {
		t.Run(fmt.Sprint(perSecond), func(t *testing.T) {
			a := born("a", 1000)
			fleet := limitedFleet(300, []roster.Target{a})
			for _, p := range fleet {
				p.SetLimit(start, a, perSecond, true)
			}
			const step = 50 * time.Millisecond
			for round := range 3 {
				begin, sent := start.Add(time.Duration(round)*7300*time.Millisecond), 0
				for at := time.Duration(0); at < span; at += step {
					for _, p := range fleet { // turns are noticed when requests come, if none is sent too
						p.ReturnAfter(begin.Add(-step), plainJob)
					}
					sent += sendAll(fleet, begin.Add(at), a.ID)
				}
				if allowed := factor*perSecond*span.Seconds() + slack; float64(sent) > allowed {
					t.Errorf("%d requests in %v, %v allowed", sent, span, allowed)
				}
			}
		})
	}
}

// More hosts may send while peers tell of few requests, but only where nearly all hosts are heard; fewer may
// when peers tell of many.
func TestTurnsFollowWhatPeersHaveSent(t *testing.T) {
	is := is.New(t)
	a := born("a", 1000)
	all := limitedFleet(300, []roster.Target{a})
	// count returns how many hosts may send if peers tell of so many requests until so long ago.
	count := func(now time.Time, sent int, age time.Duration) int {
		n := 0
		for _, p := range all {
			p.SetLimit(now.Add(-20*time.Second), a, 50, true)
			for before := 10 * time.Second; before >= 0; before -= 100 * time.Millisecond {
				p.SetPeerLoads(now.Add(-before-age), "others", map[uint32]dispatch.Load{dispatch.KeyOf(a.ID): {Sent: sent}})
				if d := p.Plan(now.Add(-before), plainJob, nil); before == 0 && !d.Refused() {
					n++
				}
			}
		}
		return n
	}
	minute := func(n int) time.Time { return start.Add(time.Duration(n) * time.Minute) }
	usual, few, many, unheard := count(minute(1), 230, 0), count(minute(2), 100, 0), count(minute(3), 1000, 0), count(minute(4), 100, 2*time.Second)
	t.Logf("usual %d, few %d, many %d, unheard %d", usual, few, many, unheard)
	is.True(float64(few) > 1.2*float64(usual))
	is.True(float64(many) < 0.5*float64(usual))
	is.True(float64(unheard) < 1.1*float64(usual))
	is.True(many > 0)
}

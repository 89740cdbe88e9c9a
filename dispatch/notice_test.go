package dispatch_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/dispatch"
	"zinniapin/roster"
	"zinniapin/target"
)

// born returns a target of the incarnation that began at a time in milliseconds.
func born(id string, millis int64) roster.Target {
	return roster.Target{ID: target.ID(id), Service: "desk", Zone: "a", Slots: 4, StartedMillis: millis}
}

// plainJob is a request for a plain service.
var plainJob = dispatch.Job{Service: "desk", Objective: 150 * time.Millisecond, TimeLeft: time.Second}

// A target that says it leaves gets no requests, although the store lists it as ready, loses its
// entry and lists it again. A new incarnation under the same id does.
func TestLeavingTargetGetsNoRequests(t *testing.T) {
	is := is.New(t)
	p := dispatch.New(dispatch.DefaultPolicy(), "a", 1)
	a, b := born("a", 1000), born("b", 1000)
	p.SetTargets(start, []roster.Target{a, b})
	is.True(p.MarkLeaving(start, a))
	is.True(!p.MarkLeaving(start, a)) // known already
	check := func(now time.Time, want bool) {
		t.Helper()
		for range 50 {
			d := p.Plan(now, plainJob, map[target.ID]bool{"b": true})
			is.Equal(d.Target.ID == "a", want)
		}
	}
	check(start, false)
	p.SetTargets(start.Add(time.Second), []roster.Target{b}) // the store lost the entry
	p.SetTargets(start.Add(2*time.Second), []roster.Target{a, b})
	check(start.Add(3*time.Second), false)
	restarted := born("a", 2000)
	p.SetTargets(start.Add(4*time.Second), []roster.Target{restarted, b})
	check(start.Add(4*time.Second), true)
	is.True(!p.MarkLeaving(start.Add(5*time.Second), a)) // a late answer of the incarnation before
	check(start.Add(5*time.Second), true)
}

// Peers learn that a target leaves, with the incarnation that said so.
func TestPeersLearnThatATargetLeaves(t *testing.T) {
	is := is.New(t)
	a, restarted := born("a", 1000), born("a", 2000)
	teller, listener, later := dispatch.New(dispatch.DefaultPolicy(), "a", 1), dispatch.New(dispatch.DefaultPolicy(), "a", 2), dispatch.New(dispatch.DefaultPolicy(), "a", 3)
	teller.SetTargets(start, []roster.Target{a})
	listener.SetTargets(start, []roster.Target{a})
	later.SetTargets(start, []roster.Target{restarted})
	teller.MarkLeaving(start, a)
	for _, r := range teller.TakeReports() {
		listener.ApplyReport(start, "teller", r)
		later.ApplyReport(start, "teller", r)
	}
	is.Equal(listener.Plan(start, plainJob, nil).Reason, dispatch.NoTarget)
	is.Equal(later.Plan(start, plainJob, nil).Target.ID, target.ID("a"))
}

// A target that turned a request away with a time to come back gets nothing of this host until then,
// neither requests nor other calls. A later, shorter time does not open it earlier.
func TestPausedTargetIsLeftAlone(t *testing.T) {
	is := is.New(t)
	p := dispatch.New(dispatch.DefaultPolicy(), "a", 1)
	a, b := born("a", 1000), born("b", 1000)
	p.SetTargets(start, []roster.Target{a, b})
	is.True(p.Pause(start, a, 2*time.Second))
	is.True(!p.Pause(start.Add(time.Second), a, 500*time.Millisecond))
	for _, at := range []time.Duration{0, time.Second, 1990 * time.Millisecond} {
		is.True(!p.MayCall(start.Add(at), "a"))
		for range 50 {
			is.Equal(p.Plan(start.Add(at), plainJob, nil).Target.ID, target.ID("b"))
		}
	}
	is.True(p.MayCall(start.Add(2*time.Second), "a"))
	is.Equal(p.Plan(start.Add(2*time.Second), plainJob, map[target.ID]bool{"b": true}).Target.ID, target.ID("a"))
	p.Pause(start.Add(3*time.Second), a, 1e6*time.Hour) // nonsense is bounded
	is.True(p.MayCall(start.Add(2*time.Hour), "a"))
}

// All targets of a service turn requests away with a time to come back while callers press. Each
// caller is refused at once with a Retry-After that is no shorter than the first return, and the
// callers' returns are spread.
func TestReturnsAreSpreadWhenAllTargetsArePaused(t *testing.T) {
	is := is.New(t)
	p := dispatch.New(dispatch.DefaultPolicy(), "a", 1)
	all := []roster.Target{born("a", 1), born("b", 1), born("c", 1)}
	p.SetTargets(start, all)
	for i, target := range all {
		p.Pause(start, target, time.Duration(2+i)*time.Second)
	}
	const callers = 300
	now, first := start.Add(500*time.Millisecond), start.Add(2*time.Second)
	perTenth := make(map[int64]int)
	for range callers {
		d := p.Plan(now, plainJob, nil)
		is.Equal(d.Reason, dispatch.TargetsPaused)
		back := now.Add(d.RetryAfter)
		is.True(!back.Before(first))
		perTenth[back.Sub(first).Milliseconds()/100]++
	}
	for _, n := range perTenth {
		is.True(n < callers/4) // 43 on the mean, over 0.75 s
	}
	is.Equal(p.Plan(first, plainJob, nil).Target.ID, target.ID("a"))
}

// Targets that want no requests neither process prompts nor produce output, nor are parts of prompts fetched
// from them.
func TestPausedEngineTakesNoPartInARequest(t *testing.T) {
	is := is.New(t)
	all := engines(2, 3, "a")
	p := planner(all, 1)
	j := job(9000, 2000, 7)
	j.AllowFetch = true
	holder := p.Plan(start, j, nil).Target
	p.End(p.Begin(start, holder.ID, j, 11000))
	later := start.Add(time.Second)
	decode := all[2]
	p.Pause(later, holder, 2*time.Second)
	p.Pause(later, decode, 2*time.Second)
	for range 50 {
		d := p.Plan(later, j, nil)
		is.True(d.Target.ID != holder.ID && d.Target.ID != decode.ID && d.FetchFrom.ID == "")
		chosen, ok := p.PlanDecode(later, j, d.Target, nil)
		is.True(ok && chosen.ID != decode.ID && chosen.ID != holder.ID)
	}
	is.True(p.Plan(later.Add(2*time.Second), j, nil).UncachedTokens <= 2000) // from the holder again
}

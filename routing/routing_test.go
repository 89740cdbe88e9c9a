package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/control"
	"zinniapin/provider"
	"zinniapin/target"
	"zinniapin/zone"
)

var (
	start = time.Unix(1_000_000, 0)
	home  = zone.Zone{Name: "riga-a", Region: "baltic"}
)

// zones places every zone in the region of the home zone.
func zones(n zone.Name) (zone.Zone, bool) {
	return zone.Zone{Name: n, Region: "baltic"}, true
}

// fleet returns n idle engines, spread over four zones.
func fleet(n int) []control.TargetState {
	names := []zone.Name{"riga-a", "riga-b", "jelgava", "valmiera"}
	view := make([]control.TargetState, n)
	for i := range view {
		id := target.ID(fmt.Sprintf("engine-%d", i))
		view[i] = control.TargetState{
			Target: target.Target{ID: id, Kind: target.Engine, Class: target.Reserved, Pool: "assistant", Zone: names[i%4]},
			State:  provider.Live,
			Report: target.Report{
				Target: id, Boot: 1, ReceivedAt: start, Role: target.Mixed, Models: []string{"m"},
				PrefillRate: 8000, DecodeRate: 1000, Capacity: 48, KVPiecesTotal: 400,
			},
		}
	}
	return view
}

// request returns a request without affinity.
func request() Request {
	return Request{Pool: "assistant", Model: "m", PromptTokens: 1000, OutputTokens: 100}
}

// TestExclusions checks each condition that excludes a target: the other one is always chosen.
func TestExclusions(t *testing.T) {
	for name, change := range map[string]func(*control.TargetState, *Request){
		"leaving":     func(s *control.TargetState, _ *Request) { s.State = provider.Leaving },
		"gone":        func(s *control.TargetState, _ *Request) { s.State = provider.Gone },
		"cordoned":    func(s *control.TargetState, _ *Request) { s.Cordoned = true },
		"changing":    func(s *control.TargetState, _ *Request) { s.Report.Changing = true },
		"other model": func(s *control.TargetState, _ *Request) { s.Report.Models = nil },
		"excluded":    func(s *control.TargetState, q *Request) { q.Exclude = []target.ID{s.Target.ID} },
		"reclaimable": func(s *control.TargetState, q *Request) {
			s.Target.Class = target.Reclaimable
			q.StableOnly = true
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			view, q := fleet(2), request()
			change(&view[0], &q)
			r := New(home, 1)
			r.Observe(start, view, zones)
			for range 20 {
				c, ok := r.Choose(start, &q)
				is.True(ok)
				is.Equal(c.Target.ID, target.ID("engine-1"))
				is.Equal(c.Reason, ReasonOnly)
			}
		})
	}
}

// TestModelLoadedNowhereIsStillServed checks that the requirement of a loaded model is dropped
// if no target meets it.
func TestModelLoadedNowhereIsStillServed(t *testing.T) {
	is := is.New(t)
	r, q := New(home, 1), request()
	r.Observe(start, fleet(2), zones)
	q.Model = "unknown"
	_, ok := r.Choose(start, &q)
	is.True(ok)
}

// TestAffinityStaysUntilLoaded checks that requests with the same prefix go to the same
// target, and to others once that one is loaded.
func TestAffinityStaysUntilLoaded(t *testing.T) {
	is := is.New(t)
	r, q := New(home, 1), request()
	r.Observe(start, fleet(12), zones)
	q.Affinity = 77
	first, _ := r.Choose(start, &q)
	is.Equal(first.Reason, ReasonAffinity)
	used := map[target.ID]int{first.Target.ID: 1}
	for range 60 {
		c, _ := r.Choose(start, &q)
		used[c.Target.ID]++
	}
	is.True(used[first.Target.ID] > 1)
	is.True(len(used) > 6) // a frequent prefix is spread over more targets
}

// TestReportAbsorbsSends checks that a request is counted once, either by the report of the
// target or as sent since, and that its end is deducted in both cases.
func TestReportAbsorbsSends(t *testing.T) {
	is := is.New(t)
	r, q := New(home, 1), request()
	view := fleet(1)
	r.Observe(start, view, zones)
	c, _ := r.Choose(start.Add(time.Millisecond), &q)
	late, _ := r.Choose(start.Add(3*time.Millisecond), &q)
	e := r.engines["engine-0"]
	is.Equal(e.estimatedBatch(), 2.0)
	view[0].Report.ReceivedAt = start.Add(2 * time.Millisecond)
	view[0].Report.Running = 1
	r.Observe(start.Add(4*time.Millisecond), view, zones)
	is.Equal(e.estimatedBatch(), 2.0) // one counted by the report, one sent after it
	r.Done(start.Add(5*time.Millisecond), &c, false)
	is.Equal(e.estimatedBatch(), 1.0)
	r.Done(start.Add(5*time.Millisecond), &late, false)
	is.Equal(e.estimatedBatch(), 0.0)
	is.Equal(r.InFlight("engine-0"), 0)
}

// TestManyGatewaysDoNotHerd checks that gateways which see the same reports do not all choose
// the target with the lowest load.
func TestManyGatewaysDoNotHerd(t *testing.T) {
	is := is.New(t)
	view := fleet(12)
	for i := range view {
		view[i].Report.Running = 10
	}
	view[3].Report.Running = 9
	used := map[target.ID]int{}
	for g := range 48 {
		r, q := New(zone.Zone{Name: view[g%4].Target.Zone, Region: "baltic"}, uint64(g)), request()
		r.Observe(start, view, zones)
		c, _ := r.Choose(start, &q)
		used[c.Target.ID]++
	}
	for _, n := range used {
		is.True(n <= 16)
	}
}

// TestFailureBacksOffAndProbes checks that a failed target gets no requests during its
// back-off and a single probe after it.
func TestFailureBacksOffAndProbes(t *testing.T) {
	is := is.New(t)
	r, q := New(home, 1), request()
	view := fleet(2)
	r.Observe(start, view, zones)
	q.Exclude = []target.ID{"engine-1"}
	c, _ := r.Choose(start, &q)
	r.Done(start, &c, true)
	q.Exclude = nil
	for range 20 {
		c, _ := r.Choose(start.Add(time.Millisecond), &q)
		is.Equal(c.Target.ID, target.ID("engine-1"))
	}
	later := start.Add(backoffMin)
	probes := 0
	for range 30 {
		if c, _ := r.Choose(later, &q); c.Target.ID == "engine-0" {
			is.Equal(c.Reason, ReasonProbe)
			probes++
		}
	}
	is.Equal(probes, 1)
}

// TestSlowStart checks that a target that joins a known fleet begins with a reduced batch
// limit.
func TestSlowStart(t *testing.T) {
	is := is.New(t)
	r := New(home, 1)
	r.Observe(start, fleet(2), zones)
	r.Observe(start, fleet(3), zones)
	e := r.engines["engine-2"]
	is.True(e.batchLimit(start.UnixNano()) < e.batchLimit(start.Add(slowStartSpan).UnixNano()))
}

// TestRolesSplitThePhases checks that a request is divided between a prefill and a decode
// engine, and that a decode engine runs it whole if no other engine is live.
func TestRolesSplitThePhases(t *testing.T) {
	is := is.New(t)
	view := fleet(4)
	view[0].Report.Role = target.Prefill
	view[1].Report.Role = target.Decode
	view[2].Report.Role = target.Decode
	view[3].State = provider.Gone
	r, q := New(home, 1), request()
	r.Observe(start, view, zones)
	c, ok := r.Choose(start, &q)
	is.True(ok)
	is.Equal(c.Prefill.ID, target.ID("engine-0"))
	is.True(c.Target.ID == "engine-1" || c.Target.ID == "engine-2")
	r.PrefillDone(start, &c)
	is.Equal(r.InFlight("engine-0"), 0)
	r.Done(start, &c, false)
	view[0].State = provider.Gone
	r.Observe(start, view, zones)
	c, ok = r.Choose(start, &q) // only decode engines are left, so one runs it whole
	is.True(ok)
	is.True(c.Prefill == nil)
}

// TestPhasesAreComparedEachByItsOwnCost checks that a mixed engine with a prefill backlog is
// not chosen for the prefill phase because it would be good for another phase.
func TestPhasesAreComparedEachByItsOwnCost(t *testing.T) {
	is := is.New(t)
	view := fleet(4)
	view[0].Report.Role = target.Prefill
	view[1].Report.Role = target.Prefill
	view[2].Report.Role = target.Decode
	view[3].Report.PrefillTokens = 40_000 // a mixed engine with a backlog of long prompts
	r, q := New(home, 1), request()
	r.Observe(start, view, zones)
	for range 20 {
		c, ok := r.Choose(start, &q)
		is.True(ok)
		is.True(c.Prefill != nil)
		is.True(c.Prefill.ID != "engine-3")
	}
}

// TestNoAllocations checks that a choice among 720 engines allocates no memory.
func TestNoAllocations(t *testing.T) {
	is := is.New(t)
	r, q := New(home, 1), request()
	r.Observe(start, fleet(720), zones)
	q.Affinity = 9
	is.Equal(testing.AllocsPerRun(1000, func() {
		c, _ := r.Choose(start, &q)
		r.Done(start, &c, false)
	}), 0.0)
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{12, 240, 720} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			r, q := New(home, 1), request()
			view := fleet(n)
			for i := range view {
				view[i].Report.Running = i % 7
			}
			r.Observe(start, view, zones)
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i++
				q.Affinity = uint64(i)
				c, _ := r.Choose(start, &q)
				r.Done(start, &c, false)
			}
		})
	}
}

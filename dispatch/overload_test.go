package dispatch_test

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/dispatch"
	"zinniapin/target"
)

// arrival is a request that comes to the planner.
type arrival struct {
	at, first time.Duration // of this try, and of the caller's first one
	job       dispatch.Job
}

// arrivals are ordered by time.
type arrivals []arrival

func (a arrivals) Len() int           { return len(a) }
func (a arrivals) Less(i, j int) bool { return a[i].at < a[j].at }
func (a arrivals) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *arrivals) Push(x any)        { *a = append(*a, x.(arrival)) }
func (a *arrivals) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// reading is a prompt that a target has in its queue.
type reading struct {
	ends   time.Duration
	ticket dispatch.Ticket
}

// tally counts how requests fared.
type tally struct{ asked, inTime, late, refused int }

// overload plays prompts that come at a multiple of what four targets can
// process, from some second to another, to a planner. Refused callers return
// once. It counts those that came first within a span.
func overload(policy dispatch.Policy, load float64, from, to, countFrom, countTo time.Duration) tally {
	const speed = 80.0 // tokens a millisecond, as the planner takes it
	all := engines(4, 0, "a")
	p := dispatch.New(policy, "a", 1)
	p.SetTargets(all)
	random := rand.New(rand.NewPCG(1, 2))
	var queue arrivals
	for at := time.Duration(0); at < countTo+2*time.Second; {
		j := job(0, 1000+random.IntN(9000), 0)
		j.Parts = nil
		rate := 0.5
		if at >= from && at < to {
			rate = load
		}
		at += time.Duration(random.ExpFloat64() * float64(j.PromptTokens) / (4 * speed * rate) * float64(time.Millisecond))
		heap.Push(&queue, arrival{at, at, j})
	}
	free := make(map[target.ID]time.Duration)
	busy := make(map[target.ID][]reading)
	var seen tally
	for queue.Len() > 0 {
		a := heap.Pop(&queue).(arrival)
		for id, held := range busy {
			for len(held) > 0 && held[0].ends <= a.at {
				p.PrefillDone(start.Add(held[0].ends), held[0].ticket)
				p.End(held[0].ticket)
				held = held[1:]
			}
			busy[id] = held
		}
		counts := a.first >= countFrom && a.first < countTo
		if counts && !a.job.RefusedBefore {
			seen.asked++
		}
		now := start.Add(a.at)
		d := p.Plan(now, a.job, nil)
		if d.Refused() {
			switch {
			case !a.job.RefusedBefore:
				a.at, a.job.RefusedBefore = a.at+d.RetryAfter, true
				heap.Push(&queue, a)
			case counts:
				seen.refused++
			}
			continue
		}
		id := d.Target.ID
		ends := max(free[id], a.at) + time.Duration(float64(a.job.PromptTokens)/speed*float64(time.Millisecond))
		free[id] = ends
		busy[id] = append(busy[id], reading{ends, p.Begin(now, id, a.job, d.UncachedTokens)})
		switch {
		case !counts:
		case ends-a.first <= a.job.Objective:
			seen.inTime++
		default:
			seen.late++
		}
	}
	return seen
}

// Prompts come at 1.7 times of what can be processed, for half a minute. Every
// target is busy all the while, and most of what it processes must be in time:
// a queue that never drains helps nobody.
func TestLastingOverloadServesInTime(t *testing.T) {
	is := is.New(t)
	seen := overload(dispatch.DefaultPolicy(), 1.7, 0, 40*time.Second, 12*time.Second, 38*time.Second)
	t.Logf("%+v", seen)
	served := seen.inTime + seen.late
	is.True(float64(served) >= 0.5*float64(seen.asked)) // 1/1.7 could be
	is.True(float64(seen.inTime) >= 0.6*float64(served))
}

// A burst of two seconds is waited out: nearly all of it is served.
func TestBurstIsWaitedOut(t *testing.T) {
	is := is.New(t)
	seen := overload(dispatch.DefaultPolicy(), 1.7, 10*time.Second, 12*time.Second, 9*time.Second, 14*time.Second)
	t.Logf("%+v", seen)
	is.True(float64(seen.inTime+seen.late) >= 0.95*float64(seen.asked))
}

// When an overload is over its bounds are, too.
func TestOverloadEndsWithItsQueues(t *testing.T) {
	is := is.New(t)
	seen := overload(dispatch.DefaultPolicy(), 1.7, 0, 20*time.Second, 24*time.Second, 40*time.Second)
	t.Logf("%+v", seen)
	is.True(float64(seen.inTime) >= 0.97*float64(seen.asked))
}

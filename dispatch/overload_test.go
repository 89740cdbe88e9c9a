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

// arrival is a request that arrives at the planner.
type arrival struct {
	at, first time.Duration // of this attempt, and of the caller's first one
	job       dispatch.Job
}

// arrivals is a heap of requests in the order of their arrival.
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

// queuedPrompt is a prompt in the queue of a target.
type queuedPrompt struct {
	ends   time.Duration
	ticket dispatch.Ticket
}

// tally counts requests by their result. Refused are those whose retry was refused too.
type tally struct{ asked, inTime, late, refused int }

// simulateOverload simulates a planner for four targets. Prompts arrive at half of the
// rate that the targets can process, and at loadFactor times that rate between from
// and to. Refused callers retry once. It counts the requests whose first attempt is
// between countFrom and countTo.
func simulateOverload(policy dispatch.Policy, loadFactor float64, from, to, countFrom, countTo time.Duration) tally {
	const speed = 80.0 // tokens per millisecond, the planner's initial estimate
	all := engines(4, 0, "a")
	p := dispatch.New(policy, "a", 1)
	p.SetTargets(start, all)
	random := rand.New(rand.NewPCG(1, 2))
	var queue arrivals
	for at := time.Duration(0); at < countTo+2*time.Second; {
		j := job(0, 1000+random.IntN(9000), 0)
		j.Parts = nil
		rate := 0.5
		if at >= from && at < to {
			rate = loadFactor
		}
		at += time.Duration(random.ExpFloat64() * float64(j.PromptTokens) / (4 * speed * rate) * float64(time.Millisecond))
		heap.Push(&queue, arrival{at, at, j})
	}
	freeAt := make(map[target.ID]time.Duration)
	busy := make(map[target.ID][]queuedPrompt)
	var counts tally
	for queue.Len() > 0 {
		a := heap.Pop(&queue).(arrival)
		for id, queued := range busy {
			for len(queued) > 0 && queued[0].ends <= a.at {
				p.PrefillDone(start.Add(queued[0].ends), queued[0].ticket)
				p.End(queued[0].ticket)
				queued = queued[1:]
			}
			busy[id] = queued
		}
		counted := a.first >= countFrom && a.first < countTo
		if counted && !a.job.RefusedBefore {
			counts.asked++
		}
		now := start.Add(a.at)
		d := p.Plan(now, a.job, nil)
		if d.Refused() {
			switch {
			case !a.job.RefusedBefore:
				a.at, a.job.RefusedBefore = a.at+d.RetryAfter, true
				heap.Push(&queue, a)
			case counted:
				counts.refused++
			}
			continue
		}
		id := d.Target.ID
		ends := max(freeAt[id], a.at) + time.Duration(float64(a.job.PromptTokens)/speed*float64(time.Millisecond))
		freeAt[id] = ends
		busy[id] = append(busy[id], queuedPrompt{ends, p.Begin(now, id, a.job, d.UncachedTokens)})
		switch {
		case !counted:
		case ends-a.first <= a.job.Objective:
			counts.inTime++
		default:
			counts.late++
		}
	}
	return counts
}

// Prompts arrive at 1.7 times the rate that can be processed, for 40 s. Targets must
// stay busy and most of what they serve must be in time. If requests could wait as long
// as during a burst, the queues would never drain and all answers would be late.
func TestLastingOverloadServesInTime(t *testing.T) {
	is := is.New(t)
	seen := simulateOverload(dispatch.DefaultPolicy(), 1.7, 0, 40*time.Second, 12*time.Second, 38*time.Second)
	t.Logf("%+v", seen)
	served := seen.inTime + seen.late
	is.True(float64(served) >= 0.5*float64(seen.asked)) // at most 1/1.7 is possible
	is.True(float64(seen.inTime) >= 0.6*float64(served))
}

// Nearly all requests of a two-second burst are served, after a wait.
func TestBurstIsWaitedOut(t *testing.T) {
	is := is.New(t)
	seen := simulateOverload(dispatch.DefaultPolicy(), 1.7, 10*time.Second, 12*time.Second, 9*time.Second, 14*time.Second)
	t.Logf("%+v", seen)
	is.True(float64(seen.inTime+seen.late) >= 0.95*float64(seen.asked))
}

// Soon after an overload has ended, requests are served in time again.
func TestRequestsAreInTimeAfterOverload(t *testing.T) {
	is := is.New(t)
	seen := simulateOverload(dispatch.DefaultPolicy(), 1.7, 0, 20*time.Second, 24*time.Second, 40*time.Second)
	t.Logf("%+v", seen)
	is.True(float64(seen.inTime) >= 0.97*float64(seen.asked))
}

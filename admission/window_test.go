package admission

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"zinniapin/contract"
	"zinniapin/result"
)

// countingWindow is a prompt window that counts requests instead of prompt tokens and has a
// fixed size.
type countingWindow struct{ inFlight, size int }

func (w *countingWindow) Open() bool                               { return w.inFlight < w.size }
func (w *countingWindow) Sent(int)                                 { w.inFlight++ }
func (w *countingWindow) SetMin(float64)                           {}
func (w *countingWindow) FirstToken(time.Time, int, time.Duration) { w.inFlight-- }
func (w *countingWindow) Ended(int)                                { w.inFlight-- }

// windowedPool simulates an engine behind a prompt window. It produces first tokens one after
// the other, and ends each request decodeTime after its first token.
type windowedPool struct {
	scheduler      *Scheduler
	window         *countingWindow
	now            time.Time
	nextFirstToken time.Time     // for starting[0]
	firstTokenTime time.Duration // prefill time of a request
	decodeTime     time.Duration // from the first token to the end
	waiting        []*Ticket
	starting       []*Ticket             // dispatched, before the first token
	running        []*Ticket             // after the first token
	endAt          map[*Ticket]time.Time // of the requests in running
	arrived        map[*Ticket]time.Time // when each request was admitted
	admitted       int
	expired        int             // requests that were admitted and not dispatched by their deadline
	waits          []time.Duration // from admission to dispatch, of each dispatched request
}

const (
	windowStep   = time.Millisecond
	maxQueueWait = 900 * time.Millisecond
)

// newWindowedPool returns an idle pool in which up to size requests may await their first
// token.
func newWindowedPool(size int, firstTokenTime, decodeTime time.Duration) *windowedPool {
	p := &windowedPool{scheduler: New(10_000), window: &countingWindow{size: size}, now: start, firstTokenTime: firstTokenTime, decodeTime: decodeTime,
		endAt: map[*Ticket]time.Time{}, arrived: map[*Ticket]time.Time{}}
	p.scheduler.SetCapacity("p", 10_000)
	p.scheduler.SetPromptWindow("p", p.window)
	return p
}

// arrive submits a request with a deadline of maxQueueWait, and returns the refusal if there
// is one.
func (p *windowedPool) arrive(k *contract.Contract) error {
	r := request(k, p.now, 1)
	r.Deadline = p.now.Add(maxQueueWait)
	t, err := p.scheduler.Admit(p.now, r)
	if err != nil {
		return err
	}
	p.admitted++
	p.arrived[t] = p.now
	p.waiting = append(p.waiting, t)
	return nil
}

// advance advances the simulation by windowStep.
func (p *windowedPool) advance() {
	p.now = p.now.Add(windowStep)
	for len(p.starting) > 0 && !p.nextFirstToken.After(p.now) {
		t := p.starting[0]
		p.starting = p.starting[1:]
		p.nextFirstToken = p.nextFirstToken.Add(p.firstTokenTime)
		p.scheduler.FirstToken(p.now, t)
		p.running = append(p.running, t)
		p.endAt[t] = p.now.Add(p.decodeTime)
	}
	for len(p.running) > 0 && !p.endAt[p.running[0]].After(p.now) {
		p.scheduler.Done(p.now, p.running[0], 1)
		p.running = p.running[1:]
	}
	for _, t := range p.scheduler.Dispatch(p.now, "p") {
		if len(p.starting) == 0 {
			p.nextFirstToken = p.now.Add(p.firstTokenTime)
		}
		p.starting = append(p.starting, t)
		p.waits = append(p.waits, p.now.Sub(p.arrived[t]))
	}
	kept := p.waiting[:0]
	for _, t := range p.waiting {
		switch {
		case t.state != waiting:
		case p.now.Sub(p.arrived[t]) >= maxQueueWait:
			p.expired++
			p.scheduler.Done(p.now, t, 0)
		default:
			kept = append(kept, t)
		}
	}
	p.waiting = kept
}

// TestWindowEstimate checks the wait estimate of a pool behind a prompt window under random
// overloads. Requests last far longer than a slot takes to open, so an estimate from service
// times would refuse almost everything. It checks that refusals carry a plausible retry-after
// time, that the pool is kept busy, that few admitted requests miss their deadline, and that
// hardly any are refused below capacity.
func TestWindowEstimate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		first := time.Duration(rapid.IntRange(10, 80).Draw(rt, "first")) * time.Millisecond
		size := rapid.IntRange(1, 12).Draw(rt, "size")
		load := float64(rapid.IntRange(3, 40).Draw(rt, "load")) / 10
		organisations := rapid.IntRange(1, 5).Draw(rt, "organisations")
		p := newWindowedPool(size, first, 4*time.Second)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		offered, refused := 0, 0
		const ticks = 20_000
		for range ticks {
			for due := load * float64(windowStep) / float64(first); due > 0; due-- {
				if random.Float64() >= due {
					continue
				}
				offered++
				err := p.arrive(contractOf(fmt.Sprint(random.IntN(organisations)), 1))
				if err == nil {
					continue
				}
				refused++
				if got := result.CodeOf(err); got != result.DeadlineNotReachable {
					rt.Fatalf("refused with code %v", got)
				}
				if after := result.Of(err).RetryAfter; after < minRetryAfter || after > 2*time.Second {
					rt.Fatalf("implausible retry-after time %v", after)
				}
			}
			p.advance()
		}
		for _, w := range p.waits {
			if w > maxQueueWait {
				rt.Fatalf("dispatched %v after its arrival, past the deadline", w)
			}
		}
		if load < 0.8 && refused > offered/50 {
			rt.Fatalf("%d of %d refused at load %g", refused, offered, load)
		}
		possible := float64(ticks) * float64(windowStep) / float64(first)
		if served := float64(len(p.waits)); load > 1.2 && served < 0.9*possible {
			rt.Fatalf("%g requests started, %g possible", served, possible)
		}
		if p.expired > p.admitted/20 {
			rt.Fatalf("%d of %d admitted requests expired in the queue", p.expired, p.admitted)
		}
	})
}

// TestWindowStall checks that a stalled pool refuses requests at once, and that the estimate
// recovers after the stall although no request is queued.
func TestWindowStall(t *testing.T) {
	is := is.New(t)
	k := contractOf("a", 1)
	p := newWindowedPool(1, 20*time.Millisecond, time.Second)
	is.NoErr(p.arrive(k))
	p.advance()
	p.nextFirstToken = p.now.Add(5 * time.Second) // the engine stalls
	for range 2000 {
		p.advance()
	}
	is.Equal(result.CodeOf(p.arrive(k)), result.DeadlineNotReachable)
	late := p.scheduler.RetryAfter(p.now, request(k, p.now, 1))
	is.True(late > minRetryAfter && late < 5*time.Second) // as long again as the stall has lasted
	for range 3500 {
		p.advance()
	}
	for range 100 { // one request at a time, no queue
		_ = p.arrive(k)
		for range 100 {
			p.advance()
		}
	}
	is.True(p.scheduler.pool("p").slots.mean < 0.1)
	is.NoErr(p.arrive(k))
}

// TestWindowCountsEachOnce checks that a ticket occupies one place in the prompt window from
// its dispatch to its first token or its end, whatever is reported twice.
func TestWindowCountsEachOnce(t *testing.T) {
	is := is.New(t)
	p := newWindowedPool(2, time.Second, time.Second)
	for range 3 {
		is.NoErr(p.arrive(contractOf("a", 1)))
	}
	is.Equal(len(p.scheduler.Dispatch(start, "p")), 2)
	p.scheduler.FirstToken(start, p.waiting[0])
	p.scheduler.FirstToken(start, p.waiting[0])
	is.Equal(p.window.inFlight, 1)
	p.scheduler.Done(start, p.waiting[0], 1)
	p.scheduler.Done(start, p.waiting[1], 0)
	p.scheduler.Done(start, p.waiting[1], 0)
	is.Equal(p.window.inFlight, 0)
	p.scheduler.Done(start, p.waiting[2], 0) // was never dispatched
	is.Equal(p.window.inFlight, 0)
}

// TestRecentForgets compares the shares and weights with a recount of the last
// recentTicketCount tickets.
func TestRecentForgets(t *testing.T) {
	is := is.New(t)
	var r recentTickets
	is.Equal(r.share("0"), 1.0)
	random := rand.New(rand.NewPCG(1, 1))
	var all []string
	for range 1000 {
		name := fmt.Sprint(random.IntN(20))
		all = append(all, name)
		r.add(name, 2)
		last := all[max(0, len(all)-recentTicketCount):]
		counts := map[string]int{}
		for _, n := range last {
			counts[n]++
		}
		is.Equal(r.totalWeight, 2*float64(len(counts)))
		is.Equal(r.share(name), float64(counts[name])/float64(len(last)))
	}
}

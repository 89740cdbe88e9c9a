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

// startsWindow lets a number of requests start at once.
type startsWindow struct{ under, size int }

func (w *startsWindow) Open() bool                          { return w.under < w.size }
func (w *startsWindow) Sent(int)                            { w.under++ }
func (w *startsWindow) SetLeast(float64)                    {}
func (w *startsWindow) First(time.Time, int, time.Duration) { w.under-- }
func (w *startsWindow) Ended(int)                           { w.under-- }

// windowed is a pool behind a window: an engine that brings first tokens one
// after the other, and ends answers long after.
type windowed struct {
	core     *Core
	window   *startsWindow
	now      time.Time
	firstAt  time.Time     // of the request being started
	first    time.Duration // work of a first token
	answer   time.Duration // from the first token to the end
	waiting  []*Ticket
	starting []*Ticket
	running  []*Ticket
	endAt    map[*Ticket]time.Time
	arrived  map[*Ticket]time.Time
	admitted int
	expired  int
	waits    []time.Duration
}

const (
	windowTick     = time.Millisecond
	windowPatience = 900 * time.Millisecond
)

func newWindowed(size int, first, answer time.Duration) *windowed {
	p := &windowed{core: New(10_000), window: &startsWindow{size: size}, now: start, first: first, answer: answer,
		endAt: map[*Ticket]time.Time{}, arrived: map[*Ticket]time.Time{}}
	p.core.SetCapacity("p", 10_000)
	p.core.SetWindow("p", p.window)
	return p
}

// arrive admits a request or returns its refusal.
func (p *windowed) arrive(k *contract.Contract) error {
	r := request(k, p.now, 1)
	r.Deadline = p.now.Add(windowPatience)
	t, err := p.core.Arrive(p.now, r)
	if err != nil {
		return err
	}
	p.admitted++
	p.arrived[t] = p.now
	p.waiting = append(p.waiting, t)
	return nil
}

// step goes on by a tick.
func (p *windowed) step() {
	p.now = p.now.Add(windowTick)
	for len(p.starting) > 0 && !p.firstAt.After(p.now) {
		t := p.starting[0]
		p.starting = p.starting[1:]
		p.firstAt = p.firstAt.Add(p.first)
		p.core.First(p.now, t)
		p.running = append(p.running, t)
		p.endAt[t] = p.now.Add(p.answer)
	}
	for len(p.running) > 0 && !p.endAt[p.running[0]].After(p.now) {
		p.core.Leave(p.now, p.running[0], 1)
		p.running = p.running[1:]
	}
	for _, t := range p.core.Dispatch(p.now, "p") {
		if len(p.starting) == 0 {
			p.firstAt = p.now.Add(p.first)
		}
		p.starting = append(p.starting, t)
		p.waits = append(p.waits, p.now.Sub(p.arrived[t]))
	}
	kept := p.waiting[:0]
	for _, t := range p.waiting {
		switch {
		case t.state != waiting:
		case p.now.Sub(p.arrived[t]) >= windowPatience:
			p.expired++
			p.core.Leave(p.now, t, 0)
		default:
			kept = append(kept, t)
		}
	}
	p.waiting = kept
}

// TestWindowEstimate checks over random overloads behind a window, whose
// requests last far longer than a place takes to open: what is refused is
// refused at once with a sane time to come back, the pool is kept at work, an
// admitted request is dispatched by its deadline but for few, and all that
// the pool can start in time is admitted.
func TestWindowEstimate(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		first := time.Duration(rapid.IntRange(10, 80).Draw(rt, "first")) * time.Millisecond
		size := rapid.IntRange(1, 12).Draw(rt, "size")
		load := float64(rapid.IntRange(3, 40).Draw(rt, "load")) / 10
		parties := rapid.IntRange(1, 5).Draw(rt, "organisations")
		p := newWindowed(size, first, 4*time.Second)
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1))
		offered, refused := 0, 0
		const ticks = 20_000
		for range ticks {
			for due := load * float64(windowTick) / float64(first); due > 0; due-- {
				if random.Float64() >= due {
					continue
				}
				offered++
				err := p.arrive(terms(fmt.Sprint(random.IntN(parties)), 1))
				if err == nil {
					continue
				}
				refused++
				if got := result.CodeOf(err); got != result.DeadlineNotReachable {
					rt.Fatalf("refused as %v", got)
				}
				if after := result.Of(err).RetryAfter; after < minRetryAfter || after > 2*time.Second {
					rt.Fatalf("come back after %v", after)
				}
			}
			p.step()
		}
		for _, w := range p.waits {
			if w > windowPatience {
				rt.Fatalf("dispatched after %v", w)
			}
		}
		if load < 0.8 && refused > offered/50 {
			rt.Fatalf("%d of %d refused at load %g", refused, offered, load)
		}
		possible := float64(ticks) * float64(windowTick) / float64(first)
		if served := float64(len(p.waits)); load > 1.2 && served < 0.9*possible {
			rt.Fatalf("%g started of %g possible", served, possible)
		}
		if p.expired > p.admitted/20 {
			rt.Fatalf("%d of %d held back and then refused", p.expired, p.admitted)
		}
	})
}

// TestWindowStall checks that a pool that stands still refuses at once, and
// that the estimate recovers although nothing waits.
func TestWindowStall(t *testing.T) {
	is := is.New(t)
	k := terms("a", 1)
	p := newWindowed(1, 20*time.Millisecond, time.Second)
	is.NoErr(p.arrive(k))
	p.step()
	p.firstAt = p.now.Add(5 * time.Second) // the engine stands still
	for range 2000 {
		p.step()
	}
	is.Equal(result.CodeOf(p.arrive(k)), result.DeadlineNotReachable)
	late := p.core.RetryAfter(p.now, request(k, p.now, 1))
	is.True(late > minRetryAfter && late < 5*time.Second) // as long again as it stands still
	for range 3500 {
		p.step()
	}
	for range 100 { // one request at a time, no queue
		_ = p.arrive(k)
		for range 100 {
			p.step()
		}
	}
	is.True(p.core.pool("p").pace.interval < 0.1)
	is.NoErr(p.arrive(k))
}

// TestWindowCountsEachOnce checks that a ticket takes one place, from its
// dispatch to its first token or end.
func TestWindowCountsEachOnce(t *testing.T) {
	is := is.New(t)
	p := newWindowed(2, time.Second, time.Second)
	for range 3 {
		is.NoErr(p.arrive(terms("a", 1)))
	}
	is.Equal(len(p.core.Dispatch(start, "p")), 2)
	p.core.First(start, p.waiting[0])
	p.core.First(start, p.waiting[0])
	is.Equal(p.window.under, 1)
	p.core.Leave(start, p.waiting[0], 1)
	p.core.Leave(start, p.waiting[1], 0)
	p.core.Leave(start, p.waiting[1], 0)
	is.Equal(p.window.under, 0)
	p.core.Leave(start, p.waiting[2], 0) // was never dispatched
	is.Equal(p.window.under, 0)
}

// TestRecentForgets checks the shares over a random run of tickets.
func TestRecentForgets(t *testing.T) {
	is := is.New(t)
	var r recent
	is.Equal(r.share("0"), 1.0)
	random := rand.New(rand.NewPCG(1, 1))
	var all []string
	for range 1000 {
		name := fmt.Sprint(random.IntN(20))
		all = append(all, name)
		r.add(name, 2)
		last := all[max(0, len(all)-recentLength):]
		counts := map[string]int{}
		for _, n := range last {
			counts[n]++
		}
		is.Equal(r.weights, 2*float64(len(counts)))
		is.Equal(r.share(name), float64(counts[name])/float64(len(last)))
	}
}

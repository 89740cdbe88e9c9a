package usage

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "zinniapin/internal/fixedseed"
)

// TestRelayLosesNothing hands counters over in any order, by gateways and
// controllers, while the store confirms some and gateways release what they
// know to be stored: what is confirmed was stored, and all else is pending.
func TestRelayLosesNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := NewRelayBuffer(4, 1000)
		now := time.Unix(0, 0)
		stored := map[counterID]Amount{}
		given := map[counterID]Amount{}
		last := map[counterID]uint64{} // the last push that carried a counter
		sequence := uint64(0)
		rt.Repeat(map[string]func(*rapid.T){
			"add": func(rt *rapid.T) {
				c, h := drawCounter(rt), PushInfo{Delay: time.Duration(rapid.IntRange(0, 2).Draw(rt, "delay")) * usageTestDelay}
				if rapid.Bool().Draw(rt, "gateway") {
					sequence++
					h.Sequence = sequence
					last[idOf(c)] = sequence
				}
				covered, refused := r.Add(now, []Counter{c}, h)
				if len(refused) > 0 {
					rt.Fatalf("%v is refused", c)
				}
				if have := stored[idOf(c)]; len(covered) > 0 && have.Max(c.Amount) != have {
					rt.Fatalf("%v is confirmed, stored is %v", c, have)
				}
				given[idOf(c)] = given[idOf(c)].Max(c.Amount)
			},
			"hand on": func(rt *rapid.T) {
				now = now.Add(usageTestDelay)
				for _, counters := range r.Due(now) {
					if !rapid.Bool().Draw(rt, "stored") {
						continue
					}
					r.MarkStored(now, counters)
					for _, c := range counters {
						stored[idOf(c)] = stored[idOf(c)].Max(c.Amount)
					}
				}
			},
			"release": func(*rapid.T) {
				through := sequence
				for id, s := range last {
					if stored[id].Max(given[id]) != stored[id] {
						through = min(through, s-1)
					}
				}
				r.Acknowledge("a", through)
				r.Acknowledge("b", through)
			},
			"age": func(*rapid.T) { r.RotateStored() },
			"": func(rt *rapid.T) {
				checkRelay(rt, r, given, stored)
			},
		})
	})
}

// TestRelayPausesBetweenHandovers checks that a counter that is held for
// another controller and grows all the time is handed on once in its delay.
func TestRelayPausesBetweenHandovers(t *testing.T) {
	is := is.New(t)
	r := NewRelayBuffer(1, 10)
	const delay, seconds = 15, 90
	handed := 0
	for second := range seconds {
		now := time.Unix(int64(second), 0)
		due := r.Due(now)
		c := counterID{"g", "o", 0}.counter(Amount{Requests: uint64(second + 1)})
		r.Add(now, []Counter{c}, PushInfo{Delay: delay * time.Second, Sequence: uint64(second + 1)})
		handed += len(due[0])
		r.MarkStored(now, due[0])
	}
	is.True(handed <= seconds/delay)
}

// usageTestDelay is a step of time that is shorter than a resend.
const usageTestDelay = 4 * time.Second

// drawCounter draws a counter of few gateways and organisations.
func drawCounter(rt *rapid.T) Counter {
	id := counterID{
		gateway:      rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "gateway"),
		organisation: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(rt, "organisation"),
	}
	return id.counter(Amount{Requests: rapid.Uint64Range(1, 9).Draw(rt, "requests")})
}

// allPending returns the counters that a relay holds.
func allPending(r *RelayBuffer) map[counterID]Amount {
	pending := map[counterID]Amount{}
	due := r.Due(time.Unix(1<<40, 0))
	for _, counters := range due {
		for _, c := range counters {
			pending[idOf(c)] = c.Amount
		}
	}
	return pending
}

// checkRelay checks that everything given is stored or pending.
func checkRelay(rt *rapid.T, r *RelayBuffer, given, stored map[counterID]Amount) {
	pending := allPending(r)
	for id, a := range given {
		kept := pending[id].Max(stored[id])
		if kept.Max(a) != kept {
			rt.Fatalf("%v of %v is lost: pending %v, stored %v", a, id, pending[id], stored[id])
		}
	}
}

func TestRelayIsBounded(t *testing.T) {
	is := is.New(t)
	r := NewRelayBuffer(4, 2)
	for i, organisation := range []string{"a", "b", "c"} {
		_, refused := r.Add(time.Unix(0, 0), []Counter{counterID{"g", organisation, 0}.counter(Amount{Requests: 1})}, PushInfo{})
		is.Equal(len(refused) > 0, i == 2)
	}
	is.Equal(r.Len(), 2)
}

// TestRelayWaitsForTheOtherController checks that a counter that is held for
// another controller waits, that it is handed on at once when the gateway asks
// for it, and that it is released when the gateway knows that it is stored.
func TestRelayWaitsForTheOtherController(t *testing.T) {
	is := is.New(t)
	r := NewRelayBuffer(1, 10)
	now := time.Unix(1000, 0)
	dueAt := func(at time.Time) int { return len(r.Due(at)[0]) }
	c := counterID{"g", "o", 0}.counter(Amount{Requests: 1})
	r.Add(now, []Counter{c}, PushInfo{Delay: time.Minute, Sequence: 1})
	is.Equal(dueAt(now), 0)
	is.Equal(dueAt(now.Add(time.Minute)), 1)
	r.Add(now, []Counter{c}, PushInfo{Sequence: 2}) // the other controller is gone
	is.Equal(dueAt(now), 1)
	c.Amount.Requests = 2
	r.Add(now, []Counter{c}, PushInfo{Sequence: 4})
	is.Equal(dueAt(now), 1)
	r.Acknowledge("g", 3)
	is.Equal(r.Len(), 1) // push 4 carried it again
	r.Acknowledge("g", 4)
	is.Equal(r.Len(), 0)
}

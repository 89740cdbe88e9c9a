package usage

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "zinniapin/internal/fixedseed"
)

// TestRelayLosesNothing checks that every counter added is either stored or pending,
// and that Add returns only stored ones as stored, when gateways and controllers add
// counters, some are stored, and gateways acknowledge some, in any order.
func TestRelayLosesNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := NewRelayBuffer(4, 1000)
		now := time.Unix(0, 0)
		stored := map[counterID]Amount{}
		added := map[counterID]Amount{}
		last := map[counterID]uint64{} // number of the last push that contained a counter
		sequence := uint64(0)
		rt.Repeat(map[string]func(*rapid.T){
			"add": func(rt *rapid.T) {
				c, info := drawCounter(rt), PushInfo{Delay: time.Duration(rapid.IntRange(0, 2).Draw(rt, "delay")) * relayStep}
				if rapid.Bool().Draw(rt, "gateway") {
					sequence++
					info.Sequence = sequence
					last[counterIDOf(c)] = sequence
				}
				confirmed, refused := r.Add(now, []Counter{c}, info)
				if len(refused) > 0 {
					rt.Fatalf("%v was refused", c)
				}
				if known := stored[counterIDOf(c)]; len(confirmed) > 0 && known.Max(c.Amount) != known {
					rt.Fatalf("%v was confirmed as stored, but only %v is", c, known)
				}
				added[counterIDOf(c)] = added[counterIDOf(c)].Max(c.Amount)
			},
			"hand on": func(rt *rapid.T) {
				now = now.Add(relayStep)
				for _, counters := range r.Due(now) {
					if !rapid.Bool().Draw(rt, "stored") {
						continue
					}
					r.MarkStored(now, counters)
					for _, c := range counters {
						stored[counterIDOf(c)] = stored[counterIDOf(c)].Max(c.Amount)
					}
				}
			},
			"release": func(*rapid.T) {
				through := sequence
				for id, s := range last {
					if stored[id].Max(added[id]) != stored[id] {
						through = min(through, s-1)
					}
				}
				r.Acknowledge("a", through)
				r.Acknowledge("b", through)
			},
			"age": func(*rapid.T) { r.RotateStored() },
			"": func(rt *rapid.T) {
				checkNothingLost(rt, r, added, stored)
			},
		})
	})
}

// TestRelayPausesBetweenHandovers checks that a counter with a delay that grows all
// the time is due only once per delay.
func TestRelayPausesBetweenHandovers(t *testing.T) {
	is := is.New(t)
	r := NewRelayBuffer(1, 10)
	const delay, seconds = 15, 90
	dueCount := 0
	for second := range seconds {
		now := time.Unix(int64(second), 0)
		due := r.Due(now)
		c := counterID{"g", "o", 0}.counter(Amount{Requests: uint64(second + 1)})
		r.Add(now, []Counter{c}, PushInfo{Delay: delay * time.Second, Sequence: uint64(second + 1)})
		dueCount += len(due[0])
		r.MarkStored(now, due[0])
	}
	is.True(dueCount <= seconds/delay)
}

// relayStep is the step of time in TestRelayLosesNothing. It is shorter than the
// interval after which a gateway pushes its counters again.
const relayStep = 4 * time.Second

// drawCounter draws a counter of one of two gateways and three organisations.
func drawCounter(rt *rapid.T) Counter {
	id := counterID{
		gateway:      rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "gateway"),
		organisation: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(rt, "organisation"),
	}
	return id.counter(Amount{Requests: rapid.Uint64Range(1, 9).Draw(rt, "requests")})
}

// pendingOf returns all pending counters of a buffer.
func pendingOf(r *RelayBuffer) map[counterID]Amount {
	pending := map[counterID]Amount{}
	due := r.Due(time.Unix(1<<40, 0))
	for _, counters := range due {
		for _, c := range counters {
			pending[counterIDOf(c)] = c.Amount
		}
	}
	return pending
}

// checkNothingLost checks that the amount of every counter added is stored or pending.
func checkNothingLost(rt *rapid.T, r *RelayBuffer, added, stored map[counterID]Amount) {
	pending := pendingOf(r)
	for id, a := range added {
		kept := pending[id].Max(stored[id])
		if kept.Max(a) != kept {
			rt.Fatalf("%v of %v is lost: pending %v, stored %v", a, id, pending[id], stored[id])
		}
	}
}

// TestRelayIsBounded checks that a buffer refuses counters beyond its limit.
func TestRelayIsBounded(t *testing.T) {
	is := is.New(t)
	r := NewRelayBuffer(4, 2)
	for i, organisation := range []string{"a", "b", "c"} {
		_, refused := r.Add(time.Unix(0, 0), []Counter{counterID{"g", organisation, 0}.counter(Amount{Requests: 1})}, PushInfo{})
		is.Equal(len(refused) > 0, i == 2)
	}
	is.Equal(r.Len(), 2)
}

// TestRelayWaitsForTheOtherController checks that a counter pushed with a delay is due
// after the delay, that it is due at once when the gateway pushes it without a delay,
// and that it is removed when the gateway acknowledges its last push.
func TestRelayWaitsForTheOtherController(t *testing.T) {
	is := is.New(t)
	r := NewRelayBuffer(1, 10)
	now := time.Unix(1000, 0)
	dueAt := func(at time.Time) int { return len(r.Due(at)[0]) }
	c := counterID{"g", "o", 0}.counter(Amount{Requests: 1})
	r.Add(now, []Counter{c}, PushInfo{Delay: time.Minute, Sequence: 1})
	is.Equal(dueAt(now), 0)
	is.Equal(dueAt(now.Add(time.Minute)), 1)
	r.Add(now, []Counter{c}, PushInfo{Sequence: 2}) // as after the other controller has failed
	is.Equal(dueAt(now), 1)
	c.Amount.Requests = 2
	r.Add(now, []Counter{c}, PushInfo{Sequence: 4})
	is.Equal(dueAt(now), 1)
	r.Acknowledge("g", 3)
	is.Equal(r.Len(), 1) // push 4 contained it again
	r.Acknowledge("g", 4)
	is.Equal(r.Len(), 0)
}

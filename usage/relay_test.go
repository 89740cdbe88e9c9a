package usage

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "zinniapin/internal/fixedseed"
)

// TestRelayLosesNothing hands counters over in any order while the store
// confirms some: what is confirmed to the gateway was stored, and all else is
// still pending.
func TestRelayLosesNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		r := NewRelay(4, 1000)
		stored := map[counterID]Amount{}
		given := map[counterID]Amount{}
		rt.Repeat(map[string]func(*rapid.T){
			"add": func(rt *rapid.T) {
				c := drawCounter(rt)
				for _, s := range r.Add([]Counter{c}) {
					have := stored[idOf(s)]
					if have.Max(s.Amount) != have {
						rt.Fatalf("%v is confirmed, stored is %v", s, have)
					}
				}
				given[idOf(c)] = given[idOf(c)].Max(c.Amount)
			},
			"store": func(rt *rapid.T) {
				for _, counters := range r.Pending() {
					if !rapid.Bool().Draw(rt, "stored") {
						continue
					}
					r.Stored(counters)
					for _, c := range counters {
						stored[idOf(c)] = stored[idOf(c)].Max(c.Amount)
					}
				}
			},
			"age": func(*rapid.T) { r.Age() },
			"": func(rt *rapid.T) {
				checkRelay(rt, r, given, stored)
			},
		})
	})
}

// drawCounter draws a counter of few gateways and organisations.
func drawCounter(rt *rapid.T) Counter {
	id := counterID{
		gateway:      rapid.SampledFrom([]string{"a", "b"}).Draw(rt, "gateway"),
		organisation: rapid.SampledFrom([]string{"x", "y", "z"}).Draw(rt, "organisation"),
	}
	return id.counter(Amount{Requests: rapid.Uint64Range(1, 9).Draw(rt, "requests")})
}

// checkRelay checks that everything given is stored or pending.
func checkRelay(rt *rapid.T, r *Relay, given, stored map[counterID]Amount) {
	pending := map[counterID]Amount{}
	for _, counters := range r.Pending() {
		for _, c := range counters {
			pending[idOf(c)] = c.Amount
		}
	}
	for id, a := range given {
		kept := pending[id].Max(stored[id])
		if kept.Max(a) != kept {
			rt.Fatalf("%v of %v is lost: pending %v, stored %v", a, id, pending[id], stored[id])
		}
	}
}

func TestRelayIsBounded(t *testing.T) {
	is := is.New(t)
	r := NewRelay(4, 2)
	for _, organisation := range []string{"a", "b", "c"} {
		r.Add([]Counter{counterID{"g", organisation, 0}.counter(Amount{Requests: 1})})
	}
	is.Equal(r.Len(), 2)
}

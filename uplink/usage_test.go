package uplink

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/usage"
)

// counterOf returns a counter of an organisation.
func counterOf(organisation string, requests uint64) usage.Counter {
	return usage.Counter{Gateway: "g", Organisation: organisation, Window: time.Unix(60, 0).UTC(), Amount: usage.Amount{Requests: requests}}
}

// TestPushesOnChange checks that a controller is sent what grew beyond what it
// holds, is asked for the rest more and more rarely, and is told to release
// only pushes of which nothing waits.
func TestPushesOnChange(t *testing.T) {
	is := is.New(t)
	h, now := newUsageHeld(), time.Unix(100, 0)
	both := []usage.Counter{counterOf("a", 1), counterOf("b", 1)}
	is.Equal(h.wanted(now, both, true), both)
	is.Equal(h.wanted(now, both, true), both) // the push before was not answered
	h.took(now, 1, both)
	is.Equal(len(h.wanted(now, both, true)), 0)
	is.Equal(h.storedThrough(2), uint64(0))
	grown := []usage.Counter{counterOf("a", 2), counterOf("b", 1)}
	is.Equal(h.wanted(now, grown, true), grown[:1])
	h.took(now, 2, grown[:1])
	is.Equal(h.storedThrough(3), uint64(0)) // b waits since the first push
	is.Equal(len(h.wanted(now, grown[:1], true)), 0)
	is.Equal(h.storedThrough(3), uint64(1))
	now = now.Add(minAsk)
	is.Equal(len(h.wanted(now, grown[:1], false)), 0)
	is.Equal(len(h.wanted(now, grown[:1], true)), 1)
	h.took(now, 3, grown[:1])
	is.Equal(len(h.wanted(now.Add(minAsk), grown[:1], true)), 0)
	is.Equal(len(h.wanted(now.Add(2*minAsk), grown[:1], true)), 1)
	is.Equal(len(h.wanted(now, nil, true)), 0)
	is.Equal(h.storedThrough(9), uint64(8))
}

// TestLearnsThatUsageIsStored checks that a gateway whose counters waited for
// long at a controller, and were asked for rarely, learns that they are stored
// before the controller has forgotten it.
func TestLearnsThatUsageIsStored(t *testing.T) {
	for outage := 600; outage < 660; outage++ {
		if !learnsAfter(outage) {
			t.Fatalf("not learnt after an outage of %d s", outage)
		}
	}
}

// learnsAfter tells whether a gateway learns within a minute after an outage
// of the store that its counter is stored.
func learnsAfter(outage int) bool {
	const learns, age, commit = 60, 30, 3 // seconds
	r, h := usage.NewRelayBuffer(1, 10), newUsageHeld()
	unstored := []usage.Counter{counterOf("a", 1)}
	for second := range outage + learns {
		now := time.Unix(int64(second), 0)
		if second%age == 0 {
			r.RotateStored()
		}
		if due := r.Due(now); second > outage && second%commit == 0 {
			r.MarkStored(now, due[0])
		}
		wanted := h.wanted(now, unstored, true)
		stored, _ := r.Add(now, wanted, usage.PushInfo{})
		h.took(now, uint64(second), wanted)
		if len(stored) > 0 {
			return true
		}
	}
	return false
}

package uplink

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/usage"
)

// counterOf returns an organisation's counter with a number of requests.
func counterOf(organisation string, requests uint64) usage.Counter {
	return usage.Counter{Gateway: "g", Organisation: organisation, Window: time.Unix(60, 0).UTC(), Amount: usage.Amount{Requests: requests}}
}

// TestPushesOnChange checks that a push contains the counters that have changed since the
// controller acknowledged them, that unchanged ones are sent again at growing intervals, and
// that storedThrough covers only pushes without unstored counters.
func TestPushesOnChange(t *testing.T) {
	is := is.New(t)
	h, now := newHeldUsage(), time.Unix(100, 0)
	both := []usage.Counter{counterOf("a", 1), counterOf("b", 1)}
	is.Equal(h.countersToSend(now, both, true), both)
	is.Equal(h.countersToSend(now, both, true), both) // the previous push was not acknowledged
	h.recordHeld(now, 1, both)
	is.Equal(len(h.countersToSend(now, both, true)), 0)
	is.Equal(h.storedThrough(2), uint64(0))
	grown := []usage.Counter{counterOf("a", 2), counterOf("b", 1)}
	is.Equal(h.countersToSend(now, grown, true), grown[:1])
	h.recordHeld(now, 2, grown[:1])
	is.Equal(h.storedThrough(3), uint64(0)) // b is unstored since the first push
	is.Equal(len(h.countersToSend(now, grown[:1], true)), 0)
	is.Equal(h.storedThrough(3), uint64(1))
	now = now.Add(minRecheckWait)
	is.Equal(len(h.countersToSend(now, grown[:1], false)), 0)
	is.Equal(len(h.countersToSend(now, grown[:1], true)), 1)
	h.recordHeld(now, 3, grown[:1])
	is.Equal(len(h.countersToSend(now.Add(minRecheckWait), grown[:1], true)), 0)
	is.Equal(len(h.countersToSend(now.Add(2*minRecheckWait), grown[:1], true)), 1)
	is.Equal(len(h.countersToSend(now, nil, true)), 0)
	is.Equal(h.storedThrough(9), uint64(8))
}

// TestLearnsThatUsageIsStored checks that a gateway learns that its counters are stored before
// the controller forgets it. After a long outage of the store the gateway sends unchanged
// counters only at long intervals.
func TestLearnsThatUsageIsStored(t *testing.T) {
	for outage := 600; outage < 660; outage++ {
		if !learnsStoredAfter(outage) {
			t.Fatalf("the gateway did not learn after an outage of %d s that its counter is stored", outage)
		}
	}
}

// learnsStoredAfter reports whether a gateway learns within a minute after an outage of the
// store, which takes outage seconds, that its counter is stored.
func learnsStoredAfter(outage int) bool {
	const maxLearnTime, rotateInterval, storeInterval = 60, 30, 3 // seconds
	relay, held := usage.NewRelayBuffer(1, 10), newHeldUsage()
	unstored := []usage.Counter{counterOf("a", 1)}
	for second := range outage + maxLearnTime {
		now := time.Unix(int64(second), 0)
		if second%rotateInterval == 0 {
			relay.RotateStored()
		}
		if due := relay.Due(now); second > outage && second%storeInterval == 0 {
			relay.MarkStored(now, due[0])
		}
		counters := held.countersToSend(now, unstored, true)
		stored, _ := relay.Add(now, counters, usage.PushInfo{})
		held.recordHeld(now, uint64(second), counters)
		if len(stored) > 0 {
			return true
		}
	}
	return false
}

package prepared

import (
	"fmt"
	"time"
)

// SharedMachine describes a target whose machine has other work at times, so that its own takes longer.
type SharedMachine struct {
	// Every is how often it is drawn whether the target is slowed; 0: it never is, and reports no load.
	Every time.Duration
	// Share is the share of that time in which it is slowed.
	Share float64
	// Percent is how long Delay and EventPause are then, in per cent of their values.
	Percent int
}

// slowdown returns how long work takes at the target now, in per cent. It depends on the id of the target and the
// time alone.
func (t *Target) slowdown(shared SharedMachine) int {
	if shared.Every <= 0 {
		return 100
	}
	r := newRandom(fmt.Sprint(t.ID, time.Now().UnixNano()/int64(shared.Every)))
	if r.Float64() < shared.Share {
		return shared.Percent
	}
	return 100
}

// slowed returns how long work takes now that usually takes d.
func (t *Target) slowed(d time.Duration) time.Duration {
	return d * time.Duration(t.slowdown(t.switches().Shared)) / 100
}

// loadHeader returns the header line with the target's load, if its machine is shared. It does not count its requests.
func (t *Target) loadHeader(shared SharedMachine) string {
	if shared.Every <= 0 {
		return ""
	}
	return fmt.Sprintf("X-Server-Load: 1,0,8,%d\r\n", t.slowdown(shared))
}

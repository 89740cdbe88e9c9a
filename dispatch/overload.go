package dispatch

import "time"

// overloadDetector tells a burst from a lasting overload of a service. During a burst
// requests may wait, since the queue drains. Under a lasting overload a long queue
// serves as many requests as a short one, but all of them late. So the longer the
// queue has not drained, the less a request may wait, and those that are admitted are
// served in time.
type overloadDetector struct {
	// queuedSince is when the present queue began, or zero. lastQueued is when a
	// request last found a queue that was not drained.
	queuedSince, lastQueued time.Time
}

const (
	// drainedWaitShare is the wait, as a share of the objective, up to which a queue
	// counts as drained.
	drainedWaitShare = 0.05
	// drainedTime is how long queues must stay drained before an overload counts as
	// over. With a shorter time, the short queues that the lower wait limit causes
	// would themselves look like the end of the overload.
	drainedTime = time.Second
	// maxBurstTime is how long a queue counts as a burst. After it the allowed wait
	// falls to its minimum within rampDownTime.
	maxBurstTime = 5 * time.Second
	rampDownTime = 3 * time.Second
)

// observe records the shortest wait that any target offers to a request with the
// objective.
func (d *overloadDetector) observe(now time.Time, wait, objective time.Duration) {
	if now.Sub(d.lastQueued) > drainedTime {
		d.queuedSince = time.Time{}
	}
	if float64(wait) <= drainedWaitShare*float64(objective) {
		return
	}
	if d.queuedSince.IsZero() {
		d.queuedSince = now
	}
	d.lastQueued = now
}

// waitShare returns the share of its objective that a request may wait: burst at
// first, then less the longer the queue lasts, down to least.
func (d *overloadDetector) waitShare(now time.Time, burst, least float64) float64 {
	if d.queuedSince.IsZero() || now.Sub(d.lastQueued) > drainedTime {
		return burst
	}
	ramp := min(max(float64(now.Sub(d.queuedSince)-maxBurstTime)/float64(rampDownTime), 0), 1)
	return burst - ramp*(burst-least)
}

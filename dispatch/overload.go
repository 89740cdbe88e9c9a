package dispatch

import "time"

// standing tells a burst from a lasting overload of a service. A burst is best
// waited out, since its queue drains. Under a lasting overload a long queue
// serves nobody better: as many requests are served as with a short one, but all
// of them late. So the longer the queue has not drained, the less a request may
// wait, and those that are served are in time again.
type standing struct {
	// since is when the queue began that has not drained, seen when a request
	// met it last.
	since, seen time.Time
}

const (
	// drainedShare is the share of its objective that a request may wait at a
	// target whose queue counts as drained.
	drainedShare = 0.05
	// drainedTime is how long queues must be drained for an overload to be over:
	// with less, a short queue is taken for the end of what keeps it short.
	drainedTime = time.Second
	// burstTime is how long a queue may last as one of a burst; after it the
	// bounds fall to the least within fallTime.
	burstTime = 5 * time.Second
	fallTime  = 3 * time.Second
)

// note takes the least wait that a request would meet.
func (s *standing) note(now time.Time, wait, objective time.Duration) {
	if now.Sub(s.seen) > drainedTime {
		s.since = time.Time{}
	}
	if float64(wait) <= drainedShare*float64(objective) {
		return
	}
	if s.since.IsZero() {
		s.since = now
	}
	s.seen = now
}

// share returns the share of its objective that a request may wait: the one for
// bursts, or less, down to the least, the longer the queue lasts.
func (s *standing) share(now time.Time, burst, least float64) float64 {
	if s.since.IsZero() || now.Sub(s.seen) > drainedTime {
		return burst
	}
	fallen := min(max(float64(now.Sub(s.since)-burstTime)/float64(fallTime), 0), 1)
	return burst - fallen*(burst-least)
}

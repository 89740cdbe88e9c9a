package admission

import (
	"math"
	"time"
)

// paceSmoothing is the weight of one dispatch in the average interval.
const paceSmoothing = 0.1

// pace measures how often a place opens at a pool that has none. Requests
// under way say little of that: a window opens with a first token, long
// before the request ends.
type pace struct {
	interval float64 // average seconds between places; 0 while unknown
	blocked  bool    // no place is open
	since    time.Time
}

// opened takes in places that opened since the last ones.
func (s *pace) opened(now time.Time, places int) {
	sample := now.Sub(s.since).Seconds() / float64(places)
	s.since = now
	if s.interval == 0 {
		s.interval = sample
		return
	}
	kept := math.Pow(1-paceSmoothing, float64(places))
	s.interval = kept*s.interval + (1-kept)*sample
}

// overdue returns by how much the next place comes later than the average,
// in seconds: it is expected to take as long again as it has been waited for.
func (s *pace) overdue(now time.Time) float64 {
	if !s.blocked {
		return 0
	}
	return max(0, now.Sub(s.since).Seconds()-s.interval)
}

// dispatched takes in a round of dispatches.
func (p *pool) dispatched(now time.Time, tickets int) {
	if p.pace.blocked && tickets > 0 {
		p.pace.opened(now, tickets)
	}
	blocked := !p.open()
	if blocked && !p.pace.blocked {
		p.pace.since = now
	}
	p.pace.blocked = blocked
}

// freed takes in that a place may have opened while nothing waits. Without
// it, an estimate that refuses everything would never be corrected.
func (p *pool) freed(now time.Time) {
	if p.pace.blocked && p.queue.length == 0 && p.open() {
		p.pace.opened(now, 1)
		p.pace.blocked = false
	}
}

// RetryAfter returns when a request like this one, which waited in vain,
// should come back.
func (c *Scheduler) RetryAfter(now time.Time, r Request) time.Duration {
	return atLeast(c.pool(r.Pool).wait(now, r.Organisation, weight(r.Contract)))
}

// wait estimates how long a new ticket of the organisation waits for its
// dispatch.
func (p *pool) wait(now time.Time, organisation string, weight float64) time.Duration {
	if p.open() && p.running+p.queue.length < p.capacity {
		return 0
	}
	interval := p.pace.interval
	if interval == 0 {
		interval = p.serviceTime() / float64(max(1, p.capacity))
	}
	seconds := p.pace.overdue(now) + float64(p.queue.ahead(organisation, weight)+1)*interval
	return time.Duration(math.Min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// serviceTime returns the average seconds from dispatch to end.
func (p *pool) serviceTime() float64 {
	if p.service == 0 {
		return firstServiceTime.Seconds()
	}
	return p.service
}

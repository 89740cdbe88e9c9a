package admission

import (
	"math"
	"time"
)

// slotSmoothing is the weight of one dispatch in the moving average of slot intervals.
const slotSmoothing = 0.1

// slotInterval measures the time between free slots at a pool that is full. It cannot be
// derived from the number of running requests: a slot in the prompt window opens with the
// first token, long before the request ends.
type slotInterval struct {
	mean       float64   // average seconds between free slots; 0 while unknown
	full       bool      // no slot is free
	lastOpened time.Time // when the last slot opened, or when the pool became full
}

// observe records that slots opened since the last call.
func (s *slotInterval) observe(now time.Time, slots int) {
	sample := now.Sub(s.lastOpened).Seconds() / float64(slots)
	s.lastOpened = now
	if s.mean == 0 {
		s.mean = sample
		return
	}
	oldWeight := math.Pow(1-slotSmoothing, float64(slots))
	s.mean = oldWeight*s.mean + (1-oldWeight)*sample
}

// overdue returns by how much the expected time to the next slot exceeds the mean interval, in
// seconds. A late slot is expected to take as long again as it has been waited for.
func (s *slotInterval) overdue(now time.Time) float64 {
	if !s.full {
		return 0
	}
	return max(0, now.Sub(s.lastOpened).Seconds()-s.mean)
}

// observeDispatch updates the slot intervals after a round of dispatches.
func (p *pool) observeDispatch(now time.Time, tickets int) {
	if p.slots.full && tickets > 0 {
		p.slots.observe(now, tickets)
	}
	full := !p.hasRoom()
	if full && !p.slots.full {
		p.slots.lastOpened = now
	}
	p.slots.full = full
}

// observeFreedSlot records a slot that opens while no ticket is queued. Otherwise an estimate
// so high that every request is refused would never be corrected.
func (p *pool) observeFreedSlot(now time.Time) {
	if p.slots.full && p.queue.length == 0 && p.hasRoom() {
		p.slots.observe(now, 1)
		p.slots.full = false
	}
}

// RetryAfter returns the retry-after time for a request that waited in the queue and was not
// dispatched.
func (s *Scheduler) RetryAfter(now time.Time, r Request) time.Duration {
	return clampRetryAfter(s.pool(r.Pool).expectedWait(now, r.Organisation, weight(r.Contract)))
}

// expectedWait estimates how long a new ticket of the organisation waits for its dispatch.
func (p *pool) expectedWait(now time.Time, organisation string, weight float64) time.Duration {
	if p.hasRoom() && p.running+p.queue.length < p.capacity {
		return 0
	}
	interval := p.slots.mean
	if interval == 0 {
		interval = p.serviceTime() / float64(max(1, p.capacity))
	}
	load := p.arrivals.RateAt(now, shortRateSpan) * interval
	seconds := p.slots.overdue(now) + float64(p.queue.ticketsAhead(organisation, weight, load)+1)*interval
	return time.Duration(math.Min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
}

// serviceTime returns the average time from dispatch to end in seconds, or defaultServiceTime
// if no request has ended yet.
func (p *pool) serviceTime() float64 {
	if p.meanServiceSeconds == 0 {
		return defaultServiceTime.Seconds()
	}
	return p.meanServiceSeconds
}

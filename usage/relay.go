package usage

import (
	"sync"
	"time"
)

// RelayBuffer holds counters that a controller received from gateways until the
// controllers that own their shards have stored them, so that they are not lost when
// the gateway ends. It is safe for concurrent use.
type RelayBuffer struct {
	shards int
	limit  int

	mu             sync.Mutex
	pending        map[counterID]*pendingCounter
	stored         map[counterID]Amount // confirmed as stored since the last rotation
	previousStored map[counterID]Amount // confirmed as stored in the interval before it
}

// pendingCounter is a counter that is not known to be stored.
type pendingCounter struct {
	amount   Amount
	delay    time.Duration // from when it was received until it is due
	due      time.Time     // when it is to be sent to the owner of its shard
	sequence uint64        // of the gateway's last push that contained it
}

// PushInfo describes the push with which a gateway sent its counters.
type PushInfo struct {
	// Delay is how long the counters are held until they are due to be sent to the
	// owner of their shard, which stores them. It is set for a backup push, whose
	// counters another controller normally stores in the meantime.
	Delay time.Duration
	// Sequence is the number of the push, which increases from push to push. 0 if it
	// has none.
	Sequence uint64
}

// NewRelayBuffer returns an empty buffer that holds at most limit counters.
func NewRelayBuffer(shards, limit int) *RelayBuffer {
	return &RelayBuffer{
		shards:         shards,
		limit:          limit,
		pending:        map[counterID]*pendingCounter{},
		stored:         map[counterID]Amount{},
		previousStored: map[counterID]Amount{},
	}
}

// Add adds a gateway's counters. The gateway keeps its own copy until they are stored.
// Add returns the indices of the counters that are already stored and of those for
// which there is no room, which the gateway's next push contains again.
func (r *RelayBuffer) Add(now time.Time, counters []Counter, info PushInfo) (stored, refused []uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, c := range counters {
		switch {
		case r.isStored(counterIDOf(c), c.Amount):
			stored = append(stored, uint32(i))
		case !r.merge(now, c, info):
			refused = append(refused, uint32(i))
		}
	}
	return stored, refused
}

// merge merges a counter into the pending ones. It returns false if there is no room.
// The lock is held.
func (r *RelayBuffer) merge(now time.Time, c Counter, info PushInfo) bool {
	id, due := counterIDOf(c), now.Add(info.Delay)
	p := r.pending[id]
	if p == nil {
		if len(r.pending) >= r.limit {
			return false
		}
		r.pending[id] = &pendingCounter{amount: c.Amount, delay: info.Delay, due: due, sequence: info.Sequence}
		return true
	}
	p.amount = p.amount.Max(c.Amount)
	p.delay = min(p.delay, info.Delay)
	p.sequence = max(p.sequence, info.Sequence)
	if due.Before(p.due) {
		p.due = due
	}
	return true
}

// isStored reports whether an amount is known to be stored. The lock is held.
func (r *RelayBuffer) isStored(id counterID, a Amount) bool {
	current, inCurrent := r.stored[id]
	previous, inPrevious := r.previousStored[id]
	known := current.Max(previous)
	return (inCurrent || inPrevious) && known.Max(a) == known
}

// Due returns the counters, by shard, that are to be sent to the owners of their
// shards at the given time.
func (r *RelayBuffer) Due(now time.Time) map[int][]Counter {
	r.mu.Lock()
	defer r.mu.Unlock()
	byShard := map[int][]Counter{}
	for id, p := range r.pending {
		if p.due.After(now) {
			continue
		}
		n := ShardOf(id.organisation, r.shards)
		byShard[n] = append(byShard[n], id.counter(p.amount))
	}
	return byShard
}

// Len returns the number of counters that are not known to be stored.
func (r *RelayBuffer) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pending)
}

// MarkStored records that the given counters are stored in the object API.
func (r *RelayBuffer) MarkStored(now time.Time, counters []Counter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range counters {
		id := counterIDOf(c)
		r.stored[id] = r.stored[id].Max(c.Amount)
		p := r.pending[id]
		switch {
		case p == nil:
		case p.amount.Max(c.Amount) == c.Amount:
			delete(r.pending, id)
		default:
			p.due = now.Add(p.delay) // a larger amount was added in the meantime
		}
	}
}

// Acknowledge removes the counters that a gateway last pushed in a push with a number
// up to through: the gateway knows that they are stored.
func (r *RelayBuffer) Acknowledge(gateway string, through uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, p := range r.pending {
		if id.gateway == gateway && p.sequence > 0 && p.sequence <= through {
			delete(r.pending, id)
		}
	}
}

// RotateStored forgets the counters that were confirmed as stored before the previous
// call of RotateStored. If a gateway pushes one of them again, it is stored again,
// which changes nothing.
func (r *RelayBuffer) RotateStored() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.previousStored = r.stored
	r.stored = map[counterID]Amount{}
}

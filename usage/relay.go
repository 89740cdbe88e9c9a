package usage

import (
	"sync"
	"time"
)

// Relay holds counters on their way from gateways to the controllers that
// store them. What a gateway hands over stays here until it is stored, so it
// outlives the gateway. It is safe for concurrent use.
type RelayBuffer struct {
	shards int
	limit  int

	mu      sync.Mutex
	pending map[counterID]*waiting
	stored  map[counterID]Amount // lately confirmed
	former  map[counterID]Amount // confirmed in the interval before
}

// waiting is a counter that is not known to be stored.
type waiting struct {
	amount   Amount
	delay    time.Duration // from when it came until it is to be handed on
	due      time.Time     // when it is to be handed on
	sequence uint64        // of the gateway's last push that carried it
}

// Handover is how a gateway's counters come to a relay.
type PushInfo struct {
	// Delay is how long the counters wait before they are handed on; another
	// controller does so meanwhile.
	Delay time.Duration
	// Sequence is the number of the push; it rises. 0 if it has none.
	Sequence uint64
}

// NewRelay returns an empty relay that holds at most limit counters.
func NewRelayBuffer(shards, limit int) *RelayBuffer {
	return &RelayBuffer{
		shards:  shards,
		limit:   limit,
		pending: map[counterID]*waiting{},
		stored:  map[counterID]Amount{},
		former:  map[counterID]Amount{},
	}
}

// Add takes in a gateway's counters, of which the gateway keeps its own copy
// until they are stored. It returns the indices of those that are stored and
// of those for which there is no room, which are left to the next push.
func (r *RelayBuffer) Add(now time.Time, counters []Counter, h PushInfo) (stored, refused []uint32) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, c := range counters {
		switch {
		case r.covers(idOf(c), c.Amount):
			stored = append(stored, uint32(i))
		case !r.keep(now, c, h):
			refused = append(refused, uint32(i))
		}
	}
	return stored, refused
}

// keep merges a counter; it returns false when there is no room. The lock is
// held.
func (r *RelayBuffer) keep(now time.Time, c Counter, h PushInfo) bool {
	id, due := idOf(c), now.Add(h.Delay)
	old := r.pending[id]
	if old == nil {
		if len(r.pending) >= r.limit {
			return false
		}
		r.pending[id] = &waiting{amount: c.Amount, delay: h.Delay, due: due, sequence: h.Sequence}
		return true
	}
	old.amount = old.amount.Max(c.Amount)
	old.delay = min(old.delay, h.Delay)
	old.sequence = max(old.sequence, h.Sequence)
	if due.Before(old.due) {
		old.due = due
	}
	return true
}

// covers tells whether an amount is known to be stored. The lock is held.
func (r *RelayBuffer) covers(id counterID, a Amount) bool {
	lately, now := r.stored[id]
	before, then := r.former[id]
	known := lately.Max(before)
	return (now || then) && known.Max(a) == known
}

// Due returns the counters that are to be handed on by now, by shard.
func (r *RelayBuffer) Due(now time.Time) map[int][]Counter {
	r.mu.Lock()
	defer r.mu.Unlock()
	byShard := map[int][]Counter{}
	for id, w := range r.pending {
		if w.due.After(now) {
			continue
		}
		n := ShardOf(id.organisation, r.shards)
		byShard[n] = append(byShard[n], id.counter(w.amount))
	}
	return byShard
}

// Len returns the number of counters that are not stored yet.
func (r *RelayBuffer) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pending)
}

// Stored notes counters that the object API holds.
func (r *RelayBuffer) MarkStored(now time.Time, counters []Counter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range counters {
		id := idOf(c)
		r.stored[id] = r.stored[id].Max(c.Amount)
		w := r.pending[id]
		switch {
		case w == nil:
		case w.amount.Max(c.Amount) == c.Amount:
			delete(r.pending, id)
		default:
			w.due = now.Add(w.delay) // the rest came later
		}
	}
}

// Release forgets what a gateway's pushes up to a number carried and none
// since: the gateway knows that it is stored.
func (r *RelayBuffer) Acknowledge(gateway string, through uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id, w := range r.pending {
		if id.gateway == gateway && w.sequence > 0 && w.sequence <= through {
			delete(r.pending, id)
		}
	}
}

// Age forgets what was confirmed before the last call of Age. Gateways that
// ask later push again, which does no harm.
func (r *RelayBuffer) RotateStored() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.former = r.stored
	r.stored = map[counterID]Amount{}
}

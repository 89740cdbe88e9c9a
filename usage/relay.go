package usage

import "sync"

// Relay holds counters on their way from gateways to the controllers that
// store them. What a gateway hands over stays here until it is stored, so it
// outlives the gateway. It is safe for concurrent use.
type Relay struct {
	shards int
	limit  int

	mu      sync.Mutex
	pending map[counterID]Amount
	stored  map[counterID]Amount // lately confirmed
	former  map[counterID]Amount // confirmed in the interval before
}

// NewRelay returns an empty relay that holds at most limit counters.
func NewRelay(shards, limit int) *Relay {
	return &Relay{
		shards:  shards,
		limit:   limit,
		pending: map[counterID]Amount{},
		stored:  map[counterID]Amount{},
		former:  map[counterID]Amount{},
	}
}

// Add takes in a gateway's counters, for which the gateway keeps its own copy
// until they are stored, and returns those that are. A counter for which there
// is no room is left to the gateway's next push.
func (r *Relay) Add(counters []Counter) (stored []Counter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range counters {
		id := idOf(c)
		if r.covers(id, c.Amount) {
			stored = append(stored, c)
			continue
		}
		old, known := r.pending[id]
		if known || len(r.pending) < r.limit {
			r.pending[id] = old.Max(c.Amount)
		}
	}
	return stored
}

// covers tells whether an amount is known to be stored. The lock is held.
func (r *Relay) covers(id counterID, a Amount) bool {
	lately, now := r.stored[id]
	before, then := r.former[id]
	known := lately.Max(before)
	return (now || then) && known.Max(a) == known
}

// Pending returns the counters that are not stored yet, by shard.
func (r *Relay) Pending() map[int][]Counter {
	r.mu.Lock()
	defer r.mu.Unlock()
	byShard := map[int][]Counter{}
	for id, a := range r.pending {
		n := ShardOf(id.organisation, r.shards)
		byShard[n] = append(byShard[n], id.counter(a))
	}
	return byShard
}

// Len returns the number of counters that are not stored yet.
func (r *Relay) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.pending)
}

// Stored notes counters that the object API holds.
func (r *Relay) Stored(counters []Counter) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range counters {
		id := idOf(c)
		r.stored[id] = r.stored[id].Max(c.Amount)
		waiting, known := r.pending[id]
		if known && waiting.Max(c.Amount) == c.Amount {
			delete(r.pending, id)
		}
	}
}

// Age forgets what was confirmed before the last call of Age. Gateways that
// ask later push again, which does no harm.
func (r *Relay) Age() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.former = r.stored
	r.stored = map[counterID]Amount{}
}

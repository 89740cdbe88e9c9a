package intake

import (
	"time"

	"zinniapin/invariant"
)

// Ledger decides who may hold what. It is a plain type without input, output or clock; Budget carries out its decisions.
//
// Its invariant is that the bytes of all holders, and those that were given back and not collected yet, never exceed the
// limit. A holder that has not sent a complete request yet
// can be evicted in favour of another one, the highest product of bytes and age first: a sound client sends a request
// within milliseconds, so that its product stays small, however many unfinished requests there are. A complete request
// is kept until its answer was sent.
type Ledger struct {
	limit     int64
	used      int64
	garbage   int64 // bytes that were given back and may still be in memory
	ending    int64 // bytes of holders that were evicted and have not gone yet
	keptLarge int64 // bytes of kept holders with more than smallBytes
	holders   map[*Holder]struct{}
	queue     []*Holder // holders that wait for bytes, in the order of their requests
	queued    int64     // bytes that they wait for
}

const (
	// smallBytes is the size up to which a complete request may use the whole limit.
	smallBytes = 256 << 10
	// largeShare is the share of the limit for complete requests that are larger, so that some is left for the others.
	largeShare = 0.85
	// minAge is added to each age, so that holders which have just begun are compared by their bytes.
	minAge = time.Millisecond
)

// Address is a listening address with its own limit of connections.
type Address struct {
	// Name tells the address apart in logs and metrics.
	Name string
	// Connections bounds the connections that are open.
	Connections int
	// ConnectionBytes is what a connection holds by itself: stacks, buffers, the head of a request of ordinary size, and
	// what the kernel keeps of its unread input.
	ConnectionBytes int64
	// AnswerBytes is what the kernel keeps of an answer that the other end does not read.
	AnswerBytes int64

	open int
}

// Holder is a connection by what it makes the process hold.
type Holder struct {
	address *Address
	bytes   int64
	wants   int64     // bytes that it waits for
	since   time.Time // when its present request, or the wait for one, began
	kept    bool
	ending  bool
	gone    bool
	closed  bool // its connection does not count any more
}

// NewLedger returns a ledger for a number of bytes.
func NewLedger(limit int64) *Ledger {
	return &Ledger{limit: limit, holders: make(map[*Holder]struct{})}
}

// SetLimit changes the number of bytes. It takes effect on requests from then on.
func (l *Ledger) SetLimit(limit int64) { l.limit = limit }

// Outcome is the outcome of a request for bytes.
type Outcome int

// Outcomes of requests for bytes.
const (
	// Granted means that the bytes may be held.
	Granted Outcome = iota
	// Waiting means that the bytes will be granted once those of evicted holders are free.
	Waiting
	// Refused means that nobody can be evicted in favour of the holder.
	Refused
)

// Open adds a connection. If its address has no further connection left, the one that has waited longest is evicted and is
// to be closed at once. It returns nil if there is none that can be.
func (l *Ledger) Open(now time.Time, a *Address) (h, evicted *Holder) {
	if a.open >= a.Connections {
		for other := range l.holders {
			if other.address == a && other.evictable() && (evicted == nil || other.since.Before(evicted.since)) {
				evicted = other
			}
		}
		if evicted == nil {
			return nil, nil
		}
		l.evict(evicted)
		evicted.closed = true
		a.open--
	}
	h = &Holder{address: a, since: now}
	l.holders[h] = struct{}{}
	a.open++
	return h, evicted
}

// Reserve asks for n more bytes for a holder. The holders returned were evicted; they are to end soon.
func (l *Ledger) Reserve(now time.Time, h *Holder, n int64) (Outcome, []*Holder) {
	if h.ending || h.gone {
		return Refused, nil
	}
	if len(l.queue) == 0 && l.used+l.garbage+n <= l.limit {
		l.add(h, n)
		return Granted, nil
	}
	evicted, enough := l.choose(now, h, n)
	if !enough {
		return Refused, nil
	}
	for _, other := range evicted {
		l.evict(other)
	}
	h.wants = n
	l.queue = append(l.queue, h)
	l.queued += n
	return Waiting, evicted
}

// choose returns the holders to evict, so that a holder can have n more bytes, and whether they are enough. Garbage needs
// nobody to be evicted.
func (l *Ledger) choose(now time.Time, h *Holder, n int64) (chosen []*Holder, enough bool) {
	need := l.used + l.queued + n - l.limit - l.ending
	own := score(now, h, n)
	if h.kept {
		own = 0 // its request may have run already
	}
	taken := make(map[*Holder]bool)
	for need > 0 {
		var most *Holder
		var highest float64
		for other := range l.holders {
			if s := score(now, other, 0); other != h && other.evictable() && !taken[other] && s > own && (most == nil || s > highest) {
				most, highest = other, s
			}
		}
		if most == nil {
			return nil, false
		}
		taken[most] = true
		chosen = append(chosen, most)
		need -= most.bytes + most.wants
	}
	return chosen, true
}

// score returns the product by which holders are evicted, with n more bytes.
func score(now time.Time, h *Holder, n int64) float64 {
	return float64(h.bytes+h.wants+n) * (now.Sub(h.since) + minAge).Seconds()
}

// evictable tells whether a holder can be evicted.
func (h *Holder) evictable() bool { return !h.kept && !h.ending }

// evict marks a holder as one that is to end.
func (l *Ledger) evict(h *Holder) {
	l.Cancel(h)
	h.ending = true
	l.ending += h.bytes
}

// add changes the bytes of a holder.
func (l *Ledger) add(h *Holder, n int64) {
	if h.kept && h.bytes > smallBytes {
		l.keptLarge -= h.bytes
	}
	h.bytes += n
	l.used += n
	if h.ending {
		l.ending += n
	}
	if h.kept && h.bytes > smallBytes {
		l.keptLarge += h.bytes
	}
	invariant.Check(h.bytes >= 0 && (n <= 0 || l.used+l.garbage <= l.limit), "intake_within_limit", "a holder has %d bytes, all have %d, %d are garbage, of %d", h.bytes, l.used, l.garbage, l.limit)
}

// Cancel withdraws the request of a holder that waits for bytes.
func (l *Ledger) Cancel(h *Holder) {
	for i, other := range l.queue {
		if other == h {
			l.queue = append(l.queue[:i], l.queue[i+1:]...)
			l.queued -= h.wants
			h.wants = 0
			return
		}
	}
}

// Discard gives back n bytes of a holder that stay in memory until they are collected.
func (l *Ledger) Discard(h *Holder, n int64) {
	if !h.gone {
		l.add(h, -n)
		l.garbage += n
	}
}

// Collect records that n bytes of garbage were collected, and returns the holders whose requests are granted now.
func (l *Ledger) Collect(n int64) []*Holder {
	l.garbage -= n
	return l.grant()
}

// Release gives back n bytes of a holder and returns the holders whose requests are granted now.
func (l *Ledger) Release(h *Holder, n int64) []*Holder {
	if h.gone {
		return nil
	}
	l.add(h, -n)
	return l.grant()
}

// grant grants requests that wait, in their order.
func (l *Ledger) grant() []*Holder {
	var granted []*Holder
	for len(l.queue) > 0 && l.used+l.garbage+l.queue[0].wants <= l.limit {
		h := l.queue[0]
		n := h.wants
		l.Cancel(h)
		l.add(h, n)
		granted = append(granted, h)
	}
	return granted
}

// Keep keeps a holder from being evicted, since its request is complete. It returns false if the holder was evicted
// before, or is large and there are too many of these.
func (l *Ledger) Keep(h *Holder) bool {
	if h.kept {
		return true
	}
	if h.ending || h.gone {
		return false
	}
	if h.bytes > smallBytes {
		if float64(l.keptLarge+h.bytes) > largeShare*float64(l.limit) {
			return false
		}
		l.keptLarge += h.bytes
	}
	h.kept = true
	return true
}

// Yield lets a holder be evicted again. Its age begins at now.
func (l *Ledger) Yield(now time.Time, h *Holder) {
	if h.kept && h.bytes > smallBytes {
		l.keptLarge -= h.bytes
	}
	h.kept, h.since = false, now
}

// Close removes a holder and returns those whose requests are granted now.
func (l *Ledger) Close(h *Holder) []*Holder {
	if h.gone {
		return nil
	}
	l.Cancel(h)
	l.add(h, -h.bytes)
	h.gone, h.kept = true, false
	delete(l.holders, h)
	if !h.closed {
		h.address.open--
	}
	return l.grant()
}

package duty

import "time"

const (
	// HoldTime is how long a holder may act on one confirmation of its hold.
	HoldTime = time.Second
	// CallTime bounds a call to the platform: one that was begun at the end of a
	// hold arrives this much later.
	CallTime = 1500 * time.Millisecond
	// handoverMargin covers the drift between two hosts' clocks over a hold.
	handoverMargin = 500 * time.Millisecond
)

// Hold limits when a holder of the duties may act on a platform that does not check
// fencing numbers, and thus carries out whatever a former holder still sends. Two
// rules replace the check:
//
//   - A holder acts only within HoldTime of the start of a call to the store that
//     showed the record to be its own.
//   - A new holder acts only once every call of the former one has arrived, which is
//     HoldTime, CallTime and a margin after it acquired the duties.
//
// The zero value is the hold of a process that has not acquired the duties. It is
// not safe for concurrent use.
type Hold struct {
	confirmedAt time.Time
	actsFrom    time.Time
}

// Acquire records that this process acquired the duties. The time is that at which
// the answer of the store arrived.
func (h *Hold) Acquire(now time.Time) {
	*h = Hold{confirmedAt: now, actsFrom: now.Add(HoldTime + CallTime + handoverMargin)}
}

// Confirm records that the store showed the record to be this process's. The time
// is that at which the call to the store was begun.
func (h *Hold) Confirm(begun time.Time) {
	if begun.After(h.confirmedAt) {
		h.confirmedAt = begun
	}
}

// Waits reports whether calls of the former holder may still arrive.
func (h *Hold) Waits(now time.Time) bool { return now.Before(h.actsFrom) }

// Confirmed reports whether the last confirmation still holds.
func (h *Hold) Confirmed(now time.Time) bool {
	return !h.confirmedAt.IsZero() && now.Sub(h.confirmedAt) < HoldTime
}

package gateway

import (
	"sync"
	"time"

	"zinniapin/routing"
)

// relocation holds the placement that a stream will move to because its engine is leaving.
// It is reserved before the running attempt is cancelled, so that a stream without an
// alternative stays at its engine as long as possible.
type relocation struct {
	mu     sync.Mutex
	next   *placement
	closed bool
}

// find reserves a new placement and tells whether it did. It does nothing once one is
// reserved.
func (l *relocation) find(f *fleet, q routing.Request) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.next != nil {
		return false
	}
	place, ok := f.choose(time.Now(), &q)
	if ok {
		l.next = place
	}
	return ok
}

// take removes and returns the reserved placement, or nil.
func (l *relocation) take() *placement {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := l.next
	l.next = nil
	return next
}

// close releases an unused placement. Later calls of find reserve none.
func (l *relocation) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.next != nil {
		l.next.done(time.Now(), false)
		l.next = nil
	}
}

package gateway

import (
	"sync"
	"time"

	"zinniapin/routing"
)

// relocation is the place that a stream moves to when its engine leaves. The
// new place is found before the old attempt is ended, so a stream that has
// nowhere to go stays as long as it can.
type relocation struct {
	mu     sync.Mutex
	next   *placement
	closed bool
}

// find chooses a new place and tells whether it found one just now.
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

// take returns the new place, or nil.
func (l *relocation) take() *placement {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := l.next
	l.next = nil
	return next
}

// close gives an unused place up; none is found from now on.
func (l *relocation) close() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	if l.next != nil {
		l.next.done(time.Now(), false)
		l.next = nil
	}
}

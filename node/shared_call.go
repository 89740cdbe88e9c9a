package node

import (
	"context"
	"errors"
	"sync"

	"zinniapin/invariant"
)

// sharedCall joins callers that need the same answer, which has to be newer than their wish for it: those
// who come while a call is on its way share the next one.
type sharedCall struct {
	call func() error

	mu      sync.Mutex
	running bool
	next    *sharedAnswer
}

// sharedAnswer is the answer to a call.
type sharedAnswer struct {
	done chan struct{}
	err  error
}

// join returns the error of a call that began after join, or that of the context.
func (s *sharedCall) join(ctx context.Context) error {
	s.mu.Lock()
	if s.next == nil {
		s.next = &sharedAnswer{done: make(chan struct{})}
	}
	answer := s.next
	if !s.running {
		s.running = true
		go s.run()
	}
	s.mu.Unlock()
	select {
	case <-answer.done:
		return answer.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run makes calls until nobody waits for one.
func (s *sharedCall) run() {
	for {
		s.mu.Lock()
		answer := s.next
		s.next, s.running = nil, answer != nil
		s.mu.Unlock()
		if answer == nil {
			return
		}
		answer.err = errCallFailed
		func() {
			defer invariant.Contain("shared call", nil)
			answer.err = s.call()
		}()
		close(answer.done)
	}
}

// errCallFailed means that a shared call has panicked.
var errCallFailed = errors.New("the shared call has failed within this host")

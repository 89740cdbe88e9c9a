package admission

import "time"

// PromptWindow limits the dispatched requests of a pool whose first token is still awaited.
// routing.PromptWindow implements it.
type PromptWindow interface {
	// SetMin sets the size in prompt tokens below which the window does not shrink.
	SetMin(tokens float64)
	// Open reports whether another request may be dispatched.
	Open() bool
	// Sent adds a dispatched request with that many prompt tokens.
	Sent(prompt int)
	// FirstToken removes a request whose first token came the given time after dispatch.
	FirstToken(now time.Time, prompt int, took time.Duration)
	// Ended removes a request that ended before its first token.
	Ended(prompt int)
}

// SetPromptWindow sets the prompt window of a pool, which limits dispatches in addition to its
// capacity. It must be called at most once per pool, before the first dispatch.
func (s *Scheduler) SetPromptWindow(name string, w PromptWindow) {
	s.pool(name).window = w
}

// SetMinPromptWindow sets the size in prompt tokens below which a pool's prompt window does
// not shrink. It has no effect on a pool without a window.
func (s *Scheduler) SetMinPromptWindow(name string, tokens float64) {
	if w := s.pool(name).window; w != nil {
		w.SetMin(tokens)
	}
}

// HasPromptWindow reports whether a pool has a prompt window.
func (s *Scheduler) HasPromptWindow(name string) bool {
	return s.pool(name).window != nil
}

// FirstToken records the first token of a dispatched ticket; later calls have no effect. The
// caller must call Dispatch afterwards, since the prompt window may have room again.
func (s *Scheduler) FirstToken(now time.Time, t *Ticket) {
	if !t.awaitsFirstToken {
		return
	}
	t.awaitsFirstToken = false
	p := s.pool(t.request.Pool)
	p.window.FirstToken(now, t.request.PromptTokens, now.Sub(t.dispatchedAt))
	p.observeFreedSlot(now)
}

// addToWindow adds a dispatched ticket to the prompt window, if there is one.
func (p *pool) addToWindow(t *Ticket) {
	if p.window == nil {
		return
	}
	t.awaitsFirstToken = true
	p.window.Sent(t.request.PromptTokens)
}

// removeFromWindow removes a ticket that ended before its first token from the prompt window.
func (p *pool) removeFromWindow(t *Ticket) {
	if t.awaitsFirstToken {
		t.awaitsFirstToken = false
		p.window.Ended(t.request.PromptTokens)
	}
}

// hasRoom reports whether another ticket may be dispatched.
func (p *pool) hasRoom() bool {
	return p.running < p.capacity && (p.window == nil || p.window.Open())
}

package admission

import "time"

// PromptWindow bounds the requests that are dispatched to a pool and have brought
// no first token yet. routing.PromptWindow is one.
type PromptWindow interface {
	// SetMin sets the prompt tokens below which the window does not shrink.
	SetMin(tokens float64)
	// Open tells whether another request may be dispatched.
	Open() bool
	// Sent takes in a dispatched request with its prompt tokens.
	Sent(prompt int)
	// FirstToken takes in a first token and the time since the dispatch.
	FirstToken(now time.Time, prompt int, took time.Duration)
	// Ended takes in a request that ended before its first token.
	Ended(prompt int)
}

// SetPromptWindow bounds a pool by a window besides its capacity. It is called once
// for a pool, before anything is dispatched there.
func (c *Scheduler) SetPromptWindow(name string, w PromptWindow) {
	c.pool(name).window = w
}

// SetMinPromptWindow sets the prompt tokens below which a pool's window does not shrink.
func (c *Scheduler) SetMinPromptWindow(name string, tokens float64) {
	if w := c.pool(name).window; w != nil {
		w.SetMin(tokens)
	}
}

// HasPromptWindow tells whether a pool is bounded by a window.
func (c *Scheduler) HasPromptWindow(name string) bool {
	return c.pool(name).window != nil
}

// FirstToken takes in the first token of a dispatched ticket; later ones do
// nothing. Dispatch must follow, since the window may have opened.
func (c *Scheduler) FirstToken(now time.Time, t *Ticket) {
	if !t.starting {
		return
	}
	t.starting = false
	p := c.pool(t.request.Pool)
	p.window.FirstToken(now, t.request.PromptTokens, now.Sub(t.began))
	p.freed(now)
}

// sent takes a dispatched ticket into the window.
func (p *pool) sent(t *Ticket) {
	if p.window == nil {
		return
	}
	t.starting = true
	p.window.Sent(t.request.PromptTokens)
}

// ended takes a ticket that brought no first token out of the window.
func (p *pool) ended(t *Ticket) {
	if t.starting {
		t.starting = false
		p.window.Ended(t.request.PromptTokens)
	}
}

// open tells whether another ticket may be dispatched.
func (p *pool) open() bool {
	return p.running < p.capacity && (p.window == nil || p.window.Open())
}

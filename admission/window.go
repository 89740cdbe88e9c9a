package admission

import "time"

// Window bounds the requests that are dispatched to a pool and have brought
// no first token yet. routing.Window is one.
type Window interface {
	// SetLeast sets the prompt tokens below which the window does not shrink.
	SetLeast(tokens float64)
	// Open tells whether another request may be dispatched.
	Open() bool
	// Sent takes in a dispatched request with its prompt tokens.
	Sent(prompt int)
	// First takes in a first token and the time since the dispatch.
	First(now time.Time, prompt int, took time.Duration)
	// Ended takes in a request that ended before its first token.
	Ended(prompt int)
}

// SetWindow bounds a pool by a window besides its capacity. It is called once
// for a pool, before anything is dispatched there.
func (c *Core) SetWindow(name string, w Window) {
	c.pool(name).window = w
}

// SetLeast sets the prompt tokens below which a pool's window does not shrink.
func (c *Core) SetLeast(name string, tokens float64) {
	if w := c.pool(name).window; w != nil {
		w.SetLeast(tokens)
	}
}

// Windowed tells whether a pool is bounded by a window.
func (c *Core) Windowed(name string) bool {
	return c.pool(name).window != nil
}

// First takes in the first token of a dispatched ticket; later ones do
// nothing. Dispatch must follow, since the window may have opened.
func (c *Core) First(now time.Time, t *Ticket) {
	if !t.starting {
		return
	}
	t.starting = false
	p := c.pool(t.request.Pool)
	p.window.First(now, t.request.PromptTokens, now.Sub(t.began))
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

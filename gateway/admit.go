package gateway

import (
	"context"
	"time"

	"zinniapin/admission"
	"zinniapin/result"
)

// admit takes a request through admission and waits for its dispatch. The
// ticket must be given back to leave.
func (g *Gateway) admit(ctx context.Context, r admission.Request) (*admission.Ticket, error) {
	now := time.Now()
	ticket, err := g.arrive(now, r)
	if err != nil {
		return nil, err
	}
	expired := time.NewTimer(r.Deadline.Sub(now))
	defer expired.Stop()
	select {
	case <-ticket.Ready:
		since(g.metrics.queueWait, now)
		return ticket, nil
	case <-ctx.Done():
		g.leave(ticket, r.Pool, 0)
		return nil, canceled(ctx)
	case <-expired.C:
		g.leave(ticket, r.Pool, 0)
		return nil, result.New(result.DeadlineNotReachable, "the request waited too long").Retry(g.retryAfter(r))
	}
}

// arrive decides on a request.
func (g *Gateway) arrive(now time.Time, r admission.Request) (*admission.Ticket, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	ticket, err := g.admission.Admit(now, r)
	if err == nil {
		g.dispatch(now, r.Pool)
	}
	return ticket, err
}

// leave gives a ticket back and dispatches what may run now.
func (g *Gateway) leave(t *admission.Ticket, pool string, outputTokens int) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admission.Done(now, t, outputTokens)
	g.dispatch(now, pool)
}

// started takes in a ticket's first token and dispatches what may run now.
func (g *Gateway) started(t *admission.Ticket, pool string) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admission.FirstToken(now, t)
	g.dispatch(now, pool)
}

// retryAfter returns when a request that waited in vain should come back.
func (g *Gateway) retryAfter(r admission.Request) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.RetryAfter(time.Now(), r)
}

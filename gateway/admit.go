package gateway

import (
	"context"
	"time"

	"zinniapin/admission"
	"zinniapin/result"
)

// admit submits a request to admission control and waits until it is dispatched. The caller
// must give the ticket back with release.
func (g *Gateway) admit(ctx context.Context, r admission.Request) (*admission.Ticket, error) {
	now := time.Now()
	ticket, err := g.submit(now, r)
	if err != nil {
		return nil, err
	}
	deadline := time.NewTimer(r.Deadline.Sub(now))
	defer deadline.Stop()
	select {
	case <-ticket.Ready:
		observeSince(g.metrics.queueWait, now)
		return ticket, nil
	case <-ctx.Done():
		g.release(ticket, r.Pool, 0)
		return nil, canceled(ctx)
	case <-deadline.C:
		g.release(ticket, r.Pool, 0)
		return nil, result.New(result.DeadlineNotReachable, "the request was not dispatched before its deadline").Retry(g.retryAfter(r))
	}
}

// submit admits a request into its pool's queue or refuses it, and dispatches what may run.
func (g *Gateway) submit(now time.Time, r admission.Request) (*admission.Ticket, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	ticket, err := g.admission.Admit(now, r)
	if err == nil {
		g.dispatch(now, r.Pool)
	}
	return ticket, err
}

// release gives a ticket back to the scheduler and dispatches what may run as a result.
func (g *Gateway) release(t *admission.Ticket, pool string, outputTokens int) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admission.Done(now, t, outputTokens)
	g.dispatch(now, pool)
}

// firstToken reports a ticket's first output token to the scheduler, which frees room for
// further prompts, and dispatches what may run as a result.
func (g *Gateway) firstToken(t *admission.Ticket, pool string) {
	now := time.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.admission.FirstToken(now, t)
	g.dispatch(now, pool)
}

// retryAfter returns when a request that timed out in the queue should be sent again.
func (g *Gateway) retryAfter(r admission.Request) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.RetryAfter(time.Now(), r)
}

package forward

import (
	"context"
	"errors"
	"time"

	"zinniapin/result"
)

// errHostStops is the cause with which the contexts of requests are cancelled when the host is about to stop.
var errHostStops = errors.New("the host stops")

// hostStoppingRetryAfter is the Retry-After of a host that stops. Other hosts take the request at once.
const hostStoppingRetryAfter = 50 * time.Millisecond

// stopTimes are the times of a planned stop.
type stopTimes struct {
	closing time.Time // from then on new connections go to other hosts
	end     time.Time // when every request must have been answered
}

// decideLate returns the deadline of a request that came to a host with a planned stop, or false if the request is to
// be refused. Until other hosts get the new connections, the request is taken for the time that is left. Later it is
// taken only if its deadline falls before the end: a refusal sends it to another host at once.
func (s *stopTimes) decideLate(now, deadline time.Time) (time.Time, bool) {
	switch {
	case s == nil || !deadline.After(s.end):
		return deadline, true
	case now.Before(s.closing):
		return s.end, true
	default:
		return deadline, false
	}
}

// Stop prepares the handler for a planned stop of its host. All requests are answered at the end, at which those in
// progress are cancelled. Requests that could not be answered by then are refused once the host is closing.
func (h *Handler) Stop(closing, end time.Time) {
	h.stop.Store(&stopTimes{closing, end})
	time.AfterFunc(time.Until(end), func() { h.cancelAll(errHostStops) })
}

// withStop returns a context that ends with errHostStops at the end of a planned stop.
func (h *Handler) withStop(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancelCause(ctx)
	detach := context.AfterFunc(h.stopped, func() { cancel(errHostStops) })
	return ctx, func() {
		detach()
		cancel(nil)
	}
}

// hostStops tells whether a context ended since the host stops.
func hostStops(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errHostStops) }

// boundByStop bounds the deadline of the request by a planned stop. It returns false if it has refused the request.
func (r *request) boundByStop() bool {
	deadline, taken := r.h.stop.Load().decideLate(time.Now(), r.deadline)
	if !taken {
		r.refuse(result.HostStopping, hostStoppingRetryAfter)
		return false
	}
	r.deadline = deadline
	return true
}

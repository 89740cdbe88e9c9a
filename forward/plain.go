package forward

import (
	"context"
	"net/http"
	"time"

	"zinniapin/dispatch"
	"zinniapin/result"
	"zinniapin/roster"
	"zinniapin/upstream"
)

// heldAnswer is a target's own failure that is passed on when no other target
// does better.
type heldAnswer struct {
	answer *upstream.Response
	body   []byte
}

const (
	// patienceFactor is the number of objectives that an answer to a repeatable
	// request may take before another target is tried.
	patienceFactor = 3
	// leastPatience bounds that time from below.
	leastPatience = 400 * time.Millisecond
)

// forward takes a request to a plain service.
func (r *request) forward(ctx context.Context) {
	var held *heldAnswer
	for {
		d := r.plan()
		if d.Refused() {
			if held == nil {
				r.refuseFor(ctx, d)
			}
			break
		}
		f := r.try(ctx, d, &held)
		if f == answered {
			return
		}
		if ctx.Err() != nil {
			break
		}
		if f == unsent && r.unreached < maxUnreached {
			continue
		}
		if f == broken && !r.route.Repeatable() || !r.mayRepeat() {
			break
		}
	}
	switch {
	case held != nil:
		r.deliver(held.answer, held.body, false)
	case r.trail.code == 0:
		r.fail(ctx)
	}
}

// try makes one attempt. It returns answered when the caller has its answer; a
// target's own failure is held where another one may do better.
func (r *request) try(ctx context.Context, d dispatch.Decision, held **heldAnswer) fate {
	t := d.Target
	begun := time.Now()
	ticket := r.begin(t, 0)
	attempt := ctx
	if r.route.Repeatable() && r.route.ObjectiveMillis > 0 && r.sent+1 < r.route.Attempts {
		limited, watch := r.patient(ctx, d, max(patienceFactor*r.objective(), leastPatience))
		defer func() { r.paid = watch.end() || r.paid }()
		attempt = limited
	}
	answer, f := r.send(attempt, t, r.outbound(t, AttemptInfo{Priority: -1}), false)
	if f != answered {
		r.ended(ticket, t.ID, outcomeOf(f), 0)
		return f
	}
	r.countBegin()
	body, more, err := whole(answer)
	if err != nil {
		answer.Close()
		r.exclude[t.ID] = true
		r.attemptEnded(t, err, "broken")
		r.ended(ticket, t.ID, dispatch.Unreachable, 0)
		return broken
	}
	defer answer.Close()
	r.trail.first = time.Since(r.in.Arrived)
	if answer.Status >= http.StatusInternalServerError {
		r.ended(ticket, t.ID, dispatch.Failed, 0)
		return r.failure(t, answer, body, more, held)
	}
	r.ended(ticket, t.ID, dispatch.Answered, time.Since(begun))
	r.execution = result.Ran
	r.deliver(answer, body, more)
	return answered
}

// failure treats a target's own failure. A status that promises that nothing
// ran is not passed on, since the target does not say so.
func (r *request) failure(t roster.Target, a *upstream.Response, body []byte, more bool, held **heldAnswer) fate {
	r.exclude[t.ID] = true
	if a.Status == http.StatusServiceUnavailable || more {
		return broken
	}
	if r.route.Repeatable() && r.sent < r.route.Attempts {
		if *held == nil {
			*held = &heldAnswer{a, body}
		}
		return broken
	}
	r.execution = result.Ran
	r.deliver(a, body, false)
	return answered
}

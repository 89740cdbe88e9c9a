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

// heldResponse is the error response of a target. It is sent to the caller if the attempts at other
// targets bring no response.
type heldResponse struct {
	response *upstream.Response
	body     []byte
}

const (
	// objectiveFactor is the multiple of the latency objective after which another target is tried,
	// if the request is repeatable.
	objectiveFactor = 3
	// minResponseTimeout is the least timeout for a response.
	minResponseTimeout = 400 * time.Millisecond
)

// forwardToService forwards a request to a plain service, one whose targets are no model engines.
func (r *request) forwardToService(ctx context.Context) {
	var held *heldResponse
	for {
		d := r.plan()
		if d.Refused() {
			if held == nil {
				r.refuseUnplanned(ctx, d)
			}
			break
		}
		outcome := r.tryTarget(ctx, d, &held)
		if outcome == attemptAnswered {
			return
		}
		if ctx.Err() != nil {
			break
		}
		if outcome == attemptNotSent && r.connectFailures < maxConnectFailures {
			continue
		}
		if outcome.mayHaveRun() && !r.route.Repeatable() || !r.takeRetry() {
			break
		}
	}
	switch {
	case held != nil:
		r.writeResponse(held.response, held.body, false)
	case r.summary.code == 0:
		r.fail(ctx)
	}
}

// tryTarget makes one attempt. It returns attemptAnswered if the caller got its response. If the
// target returned an error and another attempt is allowed, it keeps the error in held.
func (r *request) tryTarget(ctx context.Context, d dispatch.Decision, held **heldResponse) attemptResult {
	t := d.Target
	start := time.Now()
	ticket := r.beginAttempt(t, 0)
	attemptCtx := ctx
	if r.route.Repeatable() && r.route.ObjectiveMillis > 0 && r.attemptsSent+1 < r.route.Attempts {
		timeoutCtx, timeout := r.withAttemptTimeout(ctx, d, max(objectiveFactor*r.objective(), minResponseTimeout))
		defer func() { r.retryTaken = timeout.stop() || r.retryTaken }()
		attemptCtx = timeoutCtx
	}
	response, outcome := r.send(attemptCtx, t, r.targetRequest(t, AttemptInfo{Priority: -1}), false)
	if outcome != attemptAnswered {
		r.endAttempt(ticket, t.ID, plannerOutcome(outcome), 0)
		return outcome
	}
	r.countStart()
	body, more, err := readBuffered(response)
	if err != nil {
		response.Close()
		r.excluded[t.ID] = true
		r.logFailedAttempt(t, err, "broken")
		r.endAttempt(ticket, t.ID, dispatch.Unreachable, 0)
		return attemptBroken
	}
	defer response.Close()
	r.summary.firstEvent = time.Since(r.in.Arrived)
	if response.Status >= http.StatusInternalServerError {
		r.endAttempt(ticket, t.ID, dispatch.Failed, 0)
		return r.handleServerError(t, response, body, more, held)
	}
	r.endAttempt(ticket, t.ID, dispatch.Answered, time.Since(start))
	r.execution = result.Ran
	r.writeResponse(response, body, more)
	return attemptAnswered
}

// handleServerError handles a response with a 5xx status. A 503 is never sent to the caller, since
// it would tell the caller that nothing ran, which the target did not state.
func (r *request) handleServerError(t roster.Target, response *upstream.Response, body []byte, more bool, held **heldResponse) attemptResult {
	r.excluded[t.ID] = true
	if response.Status == http.StatusServiceUnavailable || more {
		return attemptBroken
	}
	if r.route.Repeatable() && r.attemptsSent < r.route.Attempts {
		if *held == nil {
			*held = &heldResponse{response, body}
		}
		return attemptBroken
	}
	r.execution = result.Ran
	r.writeResponse(response, body, false)
	return attemptAnswered
}

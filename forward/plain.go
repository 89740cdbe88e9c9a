package forward

import (
	"context"
	"net/http"
	"time"

	"zinniapin/dispatch"
	"zinniapin/roster"
	"zinniapin/upstream"
)

// heldResponse is the error response of a target. It is sent to the caller if the attempts at other
// targets bring no response.
type heldResponse struct {
	response *upstream.Response
	body     []byte
}

// plainAttempt is an attempt at a target of a plain service that has answered.
type plainAttempt struct {
	target   roster.Target
	begun    time.Time
	ticket   dispatch.Ticket
	response *upstream.Response
	body     []byte
	more     bool // the body is longer than what was read
	watch    *silenceWatch
}

const (
	// objectiveFactor is the multiple of the latency objective after which another target is looked for,
	// if the request is repeatable.
	objectiveFactor = 3
	// minResponseTimeout is the least time without a response after which another target is looked for.
	minResponseTimeout = 400 * time.Millisecond
)

// forwardToService forwards a request to a plain service, one whose targets are no model engines.
func (r *request) forwardToService(ctx context.Context) {
	if r.route.Resumable && r.info.LastEventID != "" && !r.fixOrigin(ctx) {
		return
	}
	for {
		if end := r.endPoisoned(ctx); end != nil {
			if r.held == nil {
				end()
			}
			break
		}
		d, admitted := r.planAdmitted(ctx)
		if !admitted {
			break
		}
		if d.Refused() {
			if r.held == nil {
				r.refuseUnplanned(ctx, d)
			}
			break
		}
		outcome := r.tryTarget(ctx, d)
		if outcome == attemptAnswered {
			return
		}
		if ctx.Err() != nil {
			break
		}
		if outcome == attemptNotSent && r.connectFailures < maxConnectFailures {
			continue
		}
		if outcome.mayHaveRun() && !r.route.Repeatable() || r.suspected() || !r.takeRetry(ctx) {
			break
		}
	}
	switch {
	case r.held != nil:
		r.writeResponse(r.held.response, r.held.body, false)
	case r.summary.code == 0:
		r.fail(ctx)
	}
}

// tryTarget makes one attempt, or more than one if the target falls silent. It returns attemptAnswered if
// the caller got its response.
func (r *request) tryTarget(ctx context.Context, d dispatch.Decision) attemptResult {
	a, outcome := r.openPlain(ctx, d)
	if outcome == attemptReplaced {
		a, r.plain = r.plain, nil
	} else if outcome != attemptAnswered {
		return outcome
	}
	defer a.close()
	r.summary.firstEvent = time.Since(r.in.Arrived)
	if isError(a.response.Status) {
		return r.handleServerError(a)
	}
	r.endAttempt(a.ticket, a.target.ID, dispatch.Answered, time.Since(a.begun))
	r.sent.ran = true
	if r.route.Resumable && a.response.Status == http.StatusOK {
		r.fixVersion(ctx, a.target)
	}
	r.writeResponse(a.response, a.body, a.more)
	return attemptAnswered
}

// openPlain makes one attempt and reads the response, or its beginning if it is long. If it returns
// attemptReplaced, r.plain has answered.
func (r *request) openPlain(ctx context.Context, d dispatch.Decision) (*plainAttempt, attemptResult) {
	a := &plainAttempt{target: d.Target, begun: time.Now(), ticket: r.beginAttempt(d.Target, 0)}
	if r.route.Repeatable() && r.route.ObjectiveMillis > 0 {
		limit := max(objectiveFactor*r.objective(), minResponseTimeout)
		ctx, a.watch = r.watchSilence(ctx, a.target, d, limit, func(ctx context.Context, w *silenceWatch) { r.searchPlain(ctx, w, a.target) })
	}
	var err error
	response, outcome := r.send(ctx, a.watch, a.target, r.targetRequest(a.target, AttemptInfo{Priority: -1}), false, func(response *upstream.Response) bool {
		a.body, a.more, err = readBuffered(response, r.out.Reserve)
		return err == nil
	})
	if outcome == attemptAnswered {
		r.countStart()
		if isError(response.Status) {
			a.body, a.more, err = readBuffered(response, r.out.Reserve) // send doesn't read errors
		}
		if err != nil {
			outcome = r.handleBrokenBody(ctx, a.target, response, err)
		}
	}
	if outcome != attemptAnswered {
		a.watch.stop()
		r.endAttempt(a.ticket, a.target.ID, plannerOutcome(outcome), 0)
		return nil, outcome
	}
	r.answered()
	a.response = response
	return a, attemptAnswered
}

// handleBrokenBody handles an attempt whose response broke off.
func (r *request) handleBrokenBody(ctx context.Context, t roster.Target, response *upstream.Response, err error) attemptResult {
	response.Close()
	if r.superseded(ctx) {
		r.logFailedAttempt(t, errSuperseded, "superseded")
		return attemptSuperseded
	}
	r.excluded[t.ID] = true
	r.logFailedAttempt(t, err, "broken")
	if upstream.IsClosed(err) {
		r.brokeOff(t)
	}
	return attemptBroken
}

// searchPlain makes an attempt in place of a silent target. If it has brought an answer first, that is r.plain.
func (r *request) searchPlain(ctx context.Context, w *silenceWatch, silent roster.Target) {
	r.excluded[silent.ID] = true
	summary := r.summary
	a := r.answerElsewhere(ctx)
	if a != nil && !w.claim() {
		r.logFailedAttempt(a.target, errSuperseded, "superseded")
		r.endAttempt(a.ticket, a.target.ID, dispatch.NoEvidence, 0)
		a.close()
		a = nil
	}
	if r.plain = a; a == nil {
		r.endSearch(summary)
	}
}

// answerElsewhere makes an attempt at another target. It returns nil if that brings no answer but an error.
func (r *request) answerElsewhere(ctx context.Context) *plainAttempt {
	if r.endPoisoned(ctx) != nil || !r.takeRetry(ctx) {
		return nil
	}
	d, admitted := r.planAdmitted(ctx)
	if !admitted || d.Refused() {
		return nil
	}
	a, outcome := r.openPlain(ctx, d)
	switch {
	case outcome == attemptReplaced:
		a, r.plain = r.plain, nil
		return a
	case outcome != attemptAnswered:
		return nil
	case isError(a.response.Status):
		r.holdError(a)
		a.close()
		return nil
	}
	return a
}

// close ends an attempt that has answered.
func (a *plainAttempt) close() {
	a.response.Close()
	a.watch.stop()
}

// holdError keeps the error response of a target for the case that no other one answers, unless its status would
// tell the caller that nothing ran, which the target did not state.
func (r *request) holdError(a *plainAttempt) {
	r.endAttempt(a.ticket, a.target.ID, dispatch.Failed, 0)
	r.excluded[a.target.ID] = true
	if !promisesNotRun(a.response.Status) && !a.more && r.held == nil {
		r.held = &heldResponse{a.response, a.body}
	}
}

// handleServerError handles a response with the status of an error. It is sent to the caller if no other attempt is
// allowed.
func (r *request) handleServerError(a *plainAttempt) attemptResult {
	if promisesNotRun(a.response.Status) || a.more || r.route.Repeatable() && r.sent.attempts < r.route.Attempts {
		r.holdError(a)
		return attemptBroken
	}
	r.endAttempt(a.ticket, a.target.ID, dispatch.Failed, 0)
	r.sent.ran = true
	r.writeResponse(a.response, a.body, false)
	return attemptAnswered
}

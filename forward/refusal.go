package forward

import (
	"context"
	"errors"
	"time"

	"zinniapin/dispatch"
	"zinniapin/result"
)

// refuse ends a request with the status of a result code, or aborts the response if it has started.
func (r *request) refuse(code result.Code, retryAfter time.Duration) {
	r.summary.code = code
	r.summary.status = code.Definition().Status
	r.refundUnits() // before the caller comes back
	if r.out.Started() {
		r.out.Abort()
		return
	}
	r.out.Refuse(r.summary.status, r.h.Protocol.RefusalHeaders(r.info.ID, retryAfter))
}

// fail ends a request without a complete response from a target. The result code follows from
// whether the request may have run and from why its context ended.
func (r *request) fail(ctx context.Context) {
	switch {
	case errors.Is(ctx.Err(), context.Canceled) && !hostStops(ctx):
		r.summary.code = result.CallerLeft
		r.out.Abort()
	case r.out.Started():
		r.summary.code = result.StreamCut
		r.out.Abort()
	case r.sent.execution() != result.NotRun && hostStops(ctx):
		r.refuse(result.HostStopped, 0)
	case hostStops(ctx):
		r.refuse(result.HostStopping, hostStoppingRetryAfter)
	case r.sent.execution() != result.NotRun && ctx.Err() != nil:
		r.refuse(result.OutOfTime, 0)
	case r.sent.execution() != result.NotRun:
		r.refuse(result.OutcomeUnknown, 0)
	case ctx.Err() != nil:
		r.refuse(result.OutOfTimeNotRun, refusedRetryAfter)
	case r.summary.denied != nil:
		r.refuse(r.summary.denied.Code, r.summary.denied.RetryAfter)
	default:
		var paused time.Duration
		r.h.withPlanner(func(p *dispatch.Planner) { paused = p.ReturnAfter(time.Now(), r.job) })
		r.refuse(result.TargetsRefused, max(paused, refusedRetryAfter))
	}
}

// refuseUnplanned ends a request for which the planner found no target. After an earlier attempt
// was sent, it ends as failed.
func (r *request) refuseUnplanned(ctx context.Context, d dispatch.Decision) {
	if r.sent.execution() != result.NotRun || r.sent.attempts > 0 {
		r.fail(ctx)
		return
	}
	r.h.mu.Lock()
	if demand := r.h.demand[r.service.Name]; demand != nil {
		demand.Refused++
	}
	r.h.mu.Unlock()
	code := result.TargetsBusy
	switch d.Reason {
	case dispatch.NoTarget:
		code = result.TargetsAway
	case dispatch.NoTargetOfVersion:
		code = result.VersionAway
	case dispatch.TargetsPaused:
		code = result.TargetsPaused
	}
	r.refuse(code, d.RetryAfter)
}

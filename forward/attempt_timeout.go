package forward

import (
	"context"
	"sync/atomic"
	"time"

	"zinniapin/dispatch"
	"zinniapin/event"
)

const (
	// forecastFactor is the multiple of the forecast time to the first event after which
	// another target is tried, if the route allows it.
	forecastFactor = 3
	// gapFactor is the multiple of the route's longest pause between events after which
	// another target is tried.
	gapFactor = 4
	// minEventTimeout is the least timeout for an event. Callers disconnect after 2 s.
	minEventTimeout = time.Second
	// budgetPollInterval is the time after which a retry that the budget denied is requested again.
	budgetPollInterval = 300 * time.Millisecond
)

// attemptTimeout cancels an attempt whose target sends nothing for too long, so that another target
// can run the request while the caller still waits. It cancels only after it has taken a retry from
// the budget, since a slow response is better than none.
type attemptTimeout struct {
	timer  *time.Timer
	cancel context.CancelFunc
	// retryTaken is set once the retry was taken from the budget.
	retryTaken atomic.Bool
	// disarmed is set when no other target could go on.
	disarmed atomic.Bool
}

// withAttemptTimeout returns the context of an attempt, which is cancelled if the target sends
// nothing within limit and the retry budget allows a retry. Without another candidate target, the
// context ends only with that of the request.
func (r *request) withAttemptTimeout(ctx context.Context, d dispatch.Decision, limit time.Duration) (context.Context, *attemptTimeout) {
	ctx, cancel := context.WithCancel(ctx)
	t := &attemptTimeout{cancel: cancel}
	if d.Candidates > 1 {
		t.timer = time.AfterFunc(time.Hour, func() { // Reset below starts it, once t.timer is set
			if ctx.Err() != nil || t.disarmed.Load() {
				return // the attempt has ended, or no other target could go on
			}
			if !r.h.spendRetry(r.service.Name, r.view.Hosts) {
				t.timer.Reset(budgetPollInterval)
				return
			}
			t.retryTaken.Store(true)
			event.TargetSilent.Log(r.h.Log).Str("request", r.info.ID).Str("target", string(d.Target.ID)).Str("address", d.Target.Address).
				Float64("ms", milliseconds(time.Since(r.in.Arrived))).Int("candidates", d.Candidates).Send()
			cancel()
		})
		t.timer.Reset(limit)
	}
	return ctx, t
}

// firstEventTimeout returns how long the first event of a stream may take.
func (r *request) firstEventTimeout(d dispatch.Decision) time.Duration {
	return max(objectiveFactor*r.objective(), forecastFactor*d.Forecast, minEventTimeout)
}

// extend restarts the timeout when an event has arrived. pause is the longest pause that the route
// expects between events.
func (t *attemptTimeout) extend(pause time.Duration) {
	if t != nil && t.timer != nil && !t.disarmed.Load() {
		t.timer.Reset(max(gapFactor*pause, minEventTimeout))
	}
}

// disarm keeps the timeout from cancelling the attempt.
func (t *attemptTimeout) disarm() {
	if t != nil {
		t.disarmed.Store(true)
	}
}

// stop stops the timer and cancels the context of the attempt. It returns whether the timeout
// cancelled the attempt and has taken a retry from the budget. A nil attemptTimeout never does.
func (t *attemptTimeout) stop() bool {
	if t == nil {
		return false
	}
	if t.timer != nil {
		t.timer.Stop()
	}
	t.cancel()
	return t.retryTaken.Load()
}

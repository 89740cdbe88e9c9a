package forward

import (
	"context"
	"sync/atomic"
	"time"

	"zinniapin/dispatch"
)

const (
	// forecastFactor is the number of forecasts that a first event may take
	// before another target is tried, where that is allowed.
	forecastFactor = 3
	// pauseFactor is the same for the longest pauses of a stream.
	pauseFactor = 4
	// leastPause bounds that time from below; callers leave after 2 s.
	leastPause = time.Second
	// askAgain is when to ask again for a repeat that the budget did not allow.
	askAgain = 300 * time.Millisecond
)

// patience ends an attempt at a target that falls silent, so that another one
// can take the request while its caller still waits. It takes the repeat from
// the budget first: a slow answer is better than none.
type patience struct {
	timer *time.Timer
	stop  context.CancelFunc
	// paid is set once the repeat was taken from the budget.
	paid atomic.Bool
}

// patient returns the context of an attempt that ends when the target is
// silent for a time and the request may be repeated. Where no other target
// could take the request, it ends with the request alone.
func (r *request) patient(ctx context.Context, d dispatch.Decision, limit time.Duration) (context.Context, *patience) {
	ctx, stop := context.WithCancel(ctx)
	p := &patience{stop: stop}
	if d.Candidates > 1 {
		p.timer = time.AfterFunc(time.Hour, func() { // begins below, once it is set
			if ctx.Err() != nil {
				return // the attempt has ended meanwhile
			}
			if !r.h.spend(r.service.Name, r.view.Hosts) {
				p.timer.Reset(askAgain)
				return
			}
			p.paid.Store(true)
			stop()
		})
		p.timer.Reset(limit)
	}
	return ctx, p
}

// streamPatience is how long the first event of a stream may take.
func (r *request) streamPatience(d dispatch.Decision) time.Duration {
	return max(patienceFactor*r.objective(), forecastFactor*d.Forecast, leastPause)
}

// event notes an event: the next one may take some of the longest pauses.
func (p *patience) event(pause time.Duration) {
	if p != nil && p.timer != nil {
		p.timer.Reset(max(pauseFactor*pause, leastPause))
	}
}

// end ends the watch and returns whether the attempt was ended by it, with its
// repeat paid for. A nil watch never ends an attempt.
func (p *patience) end() bool {
	if p == nil {
		return false
	}
	if p.timer != nil {
		p.timer.Stop()
	}
	p.stop()
	return p.paid.Load()
}

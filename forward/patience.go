package forward

import (
	"context"
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
)

// patience ends an attempt at a target that falls silent, so that another one
// can take the request while its caller still waits.
type patience struct {
	timer *time.Timer
	stop  context.CancelFunc
}

// patient returns the context of an attempt that ends when the target is
// silent for much longer than forecast. Where no other target could take the
// request, it ends with the request alone.
func (r *request) patient(ctx context.Context, d dispatch.Decision) (context.Context, *patience) {
	ctx, stop := context.WithCancel(ctx)
	p := &patience{stop: stop}
	if d.Candidates > 1 {
		objective := time.Duration(r.route.ObjectiveMillis) * time.Millisecond
		limit := max(patienceFactor*objective, forecastFactor*d.Forecast, leastPatience)
		p.timer = time.AfterFunc(limit, stop)
	}
	return ctx, p
}

// event notes an event: the next one may take some of the longest pauses.
func (p *patience) event(pause time.Duration) {
	if p != nil && p.timer != nil {
		p.timer.Reset(max(pauseFactor*pause, leastPause))
	}
}

// end ends the watch. A nil watch never ends an attempt.
func (p *patience) end() {
	if p == nil {
		return
	}
	if p.timer != nil {
		p.timer.Stop()
	}
	p.stop()
}

package forward

import (
	"context"
	"errors"
	"sync"
	"time"

	"zinniapin/dispatch"
	"zinniapin/event"
	"zinniapin/invariant"
	"zinniapin/roster"
)

const (
	// forecastFactor is the multiple of the forecast time to the first event after which
	// another target is looked for, if the route allows it.
	forecastFactor = 3
	// gapFactor is the multiple of the route's longest pause between events after which
	// another target is looked for.
	gapFactor = 4
	// minEventTimeout is the least time without an event after which another target is looked for.
	// Callers disconnect after 2 s.
	minEventTimeout = time.Second
	// searchInterval is the time between two searches for another target.
	searchInterval = 300 * time.Millisecond
)

// Causes with which the contexts of attempts are cancelled.
var (
	// errReplaced means that another target has begun to answer in place of a silent one.
	errReplaced = errors.New("another target took over from the silent one")
	// errSuperseded means that the silent target went on before another one had begun to answer.
	errSuperseded = errors.New("the silent target went on")
)

// silenceWatch looks for another target while the target of an attempt sends nothing. Silence alone never
// ends the attempt, since the target may be sound: it goes on until another target has begun to answer.
//
// The request belongs to one goroutine at a time. That is the search while the goroutine of the attempt
// is between await and settle, where it only waits for the target.
type silenceWatch struct {
	limit time.Duration // without a byte from the target
	// search makes an attempt elsewhere. Once its answer has begun it calls claim. The context ends if the
	// silent target goes on.
	search func(context.Context)
	// replace cancels the silent attempt.
	replace context.CancelCauseFunc
	parent  context.Context // of the request

	mu       sync.Mutex
	timer    *time.Timer // nil when no other target could take over
	since    time.Time   // when the goroutine of the attempt began to wait; zero if it does not
	cancel   context.CancelCauseFunc
	searched chan struct{} // closed when the search under way has ended; nil if there is none
	// found and superseded tell who spoke first, the target of the search or the silent one.
	found, superseded bool
	stopped           bool
	held              bool // no search begins
}

// watchSilence returns the context of an attempt at a target and a watch that searches for another one when
// that target sends nothing within limit. Without another candidate the watch does nothing.
func (r *request) watchSilence(ctx context.Context, t roster.Target, d dispatch.Decision, limit time.Duration, search func(context.Context, *silenceWatch)) (context.Context, *silenceWatch) {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	w := &silenceWatch{limit: limit, replace: cancel, parent: ctx}
	if d.Candidates > 1 {
		logged := false
		w.search = func(ctx context.Context) {
			if !logged {
				event.TargetSilent.Log(r.h.Log).Str("request", r.info.ID).Str("target", string(t.ID)).Str("address", t.Address).
					Float64("ms", milliseconds(time.Since(r.in.Arrived))).Int("events", r.summary.events).Send()
			}
			logged = true
			outer := r.searching
			defer func() { r.searching = outer }()
			r.searching = true
			search(ctx, w)
		}
		w.timer = time.AfterFunc(limit, w.expire)
	}
	return attemptCtx, w
}

// await tells the watch that the goroutine of the attempt waits for the target from now on. A nil watch
// does nothing, as in all methods.
func (w *silenceWatch) await() {
	if w == nil {
		return
	}
	w.mu.Lock()
	w.since = time.Now()
	w.mu.Unlock()
}

// expire runs a search if the target has been silent for the limit.
func (w *silenceWatch) expire() {
	w.mu.Lock()
	if w.stopped || w.found || w.searched != nil || w.parent.Err() != nil {
		w.mu.Unlock()
		return
	}
	if w.held {
		w.timer.Reset(w.limit)
		w.mu.Unlock()
		return
	}
	if left := w.limit - time.Since(w.since); w.since.IsZero() || left > 0 {
		if w.since.IsZero() {
			left = w.limit
		}
		w.timer.Reset(left)
		w.mu.Unlock()
		return
	}
	ctx, cancel := context.WithCancelCause(w.parent)
	searched := make(chan struct{})
	w.cancel, w.searched, w.superseded = cancel, searched, false
	w.mu.Unlock()

	func() {
		defer invariant.Contain("search for another target", nil)
		w.search(ctx)
	}()

	w.mu.Lock()
	w.searched = nil
	if !w.found {
		cancel(nil)
		if !w.stopped {
			w.timer.Reset(searchInterval)
		}
	}
	w.mu.Unlock()
	close(searched)
}

// claim makes the attempt of the search take over and cancels the silent one. It returns false if the silent
// target has gone on meanwhile.
func (w *silenceWatch) claim() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.superseded {
		return false
	}
	w.found = true
	w.replace(errReplaced)
	return true
}

// settle ends what await began. If the target went on, a search under way is cancelled; if the attempt has
// failed, the search may still succeed. It returns whether another target has begun to answer.
func (w *silenceWatch) settle(wentOn bool) bool {
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.since = time.Time{}
	if searched := w.searched; searched != nil {
		if wentOn && !w.found {
			w.superseded = true
			w.cancel(errSuperseded)
		}
		w.mu.Unlock()
		<-searched
		w.mu.Lock()
	}
	return w.found
}

// setLimit replaces the time without a byte after which another target is looked for.
func (w *silenceWatch) setLimit(limit time.Duration) {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if limit != w.limit && w.timer != nil {
		w.timer.Reset(limit)
	}
	w.limit = limit
}

// hold keeps searches from beginning until release is called. It returns false if one is under way.
func (w *silenceWatch) hold() bool {
	if w == nil {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.searched != nil || w.found {
		return false
	}
	w.held = true
	return true
}

// release ends hold. The target is given the whole limit anew.
func (w *silenceWatch) release() {
	if w == nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.held = false
	if w.timer != nil && !w.stopped {
		w.timer.Reset(w.limit)
	}
}

// stop ends the watch and the context of the attempt. The goroutine of the attempt calls it last.
func (w *silenceWatch) stop() {
	if w == nil {
		return
	}
	w.mu.Lock()
	w.stopped = true
	if w.timer != nil {
		w.timer.Stop()
	}
	w.mu.Unlock()
	w.replace(nil)
}

// superseded tells whether an attempt in place of a silent target was cancelled by this host, since that one went
// on or the request has ended. That says nothing of the attempt's target.
func (r *request) superseded(ctx context.Context) bool { return r.searching && ctx.Err() != nil }

// firstEventTimeout returns how long the first event of a stream may take.
func (r *request) firstEventTimeout(d dispatch.Decision) time.Duration {
	return max(objectiveFactor*r.objective(), forecastFactor*d.Forecast, minEventTimeout)
}

// gapTimeout returns how long the pause between two events may take.
func (r *request) gapTimeout() time.Duration {
	return max(gapFactor*time.Duration(r.route.GapMillis)*time.Millisecond, minEventTimeout)
}

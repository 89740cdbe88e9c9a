package authority

import "time"

// watch follows an order that may still be on its way.
type watch struct {
	id  string
	met time.Time // when it was first found open; only for a fenced target
	// ended is set once the order can no longer be sent; since is when that
	// became known and boot the target's first boot id seen afterwards.
	ended   bool
	since   time.Time
	booted  bool
	boot    uint64
	settled bool
	outcome Outcome
}

// end notes that the order can no longer be sent.
func (w *watch) end(now time.Time) {
	if w.ended {
		return
	}
	w.ended = true
	w.since = now
}

// settle notes how the order ended.
func (w *watch) settle(o Outcome) {
	w.settled = true
	w.outcome = o
}

// weigh applies evidence to the watched order.
func (a *Agent) weigh(now time.Time, e ProbeResult) {
	w := &a.watch
	if e.AuthorEnded {
		w.end(now)
	}
	switch {
	case e.TargetGone:
		w.settle(Gone)
	case e.Answered && e.Applied:
		w.settle(Applied) // it was sent once, so no copy can still arrive
	case !w.ended:
		// The author may be paused just before it sends.
	case w.restarted(e):
		w.settle(Lost)
	case now.Sub(w.since) >= a.policy.MaxTransit:
		w.settle(Lapsed)
	}
}

// restarted reports whether the target shows another boot than the first one
// seen after the order could no longer be sent. The boot before proves
// nothing: the order may have been sent to the present one.
func (w *watch) restarted(e ProbeResult) bool {
	if !e.Answered {
		return false
	}
	if !w.booted {
		w.booted = true
		w.boot = e.Boot
		return false
	}
	return e.Boot != w.boot
}

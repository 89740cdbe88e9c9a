package authority

import "time"

// watch records what is known about an order that may still be in transit.
type watch struct {
	id        string
	firstSeen time.Time // when it was first found open; only for a fenced target
	// ended is set once the order can no longer be sent. endedAt is when that
	// became known, and boot the first boot id of the target seen afterwards.
	ended     bool
	endedAt   time.Time
	bootKnown bool
	boot      uint64
	resolved  bool
	outcome   Outcome
}

// markEnded records that the order can no longer be sent.
func (w *watch) markEnded(now time.Time) {
	if w.ended {
		return
	}
	w.ended = true
	w.endedAt = now
}

// resolve records the order's outcome.
func (w *watch) resolve(o Outcome) {
	w.resolved = true
	w.outcome = o
}

// applyProbe updates the watched order from the result of a probe.
func (a *Agent) applyProbe(now time.Time, r ProbeResult) {
	w := &a.watch
	if r.AuthorEnded {
		w.markEnded(now)
	}
	switch {
	case r.TargetGone:
		w.resolve(Gone)
	case r.Answered && r.Applied:
		w.resolve(Applied) // orders are sent once, so no second copy can arrive
	case !w.ended:
		// The author may be paused just before it sends, so nothing can be ruled out.
	case w.restarted(r):
		w.resolve(Lost)
	case now.Sub(w.endedAt) >= a.policy.MaxTransit:
		w.resolve(Lapsed)
	}
}

// restarted reports whether the target has restarted since the first boot id that
// was seen after the order could no longer be sent. A boot id seen earlier proves
// nothing: the target may have restarted before the order was sent.
func (w *watch) restarted(r ProbeResult) bool {
	if !r.Answered {
		return false
	}
	if !w.bootKnown {
		w.bootKnown = true
		w.boot = r.Boot
		return false
	}
	return r.Boot != w.boot
}

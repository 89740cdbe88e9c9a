package forward

import (
	"context"
	"time"

	"zinniapin/result"
)

// arrivals counts what a request has sent to targets, and what follows from it: whether the request may
// have run, and what it has to pay to the retry budget.
type arrivals struct {
	attempts   int  // attempts of which bytes may have reached a target
	unresolved int  // those of them that no target has stated not to have run
	prefills   int  // calls to process the prompt that reached a target
	prefilled  bool // a target has accepted such a call; the first of these is free
	paid       int  // retries taken from the budget
	ran        bool // a target has answered
}

// execution tells whether the request may have run.
func (a *arrivals) execution() result.Execution {
	switch {
	case a.ran:
		return result.Ran
	case a.unresolved > 0:
		return result.Unknown
	default:
		return result.NotRun
	}
}

// begin counts an attempt that is about to be written.
func (a *arrivals) begin() { a.attempts, a.unresolved = a.attempts+1, a.unresolved+1 }

// notSent takes back begin for an attempt of which nothing was written.
func (a *arrivals) notSent() { a.attempts, a.unresolved = a.attempts-1, a.unresolved-1 }

// notRun records the statement of a target that it has not run an attempt.
func (a *arrivals) notRun() { a.unresolved-- }

// price returns the number of retries to be paid before the next arrival, which is a call to process the
// prompt followed by an attempt, or an attempt alone. The first arrival of a request is free.
func (a *arrivals) price(prefill bool) int {
	price := a.attempts + a.prefills
	if a.prefilled && !prefill {
		price--
	}
	return price
}

// takeRetry tells whether the request may be sent again: attempts and time are left, its key is
// still valid, and the limit of its organisation and the retry budget allow it.
func (r *request) takeRetry(ctx context.Context) bool {
	r.summary.denied = nil
	if r.sent.attempts >= max(r.route.Attempts, 1) || time.Until(r.deadline) < responseMargin {
		return false
	}
	return r.keyStillValid() && r.takeUnits(ctx) && r.payArrivals(false)
}

// payArrivals takes from the budget what is still missing for the next arrival. It returns false if
// the budget does not allow it.
func (r *request) payArrivals(prefill bool) bool {
	for r.sent.paid < r.sent.price(prefill) {
		if !r.h.spendRetry(r.service.Name, r.view.Hosts) {
			return false
		}
		r.sent.paid++
	}
	return true
}

// spendRetry takes one retry from the budget of a service. It returns false if the budget allows
// none.
func (h *Handler) spendRetry(service string, hosts int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.budget(service).Spend(time.Now(), hosts) {
		return true
	}
	h.Metrics.retriesDenied.WithLabelValues(service).Inc()
	return false
}

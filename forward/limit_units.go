package forward

import (
	"context"
	"time"

	"zinniapin/dispatch"
	"zinniapin/result"
	"zinniapin/route"
)

// replanAfter is the time that an admission may take before the target is planned anew. The loads that
// the plan used change within tens of milliseconds.
const replanAfter = 5 * time.Millisecond

// limited tells whether an organisation has a limit.
func (h *Handler) limited(o *route.Organisation) bool {
	return h.Limits != nil && o != nil && h.Limits.Limited(o.Name)
}

// planAdmitted plans the next attempt and takes the units that it counts. It returns false if they are refused.
// A request that the planner refuses takes none.
func (r *request) planAdmitted(ctx context.Context) (dispatch.Decision, bool) {
	d := r.plan()
	if !d.Refused() {
		began := time.Now()
		if !r.takeUnits(ctx) {
			return d, false
		}
		if time.Since(began) > replanAfter {
			d = r.plan()
		}
	}
	r.count()
	return d, true
}

// takeUnits makes sure that the units of one attempt are held: those of an attempt that did not run, or else units
// taken from the limit of the organisation. If it returns false, no attempt may be made and r.summary.denied says
// why.
func (r *request) takeUnits(ctx context.Context) bool {
	r.summary.denied = nil
	if !r.h.limited(r.organisation) {
		return true
	}
	current := r.currentOrganisation()
	if current == nil {
		r.summary.denied = &LimitRefusal{Code: result.NoKey}
		return false
	}
	if n := len(r.unused); n > 0 {
		if r.summary.denied = r.unused[n-1].Renew(ctx); r.summary.denied != nil {
			r.unused = r.unused[:n-1] // it holds no units any more
		}
	} else if units := r.units(current.Limit); units > 0 {
		var reservation Reservation
		if reservation, r.summary.denied = r.h.Limits.Admit(ctx, current.Name, units); r.summary.denied == nil {
			r.unused = append(r.unused, reservation)
		}
	}
	if r.summary.denied == nil && !r.keyStillValid() { // it was withdrawn during the wait for units
		r.summary.denied = &LimitRefusal{Code: result.NoKey}
	}
	return r.summary.denied == nil
}

// units returns what an attempt of the request counts; 0 if the configuration no longer has a limit.
func (r *request) units(l *route.Limit) int64 {
	if l == nil {
		return 0
	}
	return l.Units(int64(r.info.PromptTokens)+int64(r.info.MaxOutputTokens), r.info.TokensCounted)
}

// spendUnits returns the reservation of an attempt that is about to be sent, nil if it needs none.
func (r *request) spendUnits() Reservation {
	n := len(r.unused)
	if n == 0 {
		return nil
	}
	spent := r.unused[n-1]
	r.unused = r.unused[:n-1]
	return spent
}

// keepUnits takes back the reservation of an attempt that did not run.
func (r *request) keepUnits(spent Reservation) {
	if spent != nil {
		r.unused = append(r.unused, spent)
	}
}

// refundUnits gives the units back that no attempt has used.
func (r *request) refundUnits() {
	for _, reservation := range r.unused {
		reservation.Refund()
	}
	r.unused = nil
}

// endSearch ends a search that found no target in place of a silent one. The units that it took are given back, since
// the silent target may go on for longer than they are valid. Before the first attempt they are those of the request.
func (r *request) endSearch(before requestSummary) {
	r.restoreSummary(before)
	if r.sent.unresolved > 0 {
		r.refundUnits()
	}
}

package node

import (
	"context"

	"zinniapin/forward"
	"zinniapin/quota"
)

// limitReservation implements forward.Reservation.
type limitReservation struct {
	limits       *organisationLimits
	organisation string
	units        int64
	// admitted is when the units were taken, and held whether they still are; limits.mu guards both.
	admitted quota.Instant
	held     bool
}

// Renew implements forward.Reservation.
func (r *limitReservation) Renew(ctx context.Context) *forward.LimitRefusal {
	l := r.limits
	l.mu.Lock()
	if !l.Limited(r.organisation) || r.held && !l.core.Expired(l.now(), r.organisation, r.admitted) {
		l.mu.Unlock()
		return nil
	}
	r.held = false
	l.mu.Unlock()
	at, refusal := l.take(ctx, r.organisation, r.units)
	if refusal != nil {
		return refusal
	}
	l.mu.Lock()
	r.admitted, r.held = at, true
	l.mu.Unlock()
	return nil
}

// Refund implements forward.Reservation. Further calls do nothing.
func (r *limitReservation) Refund() {
	l := r.limits
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.held && l.Limited(r.organisation) {
		l.core.Refund(l.now(), r.organisation, r.units, r.admitted)
	}
	r.held = false
}

package forward

import (
	"context"
	"time"

	"zinniapin/result"
)

// Limits admits requests within the limits of organisations. Implementations are safe for concurrent use.
type Limits interface {
	// Limited tells whether an organisation has a limit.
	Limited(organisation string) bool
	// Admit takes units of an organisation's limit. It waits at most 60 ms for a grant of another host.
	// It returns a reservation, or else a refusal.
	Admit(ctx context.Context, organisation string, units int64) (Reservation, *LimitRefusal)
}

// Reservation holds units that were taken.
type Reservation interface {
	// Renew takes the units again if they were taken too long ago to be used now.
	Renew(ctx context.Context) *LimitRefusal
	// Refund gives the units back, since the request has not run.
	Refund()
}

// LimitRefusal tells why units were not taken.
type LimitRefusal struct {
	Code       result.Code
	RetryAfter time.Duration
}

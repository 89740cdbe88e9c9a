package provider

import (
	"context"
	"errors"

	"zinniapin/zone"
)

// Errors of Duties. Callers test for them with errors.Is.
var (
	// ErrFencedOrNoCapacity means that the platform has seen a higher fencing number,
	// or that it has no targets for the order, which it answers alike. Nothing was
	// done.
	ErrFencedOrNoCapacity = errors.New("provider: refused: stale fencing number or no targets available")
	// ErrRefused means that the platform refused the call for now. Nothing was done.
	ErrRefused = errors.New("provider: refused for now")
	// ErrUnknown means that no answer came. The call may have taken effect, or may
	// yet do so.
	ErrUnknown = errors.New("provider: outcome unknown")
)

// DutyHolder identifies the caller of Duties to the platform, which refuses calls
// with a fencing number below the highest it has seen.
type DutyHolder struct {
	Host  string
	Fence uint64
}

// PoolSize is the number of targets, either reclaimable or not, that a service
// should have in an availability zone.
type PoolSize struct {
	Service     string
	Zone        zone.Name
	Targets     int
	Reclaimable bool
}

// Duties is the part of the platform's interface that only one host at a time may
// call, the holder of the duties.
type Duties interface {
	// ReportWindow reports the number of requests of each organisation that began in
	// a usage window. Repeating a report with the same counts is harmless.
	ReportWindow(ctx context.Context, holder DutyHolder, window uint64, counts map[string]uint32) error
	// Resize orders a number of targets.
	Resize(ctx context.Context, holder DutyHolder, size PoolSize) error
}

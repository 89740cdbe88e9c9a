package provider

import (
	"context"
	"errors"

	"zinniapin/zone"
)

// Errors of Duties. Callers test for them with errors.Is.
var (
	// ErrFencedOrNoCapacity means that a higher fencing number was seen, or that the order
	// cannot be met; nothing was done.
	ErrFencedOrNoCapacity = errors.New("provider: refused by fence or for want of targets")
	// ErrRefused means that the call was refused for now; nothing was done.
	ErrRefused = errors.New("provider: refused for now")
	// ErrUnknown means that no answer came; the call may be carried out later.
	ErrUnknown = errors.New("provider: outcome unknown")
)

// DutyHolder is who makes a call that must have one author at a time.
type DutyHolder struct {
	Host  string
	Fence uint64
}

// PoolSize is the number of targets of one class that a service should have in
// an availability zone.
type PoolSize struct {
	Service     string
	Zone        zone.Name
	Targets     int
	Reclaimable bool
}

// Duties are the calls that one host makes at a time.
type Duties interface {
	// ReportWindow reports the requests of each organisation that began in a
	// usage window. An exact repeat is harmless.
	ReportWindow(ctx context.Context, a DutyHolder, window uint64, counts map[string]uint32) error
	// Resize orders the number of targets.
	Resize(ctx context.Context, a DutyHolder, size PoolSize) error
}

// Package provider is the seam to the platform's own services besides the
// object API: the target interface, the usage-report interface and the list
// of hosts.
package provider

import (
	"context"
	"time"

	"zinniapin/target"
	"zinniapin/zone"
)

// TargetOrder asks the platform for targets, or gives one back.
type TargetOrder struct {
	ID    string // unique; the platform ignores a repeated id
	Fence uint64 // fencing number of the order's author
	Zone  zone.Name
	Class target.Class
	Pool  string
	Count int // positive: buy that many; negative: see Release
	// Release names the target to give back; empty when buying.
	Release target.ID
}

// TargetOrderResult is the platform's answer to an order.
type TargetOrderResult struct {
	Accepted int    // number granted, which may be less than asked for
	Reason   string // why fewer were granted
}

// Targets is the target interface, which orders targets by zone.
type Targets interface {
	Order(ctx context.Context, o TargetOrder) (TargetOrderResult, error)
	// Lookup tells what became of an order, and false when the platform has
	// not seen it (which proves nothing about one still under way).
	Lookup(ctx context.Context, orderID string) (TargetOrderResult, bool, error)
}

// UsageReport is one organisation's use in one time window.
type UsageReport struct {
	Organisation string
	Window       time.Time // start of the window, UTC
	Length       time.Duration
	Requests     uint64
	PromptTokens uint64
	OutputTokens uint64
	Calls        uint64 // calls of plain services
	Late         uint64 // of the requests and calls, those of earlier windows
}

// Usage is the usage-report interface. A report is idempotent by
// organisation and window when its figures are the same.
type Usage interface {
	Report(ctx context.Context, author string, fence uint64, reports []UsageReport) error
}

// HostState is the state of a host in the platform's list.
type HostState string

// States of a host.
const (
	Live    HostState = "live"
	Leaving HostState = "leaving"
	Gone    HostState = "gone"
)

// Host is one row of the platform's list, which lags behind the truth.
type Host struct {
	ID       string
	State    HostState
	Zone     zone.Name
	LeavesAt time.Time // when a leaving host goes; zero otherwise
	// Target describes the target on this host; nil for entry hosts.
	Target *target.Target
}

// Hosts is the list of hosts.
type Hosts interface {
	List(ctx context.Context) ([]Host, error)
}

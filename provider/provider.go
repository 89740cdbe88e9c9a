// Package provider declares the interfaces of the platform's services other than the
// object API (package store): orders of targets, usage reports and the list of hosts.
package provider

import (
	"context"
	"time"

	"zinniapin/target"
	"zinniapin/zone"
)

// TargetOrder orders targets from the platform, or gives one back.
type TargetOrder struct {
	ID    string // unique; the platform ignores a repeated id
	Fence uint64 // fencing number of the host that orders
	Zone  zone.Name
	Class target.Class
	Pool  string
	Count int // positive: buy that many; negative: give Release back
	// Release is the target to give back; empty when buying.
	Release target.ID
}

// TargetOrderResult is the platform's answer to an order.
type TargetOrderResult struct {
	Accepted int    // number granted, which may be less than the number ordered
	Reason   string // why fewer were granted
}

// Targets is the platform's interface for orders of targets.
type Targets interface {
	Order(ctx context.Context, o TargetOrder) (TargetOrderResult, error)
	// Lookup returns the result of an order, or false if the platform has not
	// received it. An order still in transit may be received later.
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
	Calls        uint64 // requests to services other than language models
	Late         uint64 // of the requests and calls, those of earlier windows
}

// Usage is the platform's interface for usage reports. Repeating the report of an
// organisation and window has no effect if the figures are the same.
type Usage interface {
	Report(ctx context.Context, author string, fence uint64, reports []UsageReport) error
}

// HostState is the state of a host in the platform's list of hosts.
type HostState string

// States of a host.
const (
	Live    HostState = "live"
	Leaving HostState = "leaving"
	Gone    HostState = "gone"
)

// Host is one row of the platform's list of hosts, which may be out of date.
type Host struct {
	ID       string
	State    HostState
	Zone     zone.Name
	LeavesAt time.Time // when a leaving host will be gone; zero otherwise
	// Target describes the target on this host; nil if there is none.
	Target *target.Target
}

// Hosts is the platform's interface for the list of hosts.
type Hosts interface {
	List(ctx context.Context) ([]Host, error)
}

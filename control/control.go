// Package control is the seam between a gateway and the controllers: what
// each side tells the other, without the wire form.
package control

import (
	"context"
	"time"

	"zinniapin/contract"
	"zinniapin/provider"
	"zinniapin/target"
	"zinniapin/usage"
)

// TargetState is what a gateway knows of one target.
type TargetState struct {
	Target   target.Target
	State    provider.HostState
	LeavesAt time.Time // zero unless leaving
	// Cordoned targets get no new work; CordonEpoch orders cordons.
	Cordoned    bool
	CordonEpoch uint64
	// Report is the latest report; its ReceivedAt is by the local clock.
	Report target.Report
}

// Demand is what a gateway wants of an organisation's limits.
type Demand struct {
	Organisation      string
	RequestsPerSecond float64
	Concurrency       int
	TokensPerMinute   float64
}

// Grant is a gateway's share of an organisation's limits until it expires.
type Grant struct {
	Organisation      string
	Revision          contract.Revision
	RequestsPerSecond float64
	Concurrency       int
	TokensPerMinute   float64
	Expires           time.Time // by the local clock
}

// Connectivity is what a gateway may conclude about its own view.
type Connectivity struct {
	// Controllers is the number of controllers that this gateway reaches.
	Controllers int
	// StoreDownForMost is set when most members say that they too cannot
	// reach the object API.
	StoreDownForMost bool
	// StoreDownAge is how old that word is.
	StoreDownAge time.Duration
	// ConfirmedAt is when the configuration was last known to be the newest,
	// by word of the store through any controller.
	ConfirmedAt time.Time
	// LiveGateways is the number of gateways in the fleet that are live.
	LiveGateways int
}

// Gateway is what the controllers' side does to a gateway. Calls may come
// from any goroutine.
type Gateway interface {
	// Configure puts a configuration in force; an older revision than the one
	// in force is ignored.
	Configure(s *contract.Snapshot)
	// Observe replaces the gateway's view of all targets.
	Observe(view []TargetState)
	// Cordon stops new work to a target, or lifts the stop, and returns the
	// number of this gateway's requests still on it. An epoch lower than the
	// highest seen for the target is ignored.
	Cordon(id target.ID, epoch uint64, lift bool) (running int)
	// SetGrants replaces the grants that it names.
	SetGrants(grants []Grant)
	// SetConnectivity updates what the gateway may conclude about its own view.
	SetConnectivity(c Connectivity)
	// Demands returns the organisations active here and what they want.
	Demands() []Demand
	// PoolLoads returns what the gateway saw of each pool since the last call.
	PoolLoads() []PoolLoad
	// Usage returns the counters that are not known to be safe yet.
	Usage() []usage.Counter
	// UsageStored tells that the counters, up to these figures, are safe.
	UsageStored(counters []usage.Counter)
	// Explain returns a JSON document on recent decisions about a request id.
	Explain(requestID string) []byte
}

// Uplink runs a gateway's links to the controllers.
type Uplink interface {
	// Run keeps links to controllers and feeds g until ctx ends.
	Run(ctx context.Context, g Gateway) error
	// Flush pushes usage until the gateway has none left or ctx ends.
	Flush(ctx context.Context, g Gateway) error
}

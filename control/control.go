// Package control defines the interface between a gateway and the controllers,
// independent of the wire format.
package control

import (
	"context"
	"time"

	"zinniapin/contract"
	"zinniapin/poison"
	"zinniapin/provider"
	"zinniapin/target"
	"zinniapin/usage"
)

// TargetState is the state of one target as a gateway knows it.
type TargetState struct {
	Target   target.Target
	State    provider.HostState
	LeavesAt time.Time // zero unless leaving
	// Cordoned targets get no new work. A higher CordonEpoch overrides a lower
	// one.
	Cordoned    bool
	CordonEpoch uint64
	// Report is the latest report; its ReceivedAt is in local time.
	Report target.Report
}

// Demand is how much of an organisation's limits a gateway asks for.
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
	Expires           time.Time // in local time
}

// Connectivity is what a gateway knows about its links and about the store.
type Connectivity struct {
	// Controllers is the number of controllers that this gateway can reach.
	Controllers int
	// StoreDownForMost is set if most members report that they cannot reach the
	// object API either.
	StoreDownForMost bool
	// StoreDownAge is the age of the information in StoreDownForMost.
	StoreDownAge time.Duration
	// ConfirmedAt is when a controller last confirmed with the store that the
	// configuration is the newest.
	ConfirmedAt time.Time
	// LiveGateways is the number of live gateways, or 0 if unknown.
	LiveGateways int
}

// Gateway is the interface through which the uplink drives a gateway. Its methods may be
// called from any goroutine.
type Gateway interface {
	// Configure puts a configuration in force. A revision older than the one in
	// force is ignored.
	Configure(s *contract.Snapshot)
	// Observe replaces the gateway's view of all targets.
	Observe(view []TargetState)
	// Cordon stops new work to a target, or allows it again if lift is set, and
	// returns the number of this gateway's requests in progress there. An epoch
	// lower than the highest one known for the target is ignored.
	Cordon(id target.ID, epoch uint64, lift bool) (running int)
	// SetGrants replaces the grants of the organisations named in grants.
	SetGrants(grants []Grant)
	// SetConnectivity updates the gateway's connectivity.
	SetConnectivity(c Connectivity)
	// Demands returns the demands of the organisations active at this gateway.
	Demands() []Demand
	// PoolLoads returns the load of each pool since the last call.
	PoolLoads() []PoolLoad
	// Usage returns the counters that are not yet known to be stored.
	Usage() []usage.Counter
	// UsageStored reports that the counters have been stored up to these values.
	UsageStored(counters []usage.Counter)
	// CrashEvidence returns evidence on at most n requests under which targets crashed, those of
	// which something new was learnt within an age.
	CrashEvidence(n int, maxAge time.Duration) []poison.Evidence
	// MergeCrashEvidence adds the evidence of other gateways.
	MergeCrashEvidence(all []poison.Evidence)
	// Explain returns the recent decisions about a request as a JSON document.
	Explain(requestID string) []byte
}

// Uplink maintains a gateway's links to the controllers.
type Uplink interface {
	// Run maintains the links and passes what the controllers send to g, until
	// ctx ends.
	Run(ctx context.Context, g Gateway) error
	// Flush sends g's usage until all of it is stored or ctx ends.
	Flush(ctx context.Context, g Gateway) error
}

// Package target defines the back ends that run requests, which are model
// engines and plain services, and the interface to engines.
package target

import (
	"time"

	"zinniapin/zone"
)

// ID identifies a target. A target that replaces another has a new id.
type ID string

// Kind distinguishes engines from plain services.
type Kind string

// Kinds of targets.
const (
	Engine  Kind = "engine"
	Service Kind = "service"
)

// Class is the purchase class of a target.
type Class string

// Classes of targets.
const (
	// Reserved targets belong to the fleet permanently.
	Reserved Class = "reserved"
	// OnDemand targets are paid by the hour and stay until released.
	OnDemand Class = "on-demand"
	// Reclaimable targets are cheap, and the platform may reclaim them at a few
	// seconds' notice.
	Reclaimable Class = "reclaimable"
)

// Role is the phase of requests that an engine serves.
type Role string

// Roles of engines.
const (
	Prefill Role = "prefill"
	Decode  Role = "decode"
	Mixed   Role = "mixed"
)

// Target is a back end as listed by the platform.
type Target struct {
	ID      ID
	Kind    Kind
	Class   Class
	Pool    string // name of the pool of engines, or of the service
	Zone    zone.Name
	Address string // IP:port
	// ChecksFence tells whether the target refuses orders with an outdated
	// fencing number.
	ChecksFence bool
}

// Report is a target's own report of its state and load. It lags behind the actual state.
type Report struct {
	Target ID
	// Boot is a random number that the target draws each time it starts.
	Boot uint64
	// Sequence increases by one with each report since the target started.
	Sequence   uint64
	ReceivedAt time.Time // by the receiver's clock
	Role       Role
	// Changing is set while a role or model change is in progress.
	Changing bool
	// Fence is the highest fencing number that the target has seen.
	Fence uint64
	// LastOrder is the id of the last order that took effect.
	LastOrder string
	Models    []string
	Running   int // requests in the running batch, or calls in progress
	Waiting   int // requests queued at the target
	// PrefillTokens is the number of prompt tokens not yet processed.
	PrefillTokens int
	// KVPiecesUsed and KVPiecesTotal count blocks of the KV cache of about 2,000
	// tokens each.
	KVPiecesUsed  int
	KVPiecesTotal int
	// PrefillRate and DecodeRate are in tokens per second for the whole target.
	PrefillRate float64
	DecodeRate  float64
	// Capacity is the number of requests that the target runs at once.
	Capacity int
}

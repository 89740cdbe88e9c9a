// Package target describes the back ends that run requests: model engines
// and plain services.
package target

import (
	"time"

	"zinniapin/zone"
)

// ID names a target. A replaced target gets a new id.
type ID string

// Kind tells engines from plain services.
type Kind string

// Kinds of targets.
const (
	Engine  Kind = "engine"
	Service Kind = "service"
)

// Class is how a target is paid for.
type Class string

// Classes of targets.
const (
	// Reserved targets belong to the fleet and always stay.
	Reserved Class = "reserved"
	// OnDemand targets are bought by the hour and stay until released.
	OnDemand Class = "on-demand"
	// Reclaimable targets are cheap and may be taken at a few seconds' notice.
	Reclaimable Class = "reclaimable"
)

// Role is the part of the work that an engine does.
type Role string

// Roles of engines.
const (
	Prefill Role = "prefill"
	Decode  Role = "decode"
	Mixed   Role = "mixed"
)

// Target is a back end as the platform lists it.
type Target struct {
	ID      ID
	Kind    Kind
	Class   Class
	Pool    string // pool of engines, or name of the service
	Zone    zone.Name
	Address string // IP:port
	// ChecksFence tells whether the target refuses an old fencing number.
	ChecksFence bool
}

// Report is a target's own word on its load. It lags.
type Report struct {
	Target ID
	// Boot is drawn anew each time the target starts.
	Boot uint64
	// Sequence rises by one with each report of one boot.
	Sequence   uint64
	ReceivedAt time.Time // by the clock of the receiver
	Role       Role
	// Changing is set while a role or model change is under way.
	Changing bool
	// Fence is the highest fencing number that the target has seen.
	Fence uint64
	// LastOrder is the id of the last order that took effect.
	LastOrder string
	Models    []string
	Running   int // requests in the batch, or calls in progress
	Waiting   int // requests queued at the target
	// PrefillTokens is the number of prompt tokens still to be processed.
	PrefillTokens int
	// KVPiecesUsed and KVPiecesTotal count pieces of KV cache of about 2,000
	// tokens each.
	KVPiecesUsed  int
	KVPiecesTotal int
	// PrefillRate and DecodeRate are in tokens a second for the whole target.
	PrefillRate float64
	DecodeRate  float64
	// Capacity is the number of requests that the target runs at once.
	Capacity int
}

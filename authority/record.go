// Package authority decides who may order an engine or the platform. Every
// unit that takes orders has one object in the object API with an epoch and
// at most one open order: an order is opened by conditional update, sent with
// its epoch as fencing number, settled by the target's own state and closed
// by conditional update.
//
// Agent is the decision core, without I/O; Executor drives it.
package authority

import (
	"encoding/json"
	"time"

	"github.com/gravitational/trace"

	"zinniapin/store"
)

// Prefix begins the keys of all open-order records in the object API.
const Prefix = "orders/"

// Outcome is how an order ended.
type Outcome string

// Outcomes of orders.
const (
	// Applied means that the order took effect.
	Applied Outcome = "applied"
	// NotSent means that the target never received the order and never will.
	NotSent Outcome = "not_sent"
	// Refused means that the target says the order had no effect.
	Refused Outcome = "refused"
	// Stale means that the target has seen a higher fencing number.
	Stale Outcome = "stale"
	// Lost means that the target restarted after the order was sent.
	Lost Outcome = "lost"
	// Lapsed means that the order was sent, that the target did not show its
	// effect within the settle time, and that it can no longer arrive.
	Lapsed Outcome = "lapsed"
	// Gone means that the target is gone for good.
	Gone Outcome = "gone"
	// Blocked means that another author's order is open; nothing was sent.
	Blocked Outcome = "blocked"
	// Unavailable means that the object API is down; nothing was sent.
	Unavailable Outcome = "unavailable"
	// Released means that an operator released the order.
	Released Outcome = "released"
)

// Order is an open order.
type Order struct {
	// ID is unique over all authors and time; empty means no order.
	ID string `json:"id"`
	// Author is the machine.Process.ID of the author.
	Author string `json:"author"`
	// Epoch is the order's fencing number.
	Epoch uint64 `json:"epoch"`
	// Payload is the order itself; it is opaque to the protocol.
	Payload string `json:"payload"`
	// Role is the role that the order gives to an engine; may be empty.
	Role string `json:"role,omitempty"`
	// OpenedMillis is Unix time in milliseconds by the author's clock. It is
	// for operators only.
	OpenedMillis int64 `json:"opened_ms"`
	// Ended is the author's word that it sent the order, has no answer, and
	// never sends it again. Until then an open order may yet be sent.
	Ended bool `json:"ended,omitempty"`
}

// Record is the object of one unit. It is comparable.
type Record struct {
	// Epoch is the highest fencing number given out. It only ever rises.
	Epoch uint64 `json:"epoch"`
	// Role is the role of the last order that is known to have taken effect.
	Role string `json:"role,omitempty"`
	// Open is the open order, if its ID is set.
	Open Order `json:"open,omitzero"`
	// LastID and LastOutcome tell how the last order ended.
	LastID      string  `json:"last_id,omitempty"`
	LastOutcome Outcome `json:"last_outcome,omitempty"`
	// ReleasedBy names the operator who released the last order.
	ReleasedBy string `json:"released_by,omitempty"`
}

// opened returns the record with a new open order in place of any other.
func (r Record) opened(o Order) Record {
	r.Epoch = o.Epoch
	r.Open = o
	return r
}

// closed returns the record without its open order.
func (r Record) closed(outcome Outcome) Record {
	if outcome == Applied && r.Open.Role != "" {
		r.Role = r.Open.Role
	}
	r.LastID = r.Open.ID
	r.LastOutcome = outcome
	r.ReleasedBy = ""
	r.Open = Order{}
	return r
}

// encode returns the stored form of a record.
func (r Record) encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, trace.Wrap(err)
}

// decodeRecord reads the stored form of a record; nil is the empty record.
func decodeRecord(value []byte) (Record, error) {
	var r Record
	if value == nil {
		return r, nil
	}
	err := json.Unmarshal(value, &r)
	return r, trace.Wrap(err)
}

// Snapshot is a record with the version that it had.
type Snapshot struct {
	Version store.Version
	Record  Record
}

// OpenOrder is an open order as operators see it.
type OpenOrder struct {
	Unit   string // key of the record below Prefix
	Order  Order
	Opened time.Time
}

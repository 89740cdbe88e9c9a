// Package authority makes sure that only one process at a time gives orders to an
// engine or to the platform. That process is the author of the order. A unit is
// whatever takes orders one at a time: an engine, or the platform for the targets of
// one pool in one zone or for the usage reports of one shard. It has one record in
// the object API with an epoch and at most one open order. An order is opened by a
// conditional update and sent with its epoch as fencing number; its outcome is read
// from the target's state, and a conditional update closes it.
//
// Agent is the state machine of this protocol, without I/O; Executor runs it.
package authority

import (
	"encoding/json"
	"time"

	"github.com/gravitational/trace"

	"zinniapin/store"
)

// Prefix is the key prefix of the records of all units in the object API.
const Prefix = "orders/"

// Outcome is how an order ended.
type Outcome string

// Outcomes of orders.
const (
	// Applied means that the order took effect.
	Applied Outcome = "applied"
	// NotSent means that the target never received the order and never will.
	NotSent Outcome = "not_sent"
	// Refused means that the target reported that the order had no effect.
	Refused Outcome = "refused"
	// Stale means that the target has seen a higher fencing number.
	Stale Outcome = "stale"
	// Lost means that the target restarted after the order was sent.
	Lost Outcome = "lost"
	// Lapsed means that the order was sent and did not take effect within the
	// maximum time in transit, so that it can no longer arrive.
	Lapsed Outcome = "lapsed"
	// Gone means that the target's host is gone for good.
	Gone Outcome = "gone"
	// Blocked means that another author's order is open; nothing was sent.
	Blocked Outcome = "blocked"
	// Unavailable means that the object API was unavailable; nothing was sent.
	Unavailable Outcome = "unavailable"
	// Released means that an operator released the order.
	Released Outcome = "released"
)

// Order is an order as stored in a record.
type Order struct {
	// ID is unique over all authors and all time. It is empty if there is no order.
	ID string `json:"id"`
	// Author is the machine.Process.ID of the process that gives the order.
	Author string `json:"author"`
	// Epoch is the order's fencing number.
	Epoch uint64 `json:"epoch"`
	// Payload is the content of the order; the protocol does not interpret it.
	Payload string `json:"payload"`
	// Role is the role that the order gives to an engine; may be empty.
	Role string `json:"role,omitempty"`
	// OpenedMillis is when the order was opened, as Unix time in milliseconds by
	// the author's clock. It is only shown to operators.
	OpenedMillis int64 `json:"opened_ms"`
	// Ended is set by the author when it has sent the order without getting an
	// answer, and will not send it again. Until then an open order may still be
	// sent.
	Ended bool `json:"ended,omitempty"`
}

// Record is the stored state of one unit. It is comparable.
type Record struct {
	// Epoch is the highest fencing number assigned so far. It never decreases.
	Epoch uint64 `json:"epoch"`
	// Role is the role of the last order that is known to have taken effect.
	Role string `json:"role,omitempty"`
	// Open is the open order. Its ID is empty if no order is open.
	Open Order `json:"open,omitzero"`
	// LastID and LastOutcome are the ID and outcome of the last closed order.
	LastID      string  `json:"last_id,omitempty"`
	LastOutcome Outcome `json:"last_outcome,omitempty"`
	// ReleasedBy is the operator who released the last order; empty if it was not
	// released.
	ReleasedBy string `json:"released_by,omitempty"`
}

// opened returns the record with o as the open order.
func (r Record) opened(o Order) Record {
	r.Epoch = o.Epoch
	r.Open = o
	return r
}

// closed returns the record with its open order closed with an outcome.
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

// closedAs describes how the last order was closed.
func (r Record) closedAs() string {
	if r.ReleasedBy != "" {
		return string(r.LastOutcome) + " by " + r.ReleasedBy
	}
	return string(r.LastOutcome)
}

// encode returns the record as stored.
func (r Record) encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, trace.Wrap(err)
}

// decodeRecord decodes a stored record. A nil value is the empty record.
func decodeRecord(value []byte) (Record, error) {
	var r Record
	if value == nil {
		return r, nil
	}
	err := json.Unmarshal(value, &r)
	return r, trace.Wrap(err)
}

// Snapshot is a record with its version in the object API.
type Snapshot struct {
	Version store.Version
	Record  Record
}

// OpenOrder is an open order with its unit.
type OpenOrder struct {
	Unit   string // key of the record below Prefix
	Order  Order
	Opened time.Time
}

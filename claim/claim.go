// Package claim makes non-repeatable requests run at most once. A claim is
// created in the object API before anything is sent; an outcome that cannot
// be known stays unknown and never runs again.
package claim

import (
	"context"
	"time"
)

// ID names a claim. The same key of two organisations names two claims.
type ID struct {
	Organisation   string
	IdempotencyKey string
}

// State is the state of a claim.
type State string

// States of a claim.
const (
	// Claimed means that the request may be under way.
	Claimed State = "claimed"
	// Done means that the request ran and its answer is kept.
	Done State = "done"
	// Unknown means that the request may have run; it never runs again.
	Unknown State = "unknown"
	// NotRun means that the request did not run; it may be claimed anew.
	NotRun State = "not_run"
)

// Answer is a kept answer of a plain service.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// Ticket is the right to send one claimed request once.
type Ticket struct {
	ID      ID
	Attempt string // unique for each ticket
}

// Outcome is what Begin found.
type Outcome struct {
	// Ticket is set when the caller now holds the right to send.
	Ticket *Ticket
	// State is the state of the claim when Ticket is nil.
	State State
	// Answer is set with State Done.
	Answer *Answer
	// RetryAfter says when to ask again, with State Claimed.
	RetryAfter time.Duration
}

// Registry keeps claims. It is safe for concurrent use.
type Registry interface {
	// Begin claims the request with this digest, or tells what became of it.
	// A digest other than the claim's is a result.ClaimMismatch. When the
	// store cannot confirm the claim the error is result.StoreUnavailable and
	// nothing may be sent. A claim whose answer was not kept is a
	// result.ClaimAnswerNotKept.
	Begin(ctx context.Context, id ID, digest [32]byte) (Outcome, error)
	// Lookup reads what became of the request with this digest and claims
	// nothing; found is false when nobody holds or ended a claim. Errors are
	// those of Begin.
	Lookup(ctx context.Context, id ID, digest [32]byte) (outcome Outcome, found bool, err error)
	// Finish keeps the answer.
	Finish(ctx context.Context, t Ticket, a Answer) error
	// Release records that the request did not run. It may be called only
	// when no byte reached a target, or on the target's own word.
	Release(ctx context.Context, t Ticket) error
	// Abandon records that the outcome is unknown.
	Abandon(ctx context.Context, t Ticket) error
}

// Package claim makes requests that must not be repeated run at most once. Before a request is
// sent, a claim for its idempotency key is created in the object API. If it cannot be known
// whether the request ran, the claim stays in state Unknown and the request is never sent
// again.
package claim

import (
	"context"
	"time"
)

// ID identifies a claim. The same idempotency key of two organisations belongs to two claims.
type ID struct {
	Organisation   string
	IdempotencyKey string
}

// State is the state of a claim.
type State string

// States of a claim.
const (
	// Claimed means that a process holds the ticket and the request may be in progress.
	Claimed State = "claimed"
	// Done means that the request ran. Its answer is stored, unless that failed or it was too
	// large.
	Done State = "done"
	// Unknown means that the request may have run. It is never sent again.
	Unknown State = "unknown"
	// NotRun means that the request did not run. It may be claimed again.
	NotRun State = "not_run"
)

// Answer is the stored answer of a plain service.
type Answer struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}

// Ticket is the right to send a claimed request once. Begin gives it to the caller that claimed
// the request, which uses it in Finish, Release or Abandon to end the claim.
type Ticket struct {
	ID      ID
	Attempt string // unique for each ticket
}

// Outcome is the result of Begin or Lookup.
type Outcome struct {
	// Ticket is set if the caller may send the request.
	Ticket *Ticket
	// State is the state of the claim if Ticket is nil.
	State State
	// Answer is set if State is Done.
	Answer *Answer
	// RetryAfter is when to ask again if State is Claimed.
	RetryAfter time.Duration
}

// Registry stores claims. It is safe for concurrent use.
type Registry interface {
	// Begin claims the request with the given digest, or returns the state of an existing
	// claim. If the claim belongs to a request with another digest, the error is a
	// result.ClaimMismatch. If the store cannot confirm the claim, the error is a
	// result.StoreUnavailable and the request must not be sent. If the request ran and its
	// answer was not stored, the error is a result.ClaimAnswerNotKept.
	Begin(ctx context.Context, id ID, digest [32]byte) (Outcome, error)
	// Lookup returns the state of the claim for the request with the given digest without
	// claiming it. It returns found=false if there is no claim or the request did not run.
	// Errors are those of Begin.
	Lookup(ctx context.Context, id ID, digest [32]byte) (outcome Outcome, found bool, err error)
	// Finish records that the request ran, and stores its answer.
	Finish(ctx context.Context, t Ticket, a Answer) error
	// Release records that the request did not run. It may be called only if no byte of the
	// request reached a target, or if the target itself reported that it did not run.
	Release(ctx context.Context, t Ticket) error
	// Abandon records that it is unknown whether the request ran.
	Abandon(ctx context.Context, t Ticket) error
}

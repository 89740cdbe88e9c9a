package forward

import (
	"net/http"
	"time"

	"zinniapin/dispatch"
	"zinniapin/target"
)

// Call is what the headers of a caller's request say.
type Call struct {
	// ID is the caller's name for this attempt; targets echo it.
	ID string
	// Key is the caller's key; empty when it sent none.
	Key string
	// Deadline is how long the caller waits; 0 when it does not say.
	Deadline time.Duration
	// Prompt and Output are the prompt tokens and the most output tokens; 0 for
	// plain services.
	Prompt, Output int
	// Parts are the leading parts of the prompt.
	Parts []dispatch.Part
	// LastEvent is the id after which a resumed stream goes on; empty for a new
	// one.
	LastEvent string
}

// Outbound is what the system tells a target beside the caller's request.
type Outbound struct {
	// Deadline is the time that is left.
	Deadline time.Duration
	// Instance is the target that the request is for; another one at its address
	// refuses it.
	Instance target.ID
	// Organisation holds the caller's key; empty on open routes.
	Organisation string
	// Priority is the rank at the target, 0 the most urgent; negative leaves it
	// to the target.
	Priority int
	// PrefillOnly asks to process the prompt and to keep its KV cache.
	PrefillOnly bool
	// Source is where the KV cache is fetched from; empty when there is none.
	Source string
	// Fetch is the address of a target that keeps parts of the prompt; empty
	// when none are to be fetched.
	Fetch string
	// LastEvent is the id after which the stream goes on.
	LastEvent string
}

// Reply is what the head of a target's answer says.
type Reply struct {
	// NotRun is set when the target says that it did not run the request.
	NotRun bool
	// Misdirected is set when another target answers at the address.
	Misdirected bool
	// ID is the request that the answer belongs to.
	ID string
	// Signed is set when the target has signed its answer.
	Signed bool
}

// Prefilled is the KV cache that a target keeps for its taker.
type Prefilled struct {
	Handle string
	Tokens int
}

// Protocol translates between the headers of callers and targets and the terms
// of this package. It holds no state.
type Protocol interface {
	// Read decodes a caller's headers. The error names the header.
	Read(h http.Header) (Call, error)
	// Outbound returns the headers for a target: those of the caller that
	// concern the request, and what the system sets.
	Outbound(caller http.Header, o Outbound) http.Header
	// Reply decodes the head of a target's answer.
	Reply(status int, h http.Header) Reply
	// Inbound returns the headers of a target's answer that concern the caller.
	Inbound(h http.Header) http.Header
	// Prefilled decodes the answer to a request that was only prefilled.
	Prefilled(body []byte) (Prefilled, error)
	// Source names a KV cache at a target's address.
	Source(address, handle string) string
	// Release returns the call that frees a KV cache.
	Release(handle string) (method, path string)
	// Refusal returns the headers of a refusal.
	Refusal(id string, retryAfter time.Duration) http.Header
}

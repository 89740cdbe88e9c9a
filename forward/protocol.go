package forward

import (
	"net/http"
	"time"

	"zinniapin/dispatch"
	"zinniapin/target"
)

// RequestInfo is what the headers of a caller's request say.
type RequestInfo struct {
	// ID is the caller's name for this attempt; targets echo it.
	ID string
	// Key is the caller's key; empty when it sent none.
	Key string
	// Deadline is how long the caller waits; 0 when it does not say.
	Deadline time.Duration
	// PromptTokens and MaxOutputTokens are the prompt tokens and the most output tokens; 0 for
	// plain services.
	PromptTokens, MaxOutputTokens int
	// PromptParts are the leading parts of the prompt.
	PromptParts []dispatch.Part
	// LastEventID is the id after which a resumed stream goes on; empty for a new
	// one.
	LastEventID string
}

// AttemptInfo is what the system tells a target beside the caller's request.
type AttemptInfo struct {
	// Deadline is the time that is left.
	Deadline time.Duration
	// TargetID is the target that the request is for; another one at its address
	// refuses it.
	TargetID target.ID
	// Organisation holds the caller's key; empty on open routes.
	Organisation string
	// Priority is the rank at the target, 0 the most urgent; negative leaves it
	// to the target.
	Priority int
	// PrefillOnly asks to process the prompt and to keep its KV cache.
	PrefillOnly bool
	// PrefillSource is where the KV cache is fetched from; empty when there is none.
	PrefillSource string
	// PrefixSource is the address of a target that keeps parts of the prompt; empty
	// when none are to be fetched.
	PrefixSource string
	// LastEventID is the id after which the stream goes on.
	LastEventID string
}

// ResponseInfo is what the head of a target's answer says.
type ResponseInfo struct {
	// NotRun is set when the target says that it did not run the request.
	NotRun bool
	// Misdirected is set when another target answers at the address.
	Misdirected bool
	// ID is the request that the answer belongs to.
	ID string
	// Signed is set when the target has signed its answer.
	Signed bool
}

// PrefillResult is the KV cache that a target keeps for its taker.
type PrefillResult struct {
	Handle string
	Tokens int
}

// Protocol translates between the headers of callers and targets and the terms
// of this package. It holds no state.
type Protocol interface {
	// ParseRequest decodes a caller's headers. The error names the header.
	ParseRequest(h http.Header) (RequestInfo, error)
	// AttemptHeaders returns the headers for a target: those of the caller that
	// concern the request, and what the system sets.
	AttemptHeaders(caller http.Header, o AttemptInfo) http.Header
	// ParseResponse decodes the head of a target's answer.
	ParseResponse(status int, h http.Header) ResponseInfo
	// CallerHeaders returns the headers of a target's answer that concern the caller.
	CallerHeaders(h http.Header) http.Header
	// ParsePrefill decodes the answer to a request that was only prefilled.
	ParsePrefill(body []byte) (PrefillResult, error)
	// CacheSource names a KV cache at a target's address.
	CacheSource(address, handle string) string
	// ReleaseRequest returns the call that frees a KV cache.
	ReleaseRequest(handle string) (method, path string)
	// RefusalHeaders returns the headers of a refusal.
	RefusalHeaders(id string, retryAfter time.Duration) http.Header
}

package forward

import (
	"net/http"
	"time"

	"zinniapin/dispatch"
	"zinniapin/target"
)

// RequestInfo holds the fields decoded from the headers of a caller's request.
type RequestInfo struct {
	// ID is the request id that the caller chose. Targets return it with their response.
	ID string
	// Key is the caller's API key; empty when it sent none.
	Key string
	// Deadline is how long the caller waits; 0 when it sent none.
	Deadline time.Duration
	// PromptTokens is the size of the prompt and MaxOutputTokens the limit of the output, in
	// tokens; both are 0 for plain services.
	PromptTokens, MaxOutputTokens int
	// TokensCounted is set if the caller named these numbers. Their sum fits an int.
	TokensCounted bool
	// LengthHint is the number of output tokens that the caller expects; 0 when it gave none.
	LengthHint int
	// PromptParts are the leading parts of the prompt, shortest first.
	PromptParts []dispatch.Part
	// LastEventID is the id of the last event that the caller has of the stream that it resumes;
	// empty for a new stream.
	LastEventID string
	// Resumes is the id of the request by which the caller got the first event of the stream that
	// it resumes; empty for a new stream.
	Resumes string
}

// AttemptInfo holds the fields that the forwarding process adds to the headers of an attempt, beside
// the caller's headers.
type AttemptInfo struct {
	// Deadline is the time left until the deadline of the request.
	Deadline time.Duration
	// TargetID is the target that the request is for. Another target that has taken over its
	// address refuses the request.
	TargetID target.ID
	// Organisation is the name of the organisation that the caller's key belongs to; empty if
	// the route needs no key.
	Organisation string
	// Priority orders requests at the target, 0 being the most urgent. It is left out if negative.
	Priority int
	// PrefillOnly asks the target to process the prompt only and to keep its KV cache.
	PrefillOnly bool
	// PrefillSource names the KV cache of the whole prompt, as returned by CacheSource, which the
	// target is to fetch; empty when there is none.
	PrefillSource string
	// PrefixSource is the address of a target that has parts of the prompt in its KV cache; empty
	// when none are to be fetched.
	PrefixSource string
	// LastEventID is the id of the event after which the target resumes the stream.
	LastEventID string
}

// ResponseInfo holds the fields decoded from the status and headers of a target's response.
type ResponseInfo struct {
	// NotRun is set when the target states that it did not run the request.
	NotRun bool
	// Misdirected is set when another target responded at the address.
	Misdirected bool
	// ID is the id of the request that the response belongs to.
	ID string
	// Leaving is set when the target says that it leaves.
	Leaving bool
	// RetryAfter is how long the target wants no requests of this host; 0 if it says nothing of that.
	RetryAfter time.Duration
	// Limit is the number of requests a second that the target takes from all hosts together, if Limited
	// is set.
	Limit   float64
	Limited bool
	// Signed is set when the target has signed its response.
	Signed bool
	// Running, Waiting and Slots are the requests that run and wait at the target and its slots, if LoadGiven is set.
	Running, Waiting, Slots int
	LoadGiven               bool
	// Slowdown is the time that work takes at the target at this moment, in per cent of the usual time, if
	// SlowdownGiven is set.
	Slowdown      int
	SlowdownGiven bool
}

// PrefillResult describes the KV cache that a target keeps after a prefill until a decode target
// fetches it.
type PrefillResult struct {
	// Handle is the target's name for the KV cache.
	Handle string
	// Tokens is the number of tokens that the target reports for the prefill.
	Tokens int
}

// Protocol translates between the headers of callers and targets and the types of this package.
// Implementations are stateless.
type Protocol interface {
	MoveProtocol
	// ParseRequest decodes a caller's headers. An error names the header at fault.
	ParseRequest(h http.Header) (RequestInfo, error)
	// AttemptHeaders returns the headers of an attempt: those of the caller that targets may see,
	// and those that info sets.
	AttemptHeaders(caller http.Header, info AttemptInfo) http.Header
	// ParseResponse decodes the status and headers of a target's response.
	ParseResponse(status int, h http.Header) ResponseInfo
	// CallerHeaders returns the headers of a target's response that are sent to the caller.
	CallerHeaders(h http.Header) http.Header
	// ParsePrefill decodes the body of the response to a prefill.
	ParsePrefill(body []byte) (PrefillResult, error)
	// CacheSource returns the name under which a target fetches the KV cache with the given handle
	// from the target at address.
	CacheSource(address, handle string) string
	// ReleaseRequest returns the method and path of the request that frees a KV cache.
	ReleaseRequest(handle string) (method, path string)
	// RefusalHeaders returns the headers of a response with which the node itself refuses a request.
	RefusalHeaders(id string, retryAfter time.Duration) http.Header
}

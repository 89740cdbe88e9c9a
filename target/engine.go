package target

import (
	"context"
	"errors"
)

// Errors of requests and orders to targets, for use with errors.Is.
var (
	// ErrNotSent means that no byte of the request reached the target.
	ErrNotSent = errors.New("target: request not sent")
	// ErrRefused means that the target reported that it did not run the request.
	ErrRefused = errors.New("target: request refused and not run")
	// ErrIncomplete means that no complete answer was received; the target may
	// have run the request.
	ErrIncomplete = errors.New("target: answer incomplete")
	// ErrStaleFence means that the target has seen a higher fencing number and
	// did not apply the order.
	ErrStaleFence = errors.New("target: stale fencing number")
)

// Phase is the part of a request that an engine is asked to perform.
type Phase string

// Phases of a request.
const (
	PhaseWhole   Phase = ""        // prefill and decode on one engine
	PhasePrefill Phase = "prefill" // stop after the first token, keep the KV cache
	PhaseDecode  Phase = "decode"  // import the KV cache and continue
)

// GenerateRequest is one attempt at a request to a model.
type GenerateRequest struct {
	// Attempt is a unique id of the attempt. The engine returns it in every chunk.
	Attempt string
	Model   string
	// Prompt is the prompt as rendered by the gateway.
	Prompt string
	// CacheScope separates the prefix caches of organisations.
	CacheScope string
	MaxTokens  int
	Priority   int // a higher one is served first
	// Offset is the number of output tokens already delivered, and Delivered is
	// their text. The engine continues after them.
	Offset    int
	Delivered string
	Phase     Phase
	// KVSource and KVHandle identify the exported KV cache for PhaseDecode.
	KVSource string // IP:port of the engine that holds the KV cache
	KVHandle string
}

// Chunk is a part of an engine's answer.
type Chunk struct {
	Attempt string
	// Offset is the index of the chunk's first output token.
	Offset int
	Tokens int
	Text   string
	// Done marks the end of the answer; an answer without it is incomplete.
	Done   bool
	Finish string // "stop" or "length", with Done
	// KVHandle identifies the exported KV cache, at the end of PhasePrefill.
	KVHandle     string
	PromptTokens int // with Done
	OutputTokens int // with Done; includes the tokens before Offset of the request
}

// Stream is an engine's answer in progress.
type Stream interface {
	// Next returns the next chunk, or io.EOF after the chunk with Done.
	Next() (Chunk, error)
	// Close closes the stream and cancels the attempt if it has not ended.
	Close() error
}

// OrderKind is the kind of change that an order requests.
type OrderKind string

// Kinds of orders.
const (
	OrderRole  OrderKind = "role"
	OrderModel OrderKind = "model"
)

// Order tells an engine to change its role or its models.
type Order struct {
	ID     string
	Fence  uint64 // fencing number: the epoch of the author that issued the order
	Author string
	Kind   OrderKind
	Role   Role   // with OrderRole
	Model  string // with OrderModel: model, adapter or version to load
	Unload string // with OrderModel: what to unload first; may be empty
}

// Requests sends requests to engines.
type Requests interface {
	// Generate starts an attempt. ErrNotSent and ErrRefused guarantee that the
	// request did not run.
	Generate(ctx context.Context, t Target, r GenerateRequest) (Stream, error)
}

// Orders sends orders to engines and reads their reports.
type Orders interface {
	// Send sends the order and waits until the engine confirms that it took
	// effect. After ErrIncomplete the order may or may not have taken effect.
	Send(ctx context.Context, t Target, o Order) error
	// Report reads the engine's current state.
	Report(ctx context.Context, t Target) (Report, error)
}

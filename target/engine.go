package target

import (
	"context"
	"errors"
)

// Errors of targets. Callers test for them with errors.Is.
var (
	// ErrNotSent means that no byte of the request reached the target.
	ErrNotSent = errors.New("target: request not sent")
	// ErrRefused means that the target says it did not run the request.
	ErrRefused = errors.New("target: request refused unrun")
	// ErrIncomplete means that the connection ended before the answer did; the
	// target may have run the request.
	ErrIncomplete = errors.New("target: answer incomplete")
	// ErrStaleFence means that the target has seen a higher fencing number
	// and the order took no effect.
	ErrStaleFence = errors.New("target: stale fencing number")
)

// Phase is the part of a request that an engine is asked to do.
type Phase string

// Phases of a request.
const (
	PhaseWhole   Phase = ""        // prefill and decode on one engine
	PhasePrefill Phase = "prefill" // stop after the first token, keep the KV cache
	PhaseDecode  Phase = "decode"  // import the KV cache and go on
)

// GenerateRequest is one attempt at a request to a model.
type GenerateRequest struct {
	// Attempt is echoed in every chunk; it is unique for each attempt.
	Attempt string
	Model   string
	// Prompt is the rendered prompt.
	Prompt string
	// CacheScope keeps the prefix caches of organisations apart.
	CacheScope string
	MaxTokens  int
	Priority   int // higher goes first
	// Offset is the number of output tokens already delivered; the engine
	// continues after them, given their text in Delivered.
	Offset    int
	Delivered string
	Phase     Phase
	// KVSource and KVHandle name the exported cache for PhaseDecode.
	KVSource string // IP:port of the engine that holds the cache
	KVHandle string
}

// Chunk is a piece of an engine's answer.
type Chunk struct {
	Attempt string
	// Offset is the index of the chunk's first output token.
	Offset int
	Tokens int
	Text   string
	// Done marks the end of a whole answer; an answer without it is not whole.
	Done   bool
	Finish string // "stop" or "length", with Done
	// KVHandle names the exported cache at the end of PhasePrefill.
	KVHandle     string
	PromptTokens int // with Done
	OutputTokens int // with Done; counts from output token 0
}

// Stream is an engine's answer under way.
type Stream interface {
	// Next returns the next chunk, or io.EOF after the chunk with Done.
	Next() (Chunk, error)
	// Close ends the stream and cancels the attempt when it is not done.
	Close() error
}

// OrderKind is what an order makes an engine do.
type OrderKind string

// Kinds of orders.
const (
	OrderRole  OrderKind = "role"
	OrderModel OrderKind = "model"
)

// Order tells an engine to change.
type Order struct {
	ID     string
	Fence  uint64 // fencing number: the epoch of the order's author
	Author string
	Kind   OrderKind
	Role   Role   // with OrderRole
	Model  string // with OrderModel: model, adapter or version to load
	Unload string // with OrderModel: what to drop first; may be empty
}

// Requests sends requests to engines.
type Requests interface {
	// Generate starts an attempt. ErrNotSent and ErrRefused are true words:
	// the request did not run.
	Generate(ctx context.Context, t Target, r GenerateRequest) (Stream, error)
}

// Orders sends orders to engines and reads their own state.
type Orders interface {
	// Send sends the order and waits for the engine's word that it took
	// effect. ErrIncomplete leaves the outcome open.
	Send(ctx context.Context, t Target, o Order) error
	// Report reads the engine's present state.
	Report(ctx context.Context, t Target) (Report, error)
}

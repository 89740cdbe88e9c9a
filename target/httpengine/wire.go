package httpengine

import (
	"zinniapin/target"
)

// Paths of the engine's HTTP interface.
const (
	GeneratePath    = "/v1/generate"
	ReportPath      = "/v1/report"
	OrdersPath      = "/v1/orders"
	CacheEventsPath = "/v1/cache-events"
	KVPath          = "/v1/kv"
)

// Size limits of messages, in bytes.
const (
	// MaxRequestBytes limits the body of a request to an engine.
	MaxRequestBytes = 16 << 20
	// MaxLineBytes limits one chunk of an answer.
	MaxLineBytes = 1 << 20
	// MaxReplyBytes limits a report, the reply to an order or a refusal.
	MaxReplyBytes = 1 << 20
)

// Generate is the body of POST GeneratePath.
type Generate struct {
	Attempt    string       `json:"attempt"`
	Model      string       `json:"model"`
	Prompt     string       `json:"prompt"`
	CacheScope string       `json:"cache_scope,omitempty"`
	MaxTokens  int          `json:"max_tokens"`
	Priority   int          `json:"priority,omitempty"`
	Offset     int          `json:"offset,omitempty"`
	Delivered  string       `json:"delivered,omitempty"`
	Phase      target.Phase `json:"phase,omitempty"`
	KVSource   string       `json:"kv_source,omitempty"`
	KVHandle   string       `json:"kv_handle,omitempty"`
}

// Chunk is one line of an answer.
type Chunk struct {
	Attempt      string `json:"attempt"`
	Offset       int    `json:"offset"`
	Tokens       int    `json:"tokens"`
	Text         string `json:"text"`
	Done         bool   `json:"done,omitempty"`
	Finish       string `json:"finish,omitempty"`
	KVHandle     string `json:"kv_handle,omitempty"`
	PromptTokens int    `json:"prompt_tokens,omitempty"`
	OutputTokens int    `json:"output_tokens,omitempty"`
}

// Refusal is the body of a status other than 200.
type Refusal struct {
	// NotRun is set if the engine ran no part of the request.
	NotRun bool `json:"not_run,omitempty"`
	// StaleFence is set if an order's fencing number is too low.
	StaleFence bool   `json:"stale_fence,omitempty"`
	Message    string `json:"message"`
}

// Order is the body of POST OrdersPath.
type Order struct {
	ID     string           `json:"id"`
	Fence  uint64           `json:"fence"`
	Author string           `json:"author"`
	Kind   target.OrderKind `json:"kind"`
	Role   target.Role      `json:"role,omitempty"`
	Model  string           `json:"model,omitempty"`
	Unload string           `json:"unload,omitempty"`
}

// OrderReply is the reply to an order that took effect.
type OrderReply struct {
	ID      string `json:"id"`
	Applied bool   `json:"applied"`
}

// Report is the response to GET ReportPath.
type Report struct {
	Target        target.ID   `json:"target"`
	Boot          uint64      `json:"boot"`
	Sequence      uint64      `json:"sequence"`
	Role          target.Role `json:"role"`
	Changing      bool        `json:"changing"`
	Fence         uint64      `json:"fence"`
	LastOrder     string      `json:"last_order"`
	Models        []string    `json:"models"`
	Running       int         `json:"running"`
	Waiting       int         `json:"waiting"`
	PrefillTokens int         `json:"prefill_tokens"`
	KVPiecesUsed  int         `json:"kv_pieces_used"`
	KVPiecesTotal int         `json:"kv_pieces_total"`
	PrefillRate   float64     `json:"prefill_rate"`
	DecodeRate    float64     `json:"decode_rate"`
	Capacity      int         `json:"capacity"`
}

// CacheEvent reports that an engine stored or evicted a prefix.
type CacheEvent struct {
	// Sequence increases by one with each event; a gap means lost events.
	Sequence uint64 `json:"sequence"`
	Scope    string `json:"scope"`
	// Prefix is the engine's hash of the prefix.
	Prefix  uint64 `json:"prefix"`
	Evicted bool   `json:"evicted,omitempty"`
}

// KVExport is the response to GET KVPath/{handle}.
type KVExport struct {
	Handle string `json:"handle"`
	Scope  string `json:"scope"`
	// Prompt is a hash of the model and the prompt.
	Prompt uint64 `json:"prompt"`
	// Tokens is the number of prompt tokens in the KV cache.
	Tokens int `json:"tokens"`
}

// FromReport returns the wire form of a report.
func FromReport(r target.Report) Report {
	return Report{
		Target: r.Target, Boot: r.Boot, Sequence: r.Sequence, Role: r.Role,
		Changing: r.Changing, Fence: r.Fence, LastOrder: r.LastOrder,
		Models: r.Models, Running: r.Running, Waiting: r.Waiting,
		PrefillTokens: r.PrefillTokens, KVPiecesUsed: r.KVPiecesUsed,
		KVPiecesTotal: r.KVPiecesTotal, PrefillRate: r.PrefillRate,
		DecodeRate: r.DecodeRate, Capacity: r.Capacity,
	}
}

// report returns the report in the form of package target, without its time of receipt.
func (r Report) report() target.Report {
	return target.Report{
		Target: r.Target, Boot: r.Boot, Sequence: r.Sequence, Role: r.Role,
		Changing: r.Changing, Fence: r.Fence, LastOrder: r.LastOrder,
		Models: r.Models, Running: r.Running, Waiting: r.Waiting,
		PrefillTokens: r.PrefillTokens, KVPiecesUsed: r.KVPiecesUsed,
		KVPiecesTotal: r.KVPiecesTotal, PrefillRate: r.PrefillRate,
		DecodeRate: r.DecodeRate, Capacity: r.Capacity,
	}
}

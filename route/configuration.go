// Package route holds the configuration of the forwarding data path: which
// service answers which host and path, who may call, and how each service is
// to be used. A Table is immutable; a new version replaces it whole.
package route

// Kind says what may be repeated.
type Kind string

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once for each attempt of a caller.
	NonIdempotent Kind = "non_idempotent"
	// Stream requests are answered by events. They run at most once unless the
	// route is resumable.
	Stream Kind = "stream"
)

// Configuration is one accepted version of everything that the data path
// follows.
type Configuration struct {
	// Version rises with each accepted configuration, not always by one.
	Version       uint64         `json:"version"`
	Routes        []Route        `json:"routes"`
	Services      []Service      `json:"services"`
	Organisations []Organisation `json:"organisations,omitempty"`
	Limits        Limits         `json:"limits"`
}

// Route maps a host and a path prefix to services.
type Route struct {
	Name string `json:"name"`
	Host string `json:"host"`
	// Prefix begins and ends with a slash.
	Prefix string `json:"prefix"`
	Kind   Kind   `json:"kind"`
	// Backends are the services that share the route's requests, by weight.
	Backends []Backend `json:"backends"`
	// TimeoutMillis is the longest time that a caller is kept waiting for a
	// final answer; 0 means no bound but the caller's own.
	TimeoutMillis int `json:"timeout_ms,omitempty"`
	// ObjectiveMillis is the time within which an answer is on time: until the
	// first event of a stream, until the whole answer otherwise.
	ObjectiveMillis int `json:"objective_ms,omitempty"`
	// GapMillis is the longest pause between events of a stream.
	GapMillis int `json:"gap_ms,omitempty"`
	// Priority is the rank of the route, 0 the most urgent.
	Priority int `json:"priority"`
	// Attempts is the number of targets that one request may be sent to.
	Attempts int `json:"attempts"`
	// Open routes take requests without a key.
	Open bool `json:"open,omitempty"`
	// Resumable streams may go on at another target after their last event.
	Resumable bool `json:"resumable,omitempty"`
}

// Repeatable tells whether a request may run on a second target after it may
// have run on the first.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Backend is a service's share of a route.
type Backend struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Service is a group of targets that answer the same requests.
type Service struct {
	Name string `json:"name"`
	// MaxConnections is the number of connections that one target takes from
	// all callers together.
	MaxConnections int `json:"max_connections,omitempty"`
	// Engine is set for model engines.
	Engine *Engine `json:"engine,omitempty"`
	// Scaling is set where targets may be ordered.
	Scaling *Scaling `json:"scaling,omitempty"`
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int `json:"slots"` // requests that run at once
	// CapacityTokens is the KV cache of one engine, in tokens.
	CapacityTokens int `json:"capacity_tokens"`
	// TokenBytes is the size of one token's KV cache.
	TokenBytes int `json:"token_bytes"`
	// LinkMbps is the bandwidth of an engine's link for KV cache, in Mbit/s.
	LinkMbps float64 `json:"link_mbps"`
	// EventTokens is the number of output tokens in one event of a stream.
	EventTokens int `json:"event_tokens,omitempty"`
	// HandleTTLMillis is how long an engine keeps a KV cache for its taker.
	HandleTTLMillis int `json:"handle_ms"`
}

// Scaling bounds the ordering of targets, for each availability zone.
type Scaling struct {
	Min, Max int
	// BootMillis is the time from an order to the first answer.
	BootMillis int
	// ReclaimablePrice is the price of a reclaimable target, as a share of the
	// price of others; 0 when there are none.
	ReclaimablePrice float64
	// ZonePrices are the prices of a target a second, by availability zone.
	ZonePrices map[string]float64
}

// Organisation is a customer and its keys.
type Organisation struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// Priority overrides the routes' where it is set.
	Priority *int `json:"priority,omitempty"`
}

// Limits bound what a caller may send, and how long it may take.
type Limits struct {
	HeaderBytes         int `json:"header_bytes"`
	BodyBytes           int `json:"body_bytes"`
	HeaderTimeoutMillis int `json:"header_timeout_ms"`
	IdleTimeoutMillis   int `json:"idle_timeout_ms"`
}

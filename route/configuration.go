// Package route holds the configuration that nodes forward requests by: which service serves which
// host and path, which keys callers may use, and the properties of each service. A Table is
// immutable; a new version of the configuration replaces it.
package route

// Kind tells whether the requests of a route may be retried.
type Kind string

// Kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = "idempotent"
	// NonIdempotent requests run at most once each time that a caller sends them.
	NonIdempotent Kind = "non_idempotent"
	// Stream requests are answered by a stream of events. They run at most once unless the route is
	// resumable.
	Stream Kind = "stream"
)

// Configuration is one accepted version of the configuration.
type Configuration struct {
	// Version increases with each accepted configuration, not always by one.
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
	// Backends are the services among which the route's requests are split by weight.
	Backends []Backend `json:"backends"`
	// TimeoutMillis bounds the time until the final response; 0 means that only the caller's own
	// deadline applies.
	TimeoutMillis int `json:"timeout_ms,omitempty"`
	// ObjectiveMillis is the latency objective: the time to the first event of a stream, or to the
	// complete response otherwise.
	ObjectiveMillis int `json:"objective_ms,omitempty"`
	// GapMillis is the longest pause that is acceptable between events of a stream.
	GapMillis int `json:"gap_ms,omitempty"`
	// Priority orders the requests of different routes, 0 being the most urgent.
	Priority int `json:"priority"`
	// Attempts is the number of targets that one request may be sent to.
	Attempts int `json:"attempts"`
	// Open routes accept requests without a key.
	Open bool `json:"open,omitempty"`
	// Resumable streams that break off may be continued by another target after the last event that
	// was sent.
	Resumable bool `json:"resumable,omitempty"`
}

// Repeatable tells whether a request may be sent to a second target although the first may have run
// it.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Stream && r.Resumable
}

// Backend is a service's share of a route.
type Backend struct {
	Service string `json:"service"`
	Weight  int    `json:"weight"`
}

// Service is a group of targets that serve the same requests.
type Service struct {
	Name string `json:"name"`
	// MaxConnections is the number of connections that one target accepts from all its clients
	// together.
	MaxConnections int `json:"max_connections,omitempty"`
	// Engine is set if the targets are model engines.
	Engine *Engine `json:"engine,omitempty"`
	// Scaling is set if the number of targets may be changed by orders to the platform.
	Scaling *Scaling `json:"scaling,omitempty"`
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots int `json:"slots"` // requests that one engine runs at once
	// CapacityTokens is the capacity of the KV cache of one engine, in tokens.
	CapacityTokens int `json:"capacity_tokens"`
	// TokenBytes is the size of one token's KV cache.
	TokenBytes int `json:"token_bytes"`
	// LinkMbps is the bandwidth at which an engine transfers KV cache, in Mbit/s.
	LinkMbps float64 `json:"link_mbps"`
	// EventTokens is the number of output tokens in one event of a stream.
	EventTokens int `json:"event_tokens,omitempty"`
	// HandleTTLMillis is how long an engine keeps the KV cache of a prefill until it is fetched.
	HandleTTLMillis int `json:"handle_ms"`
	// Moves is set if an engine can hand a running request to another engine.
	Moves bool `json:"moves,omitempty"`
}

// Scaling bounds the number of targets that may be ordered for a service.
type Scaling struct {
	Min, Max int // targets in each availability zone
	// BootMillis is the time from an order until the target serves its first request.
	BootMillis int
	// ReclaimablePrice is the price of a target that the platform may reclaim, as a share of the
	// price of other targets; 0 when there are no such targets.
	ReclaimablePrice float64
	// ZonePrices are the prices of a target per second, by availability zone.
	ZonePrices map[string]float64
}

// Organisation is a customer and its keys.
type Organisation struct {
	Name string   `json:"name"`
	Keys []string `json:"keys"`
	// Priority replaces the priority of the route if it is set.
	Priority *int `json:"priority,omitempty"`
	// Limit bounds the organisation's requests over all hosts together; nil if they are not limited.
	Limit *Limit `json:"limit,omitempty"`
}

// Limit is a rate limit in units, which are requests or tokens.
type Limit struct {
	Rate  float64 `json:"rate"` // units a second
	Burst float64 `json:"burst,omitempty"`
	// Tokens is set if units are tokens. Otherwise each request counts 1.
	Tokens bool `json:"tokens,omitempty"`
	// PlainUnits is what a request without a count of tokens counts, if units are tokens.
	PlainUnits int64 `json:"plain_units,omitempty"`
}

// Units returns what a request counts. counted tells whether it names its number of tokens.
func (l *Limit) Units(tokens int64, counted bool) int64 {
	switch {
	case !l.Tokens:
		return 1
	case counted:
		return tokens
	default:
		return l.PlainUnits
	}
}

// Limits bound the size of callers' requests and the time to receive them.
type Limits struct {
	HeaderBytes         int `json:"header_bytes"`
	BodyBytes           int `json:"body_bytes"`
	HeaderTimeoutMillis int `json:"header_timeout_ms"`
	IdleTimeoutMillis   int `json:"idle_timeout_ms"`
}

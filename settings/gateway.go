package settings

import "time"

// Gateway holds the settings of zinnia-gateway.
type Gateway struct {
	Common
	// Listen is the IP:port at which the gateway accepts requests of callers.
	Listen string `json:"listen"`
	// ListenTLS makes the gateway serve callers by HTTPS; without it, it serves
	// them by plaintext HTTP.
	ListenTLS *ServerTLS `json:"listen_tls,omitempty"`
	// Controllers are the IP:port of the controllers to link to, nearest
	// first: the host's own and one in another zone.
	Controllers []string `json:"controllers"`
	// ResumeKeyFile holds the key that signs resume tokens, 32 bytes or more,
	// the same on every gateway.
	ResumeKeyFile string `json:"resume_key_file"`
	// DrainDelayMillis is how long a gateway that shuts down goes on accepting
	// requests, so that the load balancer first sees that it is not ready.
	// Default 5000.
	DrainDelayMillis int `json:"drain_delay_ms,omitempty"`
	// ControllerLossMillis is how long a gateway goes on serving while it reaches
	// no controller. Default 5000.
	ControllerLossMillis int `json:"alone_ms,omitempty"`
	// MaxConfirmationAgeMillis is how long a gateway that reaches a controller
	// goes on serving while no controller reports that its configuration is the
	// newest or that the object API is down for most controllers. Default 12000.
	MaxConfirmationAgeMillis int `json:"confirm_ms,omitempty"`
	// FirstTokenMillis is how long a request may wait until it is dispatched to an
	// engine. Default 900, which leaves the engine 600 for a first token within
	// 1500.
	FirstTokenMillis int `json:"first_token_ms,omitempty"`
	// FirstChunkMillis is how long an engine may take to send the first chunk of a
	// response, including its own queue and the prefill of a long prompt. Default
	// 60000.
	FirstChunkMillis int `json:"first_chunk_ms,omitempty"`
	// StallMillis is how long an engine may pause between two chunks of a
	// response before another one is asked to go on with it. The silent one is
	// given up when another has begun to answer, or after as much time again.
	// Default 10000.
	StallMillis int `json:"stall_ms,omitempty"`
	// QueueLength bounds the number of requests that wait for one pool. Default
	// 2048.
	QueueLength int `json:"queue_length,omitempty"`
	// WithdrawnStreamMillis is how long a stream may go on after the gateway
	// learned that its key was withdrawn; then it is ended. With 0 every admitted
	// response runs to its end. Default 0.
	WithdrawnStreamMillis int `json:"withdrawn_stream_ms,omitempty"`
	// ResumeMillis is how long a resume token is valid. Default 600000.
	ResumeMillis int `json:"resume_ms,omitempty"`
	// ObjectCallsPerSecond bounds the rate of this gateway's calls of the object
	// API, which it makes for claims only. Default 50.
	ObjectCallsPerSecond float64 `json:"object_calls_per_second,omitempty"`
	// FlushMillis bounds the flush of usage counters to the controllers at
	// shutdown. Default 10000.
	FlushMillis int `json:"flush_ms,omitempty"`
}

// Defaults of the gateway's settings.
const (
	defaultDrainDelayMillis         = 5_000
	defaultControllerLossMillis     = 5_000
	defaultMaxConfirmationAgeMillis = 12_000
	defaultFirstTokenMillis         = 900
	defaultFirstChunkMillis         = 60_000
	defaultStallMillis              = 10_000
	defaultQueueLength              = 2_048
	defaultResumeMillis             = 600_000
	defaultFlushMillis              = 10_000
	defaultObjectCalls              = 50.0 // a second
)

// Check records every mistake in the settings and sets the defaults.
func (g *Gateway) Check(p *Problems) {
	g.Common.Check(p)
	p.Address("listen", g.Listen)
	g.ListenTLS.check(p, "listen_tls")
	p.Required("resume_key_file", g.ResumeKeyFile)
	if len(g.Controllers) == 0 {
		p.Add("controllers", "there must be at least one")
	}
	for _, c := range g.Controllers {
		p.Address("controllers", c)
	}
	positive(p, "drain_delay_ms", &g.DrainDelayMillis, defaultDrainDelayMillis)
	positive(p, "alone_ms", &g.ControllerLossMillis, defaultControllerLossMillis)
	positive(p, "confirm_ms", &g.MaxConfirmationAgeMillis, defaultMaxConfirmationAgeMillis)
	positive(p, "first_token_ms", &g.FirstTokenMillis, defaultFirstTokenMillis)
	positive(p, "first_chunk_ms", &g.FirstChunkMillis, defaultFirstChunkMillis)
	positive(p, "stall_ms", &g.StallMillis, defaultStallMillis)
	positive(p, "queue_length", &g.QueueLength, defaultQueueLength)
	positive(p, "withdrawn_stream_ms", &g.WithdrawnStreamMillis, 0)
	positive(p, "resume_ms", &g.ResumeMillis, defaultResumeMillis)
	positive(p, "flush_ms", &g.FlushMillis, defaultFlushMillis)
	if g.ObjectCallsPerSecond == 0 {
		g.ObjectCallsPerSecond = defaultObjectCalls
	}
	if g.ObjectCallsPerSecond < 0 {
		p.Add("object_calls_per_second", "must be above 0")
	}
}

// positive sets a number that is 0 to its default, and records a negative one as
// a mistake.
func positive(p *Problems, path string, value *int, fallback int) {
	if *value == 0 {
		*value = fallback
	}
	if *value < 0 {
		p.Add(path, "must not be negative")
	}
}

// Millis converts a number of milliseconds to a duration.
func Millis(n int) time.Duration {
	return time.Duration(n) * time.Millisecond
}

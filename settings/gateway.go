package settings

import "time"

// Gateway are the settings of zinnia-gateway.
type Gateway struct {
	Common
	// Listen is the IP:port for callers.
	Listen string `json:"listen"`
	// ListenTLS makes the address for callers one of HTTPS; without it, it is
	// plaintext.
	ListenTLS *ServerTLS `json:"listen_tls,omitempty"`
	// Controllers are the IP:port of the controllers to link to, nearest
	// first: the host's own and one in another zone.
	Controllers []string `json:"controllers"`
	// ResumeKeyFile holds the key that signs resume tokens, 32 bytes or more,
	// the same on every gateway.
	ResumeKeyFile string `json:"resume_key_file"`
	// DrainDelayMillis is how long a gateway that stops still accepts
	// requests, so that the balancer sees it not ready first. Default 5000.
	DrainDelayMillis int `json:"drain_delay_ms,omitempty"`
	// ControllerLossMillis is how long a gateway goes on serving while it reaches
	// no controller. Default 5000.
	ControllerLossMillis int `json:"alone_ms,omitempty"`
	// MaxConfirmationAgeMillis is how long a gateway that reaches a controller
	// goes on serving while no controller reports that its configuration is the
	// newest or that the object API is down for most controllers. Default 12000.
	MaxConfirmationAgeMillis int `json:"confirm_ms,omitempty"`
	// FirstTokenMillis is how long a request may wait for its dispatch. Default
	// 900, which leaves an engine 600 for a first token within 1500.
	FirstTokenMillis int `json:"first_token_ms,omitempty"`
	// FirstChunkMillis is how long an engine may take to begin an answer, its
	// own queue and a long prompt included. Default 60000.
	FirstChunkMillis int `json:"first_chunk_ms,omitempty"`
	// StallMillis is the longest silence of an engine within an answer.
	// Default 10000.
	StallMillis int `json:"stall_ms,omitempty"`
	// QueueLength bounds the requests that wait for one pool. Default 2048.
	QueueLength int `json:"queue_length,omitempty"`
	// WithdrawnStreamMillis cuts a stream this long after its key was found
	// withdrawn; 0 lets every admitted answer finish. Default 0.
	WithdrawnStreamMillis int `json:"withdrawn_stream_ms,omitempty"`
	// ResumeMillis is how long a resume token is valid. Default 600000.
	ResumeMillis int `json:"resume_ms,omitempty"`
	// ObjectCallsPerSecond bounds this gateway's calls of the object API, which
	// are those of claims. Default 50.
	ObjectCallsPerSecond float64 `json:"object_calls_per_second,omitempty"`
	// FlushMillis bounds the handing over of usage at the end. Default 10000.
	FlushMillis int `json:"flush_ms,omitempty"`
}

// Defaults of the gateway.
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

// Check implements the check of Load: it notes every mistake and sets the
// defaults.
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

// positive sets the default of a missing number and notes a negative one.
func positive(p *Problems, path string, value *int, otherwise int) {
	if *value == 0 {
		*value = otherwise
	}
	if *value < 0 {
		p.Add(path, "must not be negative")
	}
}

// Millis converts a number of milliseconds.
func Millis(n int) time.Duration {
	return time.Duration(n) * time.Millisecond
}

// Package gateway is the data path: it takes callers' requests, checks keys
// and limits, queues, routes, retries and resumes them, and counts their use.
// It serves on through any outage of the platform or of the controllers.
package gateway

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"zinniapin/admission"
	"zinniapin/claim"
	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/machine"
	"zinniapin/result"
	"zinniapin/routing"
	"zinniapin/settings"
	"zinniapin/target"
	"zinniapin/usage"
)

// Options are what a gateway is made of.
type Options struct {
	// Process is this incarnation.
	Process machine.Process
	// Settings must have been checked.
	Settings settings.Gateway
	// ResumeKey signs resume tokens; at least MinResumeKeyBytes, the same on
	// every gateway.
	ResumeKey []byte
	// Engines sends requests to model engines.
	Engines target.Requests
	// Services calls plain services; nil means over HTTP.
	Services Services
	// Claims keeps non-repeatable requests to one run.
	Claims claim.Registry
	// Uplink links to the controllers; it may be nil in tests.
	Uplink control.Uplink
	// Log takes the log lines.
	Log zerolog.Logger
	// Registry takes the metrics.
	Registry *prometheus.Registry
	// Seed breaks ties in routing.
	Seed uint64
}

// Gateway serves callers. It implements control.Gateway for the controllers'
// side and http.Handler for callers.
type Gateway struct {
	options  Options
	log      zerolog.Logger
	handler  http.Handler
	snapshot atomic.Pointer[contract.Snapshot]
	fleet    *fleet
	ledger   *usage.Ledger
	budget   *retryBudget
	history  *history
	metrics  *metrics
	bodies   *bodyBudget
	loads    *loads

	mu         sync.Mutex // guards what follows, up to aloneSince
	admission  *admission.Scheduler
	gateways   int       // live ones, 0 until known
	aloneSince time.Time // zero while a controller is reached
	confirmed  time.Time // when the configuration last needed no doubt; zero: never yet

	draining atomic.Bool
	observed atomic.Bool // a view of targets has come
	inFlight atomic.Int64
}

var _ control.Gateway = (*Gateway)(nil)

// New returns a gateway that is not ready until it has a configuration.
func New(o Options) (*Gateway, error) {
	if len(o.ResumeKey) < MinResumeKeyBytes {
		return nil, result.New(result.BadSettings, "the key has %d bytes, needs %d", len(o.ResumeKey), MinResumeKeyBytes).At("resume_key_file")
	}
	if o.Services == nil {
		o.Services = NewHTTPServices()
	}
	if o.Registry == nil {
		o.Registry = prometheus.NewRegistry()
	}
	g := &Gateway{
		options:    o,
		log:        o.Log,
		fleet:      newFleet(routing.New(o.Process.Zone, o.Seed)),
		ledger:     usage.NewLedger(o.Process.ID()),
		budget:     newRetryBudget(),
		history:    newHistory(),
		bodies:     newBodyBudget(maxBodiesBytes),
		loads:      newLoads(time.Now()),
		admission:  admission.New(o.Settings.QueueLength),
		aloneSince: time.Now(),
	}
	g.metrics = newMetrics(o.Registry, g)
	g.handler = g.routes()
	return g, nil
}

// Ready returns why the gateway takes no requests, or nil.
func (g *Gateway) Ready() error {
	if g.draining.Load() {
		return result.New(result.ShuttingDown, "the gateway is shutting down").Retry(retryElsewhere)
	}
	if !g.observed.Load() {
		return result.New(result.NotReady, "no targets are known yet").Retry(retryElsewhere)
	}
	return g.serving()
}

// serving returns why the gateway must refuse requests, or nil. Until it knows
// how many gateways are live it cannot tell its share of any limit. One
// that stops still serves what reaches it.
func (g *Gateway) serving() error {
	if g.snapshot.Load() == nil {
		return result.New(result.NotReady, "there is no configuration yet").Retry(retryElsewhere)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.gateways == 0 || g.alone(time.Now()) {
		return result.New(result.NotReady, "the configuration cannot be confirmed").Retry(retryElsewhere)
	}
	return nil
}

// alone tells whether the gateway has been unable for too long to tell that
// its configuration is the newest: it reaches no controller, or only ones that
// are cut off with it. A gateway that hears that the store is down for most
// serves on: nobody can have accepted a newer configuration. Else it may have
// missed the withdrawal of a key, so it refuses. What remains open is the time
// until it notices, which the settings alone_ms and confirm_ms bound after the
// uplink has given its links up. The lock is held.
func (g *Gateway) alone(now time.Time) bool {
	s := &g.options.Settings
	if !g.aloneSince.IsZero() && now.Sub(g.aloneSince) > settings.Millis(s.ControllerLossMillis) {
		return true
	}
	return now.Sub(g.confirmed) > settings.Millis(s.MaxConfirmationAgeMillis)
}

// attemptID returns an id that no other attempt has.
func (g *Gateway) attemptID(requestID string, attempt int) string {
	return fmt.Sprintf("%s-%d-%08x", requestID, attempt, rand.Uint32())
}

// requestID returns an id that no other request has.
func requestID() string {
	return fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64())
}

// maintain does what falls due with time, until ctx ends.
func (g *Gateway) maintain(ctx context.Context) {
	tick := time.NewTicker(maintainInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			g.moveStreams(now)
			g.mu.Lock()
			g.admission.Sweep(now)
			g.mu.Unlock()
		}
	}
}

// Package gateway implements the data path. It accepts callers' requests,
// checks keys and limits, queues, routes, retries and resumes them, and records
// their usage. It keeps serving while the platform is down, and for a limited
// time without a controller.
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
	"zinniapin/detour"
	"zinniapin/machine"
	"zinniapin/result"
	"zinniapin/routing"
	"zinniapin/settings"
	"zinniapin/target"
	"zinniapin/targetlink"
	"zinniapin/usage"
)

// Options are the settings and dependencies of a gateway.
type Options struct {
	// Process identifies this incarnation of the gateway process.
	Process machine.Process
	// Settings must have been validated.
	Settings settings.Gateway
	// ResumeKey signs resume tokens. It has at least MinResumeKeyBytes and is
	// the same on every gateway.
	ResumeKey []byte
	// Engines sends requests to model engines.
	Engines target.Requests
	// Services calls plain services; nil stands for NewHTTPServices.
	Services Services
	// Links are the gateway's links to targets; nil stands for those of a host that has no others.
	Links *targetlink.Links
	// Refuses tells whether connections to a target are refused; nil stands for trying one.
	Refuses func(context.Context, target.Target) bool
	// Claims records non-repeatable calls, so that each runs at most once.
	Claims claim.Registry
	// Uplink connects to the controllers; it may be nil in tests.
	Uplink control.Uplink
	// Log receives the log lines.
	Log zerolog.Logger
	// Registry receives the metrics; nil stands for a new one.
	Registry *prometheus.Registry
	// Seed seeds the random tie-breaking in routing.
	Seed uint64
}

// Gateway serves callers. It implements control.Gateway for the uplink to the controllers,
// and http.Handler for callers.
type Gateway struct {
	options     Options
	log         zerolog.Logger
	handler     http.Handler
	snapshot    atomic.Pointer[contract.Snapshot]
	fleet       *fleet
	ledger      *usage.Ledger
	retryBudget *retryBudget
	history     *history
	metrics     *metrics
	loads       *loads
	crashes     *crashGuard

	mu                sync.Mutex // guards the fields below, up to confirmedAt
	admission         *admission.Scheduler
	liveGateways      int       // 0 until known
	noControllerSince time.Time // zero while a controller is reachable
	confirmedAt       time.Time // when the configuration was last known to be the newest; zero if never

	draining        atomic.Bool
	targetsObserved atomic.Bool // a view of targets has been received
	inFlight        atomic.Int64
}

var _ control.Gateway = (*Gateway)(nil)

// New returns a gateway. It is not ready until it has a configuration.
func New(o Options) (*Gateway, error) {
	if len(o.ResumeKey) < MinResumeKeyBytes {
		return nil, result.New(result.BadSettings, "the key has %d bytes, at least %d are required", len(o.ResumeKey), MinResumeKeyBytes).At("resume_key_file")
	}
	if o.Services == nil {
		o.Services = NewHTTPServices(o.Links)
	}
	if o.Links == nil {
		o.Links = targetlink.New(targetlink.Options{Log: &o.Log})
	}
	if o.Registry == nil {
		o.Registry = prometheus.NewRegistry()
	}
	if o.Refuses == nil {
		o.Refuses = func(ctx context.Context, t target.Target) bool {
			c, refused := o.Links.Refuses(ctx, t.Address)
			if c.Conn != nil {
				_ = c.Close()
			}
			return refused
		}
	}
	g := &Gateway{
		options:           o,
		log:               o.Log,
		fleet:             newFleet(routing.New(o.Process.Zone, o.Seed)),
		ledger:            usage.NewLedger(o.Process.ID()),
		retryBudget:       newRetryBudget(),
		history:           newHistory(),
		loads:             newLoads(time.Now()),
		crashes:           newCrashGuard(o.Refuses, &o.Log),
		admission:         admission.New(o.Settings.QueueLength),
		noControllerSince: time.Now(),
	}
	g.metrics = newMetrics(o.Registry, g)
	g.handler = g.routes()
	return g, nil
}

// Ready returns why the gateway should get no requests, or nil if it is ready.
func (g *Gateway) Ready() error {
	if g.draining.Load() {
		return result.New(result.ShuttingDown, "the gateway is shutting down").Retry(defaultRetryAfter)
	}
	if !g.targetsObserved.Load() {
		return result.New(result.NotReady, "no targets are known yet").Retry(defaultRetryAfter)
	}
	return g.checkServing()
}

// checkServing returns why the gateway must refuse requests, or nil. Until the gateway knows
// the number of live gateways it cannot compute its share of any limit. A gateway that is
// shutting down still serves the requests that reach it.
func (g *Gateway) checkServing() error {
	if g.snapshot.Load() == nil {
		return result.New(result.NotReady, "there is no configuration yet").Retry(defaultRetryAfter)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.liveGateways == 0 || g.configurationUnconfirmed(time.Now()) {
		return result.New(result.NotReady, "the configuration cannot be confirmed").Retry(defaultRetryAfter)
	}
	return nil
}

// configurationUnconfirmed tells whether the gateway has been unable for too long to confirm
// that its configuration is the newest, because it reaches no controller, or only
// controllers that are partitioned together with it. It could then have missed the
// withdrawal of a key, so it refuses requests. A gateway that learns that most members
// cannot reach the store keeps serving: no member can have accepted a newer configuration.
//
// A withdrawn key can still be accepted until the condition is detected. After the uplink
// has closed its links, the settings alone_ms and confirm_ms bound that time. The caller
// holds the lock.
func (g *Gateway) configurationUnconfirmed(now time.Time) bool {
	s := &g.options.Settings
	if !g.noControllerSince.IsZero() && now.Sub(g.noControllerSince) > settings.Millis(s.ControllerLossMillis) {
		return true
	}
	return now.Sub(g.confirmedAt) > settings.Millis(s.MaxConfirmationAgeMillis)
}

// attemptID returns a unique id for an attempt.
func (g *Gateway) attemptID(requestID string, attempt int) string {
	return fmt.Sprintf("%s-%d-%08x", requestID, attempt, rand.Uint32())
}

// requestID returns a unique id for a request.
func requestID() string {
	return fmt.Sprintf("%016x%016x", rand.Uint64(), rand.Uint64())
}

// maintain runs the periodic tasks until ctx ends: it moves streams off leaving targets,
// forgets old crashes and lets admission drop the state of idle organisations.
func (g *Gateway) maintain(ctx context.Context) {
	tick := time.NewTicker(maintainInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			g.moveStreams(now)
			g.crashes.expire()
			g.options.Links.Probe(detour.Drop)
			g.options.Links.Maintain()
			g.mu.Lock()
			g.admission.Sweep(now)
			g.mu.Unlock()
		}
	}
}

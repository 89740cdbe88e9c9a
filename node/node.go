// Package node is one process of the forwarding deployment: it serves callers,
// follows the platform's store, hears its peers and, when it is its turn,
// carries out the duties. Every host runs one, and all are equal.
package node

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"zinniapin/daemon"
	"zinniapin/dispatch"
	"zinniapin/duty"
	"zinniapin/event"
	"zinniapin/forward"
	"zinniapin/ingress"
	"zinniapin/link/yamuxlink"
	"zinniapin/machine"
	"zinniapin/metering"
	"zinniapin/peers"
	"zinniapin/provider"
	"zinniapin/retrybudget"
	"zinniapin/roster"
	"zinniapin/route"
	"zinniapin/settings"
	"zinniapin/store"
	"zinniapin/target"
	"zinniapin/truetime"
	"zinniapin/upstream"
	"zinniapin/zone"
)

// Platform is what a node needs of the platform that it runs on.
type Platform struct {
	Objects  store.Collections
	Duties   provider.Duties
	Protocol forward.Protocol
	// TargetsCollection and Configurations are the collections to follow; Configuration
	// is the name of the object in the latter.
	TargetsCollection, ConfigurationsCollection, ConfigurationName string
	// DecodeTarget and DecodeConfiguration decode members of the collections.
	DecodeTarget        func(store.Member) (roster.Target, error)
	DecodeConfiguration func(store.Member) (*route.Configuration, error)
}

// Node is one process. Its fields are set by New.
type Node struct {
	// settings are those of the start; what may change since is in reloaded.
	settings settings.Node
	reloaded atomic.Pointer[settings.Node]
	platform Platform
	log      *zerolog.Logger
	output   *Output
	self     machine.Process
	started  time.Time
	// serving is closed once the node listens.
	serving chan struct{}

	table atomic.Pointer[route.Table]
	// raw is the configuration in force, for peers.
	raw    atomic.Pointer[route.Configuration]
	packed atomic.Pointer[packed]

	rosterMu sync.Mutex
	roster   *roster.Roster
	listed   time.Time // when a list was known first

	handler *forward.Handler
	server  *ingress.Server
	pool    *upstream.Pool
	mesh    *peers.Mesh
	network *yamuxlink.Network
	clock   *truetime.Clock

	ledgerMu sync.Mutex
	ledger   *metering.Ledger

	// targetsLink and configurationLink tell how the store was last reached.
	targetsLink, configurationLink reach
	leaving                        atomic.Bool
	// ticked is when tick was called last; it belongs to its goroutine.
	ticked   time.Time
	sequence atomic.Uint64
	gossip   gossip
	keeper   *keeper
	registry *prometheus.Registry
}

// memoryShare is the part of the allowed memory at which the garbage collector
// works harder; stacks and sockets need the rest.
const memoryShare = 0.6

// gcPercent trades memory, which is small here, for processor time.
const gcPercent = 200

// bodyMemoryShare is the part of the allowed memory for bodies of requests.
const bodyMemoryShare = 0.25

// New returns a node.
func New(s settings.Node, p Platform, output *Output, log *zerolog.Logger) *Node {
	now := time.Now()
	n := &Node{
		settings: s, platform: p, log: log, output: output, started: now, serving: make(chan struct{}),
		self: machine.Process{
			Host: machine.HostID(s.Host), Role: machine.Node, Incarnation: rand.Uint64(),
			Zone: zone.Zone{Name: s.Zone, Region: s.Region}, Address: s.Mesh,
		},
		roster: roster.New(), pool: upstream.NewPool(), clock: truetime.New(), registry: daemon.NewRegistry(),
	}
	n.reloaded.Store(&s)
	n.ledger = metering.NewLedger(metering.Process{Host: s.Host, Incarnation: n.self.Incarnation}, seconds(s.Bounds.UsageWindowSeconds))
	n.handler = forward.New(&forward.Handler{
		Protocol: p.Protocol, View: n.view, Pool: n.pool,
		RetryBounds:      retrybudget.Bounds{Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Window: seconds(s.Bounds.RetryWindowSeconds)},
		OnRequestStarted: n.began, OnMisdirected: n.misdirected, Metrics: forward.NewMetrics(n.registry), Log: log,
		Planner: dispatch.New(dispatch.DefaultPolicy(), s.Zone, n.self.Incarnation),
	})
	n.server = &ingress.Server{Handler: n.handler, Limits: n.limits, MaxBodyMemoryBytes: int64(float64(s.MemoryMB) * bodyMemoryShare * (1 << 20))}
	n.mesh = &peers.Mesh{Zone: string(s.Zone), Compose: n.compose, UsageReporterHosts: n.reporters, OnDigest: n.received, OnPeerFound: n.found, OnPeerLost: n.lost}
	n.network = &yamuxlink.Network{Self: n.self, Log: log}
	n.keeper = newKeeper(n, duty.NewElector(s.Host, time.Duration(s.Bounds.LeaseMillis)*time.Millisecond, now))
	return n
}

// seconds converts a number of seconds.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// view returns what is known now.
func (n *Node) view() forward.View {
	v := forward.View{Hosts: 1 + n.mesh.KnownHostCount()}
	n.rosterMu.Lock()
	known := n.roster.HasSynced()
	v.Revision = n.roster.Revision()
	n.rosterMu.Unlock()
	if known {
		v.Table = n.table.Load()
	}
	return v
}

// Limits for callers before the first configuration.
var firstLimits = route.Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeoutMillis: 3000, IdleTimeoutMillis: 15000}

// limits returns the limits in force.
func (n *Node) limits() ingress.Limits {
	l := firstLimits
	if t := n.table.Load(); t != nil {
		l = t.Limits()
	}
	return ingress.Limits{
		HeadBytes: l.HeaderBytes, BodyBytes: l.BodyBytes,
		HeadTimeout: time.Duration(l.HeaderTimeoutMillis) * time.Millisecond,
		IdleTimeout: time.Duration(l.IdleTimeoutMillis) * time.Millisecond,
	}
}

// began counts a request of an organisation.
func (n *Node) began(organisation string) {
	now := n.clock.Now()
	n.ledgerMu.Lock()
	n.ledger.Count(now, organisation)
	n.ledgerMu.Unlock()
}

// misdirected forgets a target whose address answers for another.
func (n *Node) misdirected(id target.ID) {
	n.rosterMu.Lock()
	n.roster.Forget(id)
	n.rosterMu.Unlock()
	n.publishTargets()
}

// publishTargets hands the list of targets to the planner.
func (n *Node) publishTargets() {
	n.rosterMu.Lock()
	all := n.roster.Targets()
	revision := n.roster.Revision()
	n.rosterMu.Unlock()
	n.handler.PlannerMu.Lock()
	n.handler.Planner.SetTargets(all)
	n.handler.PlannerMu.Unlock()
	event.TargetsTaken.Log(n.log).Int("targets", len(all)).Uint64("revision", revision).Send()
}

// ready tells whether the node can serve, and why not.
func (n *Node) ready() error {
	if n.leaving.Load() {
		return errors.New("the node is stopping")
	}
	if n.view().Table == nil {
		return errors.New("no configuration or list of targets yet")
	}
	return nil
}

// endpoint serves the balancer's question and the metrics.
func (n *Node) endpoint() http.Handler {
	routes := mux.NewRouter()
	routes.HandleFunc("/ready", func(w http.ResponseWriter, _ *http.Request) {
		if err := n.ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
	routes.Handle("/metrics", promhttp.HandlerFor(n.registry, promhttp.HandlerOpts{}))
	return routes
}

// Run serves until graceful ends and what was begun then is finished.
func (n *Node) Run(graceful context.Context) error {
	n.limitMemory()
	daemon.SetGCPercent(gcPercent)
	callers, err := daemon.Listen("listen", n.settings.Listen)
	if err != nil {
		return err
	}
	asked, err := daemon.Listen("ready", n.settings.Ready)
	if err != nil {
		return err
	}
	if err := n.mesh.Listen(n.settings.Mesh, n.settings.Seeds); err != nil {
		return err
	}
	_, stopLinks, err := n.network.Listen(n.settings.Mesh, n.snapshots(), acceptLink)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	endpoint := &http.Server{Handler: n.endpoint(), ReadHeaderTimeout: 2 * time.Second}
	n.start(ctx, func() { n.logEnd("ready", endpoint.Serve(asked)) }, func() { n.logEnd("callers", n.server.Serve(callers)) })
	close(n.serving)
	event.NodeStarted.Log(n.log).Str("listen", n.settings.Listen).Uint64("incarnation", n.self.Incarnation).Str("zone", string(n.settings.Zone)).Send()

	<-graceful.Done()
	n.stop(func() { _ = callers.Close() }) // an error means that it is closed
	cancel()
	_ = stopLinks()
	_ = endpoint.Close()
	_ = n.mesh.Close()
	event.NodeStopped.Log(n.log).Send()
	return nil
}

// logEnd logs why a server ended.
func (n *Node) logEnd(name string, err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		n.log.Error().Str("server", name).Err(err).Msg("a server has ended")
	}
}

// start starts what runs beside the callers.
func (n *Node) start(ctx context.Context, servers ...func()) {
	for _, s := range servers {
		go s()
	}
	go n.mesh.Receive()
	go n.follow(ctx, n.configurationFollower())
	go n.follow(ctx, n.targetsFollower())
	go n.announce(ctx)
	go n.every(ctx, peers.DigestInterval(), n.tick)
	go n.every(ctx, keeperInterval, func() { n.keeper.tick(ctx) })
}

// every calls a function at a pace.
func (n *Node) every(ctx context.Context, pace time.Duration, f func()) {
	ticker := time.NewTicker(pace)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f()
		}
	}
}

const (
	// suspendedLimit is the time for which a host stands still, while its steady
	// clock does as well, before it counts as suspended.
	suspendedLimit = 300 * time.Millisecond
	// stoppedLimit is the same for a process that stood still while its clocks
	// went on; timers of a busy host fire late by less.
	stoppedLimit = 800 * time.Millisecond
)

// stoodStill returns for how long the process stood still since the last call,
// and whether that is long.
func (n *Node) stoodStill(now time.Time) (time.Duration, bool) {
	lost := n.clock.TakeSuspended()
	gap := time.Duration(0)
	if !n.ticked.IsZero() {
		gap = now.Sub(n.ticked) - peers.DigestInterval()
	}
	n.ticked = now
	return max(lost, gap), lost > suspendedLimit || gap > stoppedLimit
}

// tick does what is due at the pace of digests.
func (n *Node) tick() {
	now := time.Now()
	if lost, long := n.stoodStill(now); long {
		event.HostSuspended.Log(n.log).Float64("seconds", lost.Seconds()).Send()
		n.targetsLink.doubt()
		n.configurationLink.doubt()
		n.keeper.doubt()
	}
	if err := n.mesh.Send(); err != nil {
		n.log.Error().Err(err).Msg("a digest could not be sent")
	}
	n.rosterMu.Lock()
	gone := n.roster.Expire(now)
	n.rosterMu.Unlock()
	if len(gone) > 0 {
		n.publishTargets()
	}
	n.gossip.count++
	if n.gossip.count%10 != 0 {
		return
	}
	n.measureDemand(now)
	n.pool.CloseExpired()
	n.handler.PlannerMu.Lock()
	n.handler.Planner.Tick(now)
	n.handler.Planner.SetRemoteLoadsStale(!peers.SmallFleet(len(n.mesh.Live(now))))
	n.handler.PlannerMu.Unlock()
	n.ledgerMu.Lock()
	n.ledger.DropExpired(n.clock.Now())
	n.ledgerMu.Unlock()
	if dropped := n.output.TakeDropped(); dropped > 0 {
		event.LinesDropped.Log(n.log).Int64("lines", dropped).Send()
	}
}

const (
	// balancerTime is how long the balancer may take to see that a node is not
	// ready: two questions a second apart, and the way there.
	balancerTime = 2500 * time.Millisecond
	// graceMargin is kept of the time that a node has to stop.
	graceMargin = 700 * time.Millisecond
)

// stop finishes what callers have begun.
func (n *Node) stop(closeListener func()) {
	begun := time.Now()
	n.leaving.Store(true)
	n.server.Drain()
	event.NodeStopping.Log(n.log).Int("connections", n.server.Connections()).Send()
	grace := seconds(n.current().Bounds.GraceSeconds) - graceMargin
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(grace))
	defer cancel()
	gaveUp := make(chan struct{})
	go func() {
		defer close(gaveUp)
		n.keeper.giveUp(ctx) // it may have to wait for calls under way
	}()
	time.Sleep(min(balancerTime, grace/2) - time.Since(begun))
	closeListener()
	n.server.CloseIdle()
	n.server.Wait(ctx)
	select {
	case <-gaveUp:
	case <-ctx.Done():
	}
}

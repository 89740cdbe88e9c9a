// Package node implements the process that every host of the forwarding
// deployment runs. It serves callers, follows the platform's store, exchanges
// digests with its peers and, while it is the elected holder, carries out the
// duties (usage reports and orders of targets). All nodes are equal.
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
	"github.com/rs/zerolog"

	"zinniapin/daemon"
	"zinniapin/dispatch"
	"zinniapin/duty"
	"zinniapin/event"
	"zinniapin/forward"
	"zinniapin/ingress"
	"zinniapin/intake"
	"zinniapin/link/yamuxlink"
	"zinniapin/machine"
	"zinniapin/metering"
	"zinniapin/peers"
	"zinniapin/provider"
	"zinniapin/quota"
	"zinniapin/retrybudget"
	"zinniapin/roster"
	"zinniapin/route"
	"zinniapin/settings"
	"zinniapin/store"
	"zinniapin/target"
	"zinniapin/targetlink"
	"zinniapin/truetime"
	"zinniapin/upstream"
	"zinniapin/zone"
)

// Platform holds the clients and decoders of the platform that a node runs on.
type Platform struct {
	Objects  store.Collections
	Duties   provider.Duties
	Protocol forward.Protocol
	// TargetsCollection and ConfigurationsCollection are the collections of the
	// store to follow; ConfigurationName is the name of the configuration's object.
	TargetsCollection, ConfigurationsCollection, ConfigurationName string
	// DecodeTarget and DecodeConfiguration decode members of the collections.
	DecodeTarget        func(store.Member) (roster.Target, error)
	DecodeConfiguration func(store.Member) (*route.Configuration, error)
}

// Node is one process of the deployment. New returns one.
type Node struct {
	// settings are those at start; reloaded holds the settings in force, which
	// Reload replaces.
	settings settings.Node
	reloaded atomic.Pointer[settings.Node]
	platform Platform
	log      *zerolog.Logger
	output   *Output
	self     machine.Process
	started  time.Time
	// serving is closed once the node accepts callers.
	serving chan struct{}

	table atomic.Pointer[route.Table]
	// rawConfiguration is the configuration in force, for snapshots to peers, and
	// compressed its cached compressed form.
	rawConfiguration atomic.Pointer[route.Configuration]
	compressed       atomic.Pointer[compressedConfiguration]

	// publishMu is held while the list of targets is passed on, so that the newest one is passed on last.
	publishMu       sync.Mutex
	rosterMu        sync.Mutex
	roster          *roster.Roster
	targetsListedAt time.Time // when the first list of targets was applied

	handler *forward.Handler
	server  *ingress.Server
	pool    *upstream.Pool
	mesh    *peers.Mesh
	network *yamuxlink.Network
	// intake bounds what callers and others make the process hold.
	intake *intake.Budget
	clock  *truetime.Clock

	ledgerMu sync.Mutex
	ledger   *metering.Ledger

	// targetsStore and configurationStore track the calls of the two followers.
	targetsStore, configurationStore storeHealth
	// leaving is set once shutDown has begun.
	leaving atomic.Bool
	// lastTick is when tick was last called; only tick's goroutine uses it.
	lastTick time.Time
	sequence atomic.Uint64
	gossip   gossip
	duties   *dutyRunner
	links    *targetlink.Links
	streams  *streamVersions
	// sharedLimits are the limits of organisations over all hosts.
	sharedLimits *organisationLimits
	era          storeEra
	// oddEntries remembers which odd entries were logged.
	oddEntries oddEntries
	// hasCaughtUp is set once the configuration was found to be as new as that of peers.
	hasCaughtUp atomic.Bool
	// hasAdmitted is set once requests could be admitted, also without having heard of any peer.
	hasAdmitted atomic.Bool
	registry    *prometheus.Registry
}

// gcPercent is the GOGC value; above the default of 100 it saves processor time
// at the cost of memory, of which a node uses little.
const gcPercent = 200

// New returns a node that is not started yet; Run starts it.
func New(s settings.Node, p Platform, output *Output, log *zerolog.Logger) *Node {
	now := time.Now()
	n := &Node{
		settings: s, platform: p, log: log, output: output, started: now, serving: make(chan struct{}),
		self: machine.Process{
			Host: machine.HostID(s.Host), Role: machine.Node, Incarnation: rand.Uint64(),
			Zone: zone.Zone{Name: s.Zone, Region: s.Region}, Address: s.Mesh,
		},
		roster: roster.New(), clock: truetime.New(), registry: daemon.NewRegistry(),
	}
	n.reloaded.Store(&s)
	n.intake = intake.New(intake.Options{MemoryMB: s.MemoryMB, Descriptors: s.Descriptors, Log: log, Registry: n.registry})
	n.network = &yamuxlink.Network{Self: n.self, Log: log, Intake: n.intake, Kind: intake.Links}
	n.links = newTargetLinks(n)
	n.pool = upstream.NewPool(n.links.Dialer)
	n.ledger = metering.NewLedger(metering.Process{Host: s.Host, Incarnation: n.self.Incarnation}, seconds(s.Bounds.UsageWindowSeconds))
	n.streams = newStreamVersions(n)
	n.handler = forward.New(&forward.Handler{
		Versions: n.streams,
		Protocol: p.Protocol, View: n.currentView, Pool: n.pool,
		RetryBounds:      retrybudget.Bounds{Ratio: s.Bounds.RetryRatio, Slack: s.Bounds.RetrySlack, Window: seconds(s.Bounds.RetryWindowSeconds)},
		OnRequestStarted: n.countRequest, OnMisdirected: n.forgetMisdirected, Metrics: forward.NewMetrics(n.registry), Log: log,
		Crashes: forward.NewCrashGuard(n.pool, n.clock.Now, log),
		Planner: dispatch.New(dispatch.DefaultPolicy(), s.Zone, n.self.Incarnation),
	})
	n.registerSlowdownGauge()
	n.server = &ingress.Server{Handler: n.handler, Limits: n.limits}
	n.mesh = &peers.Mesh{
		Host: s.Host, Zone: string(s.Zone), Capacity: uint32(s.LinkMbps), Compose: n.composeDigest, UsageReporterHosts: n.reporters, HoldsDuties: n.isHolder,
		OnDigest: n.handleDigest, OnRelayed: n.handleRelayed, OnZone: n.handleZone, OnPeerFound: n.peerFound, OnPeerLost: n.peerLost,
		OnStreamNotice: n.streams.handleNotice,
	}
	n.sharedLimits = newOrganisationLimits(quota.NewMember(limitClock(), limitIdentity(&s), s.Bounds.Limits()), n.mesh, n.leaving.Load, log)
	n.mesh.OnLimitAsk, n.mesh.OnLimitReply = n.sharedLimits.handleAsk, n.sharedLimits.handleReply
	n.registry.MustRegister(n.sharedLimits)
	n.handler.Limits = n.sharedLimits
	n.duties = newDutyRunner(n, duty.NewElector(s.Host, time.Duration(s.Bounds.LeaseMillis)*time.Millisecond, now))
	return n
}

// isHolder reports whether this process holds the duties.
func (n *Node) isHolder() bool { return n.duties.isHolding() }

// seconds returns a number of seconds as a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// currentView returns the state that requests are handled with: the number of
// hosts, the revision of the targets and, once targets are known, the routes,
// which from then on are never missing.
func (n *Node) currentView() forward.View {
	v := forward.View{Hosts: 1 + n.mesh.KnownHostCount()}
	n.rosterMu.Lock()
	synced := n.roster.HasSynced()
	v.Revision = n.roster.Revision()
	n.rosterMu.Unlock()
	if table := n.table.Load(); synced && table != nil {
		v.Table, v.Outdated = table, !n.caughtUp(table.Version())
	}
	return v
}

// defaultLimits are the limits for callers until a configuration is in force.
var defaultLimits = route.Limits{HeaderBytes: 16 << 10, BodyBytes: 4 << 20, HeaderTimeoutMillis: 3000, IdleTimeoutMillis: 15000}

// limits returns the limits in force.
func (n *Node) limits() ingress.Limits {
	l := defaultLimits
	if t := n.table.Load(); t != nil {
		l = t.Limits()
	}
	return ingress.Limits{
		HeadBytes: l.HeaderBytes, BodyBytes: l.BodyBytes,
		HeadTimeout: time.Duration(l.HeaderTimeoutMillis) * time.Millisecond,
		IdleTimeout: time.Duration(l.IdleTimeoutMillis) * time.Millisecond,
	}
}

// countRequest counts a request of an organisation in its usage window.
func (n *Node) countRequest(organisation string) {
	now := n.clock.Now()
	n.ledgerMu.Lock()
	defer n.ledgerMu.Unlock()
	n.ledger.Count(now, organisation)
}

// forgetMisdirected removes a target at whose address another target answers.
func (n *Node) forgetMisdirected(id target.ID) {
	n.rosterMu.Lock()
	n.roster.Forget(time.Now(), id)
	n.rosterMu.Unlock()
	n.publishTargets()
}

// publishTargets passes the list of targets to the planner.
func (n *Node) publishTargets() {
	n.publishMu.Lock()
	defer n.publishMu.Unlock()
	n.rosterMu.Lock()
	all := n.roster.Targets()
	revision := n.roster.Revision()
	n.rosterMu.Unlock()
	n.streams.observeTargets(all, revision)
	n.handler.Crashes.ObserveTargets(all)
	n.links.SetTargets(linkTargets(all))
	n.handler.PlannerMu.Lock()
	n.handler.Planner.SetTargets(time.Now(), all)
	n.handler.PlannerMu.Unlock()
	event.TargetsTaken.Log(n.log).Int("targets", len(all)).Uint64("revision", revision).Send()
}

// ready returns nil if the node can serve, and otherwise the reason why not.
func (n *Node) ready() error {
	if n.leaving.Load() {
		return errors.New("the node is stopping")
	}
	switch v := n.currentView(); {
	case v.Table == nil:
		return errors.New("no configuration or list of targets yet")
	case v.Outdated:
		return errors.New("a peer has a newer configuration")
	}
	return nil
}

// readyHandler serves the load balancer's readiness check and the metrics.
func (n *Node) readyHandler() http.Handler {
	routes := mux.NewRouter()
	routes.HandleFunc("/ready", func(w http.ResponseWriter, _ *http.Request) {
		if err := n.ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
	routes.Handle("/metrics", daemon.MetricsHandler(n.registry))
	return routes
}

// Run serves until graceful is cancelled, and returns once requests in progress
// have finished or the grace period is over.
func (n *Node) Run(graceful context.Context) error {
	n.limitMemory()
	daemon.SetGCPercent(gcPercent)
	callerListener, err := daemon.Listen("listen", n.settings.Listen, n.intake, intake.Callers)
	if err != nil {
		return err
	}
	readyListener, err := daemon.Listen("ready", n.settings.Ready, n.intake, intake.Operators)
	if err != nil {
		return err
	}
	if err := n.mesh.Listen(n.settings.Mesh, n.settings.Seeds); err != nil {
		return err
	}
	_, stopLinks, err := n.network.Listen(n.settings.Mesh, peerHandler{n}, acceptLink)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	readyServer := daemon.NewServer(n.readyHandler(), n.log)
	n.startBackground(ctx, func() { n.logServerExit("ready", readyServer.Serve(readyListener)) }, func() { n.logServerExit("callers", n.server.Serve(callerListener)) })
	close(n.serving)
	event.NodeStarted.Log(n.log).Str("listen", n.settings.Listen).Uint64("incarnation", n.self.Incarnation).Str("zone", string(n.settings.Zone)).Send()

	<-graceful.Done()
	n.shutDown(func() { _ = callerListener.Close() }) // an error means that it is closed
	cancel()
	_ = stopLinks()
	_ = readyServer.Close()
	_ = n.mesh.Close()
	event.NodeStopped.Log(n.log).Send()
	return nil
}

// logServerExit logs the error with which a server stopped, if there is one.
func (n *Node) logServerExit(name string, err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) {
		n.log.Error().Str("server", name).Err(err).Msg("server stopped with an error")
	}
}

// startBackground starts the servers and the node's periodic and following tasks.
func (n *Node) startBackground(ctx context.Context, servers ...func()) {
	for _, s := range servers {
		go s()
	}
	go n.mesh.Receive()
	go n.followCollection(ctx, n.configurationFollower())
	go n.followCollection(ctx, n.targetsFollower())
	go n.streams.keepHistories(ctx)
	go n.streams.keepRecords(ctx)
	go n.announce(ctx)
	go n.readFleetHint(ctx)
	go n.sharedLimits.run(ctx)
	go n.runEvery(ctx, peers.DigestInterval(), n.sendDigests)
	go n.runEvery(ctx, tickInterval, n.tick)
	go n.runEvery(ctx, dutyInterval, func() { n.duties.tick(ctx) })
}

// runEvery calls a function at an interval until the context ends.
func (n *Node) runEvery(ctx context.Context, interval time.Duration, f func()) {
	ticker := time.NewTicker(interval)
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

// sendDigests sends the digests of one round to the peers.
func (n *Node) sendDigests() {
	if err := n.mesh.Send(); err != nil {
		n.log.Error().Err(err).Msg("could not send digests to peers")
	}
}

// tickInterval is how often tick is called.
const tickInterval = 100 * time.Millisecond

// tick runs the periodic work: it notices pauses and removes expired targets on each
// call, and on each tenth call it measures the demand and cleans up pools and counts.
func (n *Node) tick() {
	now := time.Now()
	if paused, long := n.detectSuspension(now); long {
		event.HostSuspended.Log(n.log).Float64("seconds", paused.Seconds()).Send()
		n.targetsStore.requestRelist()
		n.configurationStore.requestRelist()
		n.duties.requestConfirm()
	}
	n.rosterMu.Lock()
	expired := n.roster.Expire(now)
	n.rosterMu.Unlock()
	if len(expired) > 0 {
		n.publishTargets()
	}
	n.logQuarantines()
	n.pool.ProbeLinks()
	n.gossip.ticks++
	if n.sharedLimits.active() || n.gossip.ticks%10 == 0 {
		n.sharedLimits.setPeers(n.settings.Mesh, n.mesh.RankedHosts(now))
	}
	if n.gossip.ticks%10 != 0 {
		return
	}
	n.sharedLimits.observeShare()
	n.measureDemand(now)
	n.updateFleet(now)
	n.pool.CloseExpired()
	n.links.Maintain()
	n.handler.Crashes.Expire()
	n.handler.PlannerMu.Lock()
	n.handler.Planner.Tick(now)
	n.handler.Planner.SetRemoteLoadsStale(n.largeFleet())
	n.handler.PlannerMu.Unlock()
	n.ledgerMu.Lock()
	n.ledger.DropExpired(n.clock.Now())
	n.ledgerMu.Unlock()
	if dropped := n.output.TakeDropped(); dropped > 0 {
		event.LinesDropped.Log(n.log).Int64("lines", dropped).Send()
	}
}

// logQuarantines logs the quarantines of targets that began since the last call.
func (n *Node) logQuarantines() {
	n.handler.PlannerMu.Lock()
	begun := n.handler.Planner.TakeQuarantines()
	n.handler.PlannerMu.Unlock()
	if len(begun) == 0 {
		return
	}
	names := make(map[string]string)
	for _, p := range n.livePeers() {
		names[planHostName(peers.HostKey(p.Digest.Host))] = p.Digest.Host
	}
	for _, q := range begun {
		event.TargetQuarantined.Log(n.log).Str("target", string(q.Target.ID)).Str("address", q.Target.Address).
			Str("peer", names[q.Host]).Bool("unreachable", q.Unreachable).Float64("seconds", q.For.Seconds()).Send()
	}
}

const (
	// balancerDetectTime is how long the load balancer may take to notice that a
	// node is not ready: two checks one second apart, and the network delay.
	balancerDetectTime = 2500 * time.Millisecond
	// graceMargin is the part of the grace period left for the exit itself.
	graceMargin = 700 * time.Millisecond
	// answerMargin is the part of the grace period before that in which requests that are still in progress at
	// its beginning get their answers.
	answerMargin = 200 * time.Millisecond
)

// shutDown drains the node: it reports itself as not ready, keeps accepting
// callers until the load balancer has noticed, hands over the duties, and waits
// for requests in progress until the grace period ends. By then all of them have
// been answered.
func (n *Node) shutDown(closeListener func()) {
	begun := time.Now()
	n.leaving.Store(true)
	n.server.Drain()
	n.links.Leave()
	grace := seconds(n.currentSettings().Bounds.GraceSeconds) - graceMargin
	closing := begun.Add(min(balancerDetectTime, grace/2))
	n.handler.Stop(closing, begun.Add(grace-min(answerMargin, grace/2)))
	event.NodeStopping.Log(n.log).Int("connections", n.server.Connections()).Send()
	ctx, cancel := context.WithDeadline(context.Background(), begun.Add(grace))
	defer cancel()
	handedOver := make(chan struct{})
	go func() {
		defer close(handedOver)
		n.duties.handOver(ctx) // may wait for calls of a tick in progress
	}()
	time.Sleep(time.Until(closing))
	closeListener()
	n.server.CloseIdle()
	n.server.Wait(ctx)
	n.links.Drain(ctx)
	select {
	case <-handedOver:
	case <-ctx.Done():
	}
}

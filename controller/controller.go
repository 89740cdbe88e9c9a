// Package controller runs a controller. Controllers form a mesh by which they
// distribute the configuration and the views of targets; they grant gateways
// shares of organisations' limits, store and report usage, and distribute
// cordons. All controllers are equal. Rendezvous hashing divides the work among
// them, but only to save calls: when two controllers both believe that they own
// a unit of work, the result is a retry and not an error.
package controller

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"zinniapin/authority"
	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/event"
	"zinniapin/link"
	"zinniapin/machine"
	"zinniapin/membership"
	"zinniapin/planning"
	"zinniapin/poison"
	"zinniapin/provider"
	"zinniapin/relay"
	"zinniapin/result"
	"zinniapin/store"
	"zinniapin/target"
	"zinniapin/targetlink"
	"zinniapin/targetview"
	"zinniapin/zone"
)

// Config holds the identity of a controller and the interfaces that it uses.
type Config struct {
	// Self is this process. It listens at Self.Address.
	Self machine.Process
	// Seeds are the addresses of controllers to dial while no other is known. They are
	// unrelated to Seed, the random seed.
	Seeds []string
	// Network opens and accepts links to other processes.
	Network link.Network
	// Store is the platform's object API.
	Store store.Store
	// Hosts is the platform's list of hosts.
	Hosts provider.Hosts
	// Links are the controller's links to targets, over which it connects for
	// gateways and other controllers; nil stands for none.
	Links *targetlink.Links
	// Orders reads the reports of targets and sends orders to engines.
	Orders target.Orders
	// Reports is the platform's interface for usage reports; with nil this
	// controller reports none.
	Reports provider.Usage
	// TargetOrders orders new targets from the platform and gives them back; with
	// nil this controller plans nothing.
	TargetOrders provider.Targets
	// Seed is the random seed for the choice of peers and of addresses to dial.
	Seed uint64
	// Log is the logger for events.
	Log *zerolog.Logger
}

// Controller is a running controller. It is safe for concurrent use.
type Controller struct {
	config  Config
	metrics *metrics
	replica *relay.Replica
	links   *registry
	grants  *grantor
	usage   *usageState

	gatewayLoads *loadTable // sent by the gateways linked to this controller
	planLoads    *loadTable // of the pools that this controller plans for

	executor *authority.Executor
	plan     *planning.Planning // nil when there is nothing to plan

	mu              sync.Mutex
	members         *membership.Table
	targets         *targetview.Table
	crashes         *poison.Detector // evidence of gateways on requests that crash targets
	addresses       *addressBook
	memberSources   map[machine.HostID]bool // hosts from which member records are requested; nil means all
	targetSources   map[machine.HostID]bool // hosts from which target records are requested; nil means all
	urgentAnnounced uint64                  // last version of the targets that triggered heartbeats
	storeRead       bool                    // this process has read the root since its start
	storeUp         bool                    // this process's last call of the store succeeded
	storeFailedAt   time.Time               // when the last failed call of the store began
	storeReachable  bool                    // some controller reaches the store, see canReachStore
	leaving         bool
	pollRetryAt     map[target.ID]time.Time // when to poll a target again after a failed poll
}

// New returns a controller that is not running; Run starts it.
func New(c Config) *Controller {
	now := time.Now()
	self := membership.Member{Process: c.Self}
	k := &Controller{
		config:       c,
		replica:      &relay.Replica{},
		links:        newRegistry(),
		grants:       newGrantor(),
		metrics:      newMetrics(),
		members:      membership.New(self, now),
		targets:      targetview.New(),
		crashes:      poison.New(),
		addresses:    newAddressBook(c.Seeds, c.Seed^c.Self.Incarnation),
		pollRetryAt:  map[target.ID]time.Time{},
		usage:        newUsageState(),
		gatewayLoads: newLoadTable(),
		planLoads:    newLoadTable(),
	}
	// When the executor probes the outcome of an order, it asks prober whether the host of the
	// order's target is gone and whether another controller that issued the order has ended.
	prober := &liveness{controller: k, ended: map[string]bool{}, lastProbe: map[string]time.Time{}}
	if c.Links != nil {
		c.Links.AskHosts(k.linkHosts)
	}
	k.executor = authority.NewExecutor(c.Store, c.Self.ID(), prober, authority.Options{Log: c.Log})
	if c.TargetOrders != nil && c.Orders != nil {
		k.plan = planning.New(planFleet{k}, k.executor, c.Orders, c.TargetOrders, planning.Options{Log: c.Log})
	}
	return k
}

// tickInterval is the interval at which a controller maintains its links, and the
// shortest interval between heartbeats.
const tickInterval = time.Second

// Run runs the controller until ctx ends. For a graceful shutdown the caller
// first calls Leave.
func (k *Controller) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	_, stop, err := k.config.Network.Listen(k.config.Self.Address, streamHandler{k}, func(l link.Link) {
		k.handleAccepted(ctx, l)
	})
	if err != nil {
		return err
	}
	defer func() { _ = stop() }()
	defer k.links.closeAll()
	// Deferred calls run in reverse order, so the executor closes before the
	// listener does: another process that finds a newer incarnation at this
	// address takes that as proof that this one sends no more orders.
	defer k.executor.Close()
	group.Go(func() error { return k.every(ctx, tickInterval, k.tick) })
	if k.config.Links != nil {
		group.Go(func() error { return k.every(ctx, linksInterval, k.maintainLinks) })
	}
	group.Go(func() error { return k.watchConfiguration(ctx) })
	group.Go(func() error { return k.every(ctx, hostListInterval, k.pollHosts) })
	group.Go(func() error { return k.every(ctx, pollInterval, k.pollTargets) })
	group.Go(func() error {
		return k.every(ctx, usageInterval, func(ctx context.Context) { k.relayUsage(ctx, time.Now()) })
	})
	group.Go(func() error { return k.every(ctx, closeInterval, k.closeWindows) })
	group.Go(func() error { return k.every(ctx, loadsInterval, k.forwardLoads) })
	group.Go(func() error { return k.runPlanning(ctx) })
	return group.Wait()
}

// every calls f immediately and then at each interval until ctx ends.
func (k *Controller) every(ctx context.Context, interval time.Duration, f func(context.Context)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

const (
	// confirmationTTL is the age up to which a confirmation that a watcher
	// obtained counts as evidence that the store is reachable.
	confirmationTTL = 20 * time.Second
	// confirmationTTLOnFailure replaces confirmationTTL when some member reports
	// that its own call of the store failed.
	confirmationTTLOnFailure = staleAfter + widenInterval
)

// canReachStore reports whether the store is reachable. A watcher judges by its
// own calls, any other controller by the confirmations and failures that the
// watchers report. The caller holds k.mu.
func (k *Controller) canReachStore(now time.Time, isWatcher bool) bool {
	if isWatcher {
		return k.storeUp
	}
	age := now.Sub(k.replica.Confirmed().At)
	if age >= confirmationTTLOnFailure && k.members.StoreFailed(now) {
		return false
	}
	return age < confirmationTTL
}

// expectedControllers returns the least number of controllers in the mesh: this
// one and the seeds in the settings.
func (k *Controller) expectedControllers() int {
	others := 0
	for _, address := range k.config.Seeds {
		if address != k.config.Self.Address {
			others++
		}
	}
	return 1 + others
}

// tick updates this controller's own member record, expires old members, targets
// and grants, and maintains the links.
func (k *Controller) tick(ctx context.Context) {
	now := time.Now()
	isWatcher := k.isWatcher(now)
	k.mu.Lock()
	reachable := k.canReachStore(now, isWatcher)
	storeFailed := !k.storeUp && now.Sub(k.storeFailedAt) < membership.StoreFailureTTL
	k.storeReachable = reachable
	k.members.Update(func(m *membership.Member) {
		m.Revision = max(m.Revision, k.replica.Revision())
		m.Leaving = k.leaving
		m.StoreReachable = reachable
		m.StoreFailed = storeFailed
	})
	k.members.Tick(now)
	k.targets.Forget(now)
	k.crashes.Expire(now)
	for id, retryAt := range k.pollRetryAt {
		if now.After(retryAt) {
			delete(k.pollRetryAt, id)
		}
	}
	k.mu.Unlock()
	k.grants.prune(now, k.fleetSize(now), k.ownership)
	k.maintainPeers(ctx, now)
}

// leaveDelay is how long a leaving controller goes on serving after it announced
// that it leaves, so that others learn of it and take over its work.
const leaveDelay = 3 * time.Second

// Leave announces to the mesh that this controller leaves, waits leaveDelay for
// others to take over its work, hands over the usage that it holds, and waits
// for its orders in progress. Afterwards the caller ends the context of Run.
func (k *Controller) Leave(ctx context.Context) {
	k.mu.Lock()
	k.leaving = true
	k.members.Update(func(m *membership.Member) { m.Leaving = true })
	k.mu.Unlock()
	if k.config.Links != nil {
		k.config.Links.Leave()
		defer k.config.Links.Drain(ctx)
	}
	select {
	case <-time.After(leaveDelay):
	case <-ctx.Done():
	}
	k.flushUsage(ctx)
	if err := k.executor.Drain(ctx); err != nil {
		event.OrdersLeftOpen.Log(k.config.Log).Err(err).Send()
	}
}

// Ready returns why the controller is not ready, or nil. It is ready when it has
// a configuration and has read the store since its start. If it could not read
// the store, it is ready once a majority of the controllers that it should be
// linked to have answered a heartbeat and none has a newer configuration.
func (k *Controller) Ready() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leaving {
		return result.New(result.ShuttingDown, "the controller is shutting down")
	}
	if k.replica.Snapshot() == nil {
		return result.New(result.NoConfiguration, "no configuration is known")
	}
	if k.storeRead {
		return nil
	}
	now := time.Now()
	peers := len(membership.Controllers(k.members.Members(now), "")) - 1
	wanted := membership.PeerCount(peers + 1)
	if answered := k.links.answeredControllers(); wanted == 0 || 2*answered <= wanted {
		return result.New(result.NoConfiguration, "neither the store nor most peers confirm the configuration")
	}
	if k.members.HighestRevision(now) > k.replica.Revision() {
		return result.New(result.NoConfiguration, "a newer revision is known and being fetched")
	}
	return nil
}

// Snapshot returns the configuration in force, or nil before there is one.
func (k *Controller) Snapshot() *contract.Snapshot {
	return k.replica.Snapshot()
}

// Targets returns the view of the region's targets.
func (k *Controller) Targets() []control.TargetState {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.targets.States()
}

// Members returns the live processes.
func (k *Controller) Members() []membership.Member {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.members.Members(time.Now())
}

// Owns reports whether this controller is among the n rendezvous owners of a key
// in the region, or in the whole fleet when the region is empty.
func (k *Controller) Owns(key string, n int, region zone.Region) bool {
	controllers := membership.Controllers(k.Members(), region)
	return membership.Owns(controllers, key, n, k.config.Self.Host)
}

// announceRevision logs a newly applied revision and sends heartbeats to all peers
// at once, which then fetch it.
func (k *Controller) announceRevision(s *contract.Snapshot) {
	if s == nil {
		return
	}
	event.ConfigurationInForce.Log(k.config.Log).Uint64("revision", uint64(s.Revision)).Send()
	k.mu.Lock()
	k.members.Update(func(m *membership.Member) { m.Revision = max(m.Revision, s.Revision) })
	k.mu.Unlock()
	k.links.triggerHeartbeats()
}

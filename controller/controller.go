// Package controller runs a controller: it keeps the mesh of controllers,
// relays configuration and views of targets, shares out limits, takes in usage
// and spreads cordons. All controllers are equal; work is divided by
// rendezvous hashing, which only saves calls: two controllers that both
// believe they own something cost a retry and no error.
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
	"zinniapin/provider"
	"zinniapin/relay"
	"zinniapin/result"
	"zinniapin/store"
	"zinniapin/target"
	"zinniapin/targetview"
	"zinniapin/zone"
)

// Config is what a controller needs.
type Config struct {
	// Self is this process; Address is where it listens.
	Self machine.Process
	// Seeds are the addresses of controllers to try when none is known.
	Seeds []string
	// Network makes the links.
	Network link.Network
	// Store is the object API.
	Store store.Store
	// Hosts is the platform's list of hosts.
	Hosts provider.Hosts
	// Orders reads the reports of targets.
	Orders target.Orders
	// Reports takes usage reports; nil reports none.
	Reports provider.Usage
	// TargetOrders takes orders for targets; nil means that this controller
	// plans nothing.
	TargetOrders provider.Targets
	// Seed selects peers and jitter.
	Seed uint64
	// Log takes the events.
	Log *zerolog.Logger
}

// Controller is a running controller. It is safe for concurrent use.
type Controller struct {
	config  Config
	metrics *metrics
	holder  *relay.Replica
	links   *registry
	grants  *grantor
	usage   *usageWork

	gatewayLoads *loadTable // of the gateways linked here
	planLoads    *loadTable // of the pools that this controller plans for

	executor *authority.Executor
	plan     *planning.Planning // nil when there is nothing to plan

	mu            sync.Mutex
	members       *membership.Table
	targets       *targetview.Table
	book          *addressBook
	sources       map[machine.HostID]bool // whose records of members are taken; nil means all
	targetSources map[machine.HostID]bool // whose records of targets are taken; nil means all
	urgentTold    uint64                  // version of targets whose urgent news was told
	storeRead     bool                    // the root was read since the start
	storeUp       bool                    // the last call of the store succeeded
	storeFailed   time.Time               // begin of the last call of the store that failed
	reachable     bool                    // the store is, by own or a watcher's word
	leaving       bool
	failedTargets map[target.ID]time.Time // when to poll again
}

// New returns a controller that does not run yet.
func New(c Config) *Controller {
	now := time.Now()
	self := membership.Member{Process: c.Self}
	k := &Controller{
		config:        c,
		holder:        &relay.Replica{},
		links:         newRegistry(),
		grants:        newGrantor(),
		metrics:       newMetrics(),
		members:       membership.New(self, now),
		targets:       targetview.New(),
		book:          newAddressBook(c.Seeds, c.Seed^c.Self.Incarnation),
		failedTargets: map[target.ID]time.Time{},
		usage:         newUsageWork(),
		gatewayLoads:  newLoadTable(),
		planLoads:     newLoadTable(),
	}
	proofs := &liveness{controller: k, ended: map[string]bool{}, looked: map[string]time.Time{}}
	k.executor = authority.NewExecutor(c.Store, c.Self.ID(), proofs, authority.Options{Log: c.Log})
	if c.TargetOrders != nil && c.Orders != nil {
		k.plan = planning.New(planFleet{k}, k.executor, c.Orders, c.TargetOrders, planning.Options{Log: c.Log})
	}
	return k
}

// tickInterval is the interval of heartbeats and of the upkeep of links.
const tickInterval = time.Second

// Run runs the controller until ctx ends. A graceful shutdown calls Leave
// first.
func (k *Controller) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	_, stop, err := k.config.Network.Listen(k.config.Self.Address, link.HandlerFunc(k.serve), func(l link.Link) {
		k.accepted(ctx, l)
	})
	if err != nil {
		return err
	}
	defer func() { _ = stop() }()
	defer k.links.closeAll()
	// Orders end before the listener does: who finds another incarnation at
	// this address takes it as proof that this one orders nothing any more.
	defer k.executor.Close()
	group.Go(func() error { return k.every(ctx, tickInterval, k.tick) })
	group.Go(func() error { return k.watchConfiguration(ctx) })
	group.Go(func() error { return k.every(ctx, hostListInterval, k.pollHosts) })
	group.Go(func() error { return k.every(ctx, pollInterval, k.pollTargets) })
	group.Go(func() error {
		return k.every(ctx, usageInterval, func(ctx context.Context) { k.relayUsage(ctx, time.Now()) })
	})
	group.Go(func() error { return k.every(ctx, closeInterval, k.closeWindows) })
	group.Go(func() error { return k.every(ctx, loadsInterval, k.spreadLoads) })
	group.Go(func() error { return k.runPlanning(ctx) })
	return group.Wait()
}

// every calls f at once and then at an interval until ctx ends.
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
	// confirmationAge is the age up to which word of the store through a
	// watcher counts as the store being reachable.
	confirmationAge = 20 * time.Second
	// unconfirmedAge is the age from which it does not when one that tried
	// says that it could not.
	unconfirmedAge = staleAfter + widenEvery
)

// reaches tells whether the store can be reached, by the own calls of a
// controller that makes some, or by the word of those that do. The lock is
// held.
func (k *Controller) reaches(now time.Time, watches bool) bool {
	if watches {
		return k.storeUp
	}
	age := now.Sub(k.holder.Confirmed().At)
	if age >= unconfirmedAge && k.members.StoreFailed(now) {
		return false
	}
	return age < confirmationAge
}

// expectedControllers is the least number of controllers that there are: this
// one and those that the settings name.
func (k *Controller) expectedControllers() int {
	others := 0
	for _, address := range k.config.Seeds {
		if address != k.config.Self.Address {
			others++
		}
	}
	return 1 + others
}

// tick keeps membership and links.
func (k *Controller) tick(ctx context.Context) {
	now := time.Now()
	watches := k.watches(now)
	k.mu.Lock()
	reachable := k.reaches(now, watches)
	failed := !k.storeUp && now.Sub(k.storeFailed) < membership.StoreFailureTTL
	k.reachable = reachable
	k.members.Update(func(m *membership.Member) {
		m.Revision = max(m.Revision, k.holder.Revision())
		m.Leaving = k.leaving
		m.StoreReachable = reachable
		m.StoreFailed = failed
	})
	k.members.Tick(now)
	k.targets.Forget(now)
	for id, again := range k.failedTargets {
		if now.After(again) {
			delete(k.failedTargets, id)
		}
	}
	k.mu.Unlock()
	k.grants.prune(now, k.ownership)
	k.keepPeers(ctx, now)
}

// leaveSpread is the time for which a leaving controller goes on serving, so
// that others learn that it leaves and take over.
const leaveSpread = 3 * time.Second

// Leave tells the mesh that this controller leaves and waits until its work
// can have moved. The owner then ends the context of Run.
func (k *Controller) Leave(ctx context.Context) {
	k.mu.Lock()
	k.leaving = true
	k.members.Update(func(m *membership.Member) { m.Leaving = true })
	k.mu.Unlock()
	select {
	case <-time.After(leaveSpread):
	case <-ctx.Done():
	}
	k.leaveUsage(ctx)
	if err := k.executor.Drain(ctx); err != nil {
		event.OrdersLeftOpen.Log(k.config.Log).Err(err).Send()
	}
}

// Ready returns why the controller is not ready, or nil. It is ready with a
// configuration that the store confirmed since the start or, while the store
// is down, when a majority of the controllers that it should be linked to
// have shown theirs and none is newer.
func (k *Controller) Ready() error {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.leaving {
		return result.New(result.ShuttingDown, "the controller is shutting down")
	}
	if k.holder.Snapshot() == nil {
		return result.New(result.NoConfiguration, "no configuration is known")
	}
	if k.storeRead {
		return nil
	}
	now := time.Now()
	peers := len(membership.Controllers(k.members.Members(now), "")) - 1
	wanted := membership.PeerCount(peers + 1)
	if heard := k.links.heardControllers(); wanted == 0 || 2*heard <= wanted {
		return result.New(result.NoConfiguration, "neither the store nor most peers confirm the configuration")
	}
	if k.members.HighestRevision(now) > k.holder.Revision() {
		return result.New(result.NoConfiguration, "a newer revision is known and being fetched")
	}
	return nil
}

// Snapshot returns the configuration in force, or nil.
func (k *Controller) Snapshot() *contract.Snapshot {
	return k.holder.Snapshot()
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

// Owns tells whether this controller is among the n owners of a key in the
// region, or in the whole fleet when the region is empty.
func (k *Controller) Owns(key string, n int, region zone.Region) bool {
	controllers := membership.Controllers(k.Members(), region)
	return membership.Owns(controllers, key, n, k.config.Self.Host)
}

// adopted logs a new revision and tells the peers at once, which fetch it.
func (k *Controller) adopted(s *contract.Snapshot) {
	if s == nil {
		return
	}
	event.ConfigurationInForce.Log(k.config.Log).Uint64("revision", uint64(s.Revision)).Send()
	k.mu.Lock()
	k.members.Update(func(m *membership.Member) { m.Revision = max(m.Revision, s.Revision) })
	k.mu.Unlock()
	k.links.tellNews()
}

// Package planning runs the planners of roles, models and purchases in a controller and
// carries out their steps. For each it drains the target, opens an order in the record of
// open orders, has it executed, and lets the gateways use the target again.
//
// Rendezvous hashing suggests which controller plans for a pool. If two plan for it at
// once, one of their orders is refused, since the object API admits one open order per
// unit.
package planning

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"zinniapin/authority"
	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/placement"
	"zinniapin/provider"
	"zinniapin/spending"
	"zinniapin/target"
	"zinniapin/zone"
)

// Fleet is the part of the controller on which planning depends.
type Fleet interface {
	// Snapshot returns the configuration in force, or nil.
	Snapshot() *contract.Snapshot
	// Targets returns the known targets of the region.
	Targets() []control.TargetState
	// Loads returns the loads of a pool as the gateways of the region report them.
	Loads(pool string) []control.PoolLoad
	// Owns tells whether this controller is responsible for the work of a key.
	Owns(key string) bool
	// CordonEverywhere sets or lifts the cordon of a target at every live gateway. It
	// returns the number of requests still running there and the gateways that did not
	// answer.
	CordonEverywhere(ctx context.Context, id target.ID, epoch uint64, lift bool) (running int, missing []string, err error)
	// StoreReachable tells whether this controller reaches the object API.
	StoreReachable() bool
	// AllGatewaysReachable tells whether this controller receives heartbeats of every
	// gateway that may be running. Planned changes wait for that, since they must not
	// interrupt requests.
	AllGatewaysReachable() bool
}

// Options are the settings of planning. Zero values take defaults.
type Options struct {
	// PlanInterval is the interval between two plans. Default 1 s.
	PlanInterval time.Duration
	// DrainTimeout bounds the drain of a target. Default 60 s.
	DrainTimeout time.Duration
	// ChangeTimeout bounds one change after the drain. Default 3 min.
	ChangeTimeout time.Duration
	// PollInterval is the interval at which a target is polled during a drain or a
	// change. Default 500 ms.
	PollInterval time.Duration
	// OrphanCordonAge is the age at which a cordon without a task or an open order is
	// lifted. It must exceed the sum of DrainTimeout and ChangeTimeout. Default 5 min.
	OrphanCordonAge time.Duration
	// ListInterval is the interval at which the open orders of all authors are read.
	// Default 5 s.
	ListInterval time.Duration
	// Log receives the events. Default none.
	Log *zerolog.Logger
}

// Defaults of Options.
const (
	defaultPlanInterval    = time.Second
	defaultDrainTimeout    = 60 * time.Second
	defaultChangeTimeout   = 3 * time.Minute
	defaultPollInterval    = 500 * time.Millisecond
	defaultOrphanCordonAge = 5 * time.Minute
	defaultListInterval    = 5 * time.Second
)

// withDefaults returns the options with zero values replaced by the defaults.
func (o Options) withDefaults() Options {
	o.PlanInterval = cmp.Or(o.PlanInterval, defaultPlanInterval)
	o.DrainTimeout = cmp.Or(o.DrainTimeout, defaultDrainTimeout)
	o.ChangeTimeout = cmp.Or(o.ChangeTimeout, defaultChangeTimeout)
	o.PollInterval = cmp.Or(o.PollInterval, defaultPollInterval)
	o.OrphanCordonAge = cmp.Or(o.OrphanCordonAge, defaultOrphanCordonAge)
	o.ListInterval = cmp.Or(o.ListInterval, defaultListInterval)
	if o.Log == nil {
		none := zerolog.Nop()
		o.Log = &none
	}
	return o
}

// Planning plans for the pools that its controller owns. It is safe for
// concurrent use.
type Planning struct {
	fleet    Fleet
	executor *authority.Executor
	orders   target.Orders
	targets  provider.Targets
	options  Options
	tasks    sync.WaitGroup

	mu             sync.Mutex
	roles          *placement.Planner
	purchases      *spending.Planner
	claimedTargets map[target.ID]bool // targets that a task of this process works on
	claimedZones   map[zone.Name]bool // zones in which this process orders targets
	openOrders     map[target.ID]target.Order
	openReleases   map[target.ID]bool // targets that an open order releases
	listedAt       time.Time
	orphans        map[target.ID]orphanCordon
	status         Status
}

// New returns the planning for a fleet. The executor records and sends its orders.
func New(f Fleet, executor *authority.Executor, orders target.Orders, targets provider.Targets, o Options) *Planning {
	return &Planning{
		fleet:          f,
		executor:       executor,
		orders:         orders,
		targets:        targets,
		options:        o.withDefaults(),
		roles:          placement.New(placement.DefaultSettings()),
		purchases:      spending.New(spending.DefaultSettings()),
		claimedTargets: map[target.ID]bool{},
		claimedZones:   map[zone.Name]bool{},
		orphans:        map[target.ID]orphanCordon{},
		status:         newStatus(),
	}
}

// Run plans until ctx ends, then waits for the running tasks to stop. The order of a
// change that is stopped stays in the record of open orders.
func (p *Planning) Run(ctx context.Context) {
	ticker := time.NewTicker(p.options.PlanInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			p.tick(ctx, time.Now())
		case <-ctx.Done():
			p.tasks.Wait()
			return
		}
	}
}

// tick plans once and starts the resulting changes and orders.
func (p *Planning) tick(ctx context.Context, now time.Time) {
	s := p.fleet.Snapshot()
	if s == nil {
		return
	}
	pools := p.owned(s)
	if len(pools) == 0 {
		return
	}
	p.refreshOpenOrders(ctx, now)
	targets := p.fleet.Targets()
	p.liftOrphanCordons(ctx, now, pools, targets)
	p.planRoles(ctx, now, pools, targets)
	p.planPurchases(ctx, now, s, pools, targets)
}

// owned returns the pools that this controller plans for.
func (p *Planning) owned(s *contract.Snapshot) []contract.Pool {
	var pools []contract.Pool
	for _, pool := range s.Fleet.Pools {
		if p.fleet.Owns("plan/" + pool.Name) {
			pools = append(pools, pool)
		}
	}
	return pools
}

// listTimeout bounds the reading of the open orders. Planning continues without them.
const listTimeout = time.Second

// refreshOpenOrders reads the open orders of all authors if Options.ListInterval has
// passed. While the object API is down the last list is kept; no order can be opened then.
func (p *Planning) refreshOpenOrders(ctx context.Context, now time.Time) {
	p.mu.Lock()
	due := now.Sub(p.listedAt) >= p.options.ListInterval
	if due {
		p.listedAt = now
	}
	p.mu.Unlock()
	if !due {
		return
	}
	bounded, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	orders, err := p.executor.List(bounded)
	if err != nil {
		return
	}
	open, releases := engineOrders(orders), openReleases(orders)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.openOrders = open
	p.openReleases = releases
}

// poolLoads returns the loads of pools as gateways report them.
func (p *Planning) poolLoads(pools []contract.Pool) []control.PoolLoad {
	var all []control.PoolLoad
	for i := range pools {
		all = append(all, p.fleet.Loads(pools[i].Name)...)
	}
	return all
}

// claimTarget reserves a target for one task of this process. It returns false if the
// target is reserved already.
func (p *Planning) claimTarget(id target.ID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.claimedTargets[id] {
		return false
	}
	p.claimedTargets[id] = true
	return true
}

// unclaimTarget ends the reservation of a target.
func (p *Planning) unclaimTarget(id target.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.claimedTargets, id)
}

// targetState returns the controller's state of a target.
func (p *Planning) targetState(id target.ID) (control.TargetState, bool) {
	for _, s := range p.fleet.Targets() {
		if s.Target.ID == id {
			return s, true
		}
	}
	return control.TargetState{}, false
}

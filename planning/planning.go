// Package planning drives the planners of roles, models and spending within
// a controller: it drains a target before a planned change, orders it under
// the record of open orders, and gives the target back to the gateways.
//
// Which controller plans for a pool is a hint from rendezvous hashing. Two
// that both plan cost a refused order, since the object API admits one open
// order a unit.
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

// Fleet is what planning needs of the controller that it runs in.
type Fleet interface {
	// Snapshot returns the configuration in force, or nil.
	Snapshot() *contract.Snapshot
	// Targets returns the known targets of the region.
	Targets() []control.TargetState
	// Loads returns what the gateways of the region saw of a pool.
	Loads(pool string) []control.PoolLoad
	// Owns tells whether this controller is the one to do the work of a key.
	Owns(key string) bool
	// CordonEverywhere stops new work to a target, or lifts the stop, and
	// returns the requests still on it and the gateways that did not answer.
	CordonEverywhere(ctx context.Context, id target.ID, epoch uint64, lift bool) (running int, missing []string, err error)
	// StoreReachable tells whether the object API answers.
	StoreReachable() bool
	// AllGatewaysReachable tells whether every gateway that may run is heard. A planned
	// change waits for that, since it must cut no request.
	AllGatewaysReachable() bool
}

// Options are the settings of planning. Zero values take defaults.
type Options struct {
	// Tick is the pace of planning. Default 1 s.
	PlanInterval time.Duration
	// DrainLimit bounds the wait for a target to run empty. Default 60 s.
	DrainTimeout time.Duration
	// ChangeLimit bounds one change once its target is empty. Default 3 min.
	ChangeTimeout time.Duration
	// IdlePoll is the pause between looks at a target that drains. Default
	// 500 ms.
	PollInterval time.Duration
	// OrphanAfter is the age at which a cordon that nobody works on is
	// lifted. Default 5 min; above DrainLimit and ChangeLimit together.
	OrphanCordonAge time.Duration
	// ListEvery is the pace at which the open orders of others are read.
	// Default 5 s.
	ListInterval time.Duration
	// Log takes the events. Default none.
	Log *zerolog.Logger
}

// Defaults of Options.
const (
	defaultTick        = time.Second
	defaultDrainLimit  = 60 * time.Second
	defaultChangeLimit = 3 * time.Minute
	defaultIdlePoll    = 500 * time.Millisecond
	defaultOrphanAfter = 5 * time.Minute
	defaultListEvery   = 5 * time.Second
)

// withDefaults fills the zero values.
func (o Options) withDefaults() Options {
	o.PlanInterval = cmp.Or(o.PlanInterval, defaultTick)
	o.DrainTimeout = cmp.Or(o.DrainTimeout, defaultDrainLimit)
	o.ChangeTimeout = cmp.Or(o.ChangeTimeout, defaultChangeLimit)
	o.PollInterval = cmp.Or(o.PollInterval, defaultIdlePoll)
	o.OrphanCordonAge = cmp.Or(o.OrphanCordonAge, defaultOrphanAfter)
	o.ListInterval = cmp.Or(o.ListInterval, defaultListEvery)
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

	mu        sync.Mutex
	roles     *placement.Planner
	purchases *spending.Planner
	working   map[target.ID]bool // targets that a task of this process changes
	ordering  map[zone.Name]bool // zones with an order for targets under way
	open      map[target.ID]target.Order
	releases  map[target.ID]bool // targets that an open order gives back
	listed    time.Time
	orphans   map[target.ID]orphan
	status    Status
}

// New returns planning for a fleet. The executor carries out its orders.
func New(f Fleet, x *authority.Executor, orders target.Orders, targets provider.Targets, o Options) *Planning {
	return &Planning{
		fleet:     f,
		executor:  x,
		orders:    orders,
		targets:   targets,
		options:   o.withDefaults(),
		roles:     placement.New(placement.DefaultSettings()),
		purchases: spending.New(spending.DefaultSettings()),
		working:   map[target.ID]bool{},
		ordering:  map[zone.Name]bool{},
		orphans:   map[target.ID]orphan{},
		status:    newStatus(),
	}
}

// Run plans until ctx ends and waits for the changes under way to stop. A
// change that is stopped leaves its order to the record of open orders.
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

// tick plans once.
func (p *Planning) tick(ctx context.Context, now time.Time) {
	s := p.fleet.Snapshot()
	if s == nil {
		return
	}
	pools := p.owned(s)
	if len(pools) == 0 {
		return
	}
	p.list(ctx, now)
	targets := p.fleet.Targets()
	p.liftOrphans(ctx, now, pools, targets)
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

// listTimeout bounds the reading of the open orders, which planning goes on
// without.
const listTimeout = time.Second

// list reads the open orders of all authors at its own pace. While the object
// API is down the former list stands; no order can be opened then.
func (p *Planning) list(ctx context.Context, now time.Time) {
	p.mu.Lock()
	due := now.Sub(p.listed) >= p.options.ListInterval
	if due {
		p.listed = now
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
	p.open = open
	p.releases = releases
}

// loads returns what gateways saw of pools.
func (p *Planning) loads(pools []contract.Pool) []control.PoolLoad {
	var all []control.PoolLoad
	for i := range pools {
		all = append(all, p.fleet.Loads(pools[i].Name)...)
	}
	return all
}

// claim reserves a target for one task of this process.
func (p *Planning) claim(id target.ID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.working[id] {
		return false
	}
	p.working[id] = true
	return true
}

// unclaim ends the reservation.
func (p *Planning) unclaim(id target.ID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.working, id)
}

// state returns what is known of a target.
func (p *Planning) state(id target.ID) (control.TargetState, bool) {
	for _, s := range p.fleet.Targets() {
		if s.Target.ID == id {
			return s, true
		}
	}
	return control.TargetState{}, false
}

// Package placement decides which engines change their role or their model.
// It does no I/O: views and the time come in, typed steps come out. It only
// proposes; opening and fencing an order is the caller's job.
package placement

import (
	"time"

	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/target"
	"zinniapin/zone"
)

// Arrival is work that gateways took in, in tokens a second.
type Arrival struct {
	Pool       string
	Model      string
	Zone       zone.Name // of the gateways
	PromptRate float64
	OutputRate float64
}

// View is what the planner sees of the fleet.
type View struct {
	Pools    []contract.Pool
	Targets  []control.TargetState
	Arrivals []Arrival // may be empty: reports alone then show the demand
	// Open are the open orders of any author, by target.
	OpenOrders map[target.ID]target.Order
	// Unreachable names the targets that take no orders.
	Unreachable map[target.ID]bool
	// Loading is the number of loads from the weight store under way.
	ActiveModelLoads int
	// OrdersPossible is false while the object API cannot be reached: no
	// order may then be opened.
	OrdersPossible bool
}

// Settings are the planner's constants.
type Settings struct {
	// RoleChange and ModelLoad are how long an engine is away once empty, and
	// Drain how long it takes an engine that decodes to get empty.
	RoleChangeTime time.Duration
	ModelLoadTime  time.Duration
	DrainTime      time.Duration
	// MixedEfficiency is the share of its capacity that a mixed engine keeps
	// when it does both phases at once.
	MixedEfficiency float64
	// Comfort is the utilisation up to which requests are served in time.
	MaxUtilisation float64
	// GainOverLoss is how many times the loss a change must gain.
	MinGainRatio float64
	// DemandSpan is the time over which demand is averaged.
	DemandWindow time.Duration
	// Confirm is how long a change must look right before it is made.
	ConfirmTime time.Duration
	// Hold is how long an engine keeps its role at least.
	ChangeCooldown time.Duration
	// FirstStay is how long a mix is expected to last before any was seen.
	InitialMixDuration time.Duration
	// MaxLoads bounds the loads from the weight store at once.
	MaxModelLoads int
}

// DefaultSettings returns the settings in use.
func DefaultSettings() Settings {
	return Settings{
		RoleChangeTime:     6 * time.Second,
		ModelLoadTime:      30 * time.Second,
		DrainTime:          6 * time.Second,
		MixedEfficiency:    0.30,
		MaxUtilisation:     0.85,
		MinGainRatio:       1.5,
		DemandWindow:       3 * time.Second,
		ConfirmTime:        2 * time.Second,
		ChangeCooldown:     25 * time.Second,
		InitialMixDuration: 60 * time.Second,
		MaxModelLoads:      1,
	}
}

// Step is one proposed change.
type Step struct {
	Pool   string
	Zone   zone.Name
	Target target.ID
	Kind   target.OrderKind
	From   target.Role // with OrderRole
	Role   target.Role // with OrderRole
	Model  string      // with OrderModel
	Unload string      // with OrderModel
	// Gain and Loss are in engine-seconds of work served in time.
	Gain, Loss float64
	// Stay is how long the present mix is expected to last.
	MixDuration time.Duration
	// Prefill and Decode are the demand, in engines' worth of work.
	Prefill, Decode float64
	// Before and After are the pool's utilisation.
	Before, After float64
	Reason        string
}

// HoldReason says why a pool stays as it is.
type HoldReason string

// Reasons for not acting.
const (
	HeldNoOrders         HoldReason = "orders_not_possible"
	HeldNotDisaggregated HoldReason = "pool_keeps_all_mixed"
	HeldNoReports        HoldReason = "no_reports"
	HeldDemandServed     HoldReason = "demand_served_in_time"
	HeldNoGain           HoldReason = "gain_below_loss"
	HeldUnconfirmed      HoldReason = "gain_not_confirmed"
	HeldZonesBusy        HoldReason = "a_change_is_open_in_every_zone"
	HeldRecentlyChanged  HoldReason = "engines_changed_recently"
	HeldWeightStoreBusy  HoldReason = "weight_store_busy"
)

// Held is a decision not to act.
type Held struct {
	Pool            string
	Reason          HoldReason
	Gain, Loss      float64 // engine-seconds of the best change, if any
	Prefill, Decode float64 // demand in engines' worth of work
	Utilisation     float64
	MixDuration     time.Duration
}

// Planner proposes changes. It is not safe for concurrent use.
type Planner struct {
	settings Settings
	view     View
	demand   map[string]*demand // by pool
	changed  map[target.ID]changed
	started  time.Time
	held     []Held
}

// changed is a change that this planner proposed.
type changed struct {
	at   time.Time
	role target.Role // empty for a change of model
}

// New returns a planner.
func New(s Settings) *Planner {
	return &Planner{settings: s, demand: map[string]*demand{}, changed: map[target.ID]changed{}}
}

// Observe replaces the view and updates the estimates of demand.
func (p *Planner) Observe(now time.Time, v View) {
	if p.started.IsZero() {
		p.started = now
	}
	p.view = v
	for i := range v.Pools {
		name := v.Pools[i].Name
		d := p.demand[name]
		if d == nil {
			d = newDemand(p.settings)
			p.demand[name] = d
		}
		d.observe(now, name, &v, p.settings)
	}
	p.forget(now)
}

// forget drops what is kept of engines that changed long ago.
func (p *Planner) forget(now time.Time) {
	for id, c := range p.changed {
		if now.Sub(c.at) > p.settings.ChangeCooldown {
			delete(p.changed, id)
		}
	}
}

// Plan returns the changes to make now, at most one for each pool and zone.
// The caller must order them or let them drop; a step is not proposed again
// for its engine until Settings.Hold is over.
func (p *Planner) Plan(now time.Time) []Step {
	p.held = p.held[:0]
	var steps []Step
	for i := range p.view.Pools {
		steps = append(steps, p.planPool(now, &p.view.Pools[i])...)
	}
	return steps
}

// Held returns why pools were left as they are by the last Plan.
func (p *Planner) Held() []Held {
	return p.held
}

// hold notes a decision not to act.
func (p *Planner) hold(h Held) {
	p.held = append(p.held, h)
}

// planPool plans one pool: roles first, then models.
func (p *Planner) planPool(now time.Time, pool *contract.Pool) []Step {
	d := p.demand[pool.Name]
	if d == nil || !d.known {
		p.hold(Held{Pool: pool.Name, Reason: HeldNoReports})
		return nil
	}
	if !p.view.OrdersPossible {
		p.hold(d.held(pool.Name, HeldNoOrders))
		return nil
	}
	free := p.freeEngines(now, pool.Name)
	steps := p.planRoles(now, pool, d, free)
	return append(steps, p.planModels(now, pool, d, free, steps)...)
}

// freeEngines returns the engines of a pool that may change, none of a zone
// where a change is open.
func (p *Planner) freeEngines(now time.Time, pool string) *candidates {
	c := &candidates{busy: map[zone.Name]bool{}, roles: map[target.ID]target.Role{}}
	for i := range p.view.Targets {
		s := &p.view.Targets[i]
		if s.Target.Pool != pool || !serving(s) {
			continue
		}
		c.all = append(c.all, s)
		id := s.Target.ID
		own, recent := p.changed[id]
		order, open := p.view.OpenOrders[id]
		settling := recent && now.Sub(own.at) < p.settings.DrainTime+p.settings.RoleChangeTime
		changing := open || s.Report.Changing || settling
		if changing || s.Cordoned {
			c.busy[s.Target.Zone] = true
		}
		c.roles[id] = roleOf(s)
		if changing && own.role != "" {
			c.roles[id] = own.role
		}
		if open && order.Kind == target.OrderRole {
			c.roles[id] = order.Role
		}
		if !recent && !changing && !p.view.Unreachable[id] {
			c.free = append(c.free, s)
		}
	}
	return c
}

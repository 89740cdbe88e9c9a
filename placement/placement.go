// Package placement decides which engines change their role or their model. It does no
// I/O: the caller passes in views of the fleet and the time, and carries out the steps
// that the planner proposes by opening fenced orders.
package placement

import (
	"time"

	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/target"
	"zinniapin/zone"
)

// Arrival is the rate of work that arrives at gateways, in tokens per second.
type Arrival struct {
	Pool       string
	Model      string
	Zone       zone.Name // of the gateways
	PromptRate float64
	OutputRate float64
}

// View is the state of the fleet on which the planner decides.
type View struct {
	Pools    []contract.Pool
	Targets  []control.TargetState
	Arrivals []Arrival // if empty, the demand is derived from reports alone
	// OpenOrders are the open orders of all authors, by target.
	OpenOrders map[target.ID]target.Order
	// Unreachable holds the targets that cannot be given orders.
	Unreachable map[target.ID]bool
	// ActiveModelLoads is the number of model loads from the weight store in
	// progress.
	ActiveModelLoads int
	// OrdersPossible is false while no order may be opened, for instance because the
	// object API cannot be reached.
	OrdersPossible bool
}

// Settings holds the planner's parameters.
type Settings struct {
	// RoleChangeTime and ModelLoadTime are how long an idle engine is unavailable
	// during a change, DrainTime how long an engine that decodes takes to drain.
	RoleChangeTime time.Duration
	ModelLoadTime  time.Duration
	DrainTime      time.Duration
	// MixedEfficiency is the share of its capacity that an engine has in the mixed
	// role, in which it does both prefill and decode.
	MixedEfficiency float64
	// MaxUtilisation is the utilisation up to which requests are served in time.
	MaxUtilisation float64
	// MinGainRatio is the ratio of gain to loss that a change must exceed.
	MinGainRatio float64
	// DemandWindow is the time over which demand is averaged.
	DemandWindow time.Duration
	// ConfirmTime is how long a change must be worthwhile before it is proposed.
	ConfirmTime time.Duration
	// ChangeCooldown is the least time between two changes of an engine.
	ChangeCooldown time.Duration
	// InitialMixDuration is how long a mix of prefill and decode demand is expected
	// to last before any shift was observed.
	InitialMixDuration time.Duration
	// MaxModelLoads bounds the simultaneous model loads from the weight store.
	MaxModelLoads int
}

// DefaultSettings returns the default settings.
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
	// Gain and Loss are the expected effects of the change, in engine-seconds of work
	// served in time.
	Gain, Loss float64
	// MixDuration is how long the present mix of demand is expected to last.
	MixDuration time.Duration
	// Prefill and Decode are the demand, in engines.
	Prefill, Decode float64
	// Before and After are the pool's utilisation before and after the change.
	Before, After float64
	Reason        string
}

// HoldReason says why a pool is not changed.
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
	HeldRecentlyChanged  HoldReason = "engines_changed_recently" // or no engine can be given orders
	HeldWeightStoreBusy  HoldReason = "weight_store_busy"
)

// Held is a decision not to act.
type Held struct {
	Pool            string
	Reason          HoldReason
	Gain, Loss      float64 // of the best change, if any, in engine-seconds
	Prefill, Decode float64 // demand, in engines
	Utilisation     float64
	MixDuration     time.Duration
}

// Planner proposes changes. It is not safe for concurrent use.
type Planner struct {
	settings      Settings
	view          View
	demand        map[string]*demand // by pool
	recentChanges map[target.ID]recentChange
	started       time.Time
	held          []Held
}

// recentChange is a change that this planner proposed within Settings.ChangeCooldown.
type recentChange struct {
	at   time.Time
	role target.Role // empty for a change of model
}

// New returns a planner.
func New(s Settings) *Planner {
	return &Planner{settings: s, demand: map[string]*demand{}, recentChanges: map[target.ID]recentChange{}}
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
	p.dropOldChanges(now)
}

// dropOldChanges removes the changes that are older than Settings.ChangeCooldown.
func (p *Planner) dropOldChanges(now time.Time) {
	for id, c := range p.recentChanges {
		if now.Sub(c.at) > p.settings.ChangeCooldown {
			delete(p.recentChanges, id)
		}
	}
}

// Plan returns the changes to make now, at most one for each pool and zone. The caller
// may order or drop them; either way, no step is proposed for the same engine until
// Settings.ChangeCooldown is over.
func (p *Planner) Plan(now time.Time) []Step {
	p.held = p.held[:0]
	var steps []Step
	for i := range p.view.Pools {
		steps = append(steps, p.planPool(now, &p.view.Pools[i])...)
	}
	return steps
}

// Held returns the last Plan's decisions not to act.
func (p *Planner) Held() []Held {
	return p.held
}

// recordHeld records a decision not to act.
func (p *Planner) recordHeld(h Held) {
	p.held = append(p.held, h)
}

// planPool plans one pool: roles first, then models.
func (p *Planner) planPool(now time.Time, pool *contract.Pool) []Step {
	d := p.demand[pool.Name]
	if d == nil || !d.observed {
		p.recordHeld(Held{Pool: pool.Name, Reason: HeldNoReports})
		return nil
	}
	if !p.view.OrdersPossible {
		p.recordHeld(d.newHeld(pool.Name, HeldNoOrders))
		return nil
	}
	engines := p.engines(now, pool.Name)
	steps := p.planRoles(now, pool, d, engines)
	return append(steps, p.planModels(now, pool, d, engines, steps)...)
}

// engines returns the serving engines of a pool, which of them may change, and the
// zones where another change is in progress.
func (p *Planner) engines(now time.Time, pool string) *engineSet {
	c := &engineSet{busyZones: map[zone.Name]bool{}, plannedRoles: map[target.ID]target.Role{}}
	for i := range p.view.Targets {
		s := &p.view.Targets[i]
		if s.Target.Pool != pool || !isServing(s) {
			continue
		}
		c.all = append(c.all, s)
		id := s.Target.ID
		proposed, recent := p.recentChanges[id]
		order, open := p.view.OpenOrders[id]
		settling := recent && now.Sub(proposed.at) < p.settings.DrainTime+p.settings.RoleChangeTime
		changing := open || s.Report.Changing || settling
		if changing || s.Cordoned {
			c.busyZones[s.Target.Zone] = true
		}
		c.plannedRoles[id] = roleOf(s)
		if changing && proposed.role != "" {
			c.plannedRoles[id] = proposed.role
		}
		if open && order.Kind == target.OrderRole {
			c.plannedRoles[id] = order.Role
		}
		if !recent && !changing && !p.view.Unreachable[id] {
			c.changeable = append(c.changeable, s)
		}
	}
	return c
}

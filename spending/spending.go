// Package spending decides which targets are bought and released. It does no
// I/O: views and the time come in, typed steps come out. It only proposes;
// opening and fencing an order is the caller's job.
package spending

import (
	"math"
	"time"

	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/provider"
	"zinniapin/target"
	"zinniapin/zone"
)

// Queue is what gateways see of one pool.
type Queue struct {
	Pool string
	// Wait is the time for which dispatched requests queued, seconds.
	Wait float64
	// Refused is the share of requests refused for want of capacity.
	Refused float64
	// StableShare is the share of the work that is promised service: what may
	// not be repeated and what large organisations send.
	StableShare float64
	// StableOnlyShare is the share that must keep off reclaimable targets.
	StableOnlyShare float64
}

// View is what the planner sees of the fleet.
type View struct {
	Pools   []contract.Pool
	Zones   []zone.Name
	Targets []control.TargetState
	Queues  []Queue
	// OrdersPossible is false while the platform takes no orders.
	OrdersPossible bool
}

// Settings are the planner's constants.
type Settings struct {
	// Wait and Refused are the queueing from which on a target is bought.
	BuyWait         float64 // seconds
	BuyRefusedShare float64 // share
	// Full is the utilisation from which on a target is bought.
	BuyUtilisation float64
	// Confirm is how long a need must last before anything is bought.
	ConfirmTime time.Duration
	// OnDemandAfter is how long it must last before on-demand is bought.
	OnDemandAfter time.Duration
	// Idle is the utilisation below which, with one target less, a target is
	// released, and IdleFor is for how long it must last.
	ReleaseUtilisation float64
	ReleaseAfter       time.Duration
	// Promise is the utilisation at which promised work is still in time.
	GuaranteedUtilisation float64
	// Span is the time over which figures are averaged.
	AveragingWindow time.Duration
	// Arrival is how long a bought target may take to show up.
	ArrivalTimeout time.Duration
	// BackoffFirst and BackoffLast bound the wait after "none to be had".
	InitialBackoff, MaxBackoff time.Duration
}

// DefaultSettings returns the settings in use.
func DefaultSettings() Settings {
	return Settings{
		BuyWait:               0.3,
		BuyRefusedShare:       0.01,
		BuyUtilisation:        0.90,
		ConfirmTime:           5 * time.Second,
		OnDemandAfter:         20 * time.Second,
		ReleaseUtilisation:    0.45,
		ReleaseAfter:          180 * time.Second,
		GuaranteedUtilisation: 0.90,
		AveragingWindow:       10 * time.Second,
		ArrivalTimeout:        120 * time.Second,
		InitialBackoff:        15 * time.Second,
		MaxBackoff:            5 * time.Minute,
	}
}

// Reason says why a target is bought or released.
type Reason string

// Reasons of steps.
const (
	BuyQueueing      Reason = "queueing"      // requests wait or are refused
	BuyNoReclaimable Reason = "no_cheap"      // the need lasts and no reclaimable target is to be had
	BuyGuarantee     Reason = "promise"       // a zone's loss would break the promise
	BuyMinimum       Reason = "minimum"       // below the pool's minimum
	ReleaseIdle      Reason = "idle"          // the others suffice
	ReleaseExcess    Reason = "above_maximum" // the contract allows fewer
)

// HoldReason says why nothing is bought or released.
type HoldReason string

// Reasons for not acting.
const (
	HeldNoOrders    HoldReason = "orders_not_possible"
	HeldNoReports   HoldReason = "no_reports"
	HeldNoQueueing  HoldReason = "no_queueing"
	HeldUnconfirmed HoldReason = "need_not_confirmed"
	HeldArriving    HoldReason = "targets_arriving"
	HeldBackoff     HoldReason = "none_to_be_had"
	HeldMaximum     HoldReason = "at_maximum"
)

// Step is one proposed order to the target interface.
type Step struct {
	Pool    string
	Zone    zone.Name
	Class   target.Class
	Count   int       // targets to buy; 0 when Release is set
	Release target.ID // the target to give back
	Reason  Reason
	Figures Figures
}

// Held is a decision not to act.
type Held struct {
	Pool    string
	Reason  HoldReason
	Figures Figures
}

// Figures are what a decision rests on.
type Figures struct {
	Utilisation float64
	Wait        float64 // seconds
	Refused     float64
	StableShare float64
	Targets     int // there and arriving
	Reclaimable int // of them, reclaimable
}

// Planner proposes purchases. It is not safe for concurrent use.
type Planner struct {
	settings Settings
	view     View
	pools    map[string]*poolState
	backoff  map[offer]*backoff
	held     []Held
}

// offer is what may or may not be had.
type offer struct {
	pool  string
	zone  zone.Name
	class target.Class
}

// backoff is the wait after "none to be had".
type backoff struct {
	until time.Time
	wait  time.Duration
}

// New returns a planner.
func New(s Settings) *Planner {
	return &Planner{settings: s, pools: map[string]*poolState{}, backoff: map[offer]*backoff{}}
}

// Observe replaces the view and averages its figures.
func (p *Planner) Observe(now time.Time, v View) {
	p.view = v
	for i := range v.Pools {
		name := v.Pools[i].Name
		s := p.pools[name]
		if s == nil {
			s = &poolState{}
			p.pools[name] = s
		}
		s.observe(now, name, &v, p.settings)
	}
}

// RecordOrder notes what the platform granted of a step that buys.
func (p *Planner) RecordOrder(now time.Time, s Step, accepted int) {
	key := offer{s.Pool, s.Zone, s.Class}
	if accepted > 0 {
		delete(p.backoff, key)
		p.pools[s.Pool].expect(now.Add(p.settings.ArrivalTimeout), s, accepted)
		return
	}
	b := p.backoff[key]
	if b == nil {
		b = &backoff{wait: p.settings.InitialBackoff}
		p.backoff[key] = b
	} else {
		b.wait = min(2*b.wait, p.settings.MaxBackoff)
	}
	b.until = now.Add(b.wait)
}

// Plan returns the orders to make now. Each that buys must be answered by
// Ordered.
func (p *Planner) Plan(now time.Time) []Step {
	p.held = p.held[:0]
	var steps []Step
	for i := range p.view.Pools {
		if step, ok := p.planPool(now, &p.view.Pools[i]); ok {
			steps = append(steps, step)
		}
	}
	return steps
}

// Held returns why pools were left as they are by the last Plan.
func (p *Planner) Held() []Held {
	return p.held
}

// planPool proposes at most one order for a pool.
func (p *Planner) planPool(now time.Time, pool *contract.Pool) (Step, bool) {
	s := p.pools[pool.Name]
	if s == nil || !s.known {
		return p.hold(pool, HeldNoReports)
	}
	if !p.view.OrdersPossible {
		return p.hold(pool, HeldNoOrders)
	}
	if step, ok := p.keepPromises(now, pool, s); ok {
		return step, true
	}
	if !s.needs(p.settings) {
		s.needSince = time.Time{}
		return p.release(now, pool, s)
	}
	s.idleSince = time.Time{}
	if s.needSince.IsZero() {
		s.needSince = now
	}
	if now.Sub(s.needSince) < p.settings.ConfirmTime {
		return p.hold(pool, HeldUnconfirmed)
	}
	if s.arriving() >= s.shortage(p.settings) {
		return p.hold(pool, HeldArriving)
	}
	return p.buy(now, pool, s)
}

// buy buys a reclaimable target, or an on-demand one when the need lasts and
// no reclaimable one is to be had.
func (p *Planner) buy(now time.Time, pool *contract.Pool, s *poolState) (Step, bool) {
	if s.total(target.Reclaimable) < pool.MaxReclaimable {
		if z, ok := p.spread(now, pool, s, target.Reclaimable); ok {
			return s.step(pool, z, target.Reclaimable, BuyQueueing), true
		}
	}
	if s.total(target.OnDemand) >= pool.MaxOnDemand {
		return p.hold(pool, HeldMaximum)
	}
	if now.Sub(s.needSince) < p.settings.OnDemandAfter {
		return p.hold(pool, HeldUnconfirmed)
	}
	if z, ok := p.spread(now, pool, s, target.OnDemand); ok {
		return s.step(pool, z, target.OnDemand, BuyNoReclaimable), true
	}
	return p.hold(pool, HeldBackoff)
}

// keepPromises buys on-demand targets when the pool is below its minimum, or
// when losing a zone's reclaimable targets would leave too little for the
// work that is promised service.
func (p *Planner) keepPromises(now time.Time, pool *contract.Pool, s *poolState) (Step, bool) {
	reason := BuyMinimum
	if s.total(target.OnDemand) >= pool.MinOnDemand {
		reason = BuyGuarantee
		if s.keepsPromises(p.settings) {
			return Step{}, false
		}
	}
	if s.total(target.OnDemand) >= max(pool.MinOnDemand, pool.MaxOnDemand) {
		return Step{}, false
	}
	z, ok := p.spread(now, pool, s, target.OnDemand)
	if !ok {
		return Step{}, false
	}
	return s.step(pool, z, target.OnDemand, reason), true
}

// spread returns the zone with the fewest targets of a class that may have
// more, by total and then by name.
func (p *Planner) spread(now time.Time, pool *contract.Pool, s *poolState, c target.Class) (zone.Name, bool) {
	var best zone.Name
	fewest := math.MaxInt
	for _, z := range p.view.Zones {
		if b := p.backoff[offer{pool.Name, z, c}]; b != nil && now.Before(b.until) {
			continue
		}
		if n := s.inZone(z, c)*64 + s.inZone(z, ""); n < fewest {
			best, fewest = z, n
		}
	}
	return best, fewest < math.MaxInt
}

// release gives a bought target back once the others have sufficed for long.
// The dearest kind goes first, from the zone that has most of it.
func (p *Planner) release(now time.Time, pool *contract.Pool, s *poolState) (Step, bool) {
	left := float64(s.there() - 1)
	if s.arriving() > 0 || left < 1 || s.work/left > p.settings.ReleaseUtilisation {
		s.idleSince = time.Time{}
		return p.hold(pool, HeldNoQueueing)
	}
	if s.idleSince.IsZero() {
		s.idleSince = now
	}
	if now.Sub(s.idleSince) < p.settings.ReleaseAfter {
		return p.hold(pool, HeldNoQueueing)
	}
	class := target.Reclaimable
	if s.total(target.OnDemand) > pool.MinOnDemand {
		class = target.OnDemand
	}
	id, z, ok := p.leastMissed(pool.Name, class, s)
	if !ok {
		return p.hold(pool, HeldNoQueueing)
	}
	s.idleSince = now.Add(-p.settings.ReleaseAfter / 2)
	step := s.step(pool, z, class, ReleaseIdle)
	step.Count, step.Release = 0, id
	return step, true
}

// leastMissed returns the least loaded target of a class in the zone that has
// most of them.
func (p *Planner) leastMissed(pool string, class target.Class, s *poolState) (target.ID, zone.Name, bool) {
	var best *control.TargetState
	for i := range p.view.Targets {
		t := &p.view.Targets[i]
		if t.Target.Pool != pool || t.Target.Class != class || t.State != provider.Live || t.Cordoned {
			continue
		}
		if best == nil || s.missedLess(t, best, class) {
			best = t
		}
	}
	if best == nil {
		return "", "", false
	}
	return best.Target.ID, best.Target.Zone, true
}

// hold notes a decision not to act.
func (p *Planner) hold(pool *contract.Pool, reason HoldReason) (Step, bool) {
	h := Held{Pool: pool.Name, Reason: reason}
	if s := p.pools[pool.Name]; s != nil {
		h.Figures = s.figures()
	}
	p.held = append(p.held, h)
	return Step{}, false
}

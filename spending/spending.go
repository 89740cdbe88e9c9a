// Package spending decides which targets are bought and released. It does no I/O: the
// caller passes in views of the fleet and the time, and carries out the steps that the
// planner proposes by opening fenced orders.
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

// Queue holds the queueing of one pool as seen by gateways.
type Queue struct {
	Pool string
	// Wait is the time that dispatched requests spent in the queue, in seconds.
	Wait float64
	// Refused is the share of requests refused for lack of capacity.
	Refused float64
	// StableShare is the share of the work with guaranteed service: requests that must
	// not be repeated and those of large organisations.
	StableShare float64
	// StableOnlyShare is the share of the work that must not run on reclaimable
	// targets.
	StableOnlyShare float64
}

// View is the state of the fleet on which the planner decides.
type View struct {
	Pools   []contract.Pool
	Zones   []zone.Name
	Targets []control.TargetState
	Queues  []Queue
	// OrdersPossible is false while no order may be opened.
	OrdersPossible bool
}

// Settings holds the planner's parameters.
type Settings struct {
	// BuyWait, in seconds, and BuyRefusedShare are the time in the queue and the share
	// of refused requests above which a target is bought.
	BuyWait         float64
	BuyRefusedShare float64
	// BuyUtilisation is the utilisation above which a target is bought.
	BuyUtilisation float64
	// ConfirmTime is how long the need must last before a target is bought.
	ConfirmTime time.Duration
	// OnDemandAfter is how long the need must last before an on-demand target is
	// bought.
	OnDemandAfter time.Duration
	// A target is released once the utilisation of the others would have been at most
	// ReleaseUtilisation for ReleaseAfter.
	ReleaseUtilisation float64
	ReleaseAfter       time.Duration
	// GuaranteedUtilisation is the utilisation up to which guaranteed work is served in
	// time.
	GuaranteedUtilisation float64
	// AveragingWindow is the time over which figures are averaged.
	AveragingWindow time.Duration
	// ArrivalTimeout is how long a bought target counts as arriving.
	ArrivalTimeout time.Duration
	// InitialBackoff and MaxBackoff bound the time without orders for a class in a zone
	// after the platform had no target of it. The time doubles with each refusal.
	InitialBackoff, MaxBackoff time.Duration
}

// DefaultSettings returns the default settings.
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
	BuyQueueing      Reason = "queueing"      // requests wait too long, or too many are refused
	BuyNoReclaimable Reason = "no_cheap"      // the need lasts and no reclaimable target is available
	BuyGuarantee     Reason = "promise"       // the loss of a zone would break the guarantee
	BuyMinimum       Reason = "minimum"       // below the pool's minimum of on-demand targets
	ReleaseIdle      Reason = "idle"          // the other targets suffice
	ReleaseExcess    Reason = "above_maximum" // the configuration allows fewer
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

// Step is one proposed order to the platform.
type Step struct {
	Pool    string
	Zone    zone.Name
	Class   target.Class
	Count   int       // targets to buy; 0 when Release is set
	Release target.ID // the target to release
	Reason  Reason
	Figures Figures
}

// Held is a decision not to act.
type Held struct {
	Pool    string
	Reason  HoldReason
	Figures Figures
}

// Figures holds the figures on which a decision is based.
type Figures struct {
	Utilisation float64
	Wait        float64 // seconds
	Refused     float64 // share of requests refused; see Queue.Refused
	StableShare float64 // see Queue.StableShare
	Targets     int     // live and arriving
	Reclaimable int     // of Targets, those that can be reclaimed
}

// Planner proposes purchases and releases. It is not safe for concurrent use.
type Planner struct {
	settings Settings
	view     View
	pools    map[string]*poolState
	backoff  map[offerKey]*backoff
	held     []Held
}

// offerKey identifies the targets of a class in a zone that the platform may offer a
// pool.
type offerKey struct {
	pool  string
	zone  zone.Name
	class target.Class
}

// backoff is the time without orders after the platform had no target to offer.
type backoff struct {
	until time.Time
	wait  time.Duration
}

// New returns a planner.
func New(s Settings) *Planner {
	return &Planner{settings: s, pools: map[string]*poolState{}, backoff: map[offerKey]*backoff{}}
}

// Observe replaces the view and updates the averages of its figures.
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

// RecordOrder records how many targets the platform granted for a step that buys.
func (p *Planner) RecordOrder(now time.Time, s Step, accepted int) {
	key := offerKey{s.Pool, s.Zone, s.Class}
	if accepted > 0 {
		delete(p.backoff, key)
		p.pools[s.Pool].addPending(now.Add(p.settings.ArrivalTimeout), s, accepted)
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

// Plan returns the orders to make now. The caller must report the result of each that
// buys by RecordOrder.
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

// Held returns the last Plan's decisions not to act.
func (p *Planner) Held() []Held {
	return p.held
}

// planPool proposes at most one order for a pool.
func (p *Planner) planPool(now time.Time, pool *contract.Pool) (Step, bool) {
	s := p.pools[pool.Name]
	if s == nil || !s.observed {
		return p.recordHeld(pool, HeldNoReports)
	}
	if !p.view.OrdersPossible {
		return p.recordHeld(pool, HeldNoOrders)
	}
	if step, ok := p.buyForGuarantee(now, pool, s); ok {
		return step, true
	}
	if !s.needsTargets(p.settings) {
		s.needSince = time.Time{}
		return p.release(now, pool, s)
	}
	s.idleSince = time.Time{}
	if s.needSince.IsZero() {
		s.needSince = now
	}
	if now.Sub(s.needSince) < p.settings.ConfirmTime {
		return p.recordHeld(pool, HeldUnconfirmed)
	}
	if s.arriving() >= s.shortage(p.settings) {
		return p.recordHeld(pool, HeldArriving)
	}
	return p.buy(now, pool, s)
}

// buy proposes to buy a reclaimable target, or an on-demand one if the need lasts and no
// reclaimable one is available or allowed.
func (p *Planner) buy(now time.Time, pool *contract.Pool, s *poolState) (Step, bool) {
	if s.countClass(target.Reclaimable) < pool.MaxReclaimable {
		if z, ok := p.zoneToBuyIn(now, pool, s, target.Reclaimable); ok {
			return s.buyStep(pool, z, target.Reclaimable, BuyQueueing), true
		}
	}
	if s.countClass(target.OnDemand) >= pool.MaxOnDemand {
		return p.recordHeld(pool, HeldMaximum)
	}
	if now.Sub(s.needSince) < p.settings.OnDemandAfter {
		return p.recordHeld(pool, HeldUnconfirmed)
	}
	if z, ok := p.zoneToBuyIn(now, pool, s, target.OnDemand); ok {
		return s.buyStep(pool, z, target.OnDemand, BuyNoReclaimable), true
	}
	return p.recordHeld(pool, HeldBackoff)
}

// buyForGuarantee proposes to buy an on-demand target if the pool is below its minimum of
// them, or if the guaranteed work could not be served in time after a zone has lost its
// reclaimable targets.
func (p *Planner) buyForGuarantee(now time.Time, pool *contract.Pool, s *poolState) (Step, bool) {
	reason := BuyMinimum
	if s.countClass(target.OnDemand) >= pool.MinOnDemand {
		reason = BuyGuarantee
		if s.meetsGuarantee(p.settings) {
			return Step{}, false
		}
	}
	if s.countClass(target.OnDemand) >= max(pool.MinOnDemand, pool.MaxOnDemand) {
		return Step{}, false
	}
	z, ok := p.zoneToBuyIn(now, pool, s, target.OnDemand)
	if !ok {
		return Step{}, false
	}
	return s.buyStep(pool, z, target.OnDemand, reason), true
}

// zoneToBuyIn returns the zone with the fewest targets of a class and, among equals, the
// fewest targets in all. It leaves out zones in backoff and returns false if none remains.
func (p *Planner) zoneToBuyIn(now time.Time, pool *contract.Pool, s *poolState, c target.Class) (zone.Name, bool) {
	var best zone.Name
	fewest := math.MaxInt
	for _, z := range p.view.Zones {
		if b := p.backoff[offerKey{pool.Name, z, c}]; b != nil && now.Before(b.until) {
			continue
		}
		// The factor ranks zones by the targets of the class first, then by all targets.
		if n := s.countInZone(z, c)*64 + s.countInZone(z, ""); n < fewest {
			best, fewest = z, n
		}
	}
	return best, fewest < math.MaxInt
}

// release proposes to release a bought target once the others have sufficed for
// Settings.ReleaseAfter. On-demand targets, the most expensive class, are released first,
// from the zone that has most of them.
func (p *Planner) release(now time.Time, pool *contract.Pool, s *poolState) (Step, bool) {
	left := float64(s.live() - 1)
	if s.arriving() > 0 || left < 1 || s.work/left > p.settings.ReleaseUtilisation {
		s.idleSince = time.Time{}
		return p.recordHeld(pool, HeldNoQueueing)
	}
	if s.idleSince.IsZero() {
		s.idleSince = now
	}
	if now.Sub(s.idleSince) < p.settings.ReleaseAfter {
		return p.recordHeld(pool, HeldNoQueueing)
	}
	class := target.Reclaimable
	if s.countClass(target.OnDemand) > pool.MinOnDemand {
		class = target.OnDemand
	}
	id, z, ok := p.releaseCandidate(pool.Name, class, s)
	if !ok {
		return p.recordHeld(pool, HeldNoQueueing)
	}
	// The next release may follow after half of ReleaseAfter.
	s.idleSince = now.Add(-p.settings.ReleaseAfter / 2)
	step := s.buyStep(pool, z, class, ReleaseIdle)
	step.Count, step.Release = 0, id
	return step, true
}

// releaseCandidate returns the least loaded target of a class in the zone that has most
// of them.
func (p *Planner) releaseCandidate(pool string, class target.Class, s *poolState) (target.ID, zone.Name, bool) {
	var best *control.TargetState
	for i := range p.view.Targets {
		t := &p.view.Targets[i]
		if t.Target.Pool != pool || t.Target.Class != class || t.State != provider.Live || t.Cordoned {
			continue
		}
		if best == nil || s.releasedBefore(t, best, class) {
			best = t
		}
	}
	if best == nil {
		return "", "", false
	}
	return best.Target.ID, best.Target.Zone, true
}

// recordHeld records a decision not to act. It returns no step.
func (p *Planner) recordHeld(pool *contract.Pool, reason HoldReason) (Step, bool) {
	h := Held{Pool: pool.Name, Reason: reason}
	if s := p.pools[pool.Name]; s != nil {
		h.Figures = s.figures()
	}
	p.held = append(p.held, h)
	return Step{}, false
}

package gateway

import (
	"slices"
	"sync"
	"time"

	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/invariant"
	"zinniapin/provider"
	"zinniapin/routing"
	"zinniapin/target"
	"zinniapin/zone"
)

// Constants for the view of targets and their capacity.
const (
	// moveMargin is the time before a target's departure at which its streams
	// are moved.
	moveMargin = 2 * time.Second
	// defaultTargetCapacity is assumed for a target that reports no capacity,
	// in concurrent requests.
	defaultTargetCapacity = 16
	// dispatchFactor is the number of calls dispatched to a pool of plain
	// services for each call that it runs at once; the services queue the rest.
	dispatchFactor = 2
	// minServiceShare is the least number of calls that one gateway may have
	// in progress at a pool of plain services.
	minServiceShare = 4
	// cordonTTL is how long a gateway keeps the cordon of a target that no view
	// lists.
	cordonTTL = 10 * time.Minute
)

// cordon is the latest known cordon state of a target. A higher epoch overrides a lower one.
type cordon struct {
	epoch     uint64
	active    bool
	updatedAt time.Time
}

// fleet holds the view of all targets and the number of this gateway's requests at each. It
// chooses a target and counts the request there under one lock, so that the count which a
// cordon returns includes every request routed before it.
type fleet struct {
	mu         sync.Mutex
	router     *routing.Router
	view       []control.TargetState
	zones      func(zone.Name) (zone.Zone, bool) // looks up a zone in the configuration
	cordons    map[target.ID]cordon
	drained    map[target.ID]bool      // as configured; the map is replaced, never modified
	running    map[target.ID]int       // this gateway's requests at each target
	placements map[*placement]struct{} // those that have not ended
}

// newFleet returns a fleet without targets.
func newFleet(router *routing.Router) *fleet {
	return &fleet{
		router:     router,
		zones:      func(zone.Name) (zone.Zone, bool) { return zone.Zone{}, false },
		cordons:    map[target.ID]cordon{},
		running:    map[target.ID]int{},
		placements: map[*placement]struct{}{},
	}
}

// placement is the assignment of a request to its targets. The request counts as running at
// them until done is called, and at a prefill engine only until prefillDone.
type placement struct {
	fleet   *fleet
	choice  routing.Choice
	prefill *target.Target // nil without a separate prefill phase, and after prefillDone
	// onLeaving is called on every check while the target is about to leave, and
	// tells whether the stream was moved; may be nil.
	onLeaving func() (moved bool)
	ended     bool
}

// choose routes a request and counts it at the chosen targets.
func (f *fleet) choose(now time.Time, q *routing.Request) (*placement, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	choice, ok := f.router.Choose(now, q)
	if !ok {
		return nil, false
	}
	p := &placement{fleet: f, choice: choice, prefill: choice.Prefill}
	f.running[choice.Target.ID]++
	if p.prefill != nil {
		f.running[p.prefill.ID]++
	}
	f.placements[p] = struct{}{}
	return p, true
}

// usable tells whether the placement's target accepts another attempt: it is live and
// neither cordoned nor drained.
func (p *placement) usable() bool {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	for i := range p.fleet.view {
		s := &p.fleet.view[i]
		if s.Target.ID == p.choice.Target.ID {
			return s.State == provider.Live && !s.Cordoned && !p.fleet.drained[s.Target.ID]
		}
	}
	return false
}

// bootOf returns the latest known start of a target; 0 if it reports none.
func (f *fleet) bootOf(id target.ID) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.view {
		if f.view[i].Target.ID == id {
			return f.view[i].Report.Boot
		}
	}
	return 0
}

// setOnLeaving sets the function to call when the target is about to leave; nil clears it.
func (p *placement) setOnLeaving(callback func() bool) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	p.onLeaving = callback
}

// prefillDone ends the prefill phase and releases the prefill engine.
func (p *placement) prefillDone(now time.Time) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if p.prefill == nil {
		return
	}
	p.fleet.decrementRunning(p.prefill.ID)
	p.prefill = nil
	p.fleet.router.PrefillDone(now, &p.choice)
}

// failedTarget returns the target to which a failed attempt is attributed: the prefill
// engine during the prefill phase, else the placement's own target.
func (p *placement) failedTarget() target.ID {
	if p.prefill != nil {
		return p.prefill.ID
	}
	return p.choice.Target.ID
}

// done ends the placement and reports to the router whether it failed. Further calls have no
// effect.
func (p *placement) done(now time.Time, failed bool) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if p.ended {
		return
	}
	p.ended = true
	if p.prefill != nil {
		p.fleet.decrementRunning(p.prefill.ID)
		p.prefill = nil
	}
	p.fleet.decrementRunning(p.choice.Target.ID)
	delete(p.fleet.placements, p)
	p.fleet.router.Done(now, &p.choice, failed)
}

// decrementRunning subtracts one from the number of requests at a target. The caller holds
// the lock.
func (f *fleet) decrementRunning(id target.ID) {
	f.running[id]--
	invariant.Check(f.running[id] >= 0, "fleet_running", "%s: %d", id, f.running[id])
	if f.running[id] == 0 {
		delete(f.running, id)
	}
}

// observe replaces the view. A cordon that was received directly overrides a view that holds
// a lower epoch.
func (f *fleet) observe(now time.Time, view []control.TargetState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view = append([]control.TargetState(nil), view...)
	for i := range f.view {
		s := &f.view[i]
		latest, ok := f.cordons[s.Target.ID]
		if ok && latest.epoch > s.CordonEpoch {
			s.CordonEpoch, s.Cordoned = latest.epoch, latest.active
		}
		f.cordons[s.Target.ID] = cordon{s.CordonEpoch, s.Cordoned, now}
	}
	f.expireCordons(now)
	f.updateRouter(now)
}

// updateRouter passes the view to the router, with drained targets marked as cordoned. The
// caller holds the lock.
func (f *fleet) updateRouter(now time.Time) {
	if len(f.drained) == 0 {
		f.router.Observe(now, f.view, f.zones)
		return
	}
	view := slices.Clone(f.view)
	for i := range view {
		if f.drained[view[i].Target.ID] {
			view[i].Cordoned = true
		}
	}
	f.router.Observe(now, view, f.zones)
}

// expireCordons removes the cordons of targets that no view has listed for cordonTTL. The
// caller holds the lock.
func (f *fleet) expireCordons(now time.Time) {
	for id, c := range f.cordons {
		if now.Sub(c.updatedAt) > cordonTTL {
			delete(f.cordons, id)
		}
	}
}

// configure takes the zones and the drained targets from a configuration.
func (f *fleet) configure(now time.Time, s *contract.Snapshot) {
	drained := map[target.ID]bool{}
	for _, id := range s.Fleet.Drained {
		drained[id] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.zones = s.Zone
	f.drained = drained
	f.updateRouter(now)
}

// setCordon cordons a target or lifts its cordon, and returns the number of this gateway's
// requests at it. It ignores an epoch that is lower than the last.
func (f *fleet) setCordon(now time.Time, id target.ID, epoch uint64, lift bool) (running int, changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if epoch < f.cordons[id].epoch {
		return f.running[id], false
	}
	f.cordons[id] = cordon{epoch, !lift, now}
	for i := range f.view {
		s := &f.view[i]
		if s.Target.ID == id {
			s.CordonEpoch, s.Cordoned = epoch, !lift
		}
	}
	f.updateRouter(now)
	return f.running[id], true
}

// moveCallbacks returns the onLeaving functions of the placements at targets that are gone
// or leave within moveMargin.
func (f *fleet) moveCallbacks(now time.Time) []func() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	leavingTargets := map[target.ID]bool{}
	for i := range f.view {
		s := &f.view[i]
		soon := s.State == provider.Leaving && !now.Before(s.LeavesAt.Add(-moveMargin))
		if soon || s.State == provider.Gone {
			leavingTargets[s.Target.ID] = true
		}
	}
	var moves []func() bool
	for p := range f.placements {
		if p.onLeaving != nil && leavingTargets[p.choice.Target.ID] {
			moves = append(moves, p.onLeaving)
		}
	}
	return moves
}

// poolCapacity is how many requests this gateway may have in progress at a pool.
type poolCapacity struct {
	engines         bool // model engines, not plain services
	requests        int
	minPromptTokens float64 // prompt tokens that may always be in progress; engines only
}

// capacities returns the capacity of each pool, given the number of live gateways. For
// engines it is this gateway's share of the streams that the pool can decode in time. For
// plain services it is its share of dispatchFactor times the calls that they run at once.
func (f *fleet) capacities(now time.Time, gateways int) map[string]poolCapacity {
	f.mu.Lock()
	defer f.mu.Unlock()
	pools := map[string]poolCapacity{}
	for i := range f.view {
		s := &f.view[i]
		p := pools[s.Target.Pool]
		p.engines = p.engines || s.Target.Kind == target.Engine
		p.requests += targetCapacity(s)
		pools[s.Target.Pool] = p
	}
	for name, p := range pools {
		switch {
		case p.requests == 0:
		case p.engines:
			p.requests = routing.DecodeCapacityShare(f.router.DecodeCapacity(now, name), gateways)
			p.minPromptTokens = routing.PromptTokenShare(f.router.PrefillRate(name), gateways)
		default:
			p.requests = max(minServiceShare, (p.requests*dispatchFactor+gateways-1)/max(1, gateways))
		}
		pools[name] = p
	}
	return pools
}

// targetCapacity returns how many requests a target runs at once, or 0 if it accepts no new
// work.
func targetCapacity(s *control.TargetState) int {
	if s.State != provider.Live || s.Cordoned {
		return 0
	}
	if s.Report.Capacity <= 0 {
		return defaultTargetCapacity
	}
	return s.Report.Capacity
}

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

// Constants of the fleet's view.
const (
	// moveMargin is how long before a target leaves its streams are moved.
	moveMargin = 2 * time.Second
	// defaultTargetCapacity is presumed of a target that reports none.
	defaultTargetCapacity = 16
	// dispatchFactor is how many calls are out at a pool of plain services for
	// each that they run at once; their own queues hold the rest.
	dispatchFactor = 2
	// minServiceShare is the least number of calls that one gateway may have
	// out at a pool of plain services.
	minServiceShare = 4
	// cordonMemory is how long a cordon of a target is remembered that no
	// view lists.
	cordonMemory = 10 * time.Minute
)

// cordon is the latest word on new work to a target.
type cordon struct {
	epoch uint64
	on    bool
	heard time.Time
}

// fleet is the view of the targets and of this gateway's requests on them.
// Choosing a target and counting the request there are one step under the
// lock, so a cordon's count holds every request chosen before it.
type fleet struct {
	mu         sync.Mutex
	router     *routing.Router
	view       []control.TargetState
	zones      func(zone.Name) (zone.Zone, bool)
	cordons    map[target.ID]cordon
	drained    map[target.ID]bool // by the configuration; never changed in place
	running    map[target.ID]int
	placements map[*placement]struct{}
}

// newFleet returns an empty view.
func newFleet(router *routing.Router) *fleet {
	return &fleet{
		router:     router,
		zones:      func(zone.Name) (zone.Zone, bool) { return zone.Zone{}, false },
		cordons:    map[target.ID]cordon{},
		running:    map[target.ID]int{},
		placements: map[*placement]struct{}{},
	}
}

// placement is a request's place at its targets, held until done.
type placement struct {
	fleet   *fleet
	choice  routing.Choice
	prefill *target.Target // held until prefilled
	// leave is called, again and again, while the target is about to leave;
	// may be nil.
	leave func() (moved bool)
	ended bool
}

// choose picks targets and counts the request there.
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

// usable tells whether the placement's target may take another attempt.
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

// onLeave sets what to do when the target is about to leave; nil clears it.
func (p *placement) onLeave(leave func() bool) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	p.leave = leave
}

// prefilled gives the prefill engine free.
func (p *placement) prefilled(now time.Time) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if p.prefill == nil {
		return
	}
	p.fleet.free(p.prefill.ID)
	p.prefill = nil
	p.fleet.router.PrefillDone(now, &p.choice)
}

// atFault returns the target that an attempt's failure is put down to: the
// prefill engine while its phase is not over.
func (p *placement) atFault() target.ID {
	if p.prefill != nil {
		return p.prefill.ID
	}
	return p.choice.Target.ID
}

// done ends the placement.
func (p *placement) done(now time.Time, failed bool) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if p.ended {
		return
	}
	p.ended = true
	if p.prefill != nil {
		p.fleet.free(p.prefill.ID)
		p.prefill = nil
	}
	p.fleet.free(p.choice.Target.ID)
	delete(p.fleet.placements, p)
	p.fleet.router.Done(now, &p.choice, failed)
}

// free counts one request less at a target. The lock is held.
func (f *fleet) free(id target.ID) {
	f.running[id]--
	invariant.Check(f.running[id] >= 0, "fleet_running", "%s: %d", id, f.running[id])
	if f.running[id] == 0 {
		delete(f.running, id)
	}
}

// observe replaces the view. A cordon heard directly stays in force over a
// view with a lower epoch.
func (f *fleet) observe(now time.Time, view []control.TargetState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view = append([]control.TargetState(nil), view...)
	for i := range f.view {
		s := &f.view[i]
		known, ok := f.cordons[s.Target.ID]
		if ok && known.epoch > s.CordonEpoch {
			s.CordonEpoch, s.Cordoned = known.epoch, known.on
		}
		f.cordons[s.Target.ID] = cordon{s.CordonEpoch, s.Cordoned, now}
	}
	f.forgetCordons(now)
	f.route(now)
}

// route gives the router the view, with drained targets cordoned. The lock is
// held.
func (f *fleet) route(now time.Time) {
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

// forgetCordons drops what was heard long ago of targets that no view lists
// any more. The lock is held.
func (f *fleet) forgetCordons(now time.Time) {
	for id, c := range f.cordons {
		if now.Sub(c.heard) > cordonMemory {
			delete(f.cordons, id)
		}
	}
}

// configure takes in what the configuration says of zones and drained
// targets.
func (f *fleet) configure(now time.Time, s *contract.Snapshot) {
	drained := map[target.ID]bool{}
	for _, id := range s.Fleet.Drained {
		drained[id] = true
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.zones = s.Zone
	f.drained = drained
	f.route(now)
}

// setCordon stops or allows new work and returns the number of requests at
// the target.
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
	f.route(now)
	return f.running[id], true
}

// leaving returns what to call for the streams on targets that are about to
// leave.
func (f *fleet) leaving(now time.Time) []func() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	ends := map[target.ID]bool{}
	for i := range f.view {
		s := &f.view[i]
		soon := s.State == provider.Leaving && !now.Before(s.LeavesAt.Add(-moveMargin))
		if soon || s.State == provider.Gone {
			ends[s.Target.ID] = true
		}
	}
	var moves []func() bool
	for p := range f.placements {
		if p.leave != nil && ends[p.choice.Target.ID] {
			moves = append(moves, p.leave)
		}
	}
	return moves
}

// poolCapacity is how many requests this gateway may have out at a pool.
type poolCapacity struct {
	engines  bool // model engines, not plain services
	requests int
	prompts  float64 // prompt tokens that may always be under way; engines only
}

// capacities returns the capacity of each pool, given the number of live
// gateways. That of engines is a share of the streams that come in time; that
// of plain services a share of the calls that they run, and as many again.
func (f *fleet) capacities(now time.Time, gateways int) map[string]poolCapacity {
	f.mu.Lock()
	defer f.mu.Unlock()
	pools := map[string]poolCapacity{}
	for i := range f.view {
		s := &f.view[i]
		p := pools[s.Target.Pool]
		p.engines = p.engines || s.Target.Kind == target.Engine
		p.requests += capacity(s)
		pools[s.Target.Pool] = p
	}
	for name, p := range pools {
		switch {
		case p.requests == 0:
		case p.engines:
			p.requests = routing.DecodeCapacityShare(f.router.DecodeCapacity(now, name), gateways)
			p.prompts = routing.PromptTokenShare(f.router.PrefillRate(name), gateways)
		default:
			p.requests = max(minServiceShare, (p.requests*dispatchFactor+gateways-1)/max(1, gateways))
		}
		pools[name] = p
	}
	return pools
}

// capacity returns how many requests a target runs at once, 0 when it takes
// no new work.
func capacity(s *control.TargetState) int {
	if s.State != provider.Live || s.Cordoned {
		return 0
	}
	if s.Report.Capacity <= 0 {
		return defaultTargetCapacity
	}
	return s.Report.Capacity
}

package policybench

import (
	"math"
	"time"

	"zinniapin/control"
	"zinniapin/provider"
	"zinniapin/routing"
	"zinniapin/target"
	"zinniapin/zone"
)

// picker chooses targets for the requests of one gateway.
type picker interface {
	// observe replaces the view of the targets.
	observe(now time.Time, view []control.TargetState)
	// choose chooses targets for a request; false if none is eligible.
	choose(now time.Time, q *routing.Request) (routing.Choice, bool)
	// prefilled records that the prefill phase of a choice has ended.
	prefilled(now time.Time, c *routing.Choice)
	// done records that an attempt has ended.
	done(now time.Time, c *routing.Choice, failed bool)
}

// roleAssignment is the way in which a policy assigns roles to engines.
type roleAssignment int

const (
	fixedSplit       roleAssignment = iota // the initial prefill and decode roles stay
	allMixed                               // every engine runs both phases
	thresholdRoles                         // changed by thresholdPlanner
	plannedRoles                           // changed by placement.Planner
	clairvoyantRoles                       // set without delay or cost, from future requests
)

// Policy is a combination of role assignment and routing. A Row holds its results.
type Policy struct {
	Name      string
	roles     roleAssignment
	newPicker func(home zone.Zone, seed uint64) picker // makes the picker of a gateway
	// exact makes all gateways share one router that sees the current state of
	// every engine.
	exact bool
}

// Policies returns the policies that are compared.
func Policies() []Policy {
	return []Policy{
		{Name: "fixed split, round robin", roles: fixedSplit, newPicker: newRoundRobin},
		{Name: "fixed split, least loaded on reports", roles: fixedSplit, newPicker: newLeastReported},
		{Name: "all mixed, least loaded on reports", roles: allMixed, newPicker: newLeastReported},
		{Name: "threshold roles, least loaded with own sends", roles: thresholdRoles, newPicker: newLeastInFlight},
		{Name: "ours, fixed split", roles: fixedSplit, newPicker: newRouterPicker},
		{Name: "ours", roles: plannedRoles, newPicker: newRouterPicker},
		{Name: "clairvoyant reference", roles: clairvoyantRoles, newPicker: newRouterPicker, exact: true},
	}
}

// routerPicker chooses targets with routing.Router.
type routerPicker struct {
	router *routing.Router
}

// newRouterPicker returns a routerPicker for a gateway in the home zone.
func newRouterPicker(home zone.Zone, seed uint64) picker {
	return &routerPicker{routing.New(home, seed)}
}

// observe implements picker.
func (p *routerPicker) observe(now time.Time, view []control.TargetState) {
	p.router.Observe(now, view, zoneOf)
}

// choose implements picker.
func (p *routerPicker) choose(now time.Time, q *routing.Request) (routing.Choice, bool) {
	return p.router.Choose(now, q)
}

// prefilled implements picker.
func (p *routerPicker) prefilled(now time.Time, c *routing.Choice) {
	p.router.PrefillDone(now, c)
}

// done implements picker.
func (p *routerPicker) done(now time.Time, c *routing.Choice, failed bool) {
	p.router.Done(now, c, failed)
}

// zoneOf puts every zone in one region.
func zoneOf(name zone.Name) (zone.Zone, bool) {
	return zone.Zone{Name: name, Region: "region"}, true
}

// baselinePicker chooses the eligible target with the least load. Without a
// load function it takes the eligible targets in turn.
type baselinePicker struct {
	view     []control.TargetState
	load     func(s *control.TargetState, phase target.Phase) float64
	inFlight map[target.ID]int // the gateway's own requests on each target
	// addInFlight adds the gateway's own requests in flight to the load.
	addInFlight bool
	offset      int // where the next pick starts in view; grows with each pick
}

// newRoundRobin returns a picker that takes eligible targets in turn.
func newRoundRobin(zone.Zone, uint64) picker {
	return &baselinePicker{inFlight: map[target.ID]int{}}
}

// newLeastReported returns a picker that takes the target with the least reported
// load.
func newLeastReported(zone.Zone, uint64) picker {
	return &baselinePicker{inFlight: map[target.ID]int{}, load: reportedLoad}
}

// newLeastInFlight returns a picker that adds the gateway's own requests in
// flight to the reported load.
func newLeastInFlight(zone.Zone, uint64) picker {
	return &baselinePicker{inFlight: map[target.ID]int{}, load: reportedLoad, addInFlight: true}
}

// promptTokensPerLoadUnit is the number of unprocessed prompt tokens that
// reportedLoad counts as one more request.
const promptTokensPerLoadUnit = 100

// reportedLoad returns the load of a target for a phase by its last report: its
// requests, and for prefill also its unprocessed prompt tokens, in units of
// promptTokensPerLoadUnit.
func reportedLoad(s *control.TargetState, phase target.Phase) float64 {
	load := float64(s.Report.Running + s.Report.Waiting)
	if phase == target.PhaseDecode {
		return load
	}
	return load + float64(s.Report.PrefillTokens)/promptTokensPerLoadUnit
}

// observe implements picker.
func (p *baselinePicker) observe(_ time.Time, view []control.TargetState) {
	p.view = view
}

// choose implements picker. It prefers a mixed target for both phases, then a
// prefill and a decode target. Otherwise a single target runs both phases.
func (p *baselinePicker) choose(_ time.Time, q *routing.Request) (routing.Choice, bool) {
	whole := p.pick(q, target.PhaseWhole, target.Mixed)
	if whole != nil {
		return p.recordSent(whole, nil), true
	}
	prefill := p.pick(q, target.PhasePrefill, target.Prefill)
	decode := p.pick(q, target.PhaseDecode, target.Decode)
	if prefill != nil && decode != nil {
		return p.recordSent(decode, prefill), true
	}
	if prefill == nil {
		prefill = p.pick(q, target.PhaseWhole, "")
	}
	if prefill == nil {
		return routing.Choice{}, false
	}
	return p.recordSent(prefill, nil), true
}

// recordSent counts a request in flight on its targets and returns the choice
// of them; prefill may be nil.
func (p *baselinePicker) recordSent(s, prefill *control.TargetState) routing.Choice {
	c := routing.Choice{Target: s.Target}
	p.inFlight[s.Target.ID]++
	if prefill != nil {
		c.Prefill = &prefill.Target
		p.inFlight[prefill.Target.ID]++
	}
	return c
}

// pick returns the target for a phase, or nil. It considers only targets of the
// given role, or all if role is empty.
func (p *baselinePicker) pick(q *routing.Request, phase target.Phase, role target.Role) *control.TargetState {
	var best *control.TargetState
	least := math.Inf(1)
	p.offset++
	for i := range p.view {
		s := &p.view[(i+p.offset)%len(p.view)]
		if !usable(s, q, role) {
			continue
		}
		if p.load == nil {
			return s
		}
		load := p.load(s, phase)
		if p.addInFlight {
			load += float64(p.inFlight[s.Target.ID])
		}
		if load < least {
			best, least = s, load
		}
	}
	return best
}

// usable reports whether a target is eligible for a request and has the role.
// An empty role matches all targets; targets without a role count as mixed.
func usable(s *control.TargetState, q *routing.Request, role target.Role) bool {
	if s.State != provider.Live || s.Cordoned || s.Report.Changing || s.Target.Pool != q.Pool {
		return false
	}
	if q.StableOnly && s.Target.Class == target.Reclaimable {
		return false
	}
	for _, id := range q.Exclude {
		if id == s.Target.ID {
			return false
		}
	}
	return role == "" || s.Report.Role == role || s.Report.Role == "" && role == target.Mixed
}

// prefilled implements picker.
func (p *baselinePicker) prefilled(_ time.Time, c *routing.Choice) {
	if c.Prefill != nil {
		p.inFlight[c.Prefill.ID]--
		c.Prefill = nil
	}
}

// done implements picker.
func (p *baselinePicker) done(now time.Time, c *routing.Choice, _ bool) {
	p.prefilled(now, c)
	p.inFlight[c.Target.ID]--
}

// Constants of thresholdPlanner.
const (
	backlogHigh       = 0.4  // seconds of prefill work for each prefill engine
	backlogLow        = 0.1  // seconds of prefill work for each prefill engine
	batchHigh         = 0.85 // share of the batch that meets tokenInterval
	batchLow          = 0.60 // share of the batch that meets tokenInterval
	thresholdCooldown = 10 * time.Second
)

// thresholdPlanner is a baseline for role changes. It changes one engine when
// the load of one role is above its high threshold and that of the other is
// below its low one, and then waits for thresholdCooldown.
type thresholdPlanner struct {
	cooldownUntil time.Time
}

// plan returns the engine to change and its new role, or an empty ID.
func (t *thresholdPlanner) plan(now time.Time, view []control.TargetState, pool string) (target.ID, target.Role) {
	if now.Before(t.cooldownUntil) {
		return "", ""
	}
	var prefill, decode []*control.TargetState
	backlog, batch := 0.0, 0.0
	for i := range view {
		s := &view[i]
		if s.Target.Pool != pool || s.State != provider.Live || s.Cordoned || s.Report.Changing {
			continue
		}
		if s.Report.Role == target.Prefill {
			prefill = append(prefill, s)
			backlog += float64(s.Report.PrefillTokens) / s.Report.PrefillRate
			continue
		}
		decode = append(decode, s)
		batch += float64(s.Report.Running+s.Report.Waiting) / (decodeRate * tokenInterval)
	}
	backlog /= float64(max(1, len(prefill)))
	batch /= float64(max(1, len(decode)))
	switch {
	case backlog > backlogHigh && batch < batchLow && len(decode) > 1:
		return t.pickForChange(now, decode), target.Prefill
	case batch > batchHigh && backlog < backlogLow && len(prefill) > 1:
		return t.pickForChange(now, prefill), target.Decode
	}
	return "", ""
}

// pickForChange returns the engine with the fewest running requests and starts
// the cooldown. The last stable engine of a role is never chosen.
func (t *thresholdPlanner) pickForChange(now time.Time, from []*control.TargetState) target.ID {
	var best *control.TargetState
	stable := 0
	for _, s := range from {
		if s.Target.Class != target.Reclaimable {
			stable++
		}
	}
	for _, s := range from {
		if s.Target.Class != target.Reclaimable && stable == 1 {
			continue
		}
		if best == nil || s.Report.Running < best.Report.Running {
			best = s
		}
	}
	if best == nil {
		return ""
	}
	t.cooldownUntil = now.Add(thresholdCooldown)
	return best.Target.ID
}

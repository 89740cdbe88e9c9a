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

// picker routes the requests of one gateway.
type picker interface {
	observe(now time.Time, view []control.TargetState)
	choose(now time.Time, q *routing.Request) (routing.Choice, bool)
	prefilled(now time.Time, c *routing.Choice)
	done(now time.Time, c *routing.Choice, failed bool)
}

// roles says how engines get their roles.
type roles int

const (
	fixedSplit roles = iota
	allMixed
	thresholdRoles
	plannedRoles
	foreseenRoles // set free of charge by the work to come
)

// Policy is one row of the table.
type Policy struct {
	Name  string
	roles roles
	pick  func(home zone.Zone, seed uint64) picker
	exact bool // sees every engine as it is, through one shared router
}

// Policies returns the rows of the table.
func Policies() []Policy {
	return []Policy{
		{Name: "fixed split, round robin", roles: fixedSplit, pick: newRoundRobin},
		{Name: "fixed split, least loaded on reports", roles: fixedSplit, pick: newLeastReported},
		{Name: "all mixed, least loaded on reports", roles: allMixed, pick: newLeastReported},
		{Name: "threshold roles, least loaded with own sends", roles: thresholdRoles, pick: newLeastKnown},
		{Name: "ours, fixed split", roles: fixedSplit, pick: newRouted},
		{Name: "ours", roles: plannedRoles, pick: newRouted},
		{Name: "clairvoyant reference", roles: foreseenRoles, pick: newRouted, exact: true},
	}
}

// routed is the project's router.
type routed struct {
	router *routing.Router
}

func newRouted(home zone.Zone, seed uint64) picker {
	return &routed{routing.New(home, seed)}
}

func (p *routed) observe(now time.Time, view []control.TargetState) {
	p.router.Observe(now, view, zoneOf)
}

func (p *routed) choose(now time.Time, q *routing.Request) (routing.Choice, bool) {
	return p.router.Choose(now, q)
}

func (p *routed) prefilled(now time.Time, c *routing.Choice) {
	p.router.PrefillDone(now, c)
}

func (p *routed) done(now time.Time, c *routing.Choice, failed bool) {
	p.router.Done(now, c, failed)
}

// zoneOf puts every zone in one region.
func zoneOf(name zone.Name) (zone.Zone, bool) {
	return zone.Zone{Name: name, Region: "region"}, true
}

// simple is a baseline router: it takes the eligible target of least load,
// by a load function, or the next one when there is none.
type simple struct {
	view []control.TargetState
	load func(s *control.TargetState, phase target.Phase) float64
	own  map[target.ID]int
	// count adds own requests in flight to the load.
	count bool
	turn  int
}

func newRoundRobin(zone.Zone, uint64) picker {
	return &simple{own: map[target.ID]int{}}
}

func newLeastReported(zone.Zone, uint64) picker {
	return &simple{own: map[target.ID]int{}, load: reportedLoad}
}

func newLeastKnown(zone.Zone, uint64) picker {
	return &simple{own: map[target.ID]int{}, load: reportedLoad, count: true}
}

// tokensPerUnit is how many prompt tokens weigh as much as a request.
const tokensPerUnit = 100

// reportedLoad is the load of a target for a phase, as last reported.
func reportedLoad(s *control.TargetState, phase target.Phase) float64 {
	load := float64(s.Report.Running + s.Report.Waiting)
	if phase == target.PhaseDecode {
		return load
	}
	return load + float64(s.Report.PrefillTokens)/tokensPerUnit
}

func (p *simple) observe(_ time.Time, view []control.TargetState) {
	p.view = view
}

func (p *simple) choose(_ time.Time, q *routing.Request) (routing.Choice, bool) {
	whole := p.pick(q, target.PhaseWhole, target.Mixed)
	if whole != nil {
		return p.sent(whole, nil), true
	}
	first := p.pick(q, target.PhasePrefill, target.Prefill)
	decode := p.pick(q, target.PhaseDecode, target.Decode)
	if first != nil && decode != nil {
		return p.sent(decode, first), true
	}
	if first == nil {
		first = p.pick(q, target.PhaseWhole, "")
	}
	if first == nil {
		return routing.Choice{}, false
	}
	return p.sent(first, nil), true
}

func (p *simple) sent(s, prefill *control.TargetState) routing.Choice {
	c := routing.Choice{Target: s.Target}
	p.own[s.Target.ID]++
	if prefill != nil {
		c.Prefill = &prefill.Target
		p.own[prefill.Target.ID]++
	}
	return c
}

// pick returns the target for a phase, of one role unless role is empty.
func (p *simple) pick(q *routing.Request, phase target.Phase, role target.Role) *control.TargetState {
	var best *control.TargetState
	least := math.Inf(1)
	p.turn++
	for i := range p.view {
		s := &p.view[(i+p.turn)%len(p.view)]
		if !usable(s, q, role) {
			continue
		}
		if p.load == nil {
			return s
		}
		load := p.load(s, phase)
		if p.count {
			load += float64(p.own[s.Target.ID])
		}
		if load < least {
			best, least = s, load
		}
	}
	return best
}

// usable tells whether a target comes into question at all.
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

func (p *simple) prefilled(_ time.Time, c *routing.Choice) {
	if c.Prefill != nil {
		p.own[c.Prefill.ID]--
		c.Prefill = nil
	}
}

func (p *simple) done(now time.Time, c *routing.Choice, _ bool) {
	p.prefilled(now, c)
	p.own[c.Target.ID]--
}

// Constants of the plain threshold for roles.
const (
	backlogHigh   = 0.4 // seconds of prefill work for each prefill engine
	backlogLow    = 0.1
	batchHigh     = 0.85 // share of the batch limit
	batchLow      = 0.60
	thresholdRest = 10 * time.Second
)

// threshold changes one engine at a time when one side is over its mark while
// the other is under its own.
type threshold struct {
	restUntil time.Time
}

// plan returns the engine to change and its new role.
func (t *threshold) plan(now time.Time, view []control.TargetState, pool string) (target.ID, target.Role) {
	if now.Before(t.restUntil) {
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
		return t.change(now, decode), target.Prefill
	case batch > batchHigh && backlog < backlogLow && len(prefill) > 1:
		return t.change(now, prefill), target.Decode
	}
	return "", ""
}

// change picks the engine with the least to do. The last stable engine of a
// role stays.
func (t *threshold) change(now time.Time, from []*control.TargetState) target.ID {
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
	t.restUntil = now.Add(thresholdRest)
	return best.Target.ID
}

package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"zinniapin/provider"
	"zinniapin/target"
)

// Constants of choosing.
const (
	// nearMargin and nearShare bound which targets count as near-equals of the
	// best: within nearMargin seconds or nearShare of its cost.
	nearMargin = 0.015
	nearShare  = 0.15
	// affinityMargin is how much dearer the prefix's own target may be, in
	// seconds.
	affinityMargin = 0.060
	// affinityLoad bounds the own target's batch, as a multiple of the mean.
	affinityLoad = 1.25
	// maxModels is the number of models that a pool indexes.
	maxModels = 64
)

// requirement says which rules hold while a choice is made.
type requirement struct {
	model   bool // the model must be loaded
	healthy bool // the target must not be backing off
	role    bool // the role must allow the phase
}

// tiers are tried in order: it is better to break a preference than to serve
// nothing.
var tiers = [...]requirement{
	{model: true, healthy: true, role: true},
	{model: true, healthy: true},
	{healthy: true},
	{},
}

// pool indexes the targets of one pool.
type pool struct {
	engines []*engine
	// whole, prefill and decode are the targets whose role allows the phase;
	// all ignores roles.
	whole, prefill, decode, all group
	// split is set when some target takes a role other than mixed.
	split  bool
	models map[string]uint64 // bit of each model
}

// reset empties the pool before a new view.
func (p *pool) reset() {
	p.engines = p.engines[:0]
	p.split = false
	for _, g := range [...]*group{&p.whole, &p.prefill, &p.decode, &p.all} {
		g.reset()
	}
}

// add takes in a target; index must follow once all are in.
func (p *pool) add(e *engine) {
	e.models = 0
	for _, m := range e.state.Report.Models {
		e.models |= p.bit(m)
	}
	p.engines = append(p.engines, e)
}

// index builds the groups, nearest targets first.
func (p *pool) index() {
	slices.SortStableFunc(p.engines, func(a, b *engine) int {
		return int(a.distance) - int(b.distance)
	})
	for _, e := range p.engines {
		if e.state.State != provider.Live {
			continue
		}
		p.all.add(e)
		if e.serves(target.PhaseWhole) {
			p.whole.add(e)
		} else {
			p.split = true
		}
		if e.serves(target.PhasePrefill) {
			p.prefill.add(e)
		}
		if e.serves(target.PhaseDecode) {
			p.decode.add(e)
		}
	}
}

// group returns the targets for a phase.
func (p *pool) group(need requirement, phase target.Phase) *group {
	switch {
	case !need.role:
		return &p.all
	case phase == target.PhasePrefill:
		return &p.prefill
	case phase == target.PhaseDecode:
		return &p.decode
	default:
		return &p.whole
	}
}

// bit returns the bit of a model, and 0 when there are too many.
func (p *pool) bit(model string) uint64 {
	bit, ok := p.models[model]
	if !ok && len(p.models) < maxModels {
		bit = 1 << len(p.models)
		p.models[model] = bit
	}
	return bit
}

// choose picks a target for the whole request, or one for each phase when
// that is faster.
func (p *pool) choose(now int64, q *Request, need requirement, random *rand.Rand) (Choice, bool) {
	whole, wholeOK := p.pick(now, q, need, target.PhaseWhole, random)
	if !need.role || !p.split {
		return whole, wholeOK
	}
	prefill, ok := p.pick(now, q, need, target.PhasePrefill, random)
	if !ok {
		return whole, wholeOK
	}
	decode, ok := p.pick(now, q, need, target.PhaseDecode, random)
	if !ok || decode.engine == prefill.engine {
		return whole, wholeOK
	}
	transfer := float64(q.PromptTokens) * transferSecondsPerToken
	if wholeOK && whole.cost <= prefill.cost+transfer+decode.cost {
		return whole, true
	}
	decode.prefill = prefill.engine
	decode.Prefill = prefill.engine.target
	decode.Expected = prefill.Expected + seconds(transfer)
	decode.RunnerUpExpected = prefill.RunnerUpExpected
	decode.Reason = prefill.Reason
	decode.Candidates += prefill.Candidates
	return decode, true
}

// pick picks a target for one phase.
func (p *pool) pick(now int64, q *Request, need requirement, phase target.Phase, random *rand.Rand) (Choice, bool) {
	g := p.group(need, phase)
	rule := rule{now, q, need, p.models[q.Model]}
	var d decision
	d.findHomes(g, &rule, phase)
	d.sample(g, &rule, random)
	if d.candidates == 0 {
		return Choice{}, false
	}
	for _, e := range d.evaluated() {
		e.cost = phaseCost(now, e, q, phase)
		d.consider(e)
	}
	chosen, other := d.nearEqual(random)
	reason := ReasonLoad
	if phase != target.PhaseDecode {
		if home := affine(&d, q, chosen); home != nil {
			chosen, reason = home, ReasonAffinity
		}
	}
	if d.candidates == 1 {
		reason = ReasonOnly
	}
	return newChoice(now, q, phase, &d, chosen, other, reason), true
}

// choice fills in the figures of a decision.
func newChoice(now int64, q *Request, phase target.Phase, d *decision, e, other *engine, reason Reason) Choice {
	c := Choice{
		Target:     e.state.Target,
		Expected:   seconds(expected(now, e, q, phase)),
		Reason:     reason,
		Candidates: d.candidates,
		Batch:      int(e.batch()),
		engine:     e,
		cost:       e.cost,
		sentAt:     now,
	}
	if limit := e.limit(now); !math.IsInf(limit, 1) {
		c.BatchLimit = int(limit)
	}
	if e.taken > 0 {
		c.ReportAge = time.Duration(now - e.taken)
	}
	if other != nil && other != e {
		c.RunnerUpExpected = seconds(expected(now, other, q, phase))
	}
	return c
}

// affine returns the prefix's own target, or its second, unless it is loaded
// above its bound or too slow even with the prefix in its cache.
func affine(d *decision, q *Request, chosen *engine) *engine {
	if q.Affinity == 0 {
		return nil
	}
	bound := affinityLoad*d.batch/float64(len(d.evaluated())) + 1
	for _, e := range [...]*engine{d.home, d.second} {
		if e == nil || e.batch() > bound {
			continue
		}
		if e.cost-saving(e, q) <= chosen.cost+affinityMargin {
			return e
		}
	}
	return nil
}

// saving is the prefill time that a cached prefix saves, in seconds.
func saving(e *engine, q *Request) float64 {
	if e.state.Report.PrefillRate <= 0 {
		return 0
	}
	return cachedShare * float64(q.PromptTokens) / e.state.Report.PrefillRate
}

// expected is the expected time to the first token, in seconds.
func expected(now int64, e *engine, q *Request, phase target.Phase) float64 {
	wait := e.slotWait()
	if phase == target.PhaseDecode {
		return wait
	}
	return wait + e.prefillWait(now, float64(q.PromptTokens))
}

// cost is what candidates are compared by: the expected time to the first
// token with charges for crowding and distance, in seconds.
func phaseCost(now int64, e *engine, q *Request, phase target.Phase) float64 {
	cost := expected(now, e, q, phase) + e.away()
	if phase == target.PhasePrefill {
		return cost
	}
	return cost + e.crowding(now) + cacheCrowding(e, q)
}

// cacheCrowding charges for a KV cache that has no room for the request.
func cacheCrowding(e *engine, q *Request) float64 {
	r := &e.state.Report
	if r.KVPiecesTotal <= 0 {
		return 0
	}
	pieces := (q.PromptTokens + q.OutputTokens + tokensPerPiece - 1) / tokensPerPiece
	over := r.KVPiecesUsed + pieces - r.KVPiecesTotal
	if over <= 0 {
		return 0
	}
	return crowdedCost * float64(over) / float64(r.KVPiecesTotal)
}

// tokensPerPiece is the size of a piece of KV cache.
const tokensPerPiece = 2000

// seconds converts to a duration.
func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

package routing

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"zinniapin/provider"
	"zinniapin/target"
)

// Parameters of the choice.
const (
	// nearMargin and nearShare define which targets are nearly as good as the best: those
	// whose cost is higher by at most nearMargin seconds or nearShare of the best cost.
	nearMargin = 0.015
	nearShare  = 0.15
	// affinityMargin is how much more an affinity target may cost, in seconds.
	affinityMargin = 0.060
	// affinityMaxLoad limits the batch of an affinity target, as a multiple of the mean batch
	// of the targets compared.
	affinityMaxLoad = 1.25
	// maxModels is the number of models that a pool indexes, one bit each.
	maxModels = 64
)

// requirement selects the conditions that a target must meet.
type requirement struct {
	model   bool // the model must be loaded
	healthy bool // the target must not be in back-off
	role    bool // the role of the target must allow the phase
}

// requirementTiers are tried in order until one has a candidate. The later ones drop
// requirements, since a slower answer is better than none.
var requirementTiers = [...]requirement{
	{model: true, healthy: true, role: true},
	{model: true, healthy: true},
	{healthy: true},
	{},
}

// pool is the index of the targets of one pool.
type pool struct {
	engines []*engine
	// whole, prefill and decode are the targets whose role allows the phase; all contains the
	// targets of every role.
	whole, prefill, decode, all group
	// hasRoles is set if any target only prefills or only decodes.
	hasRoles bool
	models   map[string]uint64 // bit of each model
}

// reset empties the pool before a new view is loaded.
func (p *pool) reset() {
	p.engines = p.engines[:0]
	p.hasRoles = false
	for _, g := range [...]*group{&p.whole, &p.prefill, &p.decode, &p.all} {
		g.reset()
	}
}

// add adds a target. After the last one index must be called.
func (p *pool) add(e *engine) {
	e.models = 0
	for _, m := range e.state.Report.Models {
		e.models |= p.modelBit(m)
	}
	p.engines = append(p.engines, e)
}

// index fills the groups with the live targets, nearest first.
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
			p.hasRoles = true
		}
		if e.serves(target.PhasePrefill) {
			p.prefill.add(e)
		}
		if e.serves(target.PhaseDecode) {
			p.decode.add(e)
		}
	}
}

// group returns the group of targets for a phase.
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

// modelBit returns the bit of a model, or 0 if the pool has maxModels others.
func (p *pool) modelBit(model string) uint64 {
	bit, ok := p.models[model]
	if !ok && len(p.models) < maxModels {
		bit = 1 << len(p.models)
		p.models[model] = bit
	}
	return bit
}

// choose chooses a target for the whole request, or separate prefill and decode targets if
// these cost less.
func (p *pool) choose(now int64, q *Request, need requirement, random *rand.Rand) (Choice, bool) {
	whole, wholeOK := p.chooseForPhase(now, q, need, target.PhaseWhole, random)
	if !need.role || !p.hasRoles {
		return whole, wholeOK
	}
	prefill, ok := p.chooseForPhase(now, q, need, target.PhasePrefill, random)
	if !ok {
		return whole, wholeOK
	}
	decode, ok := p.chooseForPhase(now, q, need, target.PhaseDecode, random)
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

// chooseForPhase chooses a target for one phase.
func (p *pool) chooseForPhase(now int64, q *Request, need requirement, phase target.Phase, random *rand.Rand) (Choice, bool) {
	g := p.group(need, phase)
	eligible := eligibility{now, q, need, p.models[q.Model]}
	var d decision
	d.findAffinityTargets(g, &eligible, phase)
	d.sample(g, &eligible, random)
	if d.candidates == 0 {
		return Choice{}, false
	}
	for _, e := range d.candidatesToCompare() {
		e.cost = phaseCost(now, e, q, phase)
		d.consider(e)
	}
	chosen, other := d.drawNearEqual(random)
	reason := ReasonLoad
	if phase != target.PhaseDecode {
		if affine := affinityTarget(&d, q, chosen); affine != nil {
			chosen, reason = affine, ReasonAffinity
		}
	}
	if d.candidates == 1 {
		reason = ReasonOnly
	}
	return newChoice(now, q, phase, &d, chosen, other, reason), true
}

// newChoice returns the choice of engine e, with the figures that the decision was based on.
func newChoice(now int64, q *Request, phase target.Phase, d *decision, e, other *engine, reason Reason) Choice {
	c := Choice{
		Target:     e.state.Target,
		Expected:   seconds(expectedFirstToken(now, e, q, phase)),
		Reason:     reason,
		Candidates: d.candidates,
		Batch:      int(e.estimatedBatch()),
		engine:     e,
		cost:       e.cost,
		sentAt:     now,
	}
	if limit := e.batchLimit(now); !math.IsInf(limit, 1) {
		c.BatchLimit = int(limit)
	}
	if e.reportTakenAt > 0 {
		c.ReportAge = time.Duration(now - e.reportTakenAt)
	}
	if other != nil && other != e {
		c.RunnerUpExpected = seconds(expectedFirstToken(now, other, q, phase))
	}
	return c
}

// affinityTarget returns the affinity target that should replace the chosen target, or nil. It
// is the first of the two whose batch is within affinityMaxLoad and which costs at most
// affinityMargin more than the chosen one, given that it holds part of the prompt in its
// cache.
func affinityTarget(d *decision, q *Request, chosen *engine) *engine {
	if q.Affinity == 0 {
		return nil
	}
	bound := affinityMaxLoad*d.totalBatch/float64(len(d.candidatesToCompare())) + 1
	for _, e := range [...]*engine{d.affinityFirst, d.affinitySecond} {
		if e == nil || e.estimatedBatch() > bound {
			continue
		}
		if e.cost-cachedPrefillTime(e, q) <= chosen.cost+affinityMargin {
			return e
		}
	}
	return nil
}

// cachedPrefillTime returns the prefill time that the cached part of the prompt is expected to
// save, in seconds.
func cachedPrefillTime(e *engine, q *Request) float64 {
	if e.state.Report.PrefillRate <= 0 {
		return 0
	}
	return expectedCachedFraction * float64(q.PromptTokens) / e.state.Report.PrefillRate
}

// expectedFirstToken returns the expected time to the first token, in seconds.
func expectedFirstToken(now int64, e *engine, q *Request, phase target.Phase) float64 {
	wait := e.slotWait()
	if phase == target.PhaseDecode {
		return wait
	}
	return wait + e.prefillWait(now, float64(q.PromptTokens))
}

// phaseCost returns the cost by which candidates are compared, in seconds: the expected time
// to the first token plus charges for distance, crowding and a full KV cache.
func phaseCost(now int64, e *engine, q *Request, phase target.Phase) float64 {
	cost := expectedFirstToken(now, e, q, phase) + e.distanceCost()
	if phase == target.PhasePrefill {
		return cost
	}
	return cost + e.crowdingCost(now) + cacheFullCost(e, q)
}

// cacheFullCost returns the charge for a KV cache without room for the request, in seconds.
func cacheFullCost(e *engine, q *Request) float64 {
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

// tokensPerPiece is the number of tokens in a piece of KV cache.
const tokensPerPiece = 2000

// seconds converts seconds to a duration.
func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}

package placement

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/target"
)

// modelNeed is the demand for one model and the engines that have it.
type modelNeed struct {
	model   string
	rate    float64 // tokens a second
	engines float64
}

// perEngine is the demand on each engine that has the model.
func (n modelNeed) perEngine() float64 {
	return n.rate / max(n.engines, 0.5)
}

// planModels proposes at most one load for a pool: of the model with the most
// demand for each engine, on an engine of the model with the least.
func (p *Planner) planModels(now time.Time, pool *contract.Pool, d *demand, c *candidates, steps []Step) []Step {
	if len(d.models) == 0 {
		return nil
	}
	needs := modelNeeds(d, c.all)
	most := needs[len(needs)-1]
	if p.view.ActiveModelLoads >= p.settings.MaxModelLoads {
		p.hold(d.held(pool.Name, HeldWeightStoreBusy))
		return nil
	}
	var best Step
	for _, s := range c.free {
		if c.busy[s.Target.Zone] || slices.Contains(s.Report.Models, most.model) || taken(steps, s) {
			continue
		}
		if step, ok := p.loadStep(d, needs, most, s); ok && step.Gain-step.Loss > best.Gain-best.Loss {
			best = step
		}
	}
	if best.Target == "" {
		return nil
	}
	p.changed[best.Target] = changed{at: now}
	return []Step{best}
}

// taken tells whether a step already changes the engine.
func taken(steps []Step, s *control.TargetState) bool {
	return slices.ContainsFunc(steps, func(step Step) bool { return step.Target == s.Target.ID })
}

// modelNeeds returns the needs of all models, the most pressing last.
func modelNeeds(d *demand, all []*control.TargetState) []modelNeed {
	var needs []modelNeed
	for model, rate := range d.models {
		n := modelNeed{model: model, rate: rate}
		for _, s := range all {
			if slices.Contains(s.Report.Models, model) {
				n.engines += 1 / float64(len(s.Report.Models))
			}
		}
		needs = append(needs, n)
	}
	sort.Slice(needs, func(i, j int) bool {
		a, b := needs[i], needs[j]
		if a.perEngine() != b.perEngine() {
			return a.perEngine() < b.perEngine()
		}
		return a.model < b.model
	})
	return needs
}

// loadStep weighs loading a model on one engine in place of another model. A
// model's last engine is given up only when nobody asks for the model.
func (p *Planner) loadStep(d *demand, needs []modelNeed, most modelNeed, s *control.TargetState) (Step, bool) {
	rate := s.Report.PrefillRate + s.Report.DecodeRate
	if rate <= 0 || most.rate <= 0 {
		return Step{}, false
	}
	unload, given := leastNeeded(needs, s.Report.Models)
	if given.rate > 0 && given.engines <= 1 {
		return Step{}, false
	}
	before := excess(most, rate) + excess(given, rate)
	wanted, left := most, given
	wanted.engines++
	left.engines = max(0, left.engines-1)
	gain := (before - excess(wanted, rate) - excess(left, rate)) / rate * d.stay().Seconds()
	loss := p.settings.ModelLoadTime.Seconds() * min(1, (d.prefill+d.decode)/max(1, d.engines))
	if most.engines == 0 {
		// Nothing serves the model: each of its requests fails until it is loaded.
		gain = max(gain, 2*p.settings.MinGainRatio*loss)
	}
	if gain <= p.settings.MinGainRatio*loss {
		return Step{}, false
	}
	return Step{
		Pool: s.Target.Pool, Zone: s.Target.Zone, Target: s.Target.ID,
		Kind: target.OrderModel, Model: most.model, Unload: unload,
		Gain: gain, Loss: loss, MixDuration: d.stay(), Prefill: d.prefill, Decode: d.decode,
		Reason: fmt.Sprintf("%.0f tokens a second of %s on %.1f engines", most.rate, most.model, most.engines),
	}, true
}

// excess is the demand for a model beyond what its engines do, tokens a
// second.
func excess(n modelNeed, rate float64) float64 {
	return max(0, n.rate-n.engines*rate)
}

// leastNeeded returns which of an engine's models is needed least.
func leastNeeded(needs []modelNeed, loaded []string) (string, modelNeed) {
	for _, model := range loaded {
		if !slices.ContainsFunc(needs, func(n modelNeed) bool { return n.model == model }) {
			return model, modelNeed{model: model}
		}
	}
	for _, n := range needs {
		if slices.Contains(loaded, n.model) {
			return n.model, n
		}
	}
	return "", modelNeed{}
}

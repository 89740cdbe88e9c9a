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

// modelNeed is the demand for one model and the capacity of the engines that have it
// loaded.
type modelNeed struct {
	model   string
	rate    float64 // tokens per second
	engines float64 // an engine with several models counts as a share for each
}

// ratePerEngine returns the demand for each engine that has the model loaded.
func (n modelNeed) ratePerEngine() float64 {
	return n.rate / max(n.engines, 0.5)
}

// planModels proposes at most one load of a model for a pool. It is the model with the
// most demand per engine, and it replaces the least needed model of an engine.
func (p *Planner) planModels(now time.Time, pool *contract.Pool, d *demand, c *engineSet, steps []Step) []Step {
	if len(d.modelRates) == 0 {
		return nil
	}
	needs := modelNeeds(d, c.all)
	neediest := needs[len(needs)-1]
	if p.view.ActiveModelLoads >= p.settings.MaxModelLoads {
		p.recordHeld(d.newHeld(pool.Name, HeldWeightStoreBusy))
		return nil
	}
	var best Step
	for _, s := range c.changeable {
		if c.busyZones[s.Target.Zone] || slices.Contains(s.Report.Models, neediest.model) || hasStep(steps, s) {
			continue
		}
		if step, ok := p.loadStep(d, needs, neediest, s); ok && step.Gain-step.Loss > best.Gain-best.Loss {
			best = step
		}
	}
	if best.Target == "" {
		return nil
	}
	p.recentChanges[best.Target] = recentChange{at: now}
	return []Step{best}
}

// hasStep tells whether one of the steps already changes the engine.
func hasStep(steps []Step, s *control.TargetState) bool {
	return slices.ContainsFunc(steps, func(step Step) bool { return step.Target == s.Target.ID })
}

// modelNeeds returns the needs of all models that have demand, in ascending order of
// demand per engine.
func modelNeeds(d *demand, all []*control.TargetState) []modelNeed {
	var needs []modelNeed
	for model, rate := range d.modelRates {
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
		if a.ratePerEngine() != b.ratePerEngine() {
			return a.ratePerEngine() < b.ratePerEngine()
		}
		return a.model < b.model
	})
	return needs
}

// loadStep returns the step that loads the neediest model, the one with the most demand
// per engine, on an engine in place of the model with the least demand there. It returns
// false unless the gain exceeds Settings.MinGainRatio times the loss, both in
// engine-seconds. The gain is the excess demand that the step removes while the present
// mix of demand is expected to last; the loss is the work that the engine cannot do
// during the load. A model's last engine is given up only if there is no demand for the
// model.
func (p *Planner) loadStep(d *demand, needs []modelNeed, neediest modelNeed, s *control.TargetState) (Step, bool) {
	rate := s.Report.PrefillRate + s.Report.DecodeRate
	if rate <= 0 || neediest.rate <= 0 {
		return Step{}, false
	}
	unload, replaced := leastNeeded(needs, s.Report.Models)
	if replaced.rate > 0 && replaced.engines <= 1 {
		return Step{}, false
	}
	before := excess(neediest, rate) + excess(replaced, rate)
	neediestAfter, replacedAfter := neediest, replaced
	neediestAfter.engines++
	replacedAfter.engines = max(0, replacedAfter.engines-1)
	gain := (before - excess(neediestAfter, rate) - excess(replacedAfter, rate)) / rate * d.mixDuration().Seconds()
	loss := p.settings.ModelLoadTime.Seconds() * min(1, (d.prefill+d.decode)/max(1, d.engines))
	if neediest.engines == 0 {
		// No engine has the model, so its requests fail until one loads it. The gain
		// counts as at least twice what the check below requires, so that the step is
		// worthwhile however little excess it removes.
		gain = max(gain, 2*p.settings.MinGainRatio*loss)
	}
	if gain <= p.settings.MinGainRatio*loss {
		return Step{}, false
	}
	return Step{
		Pool: s.Target.Pool, Zone: s.Target.Zone, Target: s.Target.ID,
		Kind: target.OrderModel, Model: neediest.model, Unload: unload,
		Gain: gain, Loss: loss, MixDuration: d.mixDuration(), Prefill: d.prefill, Decode: d.decode,
		Reason: fmt.Sprintf("%.0f tokens a second of %s on %.1f engines", neediest.rate, neediest.model, neediest.engines),
	}, true
}

// excess returns the demand for a model beyond the capacity of its engines, in tokens
// per second.
func excess(n modelNeed, rate float64) float64 {
	return max(0, n.rate-n.engines*rate)
}

// leastNeeded returns the model with the least demand of those loaded on an engine.
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

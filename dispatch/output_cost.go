package dispatch

import (
	"math"
	"time"

	"zinniapin/roster"
	"zinniapin/target"
)

const (
	// deadlineSpread is the assumed error of the forecast of the last token, as a share of the time
	// left, and gapSpread that of a gap between events, as a share of the longest allowed one.
	deadlineSpread = 0.1
	gapSpread      = 0.07
	// delayWeight is the value of delaying a stream by its longest allowed gap between events. Most delays make no
	// stream late, so it is below that of a late answer.
	delayWeight = 0.25
	// defaultMaxEventGap is used in the cost of delaying other streams where a route allows any gap.
	defaultMaxEventGap = 300 * time.Millisecond
	// decodeMillisCost is the cost of a millisecond by which a target is less suitable for the output of a processed
	// prompt. It is small against an answer that is late, and decides between targets that would all be in time.
	decodeMillisCost = 0.001
	// activeMillis, otherSourceZoneMillis and otherZoneMillis are these milliseconds for each request that runs at the
	// target, for a target in another zone than the one that processed the prompt, and in another one than this host.
	activeMillis          = 3
	otherSourceZoneMillis = 30
	otherZoneMillis       = 15
	// minDecodeObjective is the least objective by which targets are compared for the output of a
	// processed prompt. After its objective all answers are late, but sooner is still better.
	minDecodeObjective = 100 * time.Millisecond
	// fullDecodeCost is the cost of generating output at a target without a free slot, and
	// quarantinedDecodeCost that of a quarantined one, relative to the value of an answer. They exceed
	// all costs that a target with a free slot usually has, or that a full one has.
	fullDecodeCost        = 5
	quarantinedDecodeCost = 20
)

// outputTerms is what the cost of the output at any target depends on. It is the same for all
// targets that are compared for a job.
type outputTerms struct {
	now           time.Time
	weight        float64
	carefulTokens float64
	eventTokens   float64
	timeLeft      float64 // milliseconds; 0 if there is no deadline
	maxGap        float64 // milliseconds; 0 if any gap is allowed
	delayScale    float64 // value of a delay of all other streams by 1 ms for each token
	// generator is the target with the least output cost among those compared so far that generate
	// output. A target that only processes prompts is compared by its cost.
	generator     outputForecast
	generatorCost float64
	hasGenerator  bool
}

// outputForecast is how a target would generate the output of a job.
type outputForecast struct {
	perToken float64 // milliseconds, without the slowdown in force
	slowdown float64 // in force now, as a factor
	gap      float64 // milliseconds between events while prompts are processed
	delay    float64 // cost of the delay of other streams
}

// outputTermsOf returns the terms for a job.
func (p *Planner) outputTermsOf(now time.Time, j *Job) outputTerms {
	t := outputTerms{now: now, weight: j.Weight, carefulTokens: float64(j.CarefulOutputTokens), eventTokens: 1}
	if t.weight == 0 {
		t.weight = 1
	}
	if e := p.engines[j.Service]; e != nil {
		t.eventTokens = float64(max(e.EventTokens, 1))
	}
	t.timeLeft, t.maxGap = millisOf(max(j.TimeLeft, 0)), millisOf(max(j.MaxEventGap, 0))
	gap := t.maxGap
	if gap == 0 {
		gap = millisOf(defaultMaxEventGap)
	}
	t.delayScale = delayWeight * t.eventTokens / gap
	return t
}

// forecastOutput forecasts the output of a job at a target with so many pending prompt tokens and
// requests. Between two output tokens the target processes a chunk of a prompt at most. Requests
// beyond its slots do not run.
func (p *Planner) forecastOutput(t *outputTerms, s *state, speed float64, backlog, active int) outputForecast {
	running := active
	if s.target.Slots > 0 {
		running = min(active, s.target.Slots-1)
	}
	o := outputForecast{perToken: s.tokenMillis(running + 1), slowdown: s.slowdown(t.now)}
	pending := min(float64(backlog), t.eventTokens*float64(p.policy.ChunkTokens))
	o.gap = t.eventTokens*o.perToken*o.slowdown + pending/speed
	o.delay = s.output.perRequest * s.outputFactor * float64(running) * t.delayScale
	return o
}

// outputCost returns the cost of the output and the forecast time of its last token. Missing the
// deadline costs as much as a late answer and the value of the answer.
func (p *Planner) outputCost(t *outputTerms, o outputForecast, firstToken time.Duration) (float64, time.Duration) {
	output := t.carefulTokens * o.perToken
	// A slowdown is reported anew within slowdownTTL, so it delays no more of the output than that.
	output += (o.slowdown - 1) * min(output, millisOf(slowdownTTL))
	last, cost := millisOf(firstToken)+output, o.delay
	if t.timeLeft > 0 && t.carefulTokens > 0 {
		cost += t.weight * (p.policy.LateCost + 1) * logistic((last/t.timeLeft-1)/deadlineSpread)
	}
	if t.maxGap > 0 {
		cost += t.weight * p.policy.LateCost * logistic((o.gap/t.maxGap-1)/gapSpread)
	}
	return cost, milliseconds(last)
}

// logistic is near 0 for negative x, near 1 for positive x, and 1/2 at 0.
func logistic(x float64) float64 { return 1 / (1 + math.Exp(-x)) }

// addOutput adds the cost of the output to a candidate, whose forecast time to the first token is
// set. The output of a prefill target is that of the best target seen that generates.
func (p *Planner) addOutput(t *outputTerms, c *candidate, speed float64, backlog, active int) {
	if c.state.target.Role == target.Prefill {
		if t.hasGenerator {
			cost, last := p.outputCost(t, t.generator, c.forecast)
			c.cost, c.lastToken = c.cost+cost, last
		}
		return
	}
	o := p.forecastOutput(t, c.state, speed, backlog, active)
	cost, last := p.outputCost(t, o, c.forecast)
	c.cost, c.lastToken = c.cost+cost, last
	if (!t.hasGenerator || cost < t.generatorCost) && !c.state.quarantined(t.now) {
		t.generator, t.generatorCost, t.hasGenerator = o, cost, true
	}
}

// PlanDecode chooses the target that generates the output of a prompt which target
// from has processed. The job's times are those left now. It returns false if there is
// no target.
func (p *Planner) PlanDecode(now time.Time, j Job, from roster.Target, exclude map[target.ID]bool) (roster.Target, bool) {
	terms := p.outputTermsOf(now, &j)
	_, transfer := p.transfer(j.Service, j.PromptTokens)
	j.Objective = max(j.Objective, minDecodeObjective)
	all := p.scratch[:0]
	for _, s := range p.services[j.Service] {
		if s.target.Role == target.Prefill || !j.usable(now, s, exclude) {
			continue
		}
		speed := p.currentSpeed(now, s)
		backlog, active, age := s.load(now, speed)
		c := candidate{state: s, loadAge: age, slowdown: s.slowdown(now), wait: milliseconds(float64(backlog) / speed)}
		time := transfer
		unsuitable := float64(backlog)/speed + activeMillis*float64(active) + p.random.Float64()
		if s.target.Zone != from.Zone {
			time *= crossZoneFactor
			unsuitable += otherSourceZoneMillis
		}
		if s.target.Zone != p.zone {
			unsuitable += otherZoneMillis
		}
		if excess := active - s.target.Slots + 1; s.target.Slots > 0 && excess > 0 {
			c.wait += milliseconds(float64(excess) * millisOf(excessRequestTime))
			c.cost += fullDecodeCost
		}
		if s.quarantined(now) {
			c.cost += quarantinedDecodeCost
		}
		c.forecast = c.wait + time + milliseconds(p.handoffMillis)
		c.cost += decodeMillisCost*unsuitable + p.lateCost(j, c.forecast)
		p.addOutput(&terms, &c, speed, backlog, active)
		all = append(all, c)
	}
	p.scratch = all
	if len(all) == 0 {
		return roster.Target{}, false
	}
	cheapest := &all[0]
	for i := range all {
		if all[i].cost < cheapest.cost {
			cheapest = &all[i]
		}
	}
	return cheapest.state.target, true
}

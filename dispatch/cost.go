package dispatch

import (
	"math"
	"time"

	"zinniapin/target"
)

const (
	// promptHomeTokens is the size of the shared parts of a prompt from which
	// targets that only process prompts keep them: shorter ones are processed
	// where the output is produced.
	promptHomeTokens = 2000
	// lateSpread is how uncertain a forecast is, as a share of the objective.
	lateSpread = 0.15
	// haste is the cost of taking the whole objective where that is on time.
	haste = 0.1
	// gapMargin is the share of the longest pause that may be forecast.
	gapMargin = 0.85
	// stalledMost bounds the streams that count as held up by one prompt.
	stalledMost = 6
)

// forecast returns what a job would meet at a target. Home is the target that
// keeps the leading parts of the prompt by rule, or nil.
func (p *Planner) forecast(now time.Time, j Job, s, home *state, all keepers) candidate {
	if j.PromptTokens > 0 {
		return p.forecastPrompt(now, j, s, home, all)
	}
	return p.forecastCall(now, j, s)
}

// home returns the target that keeps the shared parts of a prompt by rendezvous
// hashing, so that all hosts send them to the same one without agreement.
func (p *Planner) home(j Job) *state {
	if len(j.Parts) < 2 {
		return nil
	}
	shared := j.Parts[len(j.Parts)-2]
	prefill := shared.Tokens >= promptHomeTokens
	var best *state
	var highest uint64
	for _, s := range p.services[j.Service] {
		if s.target.Draining || prefill != (s.target.Role == target.Prefill) {
			continue
		}
		if weight := mix(uint64(KeyOf(s.target.ID))<<32 | uint64(shared.Chain)); best == nil || weight > highest {
			best, highest = s, weight
		}
	}
	return best
}

// mix spreads the bits of a number.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// forecastPrompt forecasts the first token of a prompt.
func (p *Planner) forecastPrompt(now time.Time, j Job, s, home *state, all keepers) candidate {
	speed := p.speedOf(s)
	backlog, active, age := s.load(now, speed)
	cached := s.cached(now, j.Parts, p.policy.CacheTTL)
	moved := p.fetchFor(j, all, s, cached, speed)
	cached = max(cached, moved.tokens)
	unread := max(j.PromptTokens-cached, 1)
	c := candidate{state: s, from: moved.from, unread: unread, loadAge: age, cost: moved.cost}
	c.wait = time.Duration(float64(backlog) / speed * float64(time.Millisecond))
	if s.target.Slots > 0 && active >= s.target.Slots {
		c.wait += time.Duration(active-s.target.Slots+1) * fullSlotTime
	}
	c.forecast = c.wait + moved.time + time.Duration(float64(unread)/speed*float64(time.Millisecond)) + firstTokenTime
	if s.target.Role == target.Prefill {
		gigabytes, transfer := p.transfer(j.Service, j.PromptTokens)
		c.forecast += transfer + fetchTime
		c.cost += gigabytes * p.policy.TransferCost
	} else {
		c.cost += p.stallCost(j, backlog+unread, active, speed)
	}
	if len(j.Parts) > 1 && s != home {
		again := max(j.Parts[len(j.Parts)-2].Tokens-cached, 0)
		c.cost += float64(again) / 1000 * p.policy.RecomputeCost
	}
	c.cost += p.lateCost(j, c.forecast) + p.zoneCost(j.Bytes, s)
	return c
}

// lateCost is the cost of an answer that is forecast to take a time.
func (p *Planner) lateCost(j Job, forecast time.Duration) float64 {
	weight := j.Weight
	if weight == 0 {
		weight = 1
	}
	share := 10.0
	if j.Objective > 0 {
		share = float64(forecast) / float64(j.Objective)
	}
	late := 1 / (1 + math.Exp((1-share)/lateSpread))
	return haste*share + weight*p.policy.LateCost*late
}

// stallCost is the cost of processing a prompt between the tokens of others:
// each of their steps takes as long as a part of the prompt.
func (p *Planner) stallCost(j Job, unread, active int, speed float64) float64 {
	e := p.engines[j.Service]
	if e == nil || e.EventTokens <= 0 || j.MaxEventGap <= 0 || active == 0 {
		return 0
	}
	slow := min((unread+p.policy.ChunkTokens-1)/p.policy.ChunkTokens, e.EventTokens)
	chunk := time.Duration(float64(p.policy.ChunkTokens) / speed * float64(time.Millisecond))
	pause := time.Duration(slow)*chunk + time.Duration(e.EventTokens-slow)*p.policy.StepTime
	if float64(pause) <= gapMargin*float64(j.MaxEventGap) {
		return 0
	}
	return float64(min(active, stalledMost)) * p.policy.StallCost
}

// forecastCall forecasts the answer of a plain service.
func (p *Planner) forecastCall(now time.Time, j Job, s *state) candidate {
	_, active, age := s.load(now, 1)
	typical := p.latency[s.target.Service]
	if typical == 0 {
		typical = firstLatency
	}
	latency := s.latencyOr(now, typical)
	slots := max(s.target.Slots, 1)
	c := candidate{state: s, loadAge: age}
	c.wait = time.Duration(float64(max(active-slots+1, 0)) / float64(slots) * latency * float64(time.Millisecond))
	c.forecast = c.wait + time.Duration(latency*(1+0.3*float64(active)/float64(slots))*float64(time.Millisecond))
	c.cost = p.lateCost(j, c.forecast) + p.zoneCost(j.Bytes+answerBytes, s)
	return c
}

const (
	// firstLatency is the latency of a plain service, in milliseconds, before
	// any was observed.
	firstLatency = 20
	// answerBytes is the size of a usual answer, which crosses zones as well.
	answerBytes = 1024
)

// zoneCost is the cost of sending bytes to a target's availability zone.
func (p *Planner) zoneCost(bytes int, s *state) float64 {
	if s.target.Zone == p.zone {
		return 0
	}
	cost := float64(bytes) / 1024 * p.policy.ZoneCost
	if p.narrow {
		cost += p.policy.StaleLoadCost
	}
	return cost
}

// transfer returns the size of the KV cache of tokens in GB and the time of
// moving it within an availability zone.
func (p *Planner) transfer(service string, tokens int) (float64, time.Duration) {
	e := p.engines[service]
	if e == nil || e.LinkMbps <= 0 {
		return 0, 0
	}
	bytes := float64(tokens) * float64(e.TokenBytes)
	seconds := bytes * 8 / (e.LinkMbps * 1e6)
	return bytes / 1e9, time.Duration(seconds * float64(time.Second))
}

// SetRemoteLoadsStale tells whether the loads of other availability zones are told too
// seldom to go by.
func (p *Planner) SetRemoteLoadsStale(narrow bool) { p.narrow = narrow }

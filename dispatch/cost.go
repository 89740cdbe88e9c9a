package dispatch

import (
	"math"
	"time"

	"zinniapin/target"
)

const (
	// prefillCacheMinTokens is the least number of tokens in the shared parts of a
	// prompt for which a prefill target is chosen to cache them. Shorter prefixes
	// are cached by the targets that also generate output.
	prefillCacheMinTokens = 2000
	// forecastSpread is the assumed error of a forecast, as a share of the objective.
	forecastSpread = 0.15
	// latencyCost is the cost of an answer that takes exactly its objective. It
	// makes the faster of two targets the cheaper one when both answer in time.
	latencyCost = 0.1
	// eventGapShare is the share of a stream's longest allowed gap between events
	// that the forecast gap may take up before it counts as a stall. The rest is for
	// prompts that other hosts send to the target at the same time.
	eventGapShare = 0.75
	// maxStalledStreams bounds the streams that are counted as stalled by one prompt.
	maxStalledStreams = 6
)

// forecast returns the forecast times and the cost of a job at a target. owner is
// the target that cacheOwner chose for the job, or nil.
func (p *Planner) forecast(now time.Time, j Job, s, owner *state, holders cacheHolders, terms *outputTerms) candidate {
	if j.PromptTokens > 0 {
		return p.forecastPrompt(now, j, s, owner, holders, terms)
	}
	return p.forecastPlain(now, j, s)
}

// cacheOwner returns the target that should cache the shared parts of a prompt, or
// nil if the prompt shares none. All parts but the last count as shared. The target
// is chosen by rendezvous hashing, so all hosts choose the same one without
// coordination.
func (p *Planner) cacheOwner(now time.Time, j Job) *state {
	if len(j.Parts) < 2 {
		return nil
	}
	shared := j.Parts[len(j.Parts)-2]
	prefill := shared.Tokens >= prefillCacheMinTokens
	var best *state
	var highest uint64
	for _, s := range p.services[j.Service] {
		if s.notice.limited() || !j.usable(now, s, nil) || prefill != (s.target.Role == target.Prefill) {
			continue
		}
		if weight := mix(uint64(KeyOf(s.target.ID))<<32 | uint64(shared.Chain)); best == nil || weight > highest {
			best, highest = s, weight
		}
	}
	return best
}

// mix is a 64-bit finalizer: it spreads the entropy of x over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// forecastPrompt forecasts the time to the first token of a prompt, and the cost of the prompt and
// its output.
func (p *Planner) forecastPrompt(now time.Time, j Job, s, owner *state, holders cacheHolders, terms *outputTerms) candidate {
	slowdown := s.slowdown(now)
	speed := p.currentSpeed(now, s)
	backlog, active, age := s.load(now, speed)
	cached := s.cachedTokens(now, j.Parts, p.policy.CacheTTL)
	fetched := p.bestFetch(j, holders, s, cached, speed)
	cached = max(cached, fetched.tokens)
	uncached := max(j.PromptTokens-cached, 1)
	c := candidate{state: s, from: fetched.from, uncached: uncached, loadAge: age, slowdown: slowdown, cost: fetched.cost}
	c.wait = time.Duration(float64(backlog) / speed * float64(time.Millisecond))
	if s.target.Slots > 0 && active >= s.target.Slots {
		c.wait += time.Duration(float64(active-s.target.Slots+1) * slowdown * float64(excessRequestTime))
	}
	model, x := p.modelOf(s), features(uncached, j.PromptTokens)
	processing := model.processing(x) / s.speedFactor * slowdown
	c.forecast = c.wait + fetched.time + milliseconds(model.parameters[0]*slowdown+processing)
	if s.target.Role == target.Prefill {
		gigabytes, transfer := p.transfer(j.Service, j.PromptTokens)
		c.forecast += transfer + milliseconds(p.handoffMillis)
		c.cost += gigabytes * p.policy.TransferCost
	} else {
		c.cost += p.stallCost(j, s, backlog+uncached, active, c.wait+milliseconds(processing))
	}
	if len(j.Parts) > 1 && s != owner {
		recomputed := max(j.Parts[len(j.Parts)-2].Tokens-cached, 0)
		c.cost += float64(recomputed) / 1000 * p.policy.RecomputeCost
	}
	c.cost += p.lateCost(j, c.forecast) + p.zoneCost(j.Bytes, s)
	p.addOutput(terms, &c, speed, backlog, active)
	return c
}

// milliseconds returns a number of milliseconds as a duration.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// lateCost is the cost of an answer's forecast latency. It rises steeply, by a
// logistic function, around the job's objective. Without an objective the answer
// counts as late.
func (p *Planner) lateCost(j Job, forecast time.Duration) float64 {
	weight := j.Weight
	if weight == 0 {
		weight = 1
	}
	ratio := 10.0
	if j.Objective > 0 {
		ratio = float64(forecast) / float64(j.Objective)
	}
	late := 1 / (1 + math.Exp((1-ratio)/forecastSpread))
	return latencyCost*ratio + weight*p.policy.LateCost*late
}

// stallCost is the cost of processing prompt tokens on a target that also generates
// output for other requests: each step of those streams takes as long as a chunk of
// the prompt, which may exceed their longest allowed gap between events. The
// processing is the forecast time for all pending tokens. The other steps take
// Policy.StepTime: the measured time per token includes prompts that were processed meanwhile.
func (p *Planner) stallCost(j Job, s *state, pending, active int, processing time.Duration) float64 {
	e := p.engines[j.Service]
	if e == nil || e.EventTokens <= 0 || j.MaxEventGap <= 0 || active == 0 {
		return 0
	}
	chunks := max((pending+p.policy.ChunkTokens-1)/p.policy.ChunkTokens, 1)
	slowSteps := min(chunks, e.EventTokens)
	gap := time.Duration(slowSteps)*(processing/time.Duration(chunks)) + milliseconds(float64(e.EventTokens-slowSteps)*millisOf(p.policy.StepTime)*s.outputFactor)
	if float64(gap) <= eventGapShare*float64(j.MaxEventGap) {
		return 0
	}
	return float64(min(active, maxStalledStreams)) * p.policy.StallCost
}

// forecastPlain forecasts the answer of a plain service, that is, one without an
// engine.
func (p *Planner) forecastPlain(now time.Time, j Job, s *state) candidate {
	_, active, age := s.load(now, 1)
	typical := p.latencyMillis[s.target.Service]
	if typical == 0 {
		typical = initialLatencyMillis
	}
	slowdown := s.slowdown(now)
	latency := s.latencyOr(now, typical) * slowdown
	slots := max(s.target.Slots, 1)
	c := candidate{state: s, loadAge: age, slowdown: slowdown}
	c.wait = time.Duration(float64(max(active-slots+1, 0)) / float64(slots) * latency * float64(time.Millisecond))
	// The latency is assumed to grow with the load, by 30 % when all slots are in use.
	c.forecast = c.wait + time.Duration(latency*(1+0.3*float64(active)/float64(slots))*float64(time.Millisecond))
	c.cost = p.lateCost(j, c.forecast) + p.zoneCost(j.Bytes+answerBytes, s)
	return c
}

const (
	// initialLatencyMillis is the assumed latency of a plain service, that is, one
	// without an engine, until a latency of the service has been observed.
	initialLatencyMillis = 20
	// answerBytes is the assumed size of an answer. Together with the size of the
	// request it determines the cost of the traffic between availability zones.
	answerBytes = 1024
)

// zoneCost is the cost of sending bytes to a target in another availability zone.
func (p *Planner) zoneCost(bytes int, s *state) float64 {
	if s.target.Zone == p.zone {
		return 0
	}
	cost := float64(bytes) / 1024 * p.policy.ZoneCost
	if p.remoteLoadsStale {
		cost += p.policy.StaleLoadCost
	}
	return cost
}

// transfer returns the size in GB of the KV cache of so many tokens, and the time
// it takes to transfer it within an availability zone.
func (p *Planner) transfer(service string, tokens int) (float64, time.Duration) {
	e := p.engines[service]
	if e == nil || e.LinkMbps <= 0 {
		return 0, 0
	}
	bytes := float64(tokens) * float64(e.TokenBytes)
	seconds := bytes * 8 / (e.LinkMbps * 1e6)
	return bytes / 1e9, time.Duration(seconds * float64(time.Second))
}

// SetRemoteLoadsStale sets whether hosts of other availability zones report their
// loads too rarely to be relied on. Targets in those zones then cost
// Policy.StaleLoadCost more.
func (p *Planner) SetRemoteLoadsStale(stale bool) { p.remoteLoadsStale = stale }

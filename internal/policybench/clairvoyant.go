package policybench

import (
	"math"
	"sort"
	"time"

	"zinniapin/target"
)

const (
	// lookahead is the window of future requests that the clairvoyant reference
	// knows.
	lookahead = 3 * time.Second
	// uncachedShare is the share of the prompt tokens that the clairvoyant
	// reference expects to miss the prefix caches.
	uncachedShare = 0.7
)

// assignClairvoyantRoles sets the roles of engines, without delay or cost, to
// match the unfinished prompt work and the requests within the lookahead.
func (sim *simulation) assignClairvoyantRoles(now int64) {
	prefill, decode := 0.0, 0.0
	for i := sim.nextRequest; i < len(sim.requests) && sim.requests[i].at < now+int64(lookahead); i++ {
		r := sim.requests[i]
		prefill += uncachedShare * float64(r.prompt) / sim.scenario.prefillRate()
		decode += float64(r.output) / decodeRate
	}
	var engines []*engine
	for _, e := range sim.engines {
		if e.ended || e.target.Kind == target.Service {
			continue
		}
		engines = append(engines, e)
		for _, j := range append(append([]*job(nil), e.prefills...), e.waiting...) {
			prefill += j.prefill / sim.scenario.prefillRate()
		}
	}
	sim.splitRoles(engines, prefill, decode)
}

// splitRoles splits the engines between prefill and decode so that the load of
// the busier side is minimal. The engines with the fewest running requests
// prefill. Both amounts of work are in engine-seconds.
func (sim *simulation) splitRoles(engines []*engine, prefill, decode float64) {
	if prefill+decode == 0 || len(engines) < 2 {
		return
	}
	bestPrefill, lowest := 1, math.Inf(1)
	for prefillers := 1; prefillers < len(engines); prefillers++ {
		if busiest := max(prefill/float64(prefillers), decode/float64(len(engines)-prefillers)); busiest < lowest {
			bestPrefill, lowest = prefillers, busiest
		}
	}
	sort.SliceStable(engines, func(i, k int) bool {
		return len(engines[i].running) < len(engines[k].running)
	})
	for i, e := range engines {
		e.role = target.Decode
		if i < bestPrefill {
			e.role = target.Prefill
		}
	}
	ensureStable(engines, target.Prefill)
	ensureStable(engines, target.Decode)
}

// ensureStable gives the first stable engine the mixed role when no stable
// engine serves the given role. An engine is stable if its target can't be
// reclaimed.
func ensureStable(engines []*engine, role target.Role) {
	for _, e := range engines {
		if !isReclaimable(e) && (e.role == role || e.role == target.Mixed) {
			return
		}
	}
	for _, e := range engines {
		if !isReclaimable(e) {
			e.role = target.Mixed
			return
		}
	}
}

// fluidBound returns an upper bound of the goodput of any policy. It treats
// requests as divisible work that may wait as long as the longest request that
// still counts as served in time, and counts the work that fits into the
// largest fleet that the pool's limits allow from the start on, with every
// prefix cached on every engine. The work that does not fit counts as if all
// lost requests were as large as the largest one, so that they are the fewest
// possible.
func fluidBound(d *deployment, s *scenario, requests []*request) float64 {
	const slice = 0.1 // seconds
	arrivingWork := make([]float64, int(s.length/slice)+1)
	maxWork, maxOutput := 0.0, 0
	for _, r := range requests {
		if r.service {
			continue
		}
		requestWork := s.workOf(float64(r.prompt)*(1-cachedShare), float64(r.output))
		arrivingWork[int(time.Duration(r.at).Seconds()/slice)] += requestWork
		maxWork = max(maxWork, requestWork)
		maxOutput = max(maxOutput, r.output)
	}
	maxWait := firstTokenBound.Seconds() + float64(maxOutput)*tokenInterval
	backlog, lost := 0.0, 0.0
	for i := range arrivingWork {
		engines := d.maxEngines(s, float64(i)*slice)
		backlog = max(0, backlog+arrivingWork[i]-engines*slice)
		if excess := backlog - engines*maxWait; excess > 0 {
			lost += excess
			backlog -= excess
		}
	}
	return 1 - lost/maxWork/float64(len(requests))
}

// maxEngines returns the largest number of engines that the pool can have t
// seconds into the trace. While reclaimable targets are scarce, one zone's
// share of them is missing.
func (d *deployment) maxEngines(s *scenario, t float64) float64 {
	engines := d.reserved + d.pool.MaxOnDemand + d.pool.MaxReclaimable
	if s.reclaimAt > 0 && t >= s.reclaimAt && t < s.reclaimAt+s.scarceTime {
		engines -= d.pool.MaxReclaimable / len(d.zones)
	}
	return float64(engines)
}

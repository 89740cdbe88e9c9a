package policybench

import (
	"math"
	"sort"
	"time"

	"zinniapin/target"
)

const (
	// foresight is how far the clairvoyant reference looks ahead.
	foresight = 3 * time.Second
	// uncachedShare is the share of prompt work that it expects to be left
	// after the prefix caches.
	uncachedShare = 0.7
)

// foresee gives engines, at once and at no cost, the roles that the work
// under way and to come wants.
func (w *world) foresee(now int64) {
	prefill, decode := 0.0, 0.0
	for i := w.next; i < len(w.requests) && w.requests[i].at < now+int64(foresight); i++ {
		r := w.requests[i]
		prefill += uncachedShare * float64(r.prompt) / w.s.prefillRate()
		decode += float64(r.output) / decodeRate
	}
	var engines []*engine
	for _, e := range w.engines {
		if e.dead || e.target.Kind == target.Service {
			continue
		}
		engines = append(engines, e)
		for _, j := range append(append([]*job(nil), e.prefills...), e.waiting...) {
			prefill += j.prefill / w.s.prefillRate()
		}
	}
	w.assign(engines, prefill, decode)
}

// assign splits the engines so that the busier side is as little busy as can
// be. The engines with the fewest streams prefill.
func (w *world) assign(engines []*engine, prefill, decode float64) {
	if prefill+decode == 0 || len(engines) < 2 {
		return
	}
	best, least := 1, math.Inf(1)
	for n := 1; n < len(engines); n++ {
		if busy := max(prefill/float64(n), decode/float64(len(engines)-n)); busy < least {
			best, least = n, busy
		}
	}
	sort.SliceStable(engines, func(i, k int) bool {
		return len(engines[i].running) < len(engines[k].running)
	})
	for i, e := range engines {
		e.role = target.Decode
		if i < best {
			e.role = target.Prefill
		}
	}
	keepStable(engines, target.Prefill)
	keepStable(engines, target.Decode)
}

// keepStable makes a stable engine mixed when none has the role.
func keepStable(engines []*engine, role target.Role) {
	for _, e := range engines {
		if !cheapTarget(e) && (e.role == role || e.role == target.Mixed) {
			return
		}
	}
	for _, e := range engines {
		if !cheapTarget(e) {
			e.role = target.Mixed
			return
		}
	}
}

// fluidBound is an upper bound of the goodput of any policy. It counts as
// served whatever fits, as divisible work that may wait as long as the
// slowest request in time, into all targets that the contract lets the pool
// have from the start on, with every prefix cached everywhere.
func fluidBound(d *deployment, s *scenario, requests []*request) float64 {
	const slice = 0.1 // seconds
	work := make([]float64, int(s.length/slice)+1)
	heaviest, longest := 0.0, 0
	for _, r := range requests {
		if r.service {
			continue
		}
		least := s.workOf(float64(r.prompt)*(1-cachedShare), float64(r.output))
		work[int(time.Duration(r.at).Seconds()/slice)] += least
		heaviest = max(heaviest, least)
		longest = max(longest, r.output)
	}
	patience := firstTokenBound.Seconds() + float64(longest)*tokenInterval
	backlog, lost := 0.0, 0.0
	for i := range work {
		engines := d.most(s, float64(i)*slice)
		backlog = max(0, backlog+work[i]-engines*slice)
		if over := backlog - engines*patience; over > 0 {
			lost += over
			backlog -= over
		}
	}
	return 1 - lost/heaviest/float64(len(requests))
}

// most is the number of engines that the pool may have at a time.
func (d *deployment) most(s *scenario, t float64) float64 {
	engines := d.reserved + d.pool.MaxOnDemand + d.pool.MaxReclaimable
	if s.reclaim > 0 && t >= s.reclaim && t < s.reclaim+s.scarce {
		engines -= d.pool.MaxReclaimable / len(d.zones)
	}
	return float64(engines)
}

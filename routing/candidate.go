package routing

import (
	"math/rand/v2"

	"zinniapin/provider"
	"zinniapin/target"
)

// sampleSize is how many of the nearest targets, and how many of the others, are compared in
// one decision. Groups of up to 2*sampleSize targets are compared as a whole.
const sampleSize = 16

// maxCompared limits the targets of one decision: two samples and the two affinity targets.
const maxCompared = 2*sampleSize + 2

// group is a set of targets, nearest first, with their hashes in a slice of their own for
// rendezvous hashing.
type group struct {
	engines []*engine
	hashes  []uint64
	near    int // number of targets at the smallest distance, which come first
}

// reset empties the group and keeps its memory.
func (g *group) reset() {
	g.engines = g.engines[:0]
	g.hashes = g.hashes[:0]
	g.near = 0
}

// add appends a target, which must not be nearer than the targets before it.
func (g *group) add(e *engine) {
	g.engines = append(g.engines, e)
	g.hashes = append(g.hashes, e.hash)
	if e.distance == g.engines[0].distance {
		g.near++
	}
}

// eligibility holds the conditions under which a target may serve a request.
type eligibility struct {
	now      int64 // Unix time, nanoseconds
	request  *Request
	required requirement
	modelBit uint64 // bit of the request's model in engine.models; 0 if the pool has not indexed it
}

// allows reports whether a target may serve the request.
func (r *eligibility) allows(e *engine) bool {
	s := &e.state
	if s.State != provider.Live || s.Cordoned || s.Report.Changing {
		return false
	}
	if r.request.StableOnly && s.Target.Class == target.Reclaimable {
		return false
	}
	if r.required.healthy && !e.backoffAllows(r.now) {
		return false
	}
	if r.required.model && r.request.Model != "" && e.models&r.modelBit == 0 {
		return false
	}
	for _, id := range r.request.Exclude {
		if id == s.Target.ID {
			return false
		}
	}
	return true
}

// decision collects the candidates for one phase of a request.
type decision struct {
	compared                      [maxCompared]*engine // the first count are in use
	count                         int
	best                          *engine // lowest cost so far
	affinityFirst, affinitySecond *engine // highest scores of rendezvous hashing
	candidates                    int     // number of candidates, compared or not
	totalBatch                    float64 // sum of the estimated batches of those compared
}

// findAffinityTargets finds the two eligible targets with the highest rendezvous hashing
// scores for the affinity of the request. It checks eligibility only for scores that are high
// enough.
func (d *decision) findAffinityTargets(g *group, r *eligibility, phase target.Phase) {
	if r.request.Affinity == 0 || phase == target.PhaseDecode {
		return
	}
	var firstScore, secondScore uint64
	for i, hash := range g.hashes {
		score := scramble(r.request.Affinity ^ hash)
		if score <= secondScore || !r.allows(g.engines[i]) {
			continue
		}
		if score > firstScore {
			d.affinitySecond, secondScore = d.affinityFirst, firstScore
			d.affinityFirst, firstScore = g.engines[i], score
			continue
		}
		d.affinitySecond, secondScore = g.engines[i], score
	}
}

// sample selects the targets to compare. From a large group it takes a sample of the nearest
// targets, a sample of the others and the affinity targets. It compares a small group as a
// whole, and falls back to the first eligible targets if the samples contain none.
func (d *decision) sample(g *group, r *eligibility, random *rand.Rand) {
	if len(g.engines) > 2*sampleSize {
		d.sampleFrom(g.engines[:g.near], r, random)
		d.sampleFrom(g.engines[g.near:], r, random)
	}
	if d.count == 0 {
		d.takeFirst(g, r)
	}
	d.candidates = d.count
	if len(g.engines) > 2*sampleSize && d.count > 0 {
		d.candidates = len(g.engines)
		d.addAffinityTarget(d.affinityFirst)
		d.addAffinityTarget(d.affinitySecond)
	}
}

// sampleFrom takes the eligible targets among sampleSize consecutive ones from a random
// position.
func (d *decision) sampleFrom(engines []*engine, r *eligibility, random *rand.Rand) {
	if len(engines) == 0 {
		return
	}
	i := random.IntN(len(engines))
	for range min(sampleSize, len(engines)) {
		if e := engines[i]; r.allows(e) {
			d.compared[d.count] = e
			d.count++
		}
		i++
		if i == len(engines) {
			i = 0
		}
	}
}

// takeFirst takes the first 2*sampleSize eligible targets.
func (d *decision) takeFirst(g *group, r *eligibility) {
	for _, e := range g.engines {
		if d.count == 2*sampleSize {
			return
		}
		if r.allows(e) {
			d.compared[d.count] = e
			d.count++
		}
	}
}

// addAffinityTarget adds an affinity target unless it is nil or was sampled.
func (d *decision) addAffinityTarget(affine *engine) {
	if affine == nil {
		return
	}
	for _, e := range d.compared[:d.count] {
		if e == affine {
			return
		}
	}
	d.compared[d.count] = affine
	d.count++
}

// candidatesToCompare returns the selected targets.
func (d *decision) candidatesToCompare() []*engine {
	return d.compared[:d.count]
}

// consider updates the best target and the total batch with a target whose cost has been
// computed.
func (d *decision) consider(e *engine) {
	d.totalBatch += e.estimatedBatch()
	if d.best == nil || e.cost < d.best.cost {
		d.best = e
	}
}

// drawNearEqual draws two targets at random among those whose cost is close to the best, and
// returns the cheaper one first. Many gateways see the same reports, which may be old; if each
// took the best target, all would take the same one.
func (d *decision) drawNearEqual(random *rand.Rand) (chosen, other *engine) {
	bound := d.best.cost + max(nearMargin, nearShare*d.best.cost)
	var drawn [2]*engine
	seen := 0
	for _, e := range d.candidatesToCompare() {
		if e.cost > bound {
			continue
		}
		if seen < len(drawn) {
			drawn[seen] = e
		} else if k := random.IntN(seen + 1); k < len(drawn) {
			drawn[k] = e
		}
		seen++
	}
	if drawn[1] != nil && drawn[1].cost < drawn[0].cost {
		return drawn[1], drawn[0]
	}
	return drawn[0], drawn[1]
}

// scramble mixes the bits of a hash with the finaliser of splitmix64.
func scramble(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

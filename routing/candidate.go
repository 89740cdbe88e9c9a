package routing

import (
	"math/rand/v2"

	"zinniapin/provider"
	"zinniapin/target"
)

// windowSize is how many near targets, and how many farther ones, are
// compared for one choice. Smaller pools are compared whole.
const windowSize = 16

// maxEvaluated bounds the targets compared: two windows and two homes.
const maxEvaluated = 2*windowSize + 2

// group is a set of targets with their hashes side by side, nearest first.
type group struct {
	engines []*engine
	hashes  []uint64
	near    int // targets at the distance of the nearest
}

// reset empties the group.
func (g *group) reset() {
	g.engines = g.engines[:0]
	g.hashes = g.hashes[:0]
	g.near = 0
}

// add appends a target, which must not be nearer than those before it.
func (g *group) add(e *engine) {
	g.engines = append(g.engines, e)
	g.hashes = append(g.hashes, e.hash)
	if e.distance == g.engines[0].distance {
		g.near++
	}
}

// rule is what makes a target eligible for a request.
type rule struct {
	now   int64
	q     *Request
	need  requirement
	model uint64
}

// allows tells whether a target comes into question.
func (r *rule) allows(e *engine) bool {
	s := &e.state
	if s.State != provider.Live || s.Cordoned || s.Report.Changing {
		return false
	}
	if r.q.StableOnly && s.Target.Class == target.Reclaimable {
		return false
	}
	if r.need.healthy && !e.open(r.now) {
		return false
	}
	if r.need.model && r.q.Model != "" && e.models&r.model == 0 {
		return false
	}
	for _, id := range r.q.Exclude {
		if id == s.Target.ID {
			return false
		}
	}
	return true
}

// decision gathers the candidates of one phase of a request.
type decision struct {
	compared     [maxEvaluated]*engine
	count        int
	best         *engine
	home, second *engine // first and second by rendezvous hashing
	candidates   int     // targets of the group
	batch        float64 // sum over those compared
}

// findHomes finds the two targets that the affinity hashes to. Eligibility is
// looked at only for a score that would win.
func (d *decision) findHomes(g *group, r *rule, phase target.Phase) {
	if r.q.Affinity == 0 || phase == target.PhaseDecode {
		return
	}
	var first, next uint64
	for i, hash := range g.hashes {
		score := mix(r.q.Affinity ^ hash)
		if score <= next || !r.allows(g.engines[i]) {
			continue
		}
		if score > first {
			d.second, next = d.home, first
			d.home, first = g.engines[i], score
			continue
		}
		d.second, next = g.engines[i], score
	}
}

// sample takes in a window of near targets and one of farther ones, each at a
// random place, or the whole group when that is small or the windows hold no
// eligible target.
func (d *decision) sample(g *group, r *rule, random *rand.Rand) {
	if len(g.engines) > 2*windowSize {
		d.window(g.engines[:g.near], r, random)
		d.window(g.engines[g.near:], r, random)
	}
	if d.count == 0 {
		d.scan(g, r)
	}
	d.candidates = d.count
	if len(g.engines) > 2*windowSize && d.count > 0 {
		d.candidates = len(g.engines)
		d.keepHome(d.home)
		d.keepHome(d.second)
	}
}

// window takes in the eligible ones of windowSize targets from a random place.
func (d *decision) window(engines []*engine, r *rule, random *rand.Rand) {
	if len(engines) == 0 {
		return
	}
	at := random.IntN(len(engines))
	for range min(windowSize, len(engines)) {
		if e := engines[at]; r.allows(e) {
			d.compared[d.count] = e
			d.count++
		}
		at++
		if at == len(engines) {
			at = 0
		}
	}
}

// scan takes in the first eligible targets.
func (d *decision) scan(g *group, r *rule) {
	for _, e := range g.engines {
		if d.count == 2*windowSize {
			return
		}
		if r.allows(e) {
			d.compared[d.count] = e
			d.count++
		}
	}
}

// keepHome adds a rendezvous target unless a window held it.
func (d *decision) keepHome(home *engine) {
	if home == nil {
		return
	}
	for _, e := range d.compared[:d.count] {
		if e == home {
			return
		}
	}
	d.compared[d.count] = home
	d.count++
}

// evaluated returns the targets to compare.
func (d *decision) evaluated() []*engine {
	return d.compared[:d.count]
}

// consider takes in the cost of a target.
func (d *decision) consider(e *engine) {
	d.batch += e.batch()
	if d.best == nil || e.cost < d.best.cost {
		d.best = e
	}
}

// nearEqual draws two of the targets that cost about as little as the best
// and returns the cheaper first: many gateways that see the same old reports
// must not all take the same target.
func (d *decision) nearEqual(random *rand.Rand) (chosen, other *engine) {
	bound := d.best.cost + max(nearMargin, nearShare*d.best.cost)
	var drawn [2]*engine
	seen := 0
	for _, e := range d.evaluated() {
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

// mix scrambles a hash (the finaliser of splitmix64).
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

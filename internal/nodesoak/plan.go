package nodesoak

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"zinniapin/internal/standin/prepared"
)

// pairTime is the length of the disturbances of a pair. Starting, settling and checking bring a run to
// about 15 s.
const pairTime = 8 * time.Second

// neighbours are what each run of a pair does beside its switches, once each in an order of its own: planned
// work first.
var neighbours = []string{"configuration", "SIGHUP", "SIGTERM", "crash", "outage"}

const (
	// plannedNeighbours is the number of neighbours that are planned work.
	plannedNeighbours = 3
	// plannedFrom and plannedTo are the times in which half of the runs do all planned work, undisturbed:
	// nodes that have just started, and those beside a crash or an outage, may cut requests.
	plannedFrom, plannedTo = 2500 * time.Millisecond, 5500 * time.Millisecond
)

// drawn is a switch of a run.
type drawn struct {
	name   string
	seed   uint64 // of its amounts
	amount string // the amounts as text, where the stand-ins draw them
	few    bool   // a switch of targets is on at one of fewTargets only
}

// fewTargets is the number of targets of which one has a switch that few have.
const fewTargets = 3

// step is something that a run does at a time after its begin.
type step struct {
	at   time.Duration
	name string // a neighbour, or the name of a switch that acts now and then
}

// pairPlan is all that a run of a pair draws. It depends on the seed alone.
type pairPlan struct {
	seed     uint64
	switches []drawn
	steps    []step // in order
}

// newPairPlan draws one switch, or two in three of four runs. Those of recurring act now and then, with the
// given mean time in between. A seed draws the same as before when there are more switches, unless it
// draws one of the new ones.
func newPairPlan(seed uint64, recurring map[string]time.Duration) pairPlan {
	r := rand.New(rand.NewPCG(seed, seed+2))
	p := pairPlan{seed: seed}
	lasting := prepared.Draws()
	names := slices.Collect(maps.Keys(recurring))
	for _, d := range lasting {
		names = append(names, d.Name)
	}
	slices.SortFunc(names, func(a, b string) int { return cmp.Compare(hashOf(seed, a), hashOf(seed, b)) })
	count := 2
	if r.IntN(4) == 0 {
		count = 1
	}
	for _, name := range names[:count] {
		s := drawn{name: name, seed: hashOf(seed, name)}
		amounts := rand.New(rand.NewPCG(s.seed, 2))
		if mean, ok := recurring[name]; ok {
			s.amount = mean.String()
			for at := between(amounts, mean/2, 3*mean/2) / 2; at < pairTime; at += between(amounts, mean/2, 3*mean/2) {
				p.steps = append(p.steps, step{at, name})
			}
		} else {
			s.amount, s.few = s.into(lasting, &prepared.Switches{}), amounts.IntN(2) == 0 && s.ofTargets(lasting)
		}
		p.switches = append(p.switches, s)
	}
	plannedFirst := r.IntN(2) == 0
	slots := r.Perm(len(neighbours))
	for i, name := range neighbours {
		slot := pairTime / time.Duration(len(neighbours))
		least := time.Duration(slots[i]) * slot
		most := least + slot
		switch {
		case plannedFirst && i < plannedNeighbours:
			least, most = plannedFrom, plannedTo
		case plannedFirst:
			least, most = plannedTo, pairTime
		}
		p.steps = append(p.steps, step{between(r, least, most), name})
	}
	slices.SortStableFunc(p.steps, func(a, b step) int { return int(a.at - b.at) })
	return p
}

// hashOf returns a number that depends on a seed and a name.
func hashOf(seed uint64, name string) uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%s %d", name, seed)
	return rand.NewPCG(h.Sum64(), seed).Uint64()
}

// between draws a time.
func between(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Int64N(int64(most-least)))
}

// into turns the switch on if it is one of the stand-ins, and returns its amounts as text.
func (s drawn) into(lasting []prepared.Draw, all *prepared.Switches) string {
	for _, d := range lasting {
		if d.Name == s.name {
			return d.Into(rand.New(rand.NewPCG(s.seed, 1)), all)
		}
	}
	return ""
}

// ofTargets tells whether the switch is one of targets.
func (s drawn) ofTargets(lasting []prepared.Draw) bool {
	return slices.ContainsFunc(lasting, func(d prepared.Draw) bool { return d.Name == s.name && d.OfTargets })
}

// into turns on the switches of the plan that are the stand-ins'. Others keep their values.
func (p *pairPlan) into(all *prepared.Switches) { p.intoTarget(0, all) }

// intoTarget is into for the target with an index.
func (p *pairPlan) intoTarget(index int, all *prepared.Switches) {
	lasting := prepared.Draws()
	for _, s := range p.switches {
		if !s.few || index%fewTargets == 0 {
			s.into(lasting, all)
		}
	}
}

// String names the switches with their amounts and the steps with their times.
func (p *pairPlan) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d:", p.seed)
	for _, s := range p.switches {
		few := ""
		if s.few {
			few = ", few targets"
		}
		fmt.Fprintf(&b, " [%s, %s%s]", s.name, s.amount, few)
	}
	for _, s := range p.steps {
		fmt.Fprintf(&b, " %.1fs %s", s.at.Seconds(), s.name)
	}
	return b.String()
}

package spending

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"zinniapin/contract"
	"zinniapin/control"
	_ "zinniapin/internal/fixedseed"
	"zinniapin/provider"
	"zinniapin/target"
	"zinniapin/zone"
)

// start is the time at which every test begins.
var start = time.Unix(1_000_000, 0)

// zoneNames are the zones over which fleet spreads its targets.
var zoneNames = []zone.Name{"riga-a", "riga-b", "jelgava", "valmiera"}

// fleet returns a view of one pool with the given numbers of reserved and reclaimable targets.
func fleet(reserved, reclaimable int) View {
	v := View{
		Pools:          []contract.Pool{{Name: "assistant", MaxOnDemand: 2, MaxReclaimable: 6}},
		Zones:          zoneNames,
		Queues:         []Queue{{Pool: "assistant", StableShare: 0.5, StableOnlyShare: 0.1}},
		OrdersPossible: true,
	}
	for i := range reserved {
		v.add(fmt.Sprintf("reserved-%d", i), zoneNames[i%4], target.Reserved)
	}
	for i := range reclaimable {
		v.add(fmt.Sprintf("cheap-%d", i), zoneNames[i%4], target.Reclaimable)
	}
	return v
}

// add adds a live target.
func (v *View) add(id string, z zone.Name, c target.Class) {
	v.Targets = append(v.Targets, control.TargetState{
		Target: target.Target{ID: target.ID(id), Kind: target.Engine, Class: c, Pool: "assistant", Zone: z},
		State:  provider.Live,
		Report: target.Report{Boot: 1, ReceivedAt: start, PrefillRate: 8000, DecodeRate: 1100, Capacity: 64},
	})
}

// load sets the number of requests that every target reports.
func (v *View) load(running int) {
	for i := range v.Targets {
		v.Targets[i].Report.Running = running
	}
}

// runPlanner observes and plans once a second, from one second to another, and returns
// all steps. grant returns how many targets the platform grants for a purchase.
func runPlanner(p *Planner, v *View, from, to int, grant func(Step) int) []Step {
	var steps []Step
	for s := from; s <= to; s++ {
		now := start.Add(time.Duration(s) * time.Second)
		p.Observe(now, *v)
		for _, step := range p.Plan(now) {
			steps = append(steps, step)
			if step.Count > 0 {
				p.RecordOrder(now, step, grant(step))
			}
		}
	}
	return steps
}

// grantAll grants all targets of a purchase.
func grantAll(s Step) int { return s.Count }

// grantNone grants no target.
func grantNone(Step) int { return 0 }

// Nothing is bought while requests neither wait nor are refused.
func TestNothingIsBoughtWithoutQueueing(t *testing.T) {
	is := is.New(t)
	p, v := New(DefaultSettings()), fleet(8, 4)
	v.load(30)
	is.Equal(len(runPlanner(p, &v, 0, 300, grantAll)), 0)
	is.Equal(p.Held()[0].Reason, HeldNoQueueing)
}

// When requests are refused, reclaimable targets are bought first, in the zone that has the
// fewest.
func TestReclaimableIsBoughtFirstWhereFewest(t *testing.T) {
	is := is.New(t)
	p, v := New(DefaultSettings()), fleet(8, 3)
	v.load(30)
	v.Queues[0].Refused = 0.2
	steps := runPlanner(p, &v, 0, 15, grantAll)
	is.True(len(steps) >= 1)
	is.Equal(steps[0].Class, target.Reclaimable)
	is.Equal(steps[0].Zone, zone.Name("valmiera"))
	is.Equal(steps[0].Reason, BuyQueueing)
}

// While the platform grants no targets, purchases are retried with a growing delay, and
// on-demand targets are ordered in place of reclaimable ones.
func TestUnavailableReclaimableIsReplacedByOnDemand(t *testing.T) {
	is := is.New(t)
	p, v := New(DefaultSettings()), fleet(8, 0)
	v.load(30)
	v.Queues[0].Refused = 0.2
	steps := runPlanner(p, &v, 0, 120, grantNone)
	reclaimable, onDemand := 0, 0
	for _, s := range steps {
		if s.Class == target.Reclaimable {
			reclaimable++
		} else {
			is.Equal(s.Reason, BuyNoReclaimable)
			onDemand++
		}
	}
	is.True(reclaimable <= 4*5) // four zones, each with a backoff of 15, 30, 60 ... s
	is.True(onDemand > 0 && onDemand <= 4*5)
}

// Nothing is bought while no orders are possible.
func TestOutageBuysNothing(t *testing.T) {
	is := is.New(t)
	p, v := New(DefaultSettings()), fleet(8, 4)
	v.Queues[0].Refused = 0.5
	v.OrdersPossible = false
	is.Equal(len(runPlanner(p, &v, 0, 60, grantAll)), 0)
	is.Equal(p.Held()[0].Reason, HeldNoOrders)
}

// An on-demand target is bought when the guaranteed work would not be served in time after a
// zone has lost its reclaimable targets.
func TestGuaranteeCoversTheLossOfAZone(t *testing.T) {
	is := is.New(t)
	p, v := New(DefaultSettings()), fleet(1, 0)
	v.add("cheap-a", "riga-a", target.Reclaimable)
	v.add("cheap-b", "riga-a", target.Reclaimable)
	v.Queues[0].StableShare = 0.8
	v.load(30)
	steps := runPlanner(p, &v, 0, 0, grantAll)
	is.Equal(len(steps), 1)
	is.Equal(steps[0].Reason, BuyGuarantee)
	is.Equal(steps[0].Class, target.OnDemand)
}

// At low load nothing is released for three minutes; then an on-demand target is released
// first.
func TestIdleOnDemandIsReleasedFirst(t *testing.T) {
	is := is.New(t)
	p, v := New(DefaultSettings()), fleet(8, 2)
	v.add("bought", "riga-a", target.OnDemand)
	v.load(2)
	is.Equal(len(runPlanner(p, &v, 0, 179, grantAll)), 0)
	steps := runPlanner(p, &v, 180, 185, grantAll)
	is.Equal(len(steps), 1)
	is.Equal(steps[0].Release, target.ID("bought"))
	is.Equal(steps[0].Reason, ReleaseIdle)
}

// TestOrdersKeepTheBounds checks the pool's bounds and the spread over zones for random
// load.
func TestOrdersKeepTheBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, v := New(DefaultSettings()), fleet(4, 0)
		bought := 0
		for s := range 200 {
			v.Queues[0].Refused = rapid.Float64Range(0, 0.3).Draw(t, "refused")
			v.load(rapid.IntRange(0, 60).Draw(t, "running"))
			for _, step := range runPlanner(p, &v, s, s, grantAll) {
				if step.Release != "" {
					v.drop(step.Release)
					continue
				}
				bought++
				v.add(fmt.Sprintf("bought-%d", bought), step.Zone, step.Class)
			}
			checkBounds(t, &v)
		}
	})
}

// drop removes a target.
func (v *View) drop(id target.ID) {
	for i := range v.Targets {
		if v.Targets[i].Target.ID == id {
			v.Targets = append(v.Targets[:i:i], v.Targets[i+1:]...)
			return
		}
	}
}

// checkBounds checks the pool's bounds and the spread over zones.
func checkBounds(t *rapid.T, v *View) {
	counts := map[target.Class]int{}
	reclaimable := map[zone.Name]int{}
	for i := range v.Targets {
		x := &v.Targets[i].Target
		counts[x.Class]++
		if x.Class == target.Reclaimable {
			reclaimable[x.Zone]++
		}
	}
	if counts[target.OnDemand] > 2 || counts[target.Reclaimable] > 6 || counts[target.Reserved] != 4 {
		t.Fatalf("targets by class are out of bounds: %v", counts)
	}
	for _, n := range reclaimable {
		if n > 2 {
			t.Fatalf("reclaimable targets are not spread over the zones: %v", reclaimable)
		}
	}
}

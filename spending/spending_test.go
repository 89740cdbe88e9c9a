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

var start = time.Unix(1_000_000, 0)

var names = []zone.Name{"riga-a", "riga-b", "jelgava", "valmiera"}

// fleet returns a view with so many reserved and reclaimable targets.
func fleet(reserved, cheap int) View {
	v := View{
		Pools:          []contract.Pool{{Name: "assistant", MaxOnDemand: 2, MaxReclaimable: 6}},
		Zones:          names,
		Queues:         []Queue{{Pool: "assistant", StableShare: 0.5, StableOnlyShare: 0.1}},
		OrdersPossible: true,
	}
	for i := range reserved {
		v.add(fmt.Sprintf("reserved-%d", i), names[i%4], target.Reserved)
	}
	for i := range cheap {
		v.add(fmt.Sprintf("cheap-%d", i), names[i%4], target.Reclaimable)
	}
	return v
}

// add adds a target.
func (v *View) add(id string, z zone.Name, c target.Class) {
	v.Targets = append(v.Targets, control.TargetState{
		Target: target.Target{ID: target.ID(id), Kind: target.Engine, Class: c, Pool: "assistant", Zone: z},
		State:  provider.Live,
		Report: target.Report{Boot: 1, Taken: start, PrefillRate: 8000, DecodeRate: 1100, Capacity: 64},
	})
}

// load gives every target so many requests.
func (v *View) load(running int) {
	for i := range v.Targets {
		v.Targets[i].Report.Running = running
	}
}

// drive observes and plans once a second; grant answers purchases.
func drive(p *Planner, v *View, from, to int, grant func(Step) int) []Step {
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

func all(s Step) int { return s.Count }

func none(Step) int { return 0 }

func TestNothingIsBoughtWithoutQueueing(t *testing.T) {
	is := is.New(t)
	p, v := New(DefaultSettings()), fleet(8, 4)
	v.load(30)
	is.Equal(len(drive(p, &v, 0, 300, all)), 0)
	is.Equal(p.Held()[0].Reason, HeldNoQueueing)
}

func TestCheapIsBoughtFirstWhereFewest(t *testing.T) {
	is := is.New(t)
	p, v := New(DefaultSettings()), fleet(8, 3)
	v.load(30)
	v.Queues[0].Refused = 0.2
	steps := drive(p, &v, 0, 15, all)
	is.True(len(steps) >= 1)
	is.Equal(steps[0].Class, target.Reclaimable)
	is.Equal(steps[0].Zone, zone.Name("valmiera"))
	is.Equal(steps[0].Reason, BuyQueueing)
}

func TestNoneToBeHadBacksOffThenBuysOnDemand(t *testing.T) {
	is := is.New(t)
	p, v := New(DefaultSettings()), fleet(8, 0)
	v.load(30)
	v.Queues[0].Refused = 0.2
	steps := drive(p, &v, 0, 120, none)
	cheap, dear := 0, 0
	for _, s := range steps {
		if s.Class == target.Reclaimable {
			cheap++
		} else {
			is.Equal(s.Reason, BuyNoReclaimable)
			dear++
		}
	}
	is.True(cheap <= 4*5) // four zones, waits of 15, 30, 60 ... s
	is.True(dear > 0 && dear <= 4*5)
}

func TestOutageBuysNothing(t *testing.T) {
	is := is.New(t)
	p, v := New(DefaultSettings()), fleet(8, 4)
	v.Queues[0].Refused = 0.5
	v.OrdersPossible = false
	is.Equal(len(drive(p, &v, 0, 60, all)), 0)
	is.Equal(p.Held()[0].Reason, HeldNoOrders)
}

func TestPromiseOutlivesTheLossOfAZone(t *testing.T) {
	is := is.New(t)
	p, v := New(DefaultSettings()), fleet(1, 0)
	v.add("cheap-a", "riga-a", target.Reclaimable)
	v.add("cheap-b", "riga-a", target.Reclaimable)
	v.Queues[0].StableShare = 0.8
	v.load(30)
	steps := drive(p, &v, 0, 0, all)
	is.Equal(len(steps), 1)
	is.Equal(steps[0].Reason, BuyGuarantee)
	is.Equal(steps[0].Class, target.OnDemand)
}

func TestReleaseComesLateAndDearestFirst(t *testing.T) {
	is := is.New(t)
	p, v := New(DefaultSettings()), fleet(8, 2)
	v.add("bought", "riga-a", target.OnDemand)
	v.load(2)
	is.Equal(len(drive(p, &v, 0, 179, all)), 0)
	steps := drive(p, &v, 180, 185, all)
	is.Equal(len(steps), 1)
	is.Equal(steps[0].Release, target.ID("bought"))
	is.Equal(steps[0].Reason, ReleaseIdle)
}

// TestOrdersKeepTheBounds drives a planner through random need and answers.
func TestOrdersKeepTheBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, v := New(DefaultSettings()), fleet(4, 0)
		bought := 0
		for s := range 200 {
			v.Queues[0].Refused = rapid.Float64Range(0, 0.3).Draw(t, "refused")
			v.load(rapid.IntRange(0, 60).Draw(t, "running"))
			for _, step := range drive(p, &v, s, s, all) {
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

// checkBounds checks the contract's bounds and the spread over zones.
func checkBounds(t *rapid.T, v *View) {
	counts := map[target.Class]int{}
	cheap := map[zone.Name]int{}
	for i := range v.Targets {
		x := &v.Targets[i].Target
		counts[x.Class]++
		if x.Class == target.Reclaimable {
			cheap[x.Zone]++
		}
	}
	if counts[target.OnDemand] > 2 || counts[target.Reclaimable] > 6 || counts[target.Reserved] != 4 {
		t.Fatalf("bounds broken: %v", counts)
	}
	for _, n := range cheap {
		if n > 2 {
			t.Fatalf("reclaimable targets are not spread: %v", cheap)
		}
	}
}

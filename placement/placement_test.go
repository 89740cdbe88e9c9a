package placement

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

// zoneNames are the zones over which fleet spreads its engines.
var zoneNames = []zone.Name{"kolkata", "siliguri", "bardhaman"}

// fleet returns a view of n engines in one pool, the first ones with the prefill role,
// the others with decode.
func fleet(n, prefill int) View {
	v := View{
		Pools:          []contract.Pool{{Name: "reports", Disaggregated: true}},
		OrdersPossible: true,
		OpenOrders:     map[target.ID]target.Order{},
		Unreachable:    map[target.ID]bool{},
	}
	for i := range n {
		id := target.ID(fmt.Sprintf("engine-%d", i))
		role := target.Decode
		if i < prefill {
			role = target.Prefill
		}
		v.Targets = append(v.Targets, control.TargetState{
			Target: target.Target{ID: id, Kind: target.Engine, Class: target.Reserved, Pool: "reports", Zone: zoneNames[i%3]},
			State:  provider.Live,
			Report: target.Report{
				Target: id, Boot: 1, ReceivedAt: start, Role: role, Models: []string{"m"},
				PrefillRate: 8000, DecodeRate: 1100, Capacity: 64,
			},
		})
	}
	return v
}

// setLoad sets the reported work of every engine with a role.
func setLoad(v *View, role target.Role, prefillTokens, running int) {
	for i := range v.Targets {
		if r := &v.Targets[i].Report; r.Role == role {
			r.PrefillTokens, r.Running = prefillTokens, running
		}
	}
}

// runPlanner observes the same view and plans once a second, from one second to
// another, and returns all steps.
func runPlanner(p *Planner, v View, from, to int) []Step {
	var steps []Step
	for s := from; s <= to; s++ {
		now := start.Add(time.Duration(s) * time.Second)
		p.Observe(now, v)
		steps = append(steps, p.Plan(now)...)
	}
	return steps
}

// TestPrefillDemandTurnsDecodeEngines checks that decode engines change to prefill when the
// prefill engines have too much work, one engine in a zone.
func TestPrefillDemandTurnsDecodeEngines(t *testing.T) {
	is := is.New(t)
	p, v := New(DefaultSettings()), fleet(9, 3)
	setLoad(&v, target.Prefill, 16000, 1)
	setLoad(&v, target.Decode, 0, 5)
	steps := runPlanner(p, v, 0, 6)
	is.True(len(steps) > 0)
	zones := map[zone.Name]int{}
	for _, s := range steps {
		is.Equal(s.Kind, target.OrderRole)
		is.Equal(s.Role, target.Prefill)
		is.True(s.Gain > s.Loss)
		is.True(s.Reason != "")
		zones[s.Zone]++
	}
	for _, n := range zones {
		is.Equal(n, 1)
	}
}

// TestNoChange checks that no change is proposed, and for which reason, when the
// prefill engines have too much work but for what each case changes.
func TestNoChange(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*View)
		reason HoldReason
	}{
		"no prefill work":            {func(v *View) { setLoad(v, target.Prefill, 0, 0) }, HeldDemandServed},
		"orders not possible":        {func(v *View) { v.OrdersPossible = false }, HeldNoOrders},
		"pool not disaggregated":     {func(v *View) { v.Pools[0].Disaggregated = false }, HeldNotDisaggregated},
		"both roles at high load":    {loadBothRoles, HeldNoGain},
		"no engine takes orders":     {makeAllUnreachable, HeldRecentlyChanged}, // has no reason of its own; reported like a recent change
		"an open order in each zone": {openOrderInEachZone, HeldZonesBusy},
		"no targets":                 {func(v *View) { v.Targets = nil }, HeldNoReports},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p, v := New(DefaultSettings()), fleet(9, 3)
			setLoad(&v, target.Prefill, 16000, 1)
			setLoad(&v, target.Decode, 0, 5)
			c.change(&v)
			is.Equal(len(runPlanner(p, v, 0, 10)), 0)
			is.Equal(p.Held()[0].Reason, c.reason)
		})
	}
}

// loadBothRoles puts the engines of both roles under high load.
func loadBothRoles(v *View) {
	setLoad(v, target.Prefill, 8000, 1)
	setLoad(v, target.Decode, 0, 60)
}

// makeAllUnreachable makes it impossible to give orders to any engine.
func makeAllUnreachable(v *View) {
	for i := range v.Targets {
		v.Unreachable[v.Targets[i].Target.ID] = true
	}
}

// openOrderInEachZone opens an order on one engine of each zone, for the role that it
// has already.
func openOrderInEachZone(v *View) {
	for i := range 3 {
		v.OpenOrders[v.Targets[i].Target.ID] = target.Order{Kind: target.OrderRole, Role: target.Prefill}
	}
}

// TestShortPeakIsNotFollowed checks that a peak of demand that is shorter than
// Settings.ConfirmTime causes no change.
func TestShortPeakIsNotFollowed(t *testing.T) {
	is := is.New(t)
	p, v := New(DefaultSettings()), fleet(9, 3)
	setLoad(&v, target.Decode, 0, 5)
	runPlanner(p, v, 0, 20)
	setLoad(&v, target.Prefill, 16000, 1)
	steps := runPlanner(p, v, 21, 22)
	setLoad(&v, target.Prefill, 0, 0)
	steps = append(steps, runPlanner(p, v, 23, 40)...)
	is.Equal(len(steps), 0)
}

// TestModelThatNothingServesIsLoaded checks that a model that no engine has is loaded,
// but not while as many loads as allowed are in progress.
func TestModelThatNothingServesIsLoaded(t *testing.T) {
	is := is.New(t)
	p, v := New(DefaultSettings()), fleet(9, 3)
	v.Pools[0].Disaggregated = false
	v.Arrivals = []Arrival{
		{Pool: "reports", Model: "m", PromptRate: 4000, OutputRate: 400},
		{Pool: "reports", Model: "n", PromptRate: 900, OutputRate: 100},
	}
	v.ActiveModelLoads = 1
	is.Equal(len(runPlanner(p, v, 0, 1)), 0)
	is.Equal(p.Held()[len(p.Held())-1].Reason, HeldWeightStoreBusy)
	v.ActiveModelLoads = 0
	steps := runPlanner(p, v, 2, 2)
	is.Equal(len(steps), 1)
	is.Equal(steps[0].Kind, target.OrderModel)
	is.Equal(steps[0].Model, "n")
	is.Equal(steps[0].Unload, "m")
}

// TestStepsUnderRandomLoad checks the conditions of checkSteps for random loads, while
// orders close after a random time and no orders are possible at some times.
func TestStepsUnderRandomLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		v := fleet(rapid.IntRange(2, 12).Draw(t, "engines"), 1)
		p := New(DefaultSettings())
		for s := range 60 {
			now := start.Add(time.Duration(s) * time.Second)
			for i := range v.Targets {
				row := &v.Targets[i]
				row.Report.Running = rapid.IntRange(0, 64).Draw(t, "running")
				row.Report.PrefillTokens = rapid.IntRange(0, 30000).Draw(t, "tokens")
				id := row.Target.ID
				if o, open := v.OpenOrders[id]; open && rapid.IntRange(0, 4).Draw(t, "closes") == 0 {
					row.Report.Role = o.Role
					delete(v.OpenOrders, id)
				}
			}
			v.OrdersPossible = rapid.IntRange(0, 9).Draw(t, "outage") > 0
			p.Observe(now, v)
			checkSteps(t, &v, p.Plan(now))
		}
	})
}

// checkSteps checks the steps of one plan and opens their orders: there are none while no
// orders are possible, at most one change is open in a zone, and both phases stay served.
func checkSteps(t *rapid.T, v *View, steps []Step) {
	if len(steps) > 0 && !v.OrdersPossible {
		t.Fatal("the plan has steps while no orders are possible")
	}
	for _, step := range steps {
		for i := range v.Targets {
			row := &v.Targets[i]
			if _, open := v.OpenOrders[row.Target.ID]; open && row.Target.Zone == step.Zone {
				t.Fatalf("two changes open in zone %s", step.Zone)
			}
		}
		v.OpenOrders[step.Target] = target.Order{Kind: step.Kind, Role: step.Role}
	}
	var counts roleCounts
	for i := range v.Targets {
		role := v.Targets[i].Report.Role
		if o, open := v.OpenOrders[v.Targets[i].Target.ID]; open {
			role = o.Role
		}
		*counts.count(role)++
	}
	if !counts.servesBothPhases() {
		t.Fatalf("no engine serves one of the phases: %+v", counts)
	}
}

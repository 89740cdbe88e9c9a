package policybench

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"zinniapin/target"
)

// Row holds the results of one policy over some runs. Shares are of the
// requests offered.
type Row struct {
	Policy      string
	Offered     int
	Goodput     float64 // share served in time
	Worst       float64 // goodput of the worst-served organisation
	RoleChanges float64 // mean per run
	Cost        float64 // mean per run, in hours of a reserved target
	Cheap       float64 // share of requests that ran on reclaimable targets, at least in part
	Harmed      float64 // share interrupted by a reclaimed target and then not served in time
	Refused     float64 // share refused without having been sent
	Late        float64 // share not refused whose first token came late or never
	Slow        float64 // share whose first token came in time but later ones too slowly
	FalseWords  int     // requests refused as "not run", which was false: they had been sent
	runs        int     // runs whose results were added
}

// addRun adds the results of a finished run.
func (row *Row) addRun(sim *simulation) {
	inTime := make([]int, len(sim.deployment.orgs))
	offered := make([]int, len(sim.deployment.orgs))
	totalInTime := 0
	reclaimable, harmed, refused, late, slow := 0, 0, 0, 0, 0
	for _, r := range sim.requests {
		offered[r.org]++
		if r.servedInTime() {
			inTime[r.org]++
			totalInTime++
		} else if r.interrupted {
			harmed++
		}
		if r.ranReclaimable {
			reclaimable++
		}
		switch {
		case r.servedInTime() || r.refused:
		case r.firstInTime():
			slow++
		default:
			late++
		}
		if r.refused {
			refused++
			if r.sent {
				row.FalseWords++
			}
		}
	}
	worstShare := 1.0
	for i := range inTime {
		worstShare = min(worstShare, ratio(inTime[i], offered[i]))
	}
	n := len(sim.requests)
	row.Offered += n
	row.runs++
	row.Goodput += ratio(totalInTime, n)
	row.Worst += worstShare
	row.RoleChanges += float64(sim.roleChanges)
	row.Cost += sim.cost()
	row.Cheap += ratio(reclaimable, n)
	row.Harmed += ratio(harmed, n)
	row.Refused += ratio(refused, n)
	row.Late += ratio(late, n)
	row.Slow += ratio(slow, n)
}

// addRow adds the sums of a row of the same policy over other runs.
func (row *Row) addRow(o *Row) {
	row.Offered += o.Offered
	row.runs += o.runs
	row.Goodput += o.Goodput
	row.Worst += o.Worst
	row.RoleChanges += o.RoleChanges
	row.Cost += o.Cost
	row.Cheap += o.Cheap
	row.Harmed += o.Harmed
	row.Refused += o.Refused
	row.Late += o.Late
	row.Slow += o.Slow
	row.FalseWords += o.FalseWords
}

// means returns a copy of the row with means per run in place of the sums.
// Offered and FalseWords stay sums.
func (row *Row) means() Row {
	n := float64(max(1, row.runs))
	m := *row
	for _, x := range []*float64{&m.Goodput, &m.Worst, &m.RoleChanges, &m.Cost, &m.Cheap, &m.Harmed, &m.Refused, &m.Late, &m.Slow} {
		*x /= n
	}
	return m
}

// ratio returns part/whole, or 1 if whole is 0.
func ratio(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// firstTokenBound is the target for the time to the first token.
const firstTokenBound = 1500 * time.Millisecond

// servedInTime reports whether a request has ended and met firstTokenBound and
// tokenInterval.
func (r *request) servedInTime() bool {
	if r.doneAt == 0 || !r.firstInTime() {
		return false
	}
	if r.output < 2 {
		return true
	}
	between := time.Duration(r.doneAt-r.firstAt).Seconds() / float64(r.output-1)
	return between <= tokenInterval
}

// firstInTime reports whether the first token came within firstTokenBound.
func (r *request) firstInTime() bool {
	return r.firstAt > 0 && r.firstAt-r.at <= int64(firstTokenBound)
}

// cost returns the cost of the pool's targets, in hours of a reserved target.
func (sim *simulation) cost() float64 {
	sum := 0.0
	end := int64(sim.scenario.length * float64(time.Second))
	for _, e := range sim.engines {
		if e.target.Kind == target.Service {
			continue
		}
		left := end
		if e.ended {
			left = min(end, e.endedAt)
		}
		hours := time.Duration(max(0, left-e.joinedAt)).Hours()
		sum += hours * prices[e.target.Class]
	}
	return sum
}

// Set is a set of scenarios with the seeds of their traces. Each scenario runs
// once with each seed.
type Set struct {
	Name      string
	scenarios []scenario
	seeds     []uint64
}

// Sets returns the sets of scenarios: those on which constants may be tuned,
// and the held-out and fresh ones, which check the constants on other traces.
func Sets() []Set {
	return []Set{
		{Name: "tuned", scenarios: tunedScenarios(), seeds: []uint64{11, 12}},
		{Name: "held out", scenarios: heldOutScenarios(), seeds: []uint64{71, 72}},
		{Name: "fresh", scenarios: freshScenarios(), seeds: []uint64{901, 902}},
		{Name: "long prompts", scenarios: longTunedScenarios(), seeds: []uint64{11, 12}},
		{Name: "long prompts held out", scenarios: longHeldOutScenarios(), seeds: []uint64{71, 72}},
	}
}

// maxParallelRuns is the number of simulations that run at the same time.
const maxParallelRuns = 4

// Table holds the results of one set for one deployment, by trace and over all
// traces.
type Table struct {
	Set, Deployment string
	Seeds           []uint64
	Traces          []string
	Bounds          []float64 // by trace: mean of fluidBound over the seeds
	ByTrace         [][]Row   // by trace, then policy
	All             []Row     // by policy
}

// Run runs every policy over a set for one deployment.
func Run(set Set, d deployment, policies []Policy) Table {
	t := Table{Set: set.Name, Deployment: d.name, Seeds: set.seeds}
	sums := make([][]Row, len(set.scenarios))
	var group sync.WaitGroup
	var lock sync.Mutex
	slots := make(chan struct{}, maxParallelRuns)
	for i := range set.scenarios {
		t.Traces = append(t.Traces, set.scenarios[i].name)
		sums[i] = make([]Row, len(policies))
		bound := 0.0
		for _, seed := range set.seeds {
			bound += fluidBound(&d, &set.scenarios[i], generateTrace(&d, &set.scenarios[i], seed))
		}
		t.Bounds = append(t.Bounds, bound/float64(len(set.seeds)))
		for k := range policies {
			sums[i][k].Policy = policies[k].Name
			for _, seed := range set.seeds {
				group.Add(1)
				go func() {
					defer group.Done()
					slots <- struct{}{}
					defer func() { <-slots }()
					sim := newSimulation(&d, &set.scenarios[i], &policies[k], seed)
					sim.run()
					lock.Lock()
					defer lock.Unlock()
					sums[i][k].addRun(sim)
				}()
			}
		}
	}
	group.Wait()
	t.fillMeans(sums)
	return t
}

// fillMeans sets the rows of the table to means over runs. sums holds a row of
// sums for each trace and policy.
func (t *Table) fillMeans(sums [][]Row) {
	all := make([]Row, len(sums[0]))
	for i := range sums {
		rows := make([]Row, len(sums[i]))
		for k := range sums[i] {
			all[k].Policy = sums[i][k].Policy
			all[k].addRow(&sums[i][k])
			rows[k] = sums[i][k].means()
		}
		t.ByTrace = append(t.ByTrace, rows)
	}
	for k := range all {
		t.All = append(t.All, all[k].means())
	}
}

// Filter selects the sets and policies to run. An empty field selects all.
type Filter struct {
	Set    string
	Policy string
	// Totals omits the rows of single traces.
	Totals bool
}

// Print writes the tables of the selected sets and policies, for each
// deployment.
func Print(out io.Writer, f Filter) {
	var policies []Policy
	for _, p := range Policies() {
		if f.Policy == "" || f.Policy == p.Name {
			policies = append(policies, p)
		}
	}
	for _, set := range Sets() {
		if f.Set != "" && f.Set != set.Name || len(policies) == 0 {
			continue
		}
		for _, d := range deployments() {
			t := Run(set, d, policies)
			t.print(out, f.Totals)
		}
	}
}

// print writes the table; with totals, only the rows over all traces.
func (t *Table) print(out io.Writer, totals bool) {
	fmt.Fprintf(out, "\n%s, %s traces, seeds %v\n", t.Deployment, t.Set, t.Seeds)
	tab := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "trace\tpolicy\tgoodput %\tworst org %\trole changes\tcost\tcheap %\tharmed %\tlate first %\tslow tokens %\trefused %\tuntrue\tlate/wrong reports")
	for i, name := range t.Traces {
		if totals {
			break
		}
		for k := range t.ByTrace[i] {
			t.ByTrace[i][k].print(tab, name)
		}
		fmt.Fprintf(tab, "%s\tfluid upper bound\t%.1f\t\t\t\t\t\t\t\t\t\t\n", name, 100*t.Bounds[i])
	}
	for k := range t.All {
		t.All[k].print(tab, "ALL")
	}
	_ = tab.Flush()
}

// print writes the row with the name of its trace.
func (row *Row) print(out io.Writer, name string) {
	fmt.Fprintf(out, "%s\t%s\t%.1f\t%.1f\t%.1f\t%.2f\t%.0f\t%.2f\t%.1f\t%.1f\t%.1f\t%d\tn/a\n", name, row.Policy,
		100*row.Goodput, 100*row.Worst, row.RoleChanges, row.Cost, 100*row.Cheap, 100*row.Harmed, 100*row.Late, 100*row.Slow, 100*row.Refused, row.FalseWords)
}

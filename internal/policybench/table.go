package policybench

import (
	"fmt"
	"io"
	"sync"
	"text/tabwriter"
	"time"

	"zinniapin/target"
)

// Row holds the measures of one policy over some runs. Shares are of the
// requests offered.
type Row struct {
	Policy      string
	Offered     int
	Goodput     float64 // share served in time
	Worst       float64 // the same for the worst-served organisation, mean over runs
	RoleChanges float64 // a run
	Cost        float64 // reserved target-hours a run
	Cheap       float64 // share of requests that ran on reclaimable targets
	Harmed      float64 // share cut there and then not served in time
	Refused     float64 // share refused unrun
	Late        float64 // share whose first token came late or never, not refused
	Slow        float64 // share whose first token came in time and the others too slowly
	FalseWords  int     // refusals "not run" of requests that were sent
	runs        int
}

// measure adds the outcome of a run.
func (row *Row) measure(w *world) {
	good := make([]int, len(w.d.orgs))
	offered := make([]int, len(w.d.orgs))
	total := 0
	cheap, harmed, refused, late, slow := 0, 0, 0, 0, 0
	for _, r := range w.requests {
		offered[r.org]++
		if r.good() {
			good[r.org]++
			total++
		} else if r.harmed {
			harmed++
		}
		if r.cheap {
			cheap++
		}
		switch {
		case r.good() || r.refused:
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
	worst := 1.0
	for i := range good {
		worst = min(worst, share(good[i], offered[i]))
	}
	n := len(w.requests)
	row.Offered += n
	row.runs++
	row.Goodput += share(total, n)
	row.Worst += worst
	row.RoleChanges += float64(w.roleChanges)
	row.Cost += w.cost()
	row.Cheap += share(cheap, n)
	row.Harmed += share(harmed, n)
	row.Refused += share(refused, n)
	row.Late += share(late, n)
	row.Slow += share(slow, n)
}

// add merges another row over other runs.
func (row *Row) add(o *Row) {
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

// mean turns sums over runs into means.
func (row *Row) mean() Row {
	n := float64(max(1, row.runs))
	m := *row
	for _, x := range []*float64{&m.Goodput, &m.Worst, &m.RoleChanges, &m.Cost, &m.Cheap, &m.Harmed, &m.Refused, &m.Late, &m.Slow} {
		*x /= n
	}
	return m
}

// share is a part of a whole, 1 when there is no whole.
func share(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}

// firstTokenBound is the longest wanted time to the first token.
const firstTokenBound = 1500 * time.Millisecond

// good tells whether a request was served in time.
func (r *request) good() bool {
	if r.doneAt == 0 || !r.firstInTime() {
		return false
	}
	if r.output < 2 {
		return true
	}
	between := time.Duration(r.doneAt-r.firstAt).Seconds() / float64(r.output-1)
	return between <= tokenInterval
}

// firstInTime tells whether the first token came in time.
func (r *request) firstInTime() bool {
	return r.firstAt > 0 && r.firstAt-r.at <= int64(firstTokenBound)
}

// cost sums the target-hours of the pool, in reserved ones.
func (w *world) cost() float64 {
	sum := 0.0
	end := int64(w.s.length * float64(time.Second))
	for _, e := range w.engines {
		if e.target.Kind == target.Service {
			continue
		}
		left := end
		if e.dead {
			left = min(end, e.leftAt)
		}
		hours := time.Duration(max(0, left-e.joinedAt)).Hours()
		sum += hours * prices[e.target.Class]
	}
	return sum
}

// Set is a set of traces with its seeds.
type Set struct {
	Name      string
	scenarios []scenario
	seeds     []uint64
}

// Sets returns the traces over which constants were set, those over which none
// was, and those that were first run once everything was settled.
func Sets() []Set {
	return []Set{
		{Name: "tuned", scenarios: tunedScenarios(), seeds: []uint64{11, 12}},
		{Name: "held out", scenarios: heldOutScenarios(), seeds: []uint64{71, 72}},
		{Name: "fresh", scenarios: freshScenarios(), seeds: []uint64{901, 902}},
		{Name: "long prompts", scenarios: longTunedScenarios(), seeds: []uint64{11, 12}},
		{Name: "long prompts held out", scenarios: longHeldOutScenarios(), seeds: []uint64{71, 72}},
	}
}

// parallel bounds the runs at once.
const parallel = 4

// Table is the outcome of one set for one deployment: rows by trace, and over
// all traces.
type Table struct {
	Set, Deployment string
	Seeds           []uint64
	Traces          []string
	Bounds          []float64 // by trace: the fluid upper bound of the goodput
	ByTrace         [][]Row   // by trace, then policy
	All             []Row     // by policy
}

// Run runs every policy over a set for one deployment.
func Run(set Set, d deployment, policies []Policy) Table {
	t := Table{Set: set.Name, Deployment: d.name, Seeds: set.seeds}
	sums := make([][]Row, len(set.scenarios))
	var group sync.WaitGroup
	var lock sync.Mutex
	slots := make(chan struct{}, parallel)
	for i := range set.scenarios {
		t.Traces = append(t.Traces, set.scenarios[i].name)
		sums[i] = make([]Row, len(policies))
		bound := 0.0
		for _, seed := range set.seeds {
			bound += fluidBound(&d, &set.scenarios[i], trace(&d, &set.scenarios[i], seed))
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
					w := newWorld(&d, &set.scenarios[i], &policies[k], seed)
					w.run()
					lock.Lock()
					defer lock.Unlock()
					sums[i][k].measure(w)
				}()
			}
		}
	}
	group.Wait()
	t.summarise(sums)
	return t
}

// summarise means the sums over runs.
func (t *Table) summarise(sums [][]Row) {
	all := make([]Row, len(sums[0]))
	for i := range sums {
		rows := make([]Row, len(sums[i]))
		for k := range sums[i] {
			all[k].Policy = sums[i][k].Policy
			all[k].add(&sums[i][k])
			rows[k] = sums[i][k].mean()
		}
		t.ByTrace = append(t.ByTrace, rows)
	}
	for k := range all {
		t.All = append(t.All, all[k].mean())
	}
}

// Filter selects what is run; an empty field selects all.
type Filter struct {
	Set    string
	Policy string
	// Totals leaves the rows of single traces out.
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

// print writes one table.
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

// print writes one row.
func (row *Row) print(out io.Writer, name string) {
	fmt.Fprintf(out, "%s\t%s\t%.1f\t%.1f\t%.1f\t%.2f\t%.0f\t%.2f\t%.1f\t%.1f\t%.1f\t%d\tn/a\n", name, row.Policy,
		100*row.Goodput, 100*row.Worst, row.RoleChanges, row.Cost, 100*row.Cheap, 100*row.Harmed, 100*row.Late, 100*row.Slow, 100*row.Refused, row.FalseWords)
}

package verdict

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Rule names a promise.
type Rule string

// Rules. Usage is priced by the platform and not a promise; see Finding.Priced.
const (
	Mixed     Rule = "MIXED"
	Unasked   Rule = "UNASKED"
	Twice     Rule = "TWICE"
	Refused   Rule = "REFUSED"
	Denied    Rule = "DENIED"
	Budget    Rule = "BUDGET"
	Gone      Rule = "GONE"
	Lost      Rule = "LOST"
	Config    Rule = "CONFIG"
	Routing   Rule = "ROUTE"
	Drain     Rule = "DRAIN"
	LimitOf   Rule = "LIMIT"
	Quota     Rule = "QUOTA"
	Throttled Rule = "THROTTLED"
	Order     Rule = "ORDER"
	One       Rule = "ONE"
	Recover   Rule = "RECOVER"
	Fault     Rule = "FAULT"
	UsageDue  Rule = "USAGE"
)

// Finding is a promise that a run breaks.
type Finding struct {
	Rule Rule
	At   time.Time
	Text string
}

// Priced tells whether the finding costs something and breaks no promise.
func (f Finding) Priced() bool { return f.Rule == UsageDue }

// Check returns what a run breaks, in order of time.
func Check(r Run, b Bounds) []Finding {
	j := newJudge(r, b)
	for _, check := range []func(){
		j.answers, j.streams, j.unasked, j.runs, j.denied, j.routes,
		j.retryWindows, j.attempts, j.deadlines, j.crashers, j.besideCrashers,
		j.leaving, j.pauses, j.limits, j.quotas, j.throttled, j.applied, j.regressions, j.timeouts,
		j.gone, j.keptLost, j.plannedLost, j.configurationLost, j.silences, j.recovery, j.served, j.cutHosts, j.ownEnds, j.takenUp,
		j.usageCounts, j.fences, j.turns, j.staleCalls, j.usageDue,
	} {
		check()
	}
	slices.SortStableFunc(j.findings, func(a, b Finding) int { return a.At.Compare(b.At) })
	return j.findings
}

// judge holds a run with what the checks look up in it.
type judge struct {
	Run
	bounds      Bounds
	findings    []Finding
	request     map[string]*Request
	arrivals    map[string][]*Arrival // by request
	target      map[string]Target
	disruptions map[string][]Disruption // by host
	crashes     map[string][]Crash      // by target
}

// newJudge sorts a run and indexes it.
func newJudge(r Run, b Bounds) *judge {
	j := &judge{Run: r, bounds: b, request: make(map[string]*Request), arrivals: make(map[string][]*Arrival),
		target: make(map[string]Target), disruptions: make(map[string][]Disruption), crashes: make(map[string][]Crash)}
	j.Requests, j.Arrivals, j.Duties = slices.Clone(r.Requests), slices.Clone(r.Arrivals), slices.Clone(r.Duties)
	slices.SortStableFunc(j.Requests, func(a, b Request) int { return a.Sent.Compare(b.Sent) })
	slices.SortStableFunc(j.Arrivals, func(a, b Arrival) int { return a.At.Compare(b.At) })
	slices.SortStableFunc(j.Duties, func(a, b DutyCall) int { return a.At.Compare(b.At) })
	for i := range j.Requests {
		j.request[j.Requests[i].ID] = &j.Requests[i]
	}
	for i := range j.Arrivals {
		a := &j.Arrivals[i]
		j.arrivals[a.Request] = append(j.arrivals[a.Request], a)
	}
	for _, t := range r.Targets {
		j.target[t.ID] = t
	}
	for _, d := range r.Disruptions {
		j.disruptions[d.Host] = append(j.disruptions[d.Host], d)
	}
	for _, c := range r.Crashes {
		j.crashes[c.Target] = append(j.crashes[c.Target], c)
	}
	return j
}

// find records a finding.
func (j *judge) find(rule Rule, at time.Time, format string, args ...any) {
	j.findings = append(j.findings, Finding{rule, at, fmt.Sprintf(format, args...)})
}

// disturbed tells whether a host, or the store if host is empty, was disrupted between two times.
func (j *judge) disturbed(host string, from, to time.Time, kinds ...Kind) bool {
	return slices.ContainsFunc(j.disruptions[host], func(d Disruption) bool {
		return slices.Contains(kinds, d.Kind) && !d.From.After(to) && d.To.After(from)
	})
}

// inTouch tells whether a host, and the store, had been undisturbed for the contact time.
func (j *judge) inTouch(host string, at time.Time) bool {
	from := at.Add(-j.bounds.Contact)
	return !j.disturbed(host, from, at, Harm, Restart, Term) && !j.disturbed("", from, at, Harm, Restart)
}

// crashed tells whether a target crashed between two times; a zero end is that of the run.
func (j *judge) crashed(target string, from, to time.Time) bool {
	return slices.ContainsFunc(j.crashes[target], func(c Crash) bool {
		return !c.At.Before(from) && (to.IsZero() || !c.At.After(to))
	})
}

// brokeOff tells whether the target itself broke off what it did for an arrival.
func (j *judge) brokeOff(a *Arrival) bool {
	return a.BrokeOff || j.crashed(a.Target, a.At, a.Ended)
}

// route returns what the newest configuration that has a request's route says of it.
func (j *judge) route(r *Request) Route {
	for _, c := range slices.Backward(j.Configurations) {
		if found, ok := c.Routes[r.Route]; ok {
			return found
		}
	}
	return Route{}
}

// between returns how many of the sorted times lie in [from, to).
func between(sorted []time.Time, from, to time.Time) int {
	first, _ := slices.BinarySearchFunc(sorted, from, time.Time.Compare)
	end, _ := slices.BinarySearchFunc(sorted, to, time.Time.Compare)
	return end - first
}

// sortedKeys returns the keys of a map in order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// succeeded tells whether a request got a complete success.
func (r *Request) succeeded() bool { return r.Complete && r.Status/100 == 2 }

// timeUp tells whether a request ended since its time was over.
func (r *Request) timeUp(timeout time.Duration) bool {
	const tolerance = 50 * time.Millisecond // of the clocks of host and caller
	used := r.End.Sub(r.Sent) + tolerance
	return r.Deadline > 0 && used >= r.Deadline || timeout > 0 && used >= timeout
}

// InTouch returns how many requests were sent to hosts in touch, for which all promises hold.
func InTouch(r Run, b Bounds) int {
	j := newJudge(r, b)
	n := 0
	for i := range j.Requests {
		if j.inTouch(j.Requests[i].Host, j.Requests[i].Sent) {
			n++
		}
	}
	return n
}

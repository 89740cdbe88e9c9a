package dispatch

import (
	"time"

	"zinniapin/target"
)

// Hosts tell their peers how their exchanges with targets ended. In a large fleet one host
// sends a given target a request once in minutes: alone it would learn neither that the target
// is dead nor how fast it is before that has changed.

// Report is what a host has observed of a target since its last report.
type Report struct {
	Target uint32 // as by KeyOf
	// Answered, Failed and Unreachable count exchanges by Outcome.
	Answered, Failed, Unreachable int
	Samples                       []Sample
	OutputSamples                 []OutputSample
	// Leaving is set if the target said that it leaves. It and OutputSamples are of the incarnation
	// that began at StartedMillis.
	Leaving       bool
	StartedMillis int64
	// Slowdown is the newest one that the target reported, as the incarnation that began at StartedMillis, in a
	// response at SlowdownAt; 0 if there is none to tell.
	Slowdown   int
	SlowdownAt time.Time
}

// Sample is the time that a target took for a prompt.
type Sample struct {
	Uncached int     // prompt tokens that it had to process
	Prompt   int     // all prompt tokens
	Backlog  int     // prompt tokens that were pending there before, as far as the host knew
	Millis   float64 // until the first token, or until the end of a prefill
}

const (
	// maxReportedSamples bounds the samples of each kind in a report.
	maxReportedSamples = 4
	// maxCountedOutcomes bounds the exchanges of one kind that a report counts for.
	maxCountedOutcomes = 3
)

// report returns the report on a target that TakeReports will return next.
func (p *Planner) report(id target.ID) *Report {
	r := p.reports[id]
	if r == nil {
		r = &Report{Target: KeyOf(id)}
		p.reports[id] = r
	}
	return r
}

// reportOutcome counts an exchange in the report on a target.
func (p *Planner) reportOutcome(now time.Time, id target.ID, o Outcome) {
	if o == Unreachable {
		p.withhold(now, id)
		return
	}
	if s := p.targets[id]; s != nil && !p.lostLinks[id] {
		p.confirm(now, s)
	}
	if o == Answered {
		p.report(id).Answered++
	} else {
		p.report(id).Failed++
	}
}

// TakeReports returns the reports since the last call.
func (p *Planner) TakeReports() []Report {
	taken := make([]Report, 0, len(p.reports))
	for _, r := range p.reports {
		taken = append(taken, *r)
	}
	clear(p.reports)
	return taken
}

// ApplyReport takes a peer's report into account like exchanges of this host. The order of the
// exchanges is not known; answers count last, so that a target which answers is not
// quarantined.
func (p *Planner) ApplyReport(now time.Time, host string, r Report) {
	s := p.byKey[r.Target]
	if s == nil {
		return
	}
	if r.Leaving {
		if n := p.noticeOf(now, s.target.ID, r.StartedMillis); n != nil {
			n.leave(now)
		}
	}
	p.applySlowdown(now, s, r)
	for _, sample := range r.Samples {
		p.observeSample(now, s, sample, reportedFactorWeight)
	}
	p.applyOutputSamples(now, s, &r)
	for _, counted := range []struct {
		outcome Outcome
		n       int
	}{{Unreachable, r.Unreachable}, {Failed, r.Failed}, {Answered, r.Answered}} {
		for range min(counted.n, maxCountedOutcomes) {
			p.observeOutcome(now, s, counted.outcome, host)
		}
	}
}

package dispatch

import (
	"time"

	"zinniapin/target"
)

// candidate is a target that could take a job, with the forecast for it.
type candidate struct {
	state     *state
	from      *state        // source of a fetch, or nil
	uncached  int           // prompt tokens that the target has to process
	wait      time.Duration // forecast time in the target's queue
	forecast  time.Duration // until the first token, or the answer of a plain service; includes wait
	cost      float64       // Plan takes a candidate of about the least cost
	lastToken time.Duration // forecast time until the last token of the careful output length
	loadAge   time.Duration
	slowdown  float64 // of the target, as a factor
}

// pickCheapest returns the candidate with the least cost, or a random one of those
// within tieMargin of it.
func (p *Planner) pickCheapest(all []candidate) *candidate {
	least := all[0].cost
	for i := range all {
		least = min(least, all[i].cost)
	}
	near := 0
	for i := range all {
		if all[i].cost-least < tieMargin {
			near++
		}
	}
	if near == 0 {
		return &all[0] // a cost is not a number
	}
	chosen := p.random.IntN(near)
	for i := range all {
		if all[i].cost-least < tieMargin {
			if chosen == 0 {
				return &all[i]
			}
			chosen--
		}
	}
	return &all[0] // not reached
}

// acceptsVersion tells whether a job may run at the version of a target.
func (j *Job) acceptsVersion(s *state) bool { return !j.VersionFixed || s.target.Version == j.Version }

// usable tells whether a target may be sent a job: it takes requests, is not excluded and is of the
// version at which the job has to run.
func (j *Job) usable(now time.Time, s *state, exclude map[target.ID]bool) bool {
	if j.SkipPrefill && s.target.Role == target.Prefill {
		return false
	}
	return !s.target.Draining && !s.notice.left() && !s.notice.closed(now) && !exclude[s.target.ID] && j.acceptsVersion(s) && s.notice.allows(now)
}

// HasDecode tells whether a target could produce the output of a job.
func (p *Planner) HasDecode(now time.Time, j Job, exclude map[target.ID]bool) bool {
	for _, s := range p.services[j.Service] {
		if s.target.Role != target.Prefill && j.usable(now, s, exclude) {
			return true
		}
	}
	return false
}

// HasOther tells whether a job could run at another target than the given one.
func (p *Planner) HasOther(now time.Time, j Job, id target.ID, exclude map[target.ID]bool) bool {
	for _, s := range p.services[j.Service] {
		if s.target.ID != id && j.usable(now, s, exclude) {
			return true
		}
	}
	return false
}

// candidates returns the targets that could take a job. Quarantined ones are among
// them only if there are no others. Targets that only process prompts come last, since
// their cost includes that of the best output elsewhere. The result is valid until the
// next call.
func (p *Planner) candidates(now time.Time, j Job, exclude map[target.ID]bool) []candidate {
	healthy, quarantined := p.scratch[:0], p.quarantinedScratch[:0]
	owner, holders, terms := p.cacheOwner(now, j), p.cacheHolders(now, j, exclude), p.outputTermsOf(now, &j)
	for _, prefill := range []bool{false, true} {
		for _, s := range p.services[j.Service] {
			if (s.target.Role == target.Prefill) != prefill || !j.usable(now, s, exclude) {
				continue
			}
			c := p.forecast(now, j, s, owner, holders, &terms)
			if s.quarantined(now) {
				quarantined = append(quarantined, c)
			} else {
				healthy = append(healthy, c)
			}
		}
	}
	p.scratch, p.quarantinedScratch = healthy, quarantined
	if len(healthy) == 0 {
		return quarantined
	}
	return healthy
}

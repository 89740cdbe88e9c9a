package spending

import (
	"math"
	"time"

	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/provider"
	"zinniapin/target"
	"zinniapin/zone"
)

const (
	// tokenInterval is the longest wanted time between output tokens, seconds.
	tokenInterval = 0.046
	// backlogSpan is the time within which a backlog of prompt tokens should
	// be worked off, seconds.
	backlogSpan = 4.0
	// busyPrefill is the share of an engine that prefill takes while it lasts.
	busyPrefill = 0.5
)

// place is a class of targets in a zone.
type place struct {
	zone  zone.Name
	class target.Class
}

// arrival is a bought target that has not shown up yet.
type arrival struct {
	place place
	until time.Time
	seen  int // targets of the place when it was bought
}

// poolState is what the planner keeps of one pool.
type poolState struct {
	known   bool
	last    time.Time
	counts  map[place]int
	work    float64 // smoothed, in targets' worth
	wait    float64 // smoothed, seconds
	refused float64 // smoothed share
	stable  float64 // smoothed share
	// stableOnly is the smoothed share that no reclaimable target may run.
	stableOnly float64
	promised   float64 // work promised service, in targets' worth
	bound      float64 // work bound to targets that cannot be reclaimed
	expected   []arrival
	needSince  time.Time
	idleSince  time.Time
}

// observe averages the figures of a view.
func (s *poolState) observe(now time.Time, pool string, v *View, settings Settings) {
	work, reports := s.countTargets(pool, v)
	s.meet(now)
	if reports == 0 {
		return
	}
	weight := 1.0
	if s.known {
		weight = 1 - math.Exp(-now.Sub(s.last).Seconds()/settings.AveragingWindow.Seconds())
	}
	s.work += weight * (work - s.work)
	for _, q := range v.Queues {
		if q.Pool == pool {
			s.wait += weight * (q.Wait - s.wait)
			s.refused += weight * (q.Refused - s.refused)
			s.stable += weight * (q.StableShare - s.stable)
			s.stableOnly += weight * (q.StableOnlyShare - s.stableOnly)
		}
	}
	s.promised = s.work * s.stable
	s.bound = s.work * s.stableOnly
	s.last, s.known = now, true
}

// countTargets counts live targets by place and sums their work.
func (s *poolState) countTargets(pool string, v *View) (work float64, reports int) {
	s.counts = map[place]int{}
	for i := range v.Targets {
		t := &v.Targets[i]
		if t.Target.Pool != pool || t.State != provider.Live {
			continue
		}
		s.counts[place{t.Target.Zone, t.Target.Class}]++
		if !t.Report.Taken.IsZero() {
			reports++
			work += workOf(&t.Report)
		}
	}
	return work, reports
}

// workOf is how busy a target is; above 1 it has a backlog.
func workOf(r *target.Report) float64 {
	limit := float64(r.Capacity)
	if r.DecodeRate > 0 {
		limit = min(limit, r.DecodeRate*tokenInterval)
	}
	work := float64(r.Running+r.Waiting) / max(1, limit)
	if r.PrefillRate > 0 && r.PrefillTokens > 0 {
		busy := busyPrefill
		if r.Role == target.Prefill {
			busy = 1
		}
		work += busy + float64(r.PrefillTokens)/r.PrefillRate/backlogSpan
	}
	return work
}

// meet drops the arrivals that showed up or are overdue.
func (s *poolState) meet(now time.Time) {
	kept := s.expected[:0]
	for _, a := range s.expected {
		if s.counts[a.place] <= a.seen && now.Before(a.until) {
			kept = append(kept, a)
		}
	}
	s.expected = kept
}

// expect notes targets that were granted.
func (s *poolState) expect(until time.Time, step Step, count int) {
	at := place{step.Zone, step.Class}
	seen := s.counts[at]
	for _, a := range s.expected {
		if a.place == at {
			seen++
		}
	}
	for i := range count {
		s.expected = append(s.expected, arrival{at, until, seen + i})
	}
}

// arriving is the number of targets bought and not there yet.
func (s *poolState) arriving() int {
	return len(s.expected)
}

// there is the number of live targets.
func (s *poolState) there() int {
	n := 0
	for _, count := range s.counts {
		n += count
	}
	return n
}

// total counts the targets of a class, there and arriving.
func (s *poolState) total(c target.Class) int {
	n := 0
	for at, count := range s.counts {
		if at.class == c {
			n += count
		}
	}
	for _, a := range s.expected {
		if a.place.class == c {
			n++
		}
	}
	return n
}

// inZone counts the targets of a class in a zone, there and arriving; an
// empty class counts all.
func (s *poolState) inZone(z zone.Name, c target.Class) int {
	n := 0
	for at, count := range s.counts {
		if at.zone == z && (c == "" || at.class == c) {
			n += count
		}
	}
	for _, a := range s.expected {
		if a.place.zone == z && (c == "" || a.place.class == c) {
			n++
		}
	}
	return n
}

// afterZoneLoss is the number of targets left, there and arriving, when the
// zone with the most reclaimable ones loses them all.
func (s *poolState) afterZoneLoss() float64 {
	worst := 0
	for at, count := range s.counts {
		if at.class == target.Reclaimable {
			worst = max(worst, count)
		}
	}
	return float64(s.there() + s.arriving() - worst)
}

// keepsPromises tells whether the promised work is served in time even when a
// zone loses all its reclaimable targets.
func (s *poolState) keepsPromises(settings Settings) bool {
	stable := float64(s.there() + s.arriving() - s.total(target.Reclaimable))
	return s.afterZoneLoss()*settings.GuaranteedUtilisation >= s.promised && stable*settings.GuaranteedUtilisation >= s.bound
}

// utilisation is the work for each target.
func (s *poolState) utilisation() float64 {
	return s.work / float64(max(1, s.there()))
}

// needs tells whether queueing shows that targets are wanted.
func (s *poolState) needs(settings Settings) bool {
	return s.wait > settings.BuyWait || s.refused > settings.BuyRefusedShare || s.utilisation() > settings.BuyUtilisation
}

// shortage is how many more targets the work wants, at least 1.
func (s *poolState) shortage(settings Settings) int {
	missing := s.work/settings.BuyUtilisation - float64(s.there()) + s.refused*float64(s.there())
	return max(1, int(math.Ceil(missing)))
}

// missedLess tells whether target a is missed less than b.
func (s *poolState) missedLess(a, b *control.TargetState, c target.Class) bool {
	na, nb := s.inZone(a.Target.Zone, c), s.inZone(b.Target.Zone, c)
	if na != nb {
		return na > nb
	}
	return workOf(&a.Report) < workOf(&b.Report)
}

// step returns a step that buys one target.
func (s *poolState) step(pool *contract.Pool, z zone.Name, c target.Class, reason Reason) Step {
	return Step{Pool: pool.Name, Zone: z, Class: c, Count: 1, Reason: reason, Figures: s.figures()}
}

// figures returns what a decision rests on.
func (s *poolState) figures() Figures {
	return Figures{
		Utilisation: s.utilisation(),
		Wait:        s.wait,
		Refused:     s.refused,
		StableShare: s.stable,
		Targets:     s.there() + s.arriving(),
		Reclaimable: s.total(target.Reclaimable),
	}
}

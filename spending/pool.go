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
	// maxTokenInterval is the longest acceptable time between output tokens, in
	// seconds.
	maxTokenInterval = 0.046
	// backlogClearTime is the time within which a backlog of prompt tokens should be
	// processed, in seconds.
	backlogClearTime = 4.0
	// prefillShare is the share of an engine that prefill takes while there are prompt
	// tokens to process.
	prefillShare = 0.5
)

// zoneClass identifies the targets of a class in a zone.
type zoneClass struct {
	zone  zone.Name
	class target.Class
}

// pendingArrival is a bought target that is not live yet. It counts as arrived once the zone
// has more than countBefore live targets of the class.
type pendingArrival struct {
	zoneClass   zoneClass
	deadline    time.Time
	countBefore int // live targets and earlier pending arrivals of zoneClass when it was bought
}

// poolState is the planner's state of one pool.
type poolState struct {
	observed     bool
	lastObserved time.Time
	counts       map[zoneClass]int
	work         float64 // smoothed, in targets
	wait         float64 // smoothed, seconds
	refusedShare float64 // smoothed share
	stableShare  float64 // smoothed; see Queue.StableShare
	// stableOnlyShare is smoothed; see Queue.StableOnlyShare.
	stableOnlyShare float64
	guaranteedWork  float64 // work with guaranteed service, in targets
	stableOnlyWork  float64 // work that must not run on reclaimable targets, in targets
	pendingArrivals []pendingArrival
	needSince       time.Time // start of the need for more targets; zero if there is none
	idleSince       time.Time // since when one target fewer would suffice; zero if it would not
}

// observe updates the averages with the figures of a view.
func (s *poolState) observe(now time.Time, pool string, v *View, settings Settings) {
	work, reports := s.countTargets(pool, v)
	s.dropArrived(now)
	if reports == 0 {
		return
	}
	weight := 1.0
	if s.observed {
		weight = 1 - math.Exp(-now.Sub(s.lastObserved).Seconds()/settings.AveragingWindow.Seconds())
	}
	s.work += weight * (work - s.work)
	for _, q := range v.Queues {
		if q.Pool == pool {
			s.wait += weight * (q.Wait - s.wait)
			s.refusedShare += weight * (q.Refused - s.refusedShare)
			s.stableShare += weight * (q.StableShare - s.stableShare)
			s.stableOnlyShare += weight * (q.StableOnlyShare - s.stableOnlyShare)
		}
	}
	s.guaranteedWork = s.work * s.stableShare
	s.stableOnlyWork = s.work * s.stableOnlyShare
	s.lastObserved, s.observed = now, true
}

// countTargets counts the live targets by zone and class. It returns the sum of their
// work and the number of them that have reported.
func (s *poolState) countTargets(pool string, v *View) (work float64, reports int) {
	s.counts = map[zoneClass]int{}
	for i := range v.Targets {
		t := &v.Targets[i]
		if t.Target.Pool != pool || t.State != provider.Live {
			continue
		}
		s.counts[zoneClass{t.Target.Zone, t.Target.Class}]++
		if !t.Report.ReceivedAt.IsZero() {
			reports++
			work += targetWork(&t.Report)
		}
	}
	return work, reports
}

// targetWork returns the work that a target reports, relative to what it can do. Above 1
// it has a backlog.
func targetWork(r *target.Report) float64 {
	limit := float64(r.Capacity)
	if r.DecodeRate > 0 {
		limit = min(limit, r.DecodeRate*maxTokenInterval)
	}
	work := float64(r.Running+r.Waiting) / max(1, limit)
	if r.PrefillRate > 0 && r.PrefillTokens > 0 {
		busy := prefillShare
		if r.Role == target.Prefill {
			busy = 1
		}
		work += busy + float64(r.PrefillTokens)/r.PrefillRate/backlogClearTime
	}
	return work
}

// dropArrived removes the pending arrivals that are live or overdue.
func (s *poolState) dropArrived(now time.Time) {
	kept := s.pendingArrivals[:0]
	for _, a := range s.pendingArrivals {
		if s.counts[a.zoneClass] <= a.countBefore && now.Before(a.deadline) {
			kept = append(kept, a)
		}
	}
	s.pendingArrivals = kept
}

// addPending records targets that the platform has granted.
func (s *poolState) addPending(deadline time.Time, step Step, count int) {
	at := zoneClass{step.Zone, step.Class}
	countBefore := s.counts[at]
	for _, a := range s.pendingArrivals {
		if a.zoneClass == at {
			countBefore++
		}
	}
	for i := range count {
		s.pendingArrivals = append(s.pendingArrivals, pendingArrival{at, deadline, countBefore + i})
	}
}

// arriving returns the number of bought targets that are not live yet.
func (s *poolState) arriving() int {
	return len(s.pendingArrivals)
}

// live returns the number of live targets.
func (s *poolState) live() int {
	n := 0
	for _, count := range s.counts {
		n += count
	}
	return n
}

// countClass counts the targets of a class, live and arriving.
func (s *poolState) countClass(c target.Class) int {
	n := 0
	for at, count := range s.counts {
		if at.class == c {
			n += count
		}
	}
	for _, a := range s.pendingArrivals {
		if a.zoneClass.class == c {
			n++
		}
	}
	return n
}

// countInZone counts the targets of a class in a zone, live and arriving; an empty class
// counts all.
func (s *poolState) countInZone(z zone.Name, c target.Class) int {
	n := 0
	for at, count := range s.counts {
		if at.zone == z && (c == "" || at.class == c) {
			n += count
		}
	}
	for _, a := range s.pendingArrivals {
		if a.zoneClass.zone == z && (c == "" || a.zoneClass.class == c) {
			n++
		}
	}
	return n
}

// afterZoneLoss returns the number of targets, live and arriving, that are left if the
// zone with the most reclaimable ones loses them all.
func (s *poolState) afterZoneLoss() float64 {
	worst := 0
	for at, count := range s.counts {
		if at.class == target.Reclaimable {
			worst = max(worst, count)
		}
	}
	return float64(s.live() + s.arriving() - worst)
}

// meetsGuarantee tells whether the guaranteed work is served in time even if a zone loses
// all its reclaimable targets, and the work that must not run on reclaimable targets is
// served by the others.
func (s *poolState) meetsGuarantee(settings Settings) bool {
	stable := float64(s.live() + s.arriving() - s.countClass(target.Reclaimable))
	return s.afterZoneLoss()*settings.GuaranteedUtilisation >= s.guaranteedWork && stable*settings.GuaranteedUtilisation >= s.stableOnlyWork
}

// utilisation returns the work per live target.
func (s *poolState) utilisation() float64 {
	return s.work / float64(max(1, s.live()))
}

// needsTargets tells whether the queueing or the utilisation calls for more targets.
func (s *poolState) needsTargets(settings Settings) bool {
	return s.wait > settings.BuyWait || s.refusedShare > settings.BuyRefusedShare || s.utilisation() > settings.BuyUtilisation
}

// shortage returns how many more targets the work requires, at least 1.
func (s *poolState) shortage(settings Settings) int {
	missing := s.work/settings.BuyUtilisation - float64(s.live()) + s.refusedShare*float64(s.live())
	return max(1, int(math.Ceil(missing)))
}

// releasedBefore tells whether target a should be released rather than b: it is in a zone
// with more targets of the class or, if both have as many, it has less work.
func (s *poolState) releasedBefore(a, b *control.TargetState, c target.Class) bool {
	na, nb := s.countInZone(a.Target.Zone, c), s.countInZone(b.Target.Zone, c)
	if na != nb {
		return na > nb
	}
	return targetWork(&a.Report) < targetWork(&b.Report)
}

// buyStep returns a step that buys one target.
func (s *poolState) buyStep(pool *contract.Pool, z zone.Name, c target.Class, reason Reason) Step {
	return Step{Pool: pool.Name, Zone: z, Class: c, Count: 1, Reason: reason, Figures: s.figures()}
}

// figures returns the figures on which decisions are based.
func (s *poolState) figures() Figures {
	return Figures{
		Utilisation: s.utilisation(),
		Wait:        s.wait,
		Refused:     s.refusedShare,
		StableShare: s.stableShare,
		Targets:     s.live() + s.arriving(),
		Reclaimable: s.countClass(target.Reclaimable),
	}
}

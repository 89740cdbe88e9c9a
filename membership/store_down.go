package membership

import (
	"slices"
	"time"

	"zinniapin/machine"
)

const (
	// StoreFailureTTL is how long a failed call to the object API, counted from
	// the start of the call, is evidence that the caller cannot reach the API.
	// Controllers that call the API repeat the call within that time.
	StoreFailureTTL = 6 * time.Second
	// minFailedCallers is the number of controllers with a failed call that is
	// enough evidence that the object API is down for all controllers in reach.
	// More cannot be asked for, as only some controllers call the API.
	minFailedCallers = 4
)

// StoreDown tells whether a majority of the controllers report that they cannot
// reach the object API, and returns the greatest age that this finding may have.
//
// The majority is one of the known controllers, including those that have failed,
// or of expected controllers if that number is higher. Thus a few controllers that
// have just started, or are partitioned off together, are no majority. In addition
// minFailedCallers controllers, or a majority if that is fewer, must report a
// failed call.
//
// The age is the sum of StoreFailureTTL, which is how old the failed call may be
// when it is reported, and the age of the oldest report that the finding needs. A
// report may be older by extraBeatDelay only because the mesh is large; that part
// is not counted. A report's age counts from its arrival and includes pauses of
// this process, so that reports from before a partition age during it.
func (t *Table) StoreDown(now time.Time, expected int) (age time.Duration, down bool) {
	if !t.self.Settled {
		return 0, false
	}
	var unreachable, failed []time.Duration // ages of the reports
	for _, m := range Controllers(t.Members(now), "") {
		reportAge := t.lastBeatAge(t.entries[m.Process.Incarnation], now)
		if !m.StoreReachable {
			unreachable = append(unreachable, reportAge)
		}
		if m.StoreFailed {
			failed = append(failed, reportAge)
		}
	}
	needed := max(expected, t.KnownHostCount(now, machine.Controller))/2 + 1
	neededFailed := min(needed, minFailedCallers)
	if len(unreachable) < needed || len(failed) < neededFailed {
		return 0, false
	}
	oldest := max(nthSmallest(unreachable, needed), nthSmallest(failed, neededFailed))
	return StoreFailureTTL + max(0, oldest-extraBeatDelay(len(t.entries))), true
}

// nthSmallest sorts ages and returns the nth smallest, counted from 1.
func nthSmallest(ages []time.Duration, n int) time.Duration {
	slices.Sort(ages)
	return ages[n-1]
}

// StoreFailed tells whether any live controller reports a failed call to the
// object API.
func (t *Table) StoreFailed(now time.Time) bool {
	failed := func(m Member) bool { return m.StoreFailed }
	return slices.ContainsFunc(Controllers(t.Members(now), ""), failed)
}

// extraBeatDelay returns how much older the last beats of live processes can be
// in a mesh of n processes than in the smallest mesh.
func extraBeatDelay(n int) time.Duration {
	return BeatInterval(n) + spreadTime(n) - BeatInterval(0) - spreadTime(0)
}

// lastBeatAge returns the time since a process's last higher beat came, at most
// forgetAfter. It includes pauses of this process.
func (t *Table) lastBeatAge(e *entry, now time.Time) time.Duration {
	if e == t.self {
		return 0
	}
	if e.lastBeatUnadjusted.IsZero() {
		return forgetAfter
	}
	return min(now.Sub(e.lastBeatUnadjusted), forgetAfter)
}

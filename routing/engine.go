package routing

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniapin/control"
	"zinniapin/target"
	"zinniapin/zone"
)

// Parameters of the cost estimates. Times and costs are in seconds.
const (
	// maxTokenInterval is the longest acceptable time between two output tokens of a stream.
	maxTokenInterval = 0.046
	// defaultServiceTime is assumed until requests to a target have been timed.
	defaultServiceTime = 0.1
	// serviceTimeWeight is the weight of a new sample in the moving average of service times.
	serviceTimeWeight = 0.05
	// crowdedFraction is the fraction of the batch limit beyond which a request is charged
	// crowdedCost, pro rata of the batch limit.
	crowdedFraction = 0.8
	crowdedCost     = 4.0
	// batchCost is charged for a full batch, pro rata, so that idle engines come first.
	batchCost = 0.05
	// mixedPrefillFraction is the fraction of its prefill rate that an engine achieves while
	// it also decodes. mixedBatchFraction is the fraction of its batch limit that applies
	// while it also processes prompts.
	mixedPrefillFraction = 0.55
	mixedBatchFraction   = 0.40
	// otherZoneCost and otherRegionCost are charged for a target in another zone of the region
	// and in another region: a nearer target is preferred unless it is slower by more than
	// that.
	otherZoneCost   = 0.010
	otherRegionCost = 0.150
	// transferSecondsPerToken is the time per prompt token to move the KV cache from the
	// prefill engine to the decode engine.
	transferSecondsPerToken = 2e-6
	// expectedCachedFraction is the fraction of a prompt whose KV cache the affinity target is
	// expected to hold.
	expectedCachedFraction = 0.5
)

// Parameters of back-off after failures and of slow start.
const (
	backoffMin    = 500 * time.Millisecond
	backoffMax    = 30 * time.Second
	slowStartSpan = 10 * time.Second
	// slowStartMin is the fraction of its batch limit with which a new target begins.
	slowStartMin = 0.2
)

// unreportedRequest is a request that this gateway sent after the target's latest report was
// taken.
type unreportedRequest struct {
	sentAt int64 // Unix time, nanoseconds
	tokens int   // prompt tokens; 0 if the target only decodes
}

// engine is the state of one target in the router. Targets of plain services have one as well.
type engine struct {
	state         control.TargetState
	target        *target.Target // replaced and never modified, so that a Choice may refer to it
	hash          uint64         // of the target ID, for rendezvous hashing
	distance      zone.Distance
	models        uint64 // bits of the loaded models, see pool.models
	inView        bool   // contained in the latest view
	joinedAt      int64  // Unix time, nanoseconds; 0 if it was in the first view
	reportTakenAt int64  // when the target took the report; Unix time, nanoseconds

	inflight           int // this gateway's requests in progress at the target
	unreported         int // of these, sent after the report was taken
	endedSinceReport   int // this gateway's requests that the report counts and that have ended since
	unreportedRequests []unreportedRequest
	prefillBusyUntil   int64 // when the known prefill work ends; Unix time, nanoseconds

	failures    int     // consecutive failures
	retryAt     int64   // end of the back-off; Unix time, nanoseconds
	probing     bool    // a probe request is in progress after a back-off
	serviceTime float64 // moving average, seconds

	cost float64 // in the decision in progress, seconds
}

// initialUnreportedCapacity is the initial capacity of engine.unreportedRequests.
const initialUnreportedCapacity = 16

// newEngine returns the state of a target that has not been seen before.
func newEngine(id target.ID) *engine {
	return &engine{
		hash:               xxhash.Sum64String(string(id)),
		serviceTime:        defaultServiceTime,
		unreportedRequests: make([]unreportedRequest, 0, initialUnreportedCapacity),
	}
}

// unixNanos converts a time to Unix nanoseconds, and the zero time to 0.
func unixNanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// update takes over a row of the target view. An older report of the same boot is ignored.
func (e *engine) update(s *control.TargetState) {
	if e.target == nil || *e.target != s.Target {
		t := s.Target
		e.target = &t
	}
	takenAt := unixNanos(s.Report.ReceivedAt)
	newer := takenAt > e.reportTakenAt || s.Report.Boot != e.state.Report.Boot
	if !newer {
		report := e.state.Report
		e.state = *s
		e.state.Report = report
		return
	}
	e.state = *s
	e.reportTakenAt = takenAt
	e.endedSinceReport = 0
	e.reconcileReport()
}

// reconcileReport drops the requests that the new report already counts, and recomputes when
// the known prefill work ends.
func (e *engine) reconcileReport() {
	r := &e.state.Report
	e.prefillBusyUntil = e.reportTakenAt + e.prefillNanos(r.PrefillTokens)
	kept := e.unreportedRequests[:0]
	e.unreported = 0
	for _, s := range e.unreportedRequests {
		if s.sentAt <= e.reportTakenAt {
			continue
		}
		kept = append(kept, s)
		e.unreported++
		e.prefillBusyUntil = max(e.prefillBusyUntil, s.sentAt) + e.prefillNanos(s.tokens)
	}
	e.unreportedRequests = kept
}

// prefillNanos returns how long the target needs to process prompt tokens, in nanoseconds; 0
// if its rate is unknown.
func (e *engine) prefillNanos(tokens int) int64 {
	if e.state.Report.PrefillRate <= 0 {
		return 0
	}
	return int64(float64(tokens) / e.state.Report.PrefillRate * float64(time.Second))
}

// countSent counts a request in progress with that many prompt tokens to process.
func (e *engine) countSent(now int64, tokens int) {
	e.inflight++
	e.unreported++
	e.unreportedRequests = append(e.unreportedRequests, unreportedRequest{now, tokens})
	e.prefillBusyUntil = max(e.prefillBusyUntil, now) + e.prefillNanos(tokens)
}

// countEnded removes a request that was sent at the given time from the counts.
func (e *engine) countEnded(sentAt int64) {
	e.inflight--
	if sentAt <= e.reportTakenAt {
		e.endedSinceReport++
		return
	}
	for i := range e.unreportedRequests {
		if e.unreportedRequests[i].sentAt == sentAt {
			last := len(e.unreportedRequests) - 1
			e.unreportedRequests[i] = e.unreportedRequests[last]
			e.unreportedRequests = e.unreportedRequests[:last]
			e.unreported--
			return
		}
	}
}

// estimatedBatch estimates the number of requests at the target: those in its report,
// corrected by what this gateway has sent and seen end since.
func (e *engine) estimatedBatch() float64 {
	r := &e.state.Report
	n := r.Running + r.Waiting - e.endedSinceReport + e.unreported
	return float64(max(n, e.inflight))
}

// batchLimit returns the batch up to which output tokens come within maxTokenInterval;
// infinity if the report has no limit.
func (e *engine) batchLimit(now int64) float64 {
	r := &e.state.Report
	limit := math.Inf(1)
	if r.Capacity > 0 {
		limit = float64(r.Capacity)
	}
	if r.DecodeRate > 0 {
		limit = min(limit, r.DecodeRate*maxTokenInterval)
	}
	return max(1, limit*e.slowStartFactor(now))
}

// slowStartFactor returns the fraction of its batch limit that a new target gets: it rises
// from slowStartMin to 1 over slowStartSpan.
func (e *engine) slowStartFactor(now int64) float64 {
	if e.joinedAt == 0 {
		return 1
	}
	age := float64(now-e.joinedAt) / float64(slowStartSpan)
	return min(1, slowStartMin+(1-slowStartMin)*age)
}

// crowdingCost returns the cost of adding a request to the batch, in seconds.
func (e *engine) crowdingCost(now int64) float64 {
	limit := e.batchLimit(now)
	if math.IsInf(limit, 1) {
		return e.estimatedBatch() * e.serviceTime
	}
	if e.prefillBusyUntil > now && e.serves(target.PhaseWhole) {
		limit = max(1, limit*mixedBatchFraction)
	}
	share := (e.estimatedBatch() + 1) / limit
	return batchCost*share + crowdedCost*max(0, share-crowdedFraction)
}

// slotWait returns the expected wait for a place in the batch, in seconds.
func (e *engine) slotWait() float64 {
	capacity := float64(e.state.Report.Capacity)
	if capacity <= 0 {
		return 0
	}
	ahead := e.estimatedBatch() + 1 - capacity
	if ahead <= 0 {
		return 0
	}
	return ahead * e.serviceTime / capacity
}

// prefillWait returns the expected time until the prompt is processed, in seconds, including
// the known work before it.
func (e *engine) prefillWait(now int64, tokens float64) float64 {
	rate := e.state.Report.PrefillRate
	if rate <= 0 {
		return 0
	}
	wait := float64(max(0, e.prefillBusyUntil-now)) / float64(time.Second)
	if e.estimatedBatch() > 0 && e.state.Report.Role != target.Prefill {
		rate *= mixedPrefillFraction
	}
	return wait + tokens/rate
}

// distanceCost returns the cost of the distance to the target, in seconds.
func (e *engine) distanceCost() float64 {
	switch e.distance {
	case zone.SameZone:
		return 0
	case zone.SameRegion:
		return otherZoneCost
	default:
		return otherRegionCost
	}
}

// serves reports whether the role of the target allows a phase.
func (e *engine) serves(p target.Phase) bool {
	switch e.state.Report.Role {
	case target.Prefill:
		return p == target.PhasePrefill
	case target.Decode:
		return p == target.PhaseDecode
	default:
		return true
	}
}

// recordFailure starts the next back-off, which doubles with each consecutive failure up to
// backoffMax.
func (e *engine) recordFailure(now int64) {
	wait := backoffMin << min(e.failures, 6)
	e.failures++
	e.retryAt = now + int64(min(wait, backoffMax))
}

// recordSuccess ends the back-off and adds a sample to the average service time.
func (e *engine) recordSuccess(took int64) {
	e.failures = 0
	e.retryAt = 0
	sample := float64(took) / float64(time.Second)
	e.serviceTime += serviceTimeWeight * (sample - e.serviceTime)
}

// backoffAllows reports whether the target may be sent a request. After the back-off it gets
// one probe request at a time until one succeeds.
func (e *engine) backoffAllows(now int64) bool {
	if e.failures == 0 {
		return true
	}
	return now >= e.retryAt && !e.probing
}

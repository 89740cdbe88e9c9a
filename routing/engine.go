package routing

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniapin/control"
	"zinniapin/target"
	"zinniapin/zone"
)

// Constants of the estimates, in seconds unless the name says otherwise.
const (
	// tokenInterval is the longest wanted time between two output tokens.
	tokenInterval = 0.046
	// defaultServiceTime is assumed until answers of a target were timed.
	defaultServiceTime = 0.1
	// serviceTimeWeight is the weight of a new sample of the service time.
	serviceTimeWeight = 0.05
	// crowdedShare is the share of the batch limit above which each further
	// request is charged crowdedCost for a whole limit's worth.
	crowdedShare = 0.8
	crowdedCost  = 4.0
	// batchCost is charged for a full batch, so that idle engines come first.
	batchCost = 0.05
	// mixedPrefill is the share of its prefill rate that an engine keeps while
	// it decodes too, and mixedBatch the share of its batch limit while it has
	// prompts to process.
	mixedPrefill = 0.55
	mixedBatch   = 0.40
	// zoneMargin and regionMargin are how much slower a nearer target may be
	// and still be taken first.
	zoneMargin   = 0.010
	regionMargin = 0.150
	// transferSecondsPerToken is the time to move a prompt's KV cache to
	// another engine.
	transferSecondsPerToken = 2e-6
	// cachedShare is the share of a prompt that the prefix's own engine is
	// expected to hold.
	cachedShare = 0.5
)

// Constants of back-off and slow start.
const (
	backoffFirst  = 500 * time.Millisecond
	backoffLast   = 30 * time.Second
	slowStartSpan = 10 * time.Second
	// slowStartFloor is the share of its batch limit that a target which has
	// just joined begins with.
	slowStartFloor = 0.2
)

// send is a request of this gateway that the target's report has not seen.
type send struct {
	at     int64 // Unix time, nanoseconds
	tokens int   // prompt tokens, 0 for a decode phase
}

// engine is what the router keeps of one target.
type engine struct {
	state    control.TargetState
	target   *target.Target // immutable, so that choices may keep it
	hash     uint64         // of the id, for rendezvous hashing
	distance zone.Distance
	models   uint64 // bits of the pool's models that are loaded
	listed   bool   // in the latest view
	joined   int64  // Unix time, nanoseconds; 0 when there from the start
	taken    int64  // when the report was taken, Unix time, nanoseconds

	inflight  int // own requests there now
	unseen    int // of them, those sent after the report was taken
	departed  int // own requests in the report that have ended since
	sends     []send
	busyUntil int64 // when the known prefill work ends, Unix time, nanoseconds

	failures    int
	retryAt     int64 // no request before, Unix time, nanoseconds
	probing     bool
	serviceTime float64 // smoothed, seconds

	cost float64 // scratch of one decision
}

// sendsKept is the number of sends for which an engine has room at first.
const sendsKept = 16

// newEngine returns the record of a target that was not seen before.
func newEngine(id target.ID) *engine {
	return &engine{
		hash:        xxhash.Sum64String(string(id)),
		serviceTime: defaultServiceTime,
		sends:       make([]send, 0, sendsKept),
	}
}

// nanos converts a time, and the zero time to 0.
func nanos(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixNano()
}

// observe takes in a newer row of the view. A report absorbs every send that
// is older than it.
func (e *engine) observe(s *control.TargetState) {
	if e.target == nil || *e.target != s.Target {
		t := s.Target
		e.target = &t
	}
	taken := nanos(s.Report.Taken)
	newer := taken > e.taken || s.Report.Boot != e.state.Report.Boot
	if !newer {
		report := e.state.Report
		e.state = *s
		e.state.Report = report
		return
	}
	e.state = *s
	e.taken = taken
	e.departed = 0
	e.absorb()
}

// absorb drops the sends that the report has seen and works out when the
// prefill work ends.
func (e *engine) absorb() {
	r := &e.state.Report
	e.busyUntil = e.taken + e.prefillNanos(r.PrefillTokens)
	kept := e.sends[:0]
	e.unseen = 0
	for _, s := range e.sends {
		if s.at <= e.taken {
			continue
		}
		kept = append(kept, s)
		e.unseen++
		e.busyUntil = max(e.busyUntil, s.at) + e.prefillNanos(s.tokens)
	}
	e.sends = kept
}

// prefillNanos is how long the target takes to process prompt tokens.
func (e *engine) prefillNanos(tokens int) int64 {
	if e.state.Report.PrefillRate <= 0 {
		return 0
	}
	return int64(float64(tokens) / e.state.Report.PrefillRate * float64(time.Second))
}

// sent counts a request; tokens is the prompt work that it brings.
func (e *engine) sent(now int64, tokens int) {
	e.inflight++
	e.unseen++
	e.sends = append(e.sends, send{now, tokens})
	e.busyUntil = max(e.busyUntil, now) + e.prefillNanos(tokens)
}

// ended uncounts a request that was sent at the given time.
func (e *engine) ended(sentAt int64) {
	e.inflight--
	if sentAt <= e.taken {
		e.departed++
		return
	}
	for i := range e.sends {
		if e.sends[i].at == sentAt {
			last := len(e.sends) - 1
			e.sends[i] = e.sends[last]
			e.sends = e.sends[:last]
			e.unseen--
			return
		}
	}
}

// batch estimates the requests at the target now.
func (e *engine) batch() float64 {
	r := &e.state.Report
	n := r.Running + r.Waiting - e.departed + e.unseen
	return float64(max(n, e.inflight))
}

// limit is the batch up to which tokens come in time.
func (e *engine) limit(now int64) float64 {
	r := &e.state.Report
	limit := math.Inf(1)
	if r.Capacity > 0 {
		limit = float64(r.Capacity)
	}
	if r.DecodeRate > 0 {
		limit = min(limit, r.DecodeRate*tokenInterval)
	}
	return max(1, limit*e.warmth(now))
}

// warmth is the share of its limit that a target which has just joined gets.
func (e *engine) warmth(now int64) float64 {
	if e.joined == 0 {
		return 1
	}
	age := float64(now-e.joined) / float64(slowStartSpan)
	return min(1, slowStartFloor+(1-slowStartFloor)*age)
}

// crowding is the cost of one more request in the batch, in seconds.
func (e *engine) crowding(now int64) float64 {
	limit := e.limit(now)
	if math.IsInf(limit, 1) {
		return e.batch() * e.serviceTime
	}
	if e.busyUntil > now && e.serves(target.PhaseWhole) {
		limit = max(1, limit*mixedBatch)
	}
	share := (e.batch() + 1) / limit
	return batchCost*share + crowdedCost*max(0, share-crowdedShare)
}

// slotWait is the time until a place in the batch is free, in seconds.
func (e *engine) slotWait() float64 {
	capacity := float64(e.state.Report.Capacity)
	if capacity <= 0 {
		return 0
	}
	ahead := e.batch() + 1 - capacity
	if ahead <= 0 {
		return 0
	}
	return ahead * e.serviceTime / capacity
}

// prefillWait is the time until the prompt is processed, in seconds.
func (e *engine) prefillWait(now int64, tokens float64) float64 {
	rate := e.state.Report.PrefillRate
	if rate <= 0 {
		return 0
	}
	wait := float64(max(0, e.busyUntil-now)) / float64(time.Second)
	if e.batch() > 0 && e.state.Report.Role != target.Prefill {
		rate *= mixedPrefill
	}
	return wait + tokens/rate
}

// away is the charge for the distance, in seconds.
func (e *engine) away() float64 {
	switch e.distance {
	case zone.SameZone:
		return 0
	case zone.SameRegion:
		return zoneMargin
	default:
		return regionMargin
	}
}

// serves tells which phases the target's role allows.
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

// failed backs the target off.
func (e *engine) failed(now int64) {
	wait := backoffFirst << min(e.failures, 6)
	e.failures++
	e.retryAt = now + int64(min(wait, backoffLast))
}

// succeeded ends a back-off and takes the time of a service call.
func (e *engine) succeeded(took int64) {
	e.failures = 0
	e.retryAt = 0
	sample := float64(took) / float64(time.Second)
	e.serviceTime += serviceTimeWeight * (sample - e.serviceTime)
}

// open tells whether back-off lets a request through. After the back-off one
// request at a time probes the target.
func (e *engine) open(now int64) bool {
	if e.failures == 0 {
		return true
	}
	return now >= e.retryAt && !e.probing
}

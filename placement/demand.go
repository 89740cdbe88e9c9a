package placement

import (
	"math"
	"time"

	"zinniapin/control"
	"zinniapin/provider"
	"zinniapin/target"
	"zinniapin/zone"
)

const (
	// maxTokenInterval is the longest acceptable time between output tokens, in
	// seconds.
	maxTokenInterval = 0.046
	// shiftThreshold is by how much prefill's share of the demand must change to
	// count as a shift of the mix of prefill and decode work.
	shiftThreshold = 0.25
	// maxMixDuration bounds how long the present mix is expected to last.
	maxMixDuration = 5 * time.Minute
	// trendWindow is the time over which a trend is averaged, and trendLookAhead how
	// far ahead it is extrapolated, both in seconds.
	trendWindow    = 4.0
	trendLookAhead = 3.0
	// normalBacklog is the backlog of prompt tokens that does not count as excess
	// demand, in seconds of prefill.
	normalBacklog = 0.5
	// mixDurationWeight is the weight of the newest time between shifts in the mean.
	mixDurationWeight = 0.3
	// backlogClearTime is the time within which a backlog of prompt tokens should be
	// processed, in seconds.
	backlogClearTime = 4.0
)

// engineSet holds the engines of one pool that serve, and which of them may change.
type engineSet struct {
	all        []*control.TargetState
	changeable []*control.TargetState
	busyZones  map[zone.Name]bool
	// plannedRoles are the engines' roles once the changes in progress are done.
	plannedRoles map[target.ID]target.Role
}

// demand is the estimated work of one pool.
type demand struct {
	observed     bool
	lastObserved time.Time
	engines      float64
	prefill      float64 // prefill work, in engines
	decode       float64 // decode work expected soon, in engines
	// smoothedDecode is the smoothed decode work. Decode work lags arrivals by the
	// time of an answer, so its rising trend is extrapolated.
	smoothedDecode  smoothed
	modelRates      map[string]float64 // tokens per second, by model
	prefillShare    float64            // prefill's share at the last shift, or -1
	shiftedAt       time.Time
	meanMixDuration time.Duration // mean time between shifts
	pendingChange   change        // the best change, until it is confirmed
	pendingSince    time.Time     // when it first was the best
}

// smoothed is an exponentially smoothed quantity with its smoothed trend.
type smoothed struct {
	value float64
	trend float64 // change per second
}

// observe adds a sample that is step seconds after the last one, smoothed over window
// seconds. Before the first sample, started is false.
func (l *smoothed) observe(sample, step, window float64, started bool) {
	if !started || step <= 0 {
		l.value = sample
		return
	}
	before := l.value
	l.value += (1 - math.Exp(-step/window)) * (sample - l.value)
	l.trend += (1 - math.Exp(-step/trendWindow)) * ((l.value-before)/step - l.trend)
}

// predict returns the quantity extrapolated by so many seconds if it rises, and its
// present value if it falls.
func (l *smoothed) predict(seconds float64) float64 {
	return l.value + max(0, l.trend)*seconds
}

// newDemand returns the estimate for a pool without observations.
func newDemand(s Settings) *demand {
	return &demand{modelRates: map[string]float64{}, meanMixDuration: s.InitialMixDuration, prefillShare: -1}
}

// isServing tells whether a target is a live engine that has reported.
func isServing(s *control.TargetState) bool {
	return s.State == provider.Live && s.Target.Kind == target.Engine && !s.Report.ReceivedAt.IsZero()
}

// batchLimit returns the number of requests that an engine can decode at once without
// exceeding maxTokenInterval.
func batchLimit(r *target.Report) float64 {
	limit := float64(r.Capacity)
	if r.DecodeRate > 0 {
		limit = min(limit, r.DecodeRate*maxTokenInterval)
	}
	return max(1, limit)
}

// observe updates the averages with the demand that a view shows.
func (d *demand) observe(now time.Time, pool string, v *View, s Settings) {
	prefill, decode, engines := reportedDemand(pool, v)
	if engines == 0 {
		return
	}
	arrivedPrefill, arrivedDecode := arrivedDemand(pool, v)
	prefill = max(prefill, arrivedPrefill)
	decode = max(decode, arrivedDecode)
	weight := 1.0
	if d.observed {
		weight = 1 - math.Exp(-now.Sub(d.lastObserved).Seconds()/s.DemandWindow.Seconds())
	}
	d.smoothedDecode.observe(decode, now.Sub(d.lastObserved).Seconds(), s.DemandWindow.Seconds(), d.observed)
	d.prefill += weight * (prefill - d.prefill)
	d.decode = d.smoothedDecode.predict(trendLookAhead)
	d.engines = engines
	d.observeModels(pool, v, weight)
	d.lastObserved = now
	d.observed = true
	d.observeShift(now)
}

// observeModels updates the average demand for each model.
func (d *demand) observeModels(pool string, v *View, weight float64) {
	for model := range d.modelRates {
		d.modelRates[model] *= 1 - weight
	}
	for _, a := range v.Arrivals {
		if a.Pool == pool && a.Model != "" {
			d.modelRates[a.Model] += weight * (a.PromptRate + a.OutputRate)
		}
	}
}

// observeShift updates the mean time between shifts of the mix.
func (d *demand) observeShift(now time.Time) {
	total := d.prefill + d.decode
	if total <= 0 {
		return
	}
	share := d.prefill / total
	if d.prefillShare < 0 {
		d.prefillShare, d.shiftedAt = share, now
		return
	}
	if math.Abs(share-d.prefillShare) < shiftThreshold {
		return
	}
	sample := now.Sub(d.shiftedAt)
	d.meanMixDuration += time.Duration(mixDurationWeight * float64(sample-d.meanMixDuration))
	d.prefillShare, d.shiftedAt = share, now
}

// mixDuration returns how long the present mix is expected to last: the mean time
// between shifts, or as long as it has lasted already if that is longer.
func (d *demand) mixDuration() time.Duration {
	return min(maxMixDuration, max(d.meanMixDuration, d.lastObserved.Sub(d.shiftedAt)))
}

// reportedDemand derives the demand, in engines, from the engines' reports. An engine
// with prompt tokens left counts as busy with prefill, and a backlog beyond
// normalBacklog as additional demand.
func reportedDemand(pool string, v *View) (prefill, decode, engines float64) {
	for i := range v.Targets {
		s := &v.Targets[i]
		if s.Target.Pool != pool || !isServing(s) {
			continue
		}
		engines++
		r := &s.Report
		if r.Role != target.Prefill {
			decode += float64(r.Running) / batchLimit(r)
		}
		if r.PrefillRate > 0 && r.PrefillTokens > 0 {
			backlog := float64(r.PrefillTokens) / r.PrefillRate
			prefill += busyShare(r) + max(0, backlog-normalBacklog)/backlogClearTime
		}
	}
	return prefill, decode, engines
}

// busyShare returns the share of an engine that prefill takes while there are prompt
// tokens to process: half of one that also decodes several requests, all of any other.
func busyShare(r *target.Report) float64 {
	if r.Role == target.Prefill || r.Running <= 1 {
		return 1
	}
	return 0.5
}

// arrivedDemand derives the demand, in engines, from the arrivals at gateways.
func arrivedDemand(pool string, v *View) (prefill, decode float64) {
	var prompt, output float64
	for _, a := range v.Arrivals {
		if a.Pool == pool {
			prompt += a.PromptRate
			output += a.OutputRate
		}
	}
	prefillRate, decodeRate := meanRates(pool, v)
	if prefillRate > 0 {
		prefill = prompt / prefillRate
	}
	if decodeRate > 0 {
		decode = output / decodeRate
	}
	return prefill, decode
}

// meanRates returns the mean rates of a pool's engines, in tokens per second.
func meanRates(pool string, v *View) (prefill, decode float64) {
	engines := 0.0
	for i := range v.Targets {
		s := &v.Targets[i]
		if s.Target.Pool != pool || !isServing(s) {
			continue
		}
		engines++
		prefill += s.Report.PrefillRate
		decode += s.Report.DecodeRate
	}
	if engines == 0 {
		return 0, 0
	}
	return prefill / engines, decode / engines
}

// newHeld returns a decision not to act, with the estimates that it is based on.
func (d *demand) newHeld(pool string, reason HoldReason) Held {
	return Held{Pool: pool, Reason: reason, Prefill: d.prefill, Decode: d.decode, MixDuration: d.mixDuration()}
}

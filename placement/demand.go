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
	// tokenInterval is the longest wanted time between output tokens, seconds.
	tokenInterval = 0.046
	// shiftShare is how far the share of prefill must move to count as a
	// shift of the mix.
	shiftShare = 0.25
	// longestStay bounds how long a mix is expected to last.
	longestStay = 5 * time.Minute
	// trendSpan is the time over which a trend is averaged, and trendLead how
	// far it is looked ahead along, seconds.
	trendSpan = 4.0
	trendLead = 3.0
	// backlogAllowed is the backlog that comes with ordinary use, seconds.
	backlogAllowed = 0.5
	// stayWeight is the weight of a new sample of the time between shifts.
	stayWeight = 0.3
	// backlogSpan is the time within which a backlog of prompt tokens should
	// be worked off.
	backlogSpan = 4.0
)

// candidates are the engines of one pool.
type candidates struct {
	all  []*control.TargetState
	free []*control.TargetState
	busy map[zone.Name]bool
	// roles are the roles once the changes under way are done.
	roles map[target.ID]target.Role
}

// demand estimates the work of one pool.
type demand struct {
	known   bool
	last    time.Time
	engines float64
	prefill float64 // engines' worth of prefill work
	decode  float64 // engines' worth of decode work, as it is to be
	// decodeLevel smooths the decode work; it follows arrivals by the length
	// of an answer, so its trend is looked ahead along.
	decodeLevel level
	models      map[string]float64 // tokens a second, by model
	share       float64            // of prefill, at the last shift
	shiftAt     time.Time
	mean        time.Duration // between shifts
	wanted      change        // the change that looks right
	wantedAt    time.Time     // since when
}

// level is a smoothed quantity with its smoothed trend.
type level struct {
	value float64
	trend float64 // a second
}

// observe takes in a sample that comes step seconds after the last one.
func (l *level) observe(sample, step, span float64, known bool) {
	if !known || step <= 0 {
		l.value = sample
		return
	}
	before := l.value
	l.value += (1 - math.Exp(-step/span)) * (sample - l.value)
	l.trend += (1 - math.Exp(-step/trendSpan)) * ((l.value-before)/step - l.trend)
}

// ahead returns what the quantity will be after some seconds when it rises,
// and the present value when it falls.
func (l *level) ahead(seconds float64) float64 {
	return l.value + max(0, l.trend)*seconds
}

// newDemand returns an estimate that knows nothing yet.
func newDemand(s Settings) *demand {
	return &demand{models: map[string]float64{}, mean: s.InitialMixDuration, share: -1}
}

// serving tells whether an engine is there to stay.
func serving(s *control.TargetState) bool {
	return s.State == provider.Live && s.Target.Kind == target.Engine && !s.Report.Taken.IsZero()
}

// batchLimit is the number of requests whose tokens come in time.
func batchLimit(r *target.Report) float64 {
	limit := float64(r.Capacity)
	if r.DecodeRate > 0 {
		limit = min(limit, r.DecodeRate*tokenInterval)
	}
	return max(1, limit)
}

// observe averages the demand that a view shows.
func (d *demand) observe(now time.Time, pool string, v *View, s Settings) {
	prefill, decode, engines := reported(pool, v)
	if engines == 0 {
		return
	}
	arrivedPrefill, arrivedDecode := arrived(pool, v)
	prefill = max(prefill, arrivedPrefill)
	decode = max(decode, arrivedDecode)
	weight := 1.0
	if d.known {
		weight = 1 - math.Exp(-now.Sub(d.last).Seconds()/s.DemandWindow.Seconds())
	}
	d.decodeLevel.observe(decode, now.Sub(d.last).Seconds(), s.DemandWindow.Seconds(), d.known)
	d.prefill += weight * (prefill - d.prefill)
	d.decode = d.decodeLevel.ahead(trendLead)
	d.engines = engines
	d.observeModels(pool, v, weight)
	d.last = now
	d.known = true
	d.observeShift(now)
}

// observeModels averages the demand for each model.
func (d *demand) observeModels(pool string, v *View, weight float64) {
	for model := range d.models {
		d.models[model] *= 1 - weight
	}
	for _, a := range v.Arrivals {
		if a.Pool == pool && a.Model != "" {
			d.models[a.Model] += weight * (a.PromptRate + a.OutputRate)
		}
	}
}

// observeShift measures how long mixes last.
func (d *demand) observeShift(now time.Time) {
	total := d.prefill + d.decode
	if total <= 0 {
		return
	}
	share := d.prefill / total
	if d.share < 0 {
		d.share, d.shiftAt = share, now
		return
	}
	if math.Abs(share-d.share) < shiftShare {
		return
	}
	sample := now.Sub(d.shiftAt)
	d.mean += time.Duration(stayWeight * float64(sample-d.mean))
	d.share, d.shiftAt = share, now
}

// stay is how long the present mix is expected to last: as long as mixes do,
// or as long as it has lasted already.
func (d *demand) stay() time.Duration {
	return min(longestStay, max(d.mean, d.last.Sub(d.shiftAt)))
}

// reported works the demand out from reports alone: an engine that has prompt
// tokens left is busy with prefill, and a backlog is more than that.
func reported(pool string, v *View) (prefill, decode, engines float64) {
	for i := range v.Targets {
		s := &v.Targets[i]
		if s.Target.Pool != pool || !serving(s) {
			continue
		}
		engines++
		r := &s.Report
		if r.Role != target.Prefill {
			decode += float64(r.Running) / batchLimit(r)
		}
		if r.PrefillRate > 0 && r.PrefillTokens > 0 {
			backlog := float64(r.PrefillTokens) / r.PrefillRate
			prefill += busyShare(r) + max(0, backlog-backlogAllowed)/backlogSpan
		}
	}
	return prefill, decode, engines
}

// busyShare is the share of an engine that prefill takes while it lasts.
func busyShare(r *target.Report) float64 {
	if r.Role == target.Prefill || r.Running <= 1 {
		return 1
	}
	return 0.5
}

// arrived works the demand out from what gateways took in.
func arrived(pool string, v *View) (prefill, decode float64) {
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

// meanRates returns the mean rates of a pool's engines, tokens a second.
func meanRates(pool string, v *View) (prefill, decode float64) {
	engines := 0.0
	for i := range v.Targets {
		s := &v.Targets[i]
		if s.Target.Pool != pool || !serving(s) {
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

// held returns a decision not to act with the figures of the estimate.
func (d *demand) held(pool string, reason HoldReason) Held {
	return Held{Pool: pool, Reason: reason, Prefill: d.prefill, Decode: d.decode, MixDuration: d.stay()}
}

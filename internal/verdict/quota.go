package verdict

import (
	"net/http"
	"slices"
	"time"
)

// limitsBetween returns the limits of an organisation in the versions that may be in force at some host between
// two times, a version until the given time after the acknowledgement of the next one. Without a bound on that time
// each version may be in force for good.
func (j *judge) limitsBetween(organisation string, from, to time.Time, after time.Duration) []OrganisationLimit {
	due := -1
	if after > 0 {
		due = j.newestDue(from, after)
	}
	var limits []OrganisationLimit
	for _, c := range j.writtenBy(due, to) {
		limits = append(limits, c.Limits[organisation])
	}
	return limits
}

// highest returns a limit that is not below any of some; limited is false if one of them is no limit, or there is
// none.
func highest(limits []OrganisationLimit) (high OrganisationLimit, limited bool) {
	for _, l := range limits {
		if l.Rate <= 0 {
			return OrganisationLimit{}, false
		}
		high.Rate, high.Burst = max(high.Rate, l.Rate), max(high.Burst, l.Burst)
	}
	return high, len(limits) > 0
}

// refusedAtLimit tells whether a request of an organisation with a limit was refused with 429. The check of
// throttled requests judges whether that was right.
func (j *judge) refusedAtLimit(r *Request) bool {
	return r.Signature == "" && r.Status == http.StatusTooManyRequests && slices.ContainsFunc(j.Configurations, func(c Configuration) bool {
		return c.Limits[r.Organisation].Rate > 0
	})
}

// use is an attempt of a request that ran and counts against the limit of its organisation.
type use struct {
	sent, at time.Time
	units    float64
}

// quotas checks in every window that what an organisation sent in it and targets ran in it is within its limit,
// whatever happened to hosts. A window is bound by the highest limit that may be in force at some host in it: a
// lower one binds the windows that begin when it is in force at all hosts, a higher one those that end after it was
// written.
func (j *judge) quotas() {
	window := j.bounds.QuotaWindow
	if window == 0 {
		return
	}
	uses := make(map[string][]use) // by organisation, in order of their arrival
	for i := range j.Arrivals {
		a := &j.Arrivals[i]
		if r, ok := j.request[a.Request]; ok && a.Ran && r.Organisation != "" {
			uses[r.Organisation] = append(uses[r.Organisation], use{r.Sent, a.At, r.Units})
		}
	}
	for _, organisation := range sortedKeys(uses) {
		all := uses[organisation]
		var worst time.Time
		var worstUnits, worstAllowed float64
		for _, u := range all {
			from, to := u.sent, u.sent.Add(window)
			limit, limited := highest(j.limitsBetween(organisation, from, to, j.bounds.ConfigAnywhere))
			if !limited {
				continue
			}
			units := unitsIn(all, from, to)
			allowed := (limit.Rate*window.Seconds()+limit.Burst)*(1+j.bounds.QuotaOverage) + j.bounds.QuotaSlack
			if units-allowed > worstUnits-worstAllowed {
				worst, worstUnits, worstAllowed = from, units, allowed
			}
		}
		if !worst.IsZero() {
			j.find(Quota, worst, "targets ran %.0f units of organisation %s in %v, allowed are %.1f", worstUnits, organisation, window, worstAllowed)
		}
	}
}

// unitsIn returns the units of those uses, sorted by arrival, that were sent and arrived in [from, to).
func unitsIn(uses []use, from, to time.Time) float64 {
	first, _ := slices.BinarySearchFunc(uses, from, func(u use, t time.Time) int { return u.at.Compare(t) })
	units := 0.0
	for _, u := range uses[first:] {
		if !u.at.Before(to) {
			break
		}
		if !u.sent.Before(from) {
			units += u.units
		}
	}
	return units
}

// demand is a request, or another attempt of one.
type demand struct {
	at      time.Time
	units   float64
	request *Request // nil for another attempt
}

// demands returns by organisation what its callers asked for, in order of time, with the attempts beyond the first
// of each request.
func (j *judge) demands() map[string][]demand {
	demands := make(map[string][]demand)
	for i := range j.Requests {
		if r := &j.Requests[i]; r.Organisation != "" {
			demands[r.Organisation] = append(demands[r.Organisation], demand{r.Sent, r.Units, r})
		}
	}
	arrived := make(map[string]bool)
	for i := range j.Arrivals {
		a := &j.Arrivals[i]
		r, ok := j.request[a.Request]
		if !ok || a.PromptOnly || r.Organisation == "" {
			continue
		}
		if arrived[a.Request] {
			demands[r.Organisation] = append(demands[r.Organisation], demand{a.At, r.Units, nil})
		}
		arrived[a.Request] = true
	}
	for _, all := range demands {
		slices.SortStableFunc(all, func(a, b demand) int { return a.at.Compare(b.at) })
	}
	return demands
}

// throttled checks that few requests are refused with 429 in steady state while all that their organisation asks
// for is below its limit. Below it is what a token bucket with the limit's rate and burst would pass that everything
// asked for is taken from, refused or not. The bucket is empty when the limit has become steady, and owes no more than
// a window of the rate.
func (j *judge) throttled() {
	if j.bounds.QuotaWindow == 0 || j.bounds.QuotaSettle == 0 {
		return
	}
	demands := j.demands()
	for _, organisation := range sortedKeys(demands) {
		below, refused := 0, 0
		var last, at time.Time // of the previous demand, and of the last refusal
		level := 0.0
		for _, d := range demands[organisation] {
			limit, steady := j.steadyLimit(organisation, d.at)
			if !steady {
				level, last = 0, d.at
				continue
			}
			if !last.IsZero() {
				level = min(limit.Burst, level+limit.Rate*d.at.Sub(last).Seconds())
			}
			last = d.at
			within := level >= d.units
			level = max(level-d.units, -limit.Rate*j.bounds.QuotaWindow.Seconds())
			if d.request == nil || !within || !j.settled(d.request) {
				continue
			}
			below++
			if j.refusedAtLimit(d.request) {
				refused++
				at = d.request.End
			}
		}
		if below >= minBelow && float64(refused) >= throttledRatio*float64(below) {
			j.find(Throttled, at, "%d of %d requests of organisation %s below its limit were refused with 429 in steady state", refused, below, organisation)
		}
	}
}

// steadyLimit returns the limit of an organisation at a time; steady is false if it has none, or it changed less
// than the settling time ago or changes soon after, while a request sent at that time may wait for its admission.
func (j *judge) steadyLimit(organisation string, at time.Time) (limit OrganisationLimit, steady bool) {
	limits := j.limitsBetween(organisation, at.Add(-j.bounds.QuotaSettle), at.Add(slack), j.bounds.ConfigApply)
	for _, l := range limits {
		if l.Rate <= 0 || l != limits[0] {
			return OrganisationLimit{}, false
		}
		limit = l
	}
	return limit, len(limits) > 0
}

// settled tells whether neither a host nor the store was disrupted while a request was under way and in the
// settling time before. A host that is told to end may be there until it starts again, and for its grace period at
// most.
func (j *judge) settled(r *Request) bool {
	from := r.Sent.Add(-j.bounds.QuotaSettle)
	return !slices.ContainsFunc(j.Disruptions, func(d Disruption) bool {
		until := d.To
		if d.Kind == Term {
			until = until.Add(j.bounds.Grace)
			for _, next := range j.disruptions[d.Host] {
				if next.Kind == Restart && next.From.After(d.From) && next.From.Before(until) {
					until = next.From
				}
			}
		}
		return d.Kind != Reload && !d.From.After(r.End) && until.After(from)
	})
}

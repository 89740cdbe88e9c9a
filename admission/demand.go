package admission

import (
	"sort"
	"time"

	"zinniapin/control"
	"zinniapin/grant"
	"zinniapin/ratelimit"
)

// fewRequests is the number of requests within shortRateSpan below which the short average is
// too coarse to estimate a rate.
const fewRequests = 3

// rates are moving averages of an organisation's demand, refused requests included.
type rates struct {
	requests ratelimit.Average
	tokens   ratelimit.Average
}

// countDemand adds requests and tokens to the moving averages of demand.
func (o *organisation) countDemand(now time.Time, requests, tokens float64) {
	o.shortRates.requests.Add(now, requests, shortRateSpan)
	o.shortRates.tokens.Add(now, tokens, shortRateSpan)
	o.longRates.requests.Add(now, requests, idleSpan)
	o.longRates.tokens.Add(now, tokens, idleSpan)
}

// demandRate returns the requests and tokens per second that the organisation asks for. In a
// large fleet most organisations send a gateway a single request within idleSpan. The short
// average would report six times their rate, and the grantor adds up the reports of all
// gateways, so the long average is used for them.
func (s *Scheduler) demandRate(now time.Time, o *organisation) (requests, tokens float64) {
	requests = o.shortRates.requests.RateAt(now, shortRateSpan)
	if s.gateways >= grant.LongTermMinGateways && requests < fewRequests/shortRateSpan.Seconds() {
		return o.longRates.requests.RateAt(now, idleSpan), o.longRates.tokens.RateAt(now, idleSpan)
	}
	return requests, o.shortRates.tokens.RateAt(now, shortRateSpan)
}

// Demands returns the demand of each active organisation at this gateway, sorted by name.
// Refused requests count as well, so that a grant can grow. Peak concurrency is measured from
// the previous call.
func (s *Scheduler) Demands(now time.Time) []control.Demand {
	demands := make([]control.Demand, 0, len(s.organisations))
	for name, o := range s.organisations {
		if now.Sub(o.lastSeen) > idleSpan {
			continue
		}
		requests, tokens := s.demandRate(now, o)
		demands = append(demands, control.Demand{
			Organisation:      name,
			RequestsPerSecond: requests,
			Concurrency:       max(o.inProgress, o.peakConcurrency),
			TokensPerMinute:   tokens * secondsPerMinute,
		})
		o.peakConcurrency = o.inProgress
	}
	sort.Slice(demands, func(i, j int) bool { return demands[i].Organisation < demands[j].Organisation })
	return demands
}

// Sweep drops the state of idle organisations. State is kept while a grant is in force and
// while a bucket is not full, since dropping it then would give the organisation a new burst.
func (s *Scheduler) Sweep(now time.Time) {
	for name, o := range s.organisations {
		if o.inProgress > 0 || now.Sub(o.lastSeen) < idleSpan {
			continue
		}
		if o.grant != nil && now.Before(o.grant.Expires) {
			continue
		}
		o.requestBucket.Refill(now, o.lastLimits.rate, o.lastLimits.burst)
		o.tokenBucket.Refill(now, o.lastLimits.tokens, o.lastLimits.tokens*secondsPerMinute)
		if o.requestBucket.Level < o.lastLimits.burst || o.tokenBucket.Level < o.lastLimits.tokens*secondsPerMinute {
			continue
		}
		delete(s.organisations, name)
	}
}

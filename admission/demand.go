package admission

import (
	"sort"
	"time"

	"zinniapin/control"
	"zinniapin/grant"
)

// fewRequests is the number of requests within averageSpan up to which an
// average over that span says little about the rate.
const fewRequests = 3

// rates are moving averages of what an organisation asks for.
type rates struct {
	requests average
	tokens   average
}

// count takes in requests and tokens.
func (o *organisation) count(now time.Time, requests, tokens float64) {
	o.recently.requests.add(now, requests, averageSpan)
	o.recently.tokens.add(now, tokens, averageSpan)
	o.lately.requests.add(now, requests, idleSpan)
	o.lately.tokens.add(now, tokens, idleSpan)
}

// asked returns the requests and the tokens a second that the organisation
// asks for. In a large fleet, where most organisations send a gateway a single
// request within idleSpan, the average over averageSpan would tell six times
// the rate, and a grantor add it up over all gateways.
func (c *Scheduler) asked(now time.Time, o *organisation) (requests, tokens float64) {
	requests = o.recently.requests.at(now, averageSpan)
	if c.gateways >= grant.LongTermMinGateways && requests < fewRequests/averageSpan.Seconds() {
		return o.lately.requests.at(now, idleSpan), o.lately.tokens.at(now, idleSpan)
	}
	return requests, o.recently.tokens.at(now, averageSpan)
}

// Demands returns what each active organisation wants here, in order of
// name. Refused requests count, so that a grant can grow.
func (c *Scheduler) Demands(now time.Time) []control.Demand {
	demands := make([]control.Demand, 0, len(c.organisations))
	for name, o := range c.organisations {
		if now.Sub(o.lastSeen) > idleSpan {
			continue
		}
		requests, tokens := c.asked(now, o)
		demands = append(demands, control.Demand{
			Organisation:      name,
			RequestsPerSecond: requests,
			Concurrency:       max(o.running, o.wanted),
			TokensPerMinute:   tokens * secondsPerMinute,
		})
		o.wanted = o.running
	}
	sort.Slice(demands, func(i, j int) bool { return demands[i].Organisation < demands[j].Organisation })
	return demands
}

// Sweep drops the state of organisations that are idle. State is kept while
// a bucket is not full, since dropping it would give the organisation a new
// burst.
func (c *Scheduler) Sweep(now time.Time) {
	for name, o := range c.organisations {
		if o.running > 0 || now.Sub(o.lastSeen) < idleSpan {
			continue
		}
		if o.grant != nil && now.Before(o.grant.Expires) {
			continue
		}
		o.requests.refill(now, o.last.rate, o.last.burst)
		o.tokens.refill(now, o.last.tokens, o.last.tokens*secondsPerMinute)
		if o.requests.level < o.last.burst || o.tokens.level < o.last.tokens*secondsPerMinute {
			continue
		}
		delete(c.organisations, name)
	}
}

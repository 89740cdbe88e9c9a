package admission

import (
	"sort"
	"time"

	"zinniapin/control"
)

// Demands returns what each active organisation wants here, in order of
// name. Refused requests count, so that a grant can grow.
func (c *Core) Demands(now time.Time) []control.Demand {
	demands := make([]control.Demand, 0, len(c.organisations))
	for name, o := range c.organisations {
		if now.Sub(o.lastSeen) > idleSpan {
			continue
		}
		demands = append(demands, control.Demand{
			Organisation:      name,
			RequestsPerSecond: o.arrivals.at(now),
			Concurrency:       max(o.running, o.wanted),
			TokensPerMinute:   o.spent.at(now) * secondsPerMinute,
		})
		o.wanted = o.running
	}
	sort.Slice(demands, func(i, j int) bool { return demands[i].Organisation < demands[j].Organisation })
	return demands
}

// Sweep drops the state of organisations that are idle. State is kept while
// a bucket is not full, since dropping it would give the organisation a new
// burst.
func (c *Core) Sweep(now time.Time) {
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

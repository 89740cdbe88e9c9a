package dispatch

import (
	"time"

	"zinniapin/target"
	"zinniapin/zone"
)

// A target may fetch the KV cache of a prompt's leading parts from another target
// instead of processing them again. This helps when many prompts share long parts:
// the target that has them cached need not have the shortest queue, and a transfer
// takes a twentieth of the time of processing.

const (
	// fetchSetupTime is the time that a fetch takes in addition to the transfer:
	// one round trip to the other target.
	fetchSetupTime = 4 * time.Millisecond
	// minCacheAge is how long a target must have had a part before others fetch
	// it: a younger part may still be being processed.
	minCacheAge = 150 * time.Millisecond
	// minFetchTokens is the number of missing tokens below which a fetch does not
	// repay its set-up time.
	minFetchTokens = 256
	// crossZoneFactor multiplies the time and the cost of a transfer between
	// availability zones.
	crossZoneFactor = 2
)

// cacheHolder is a target that has cached leading parts of a job's prompt, with the
// number of tokens in them.
type cacheHolder struct {
	state  *state
	tokens int
}

// cacheHolders holds, for each zone, the target with the most of a job's prompt
// cached.
type cacheHolders map[zone.Name]cacheHolder

// cacheHolders returns the targets from which parts of a job's prompt can be
// fetched, one for each zone at most. It leaves out targets that are draining,
// quarantined or excluded.
func (p *Planner) cacheHolders(now time.Time, j Job, exclude map[target.ID]bool) cacheHolders {
	if !j.AllowFetch || len(j.Parts) == 0 {
		return nil
	}
	holders := make(cacheHolders)
	for _, s := range p.services[j.Service] {
		if !j.usable(now, s, exclude) || s.quarantined(now) {
			continue
		}
		tokens := s.cachedTokensSince(now, j.Parts, p.policy.CacheTTL, minCacheAge)
		if tokens >= minFetchTokens && tokens > holders[s.target.Zone].tokens {
			holders[s.target.Zone] = cacheHolder{s, tokens}
		}
	}
	return holders
}

// fetch is a transfer of cached leading parts from another target.
type fetch struct {
	from   *state
	tokens int // cached once it is done, including those cached before
	time   time.Duration
	cost   float64
}

// bestFetch returns the transfer that saves target s the most time, or the zero
// fetch if none saves any.
func (p *Planner) bestFetch(j Job, holders cacheHolders, s *state, cached int, speed float64) fetch {
	var best fetch
	saved := time.Duration(0)
	for z, holder := range holders {
		missing := holder.tokens - cached
		if missing < minFetchTokens || holder.state == s {
			continue
		}
		gigabytes, transfer := p.transfer(j.Service, missing)
		if z != s.target.Zone {
			gigabytes, transfer = crossZoneFactor*gigabytes, crossZoneFactor*transfer
		}
		f := fetch{holder.state, holder.tokens, transfer + fetchSetupTime, gigabytes * p.policy.TransferCost}
		gain := time.Duration(float64(missing)/speed*float64(time.Millisecond)) - f.time
		if gain > saved || gain == saved && best.from != nil && f.from.target.ID < best.from.target.ID {
			best, saved = f, gain
		}
	}
	return best
}

package dispatch

import (
	"time"

	"zinniapin/target"
	"zinniapin/zone"
)

// Fetching answers loads in which many prompts share long parts: the target
// that keeps them need not have the shortest queue, and moving KV cache takes a
// twentieth of the time of processing it.

const (
	// fetchSetup is what a fetch takes beside the transfer: a way to the other
	// target and back.
	fetchSetup = 4 * time.Millisecond
	// fetchableAfter is how long a target must have kept a part before others
	// fetch it: before that it may still be processing it.
	fetchableAfter = 150 * time.Millisecond
	// fetchLeast is the number of tokens below which a fetch is not worth its
	// setup.
	fetchLeast = 256
	// farTransfer is the factor on the time and the cost of a transfer between
	// availability zones.
	farTransfer = 2
)

// keeper is a target that keeps leading parts of a job's prompt.
type keeper struct {
	state  *state
	tokens int
}

// keepers are the targets that keep most of a job's prompt, by zone.
type keepers map[zone.Name]keeper

// keepers returns the targets from which parts of a job's prompt can be
// fetched. One that keeps most of it and fails, or is about to leave, is left
// out.
func (p *Planner) keepers(now time.Time, j Job, exclude map[target.ID]bool) keepers {
	if !j.AllowFetch || len(j.Parts) == 0 {
		return nil
	}
	all := make(keepers)
	for _, s := range p.services[j.Service] {
		if s.target.Draining || s.quarantined(now) || exclude[s.target.ID] {
			continue
		}
		tokens := s.kept(now, j.Parts, p.policy.CacheTTL, fetchableAfter)
		if tokens >= fetchLeast && tokens > all[s.target.Zone].tokens {
			all[s.target.Zone] = keeper{s, tokens}
		}
	}
	return all
}

// fetch is a transfer of leading parts from another target.
type fetch struct {
	from   *state
	tokens int // kept after it, with those kept before
	time   time.Duration
	cost   float64
}

// fetchFor returns the transfer that saves a target the most time, or none.
func (p *Planner) fetchFor(j Job, all keepers, s *state, cached int, speed float64) fetch {
	var best fetch
	saved := time.Duration(0)
	for z, k := range all {
		missing := k.tokens - cached
		if missing < fetchLeast || k.state == s {
			continue
		}
		gigabytes, transfer := p.transfer(j.Service, missing)
		if z != s.target.Zone {
			gigabytes, transfer = farTransfer*gigabytes, farTransfer*transfer
		}
		f := fetch{k.state, k.tokens, transfer + fetchSetup, gigabytes * p.policy.TransferCost}
		gain := time.Duration(float64(missing)/speed*float64(time.Millisecond)) - f.time
		if gain > saved || gain == saved && best.from != nil && f.from.target.ID < best.from.target.ID {
			best, saved = f, gain
		}
	}
	return best
}

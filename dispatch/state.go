package dispatch

import (
	"time"

	"zinniapin/roster"
)

// peerLoad is a peer's load at a target and when it was reported.
type peerLoad struct {
	Load
	at time.Time
}

// inFlight is a request that this host has sent to a target and that has not ended.
type inFlight struct {
	// pending is the work to do before the first token, in prompt tokens that take as
	// long: attention makes a long prompt more work than its tokens.
	pending int
	// startsAt and endsAt are when the target is forecast to process the prompt.
	startsAt, endsAt time.Time
}

// overdueShare is the share of the work that counts as left when the first token is
// later than forecast.
const overdueShare = 0.15

// remaining returns the work that is probably left at a time, in prompt tokens.
func (r *inFlight) remaining(now time.Time) int {
	left := 1.0
	if now.After(r.startsAt) && r.endsAt.After(r.startsAt) {
		left = max(float64(r.endsAt.Sub(now))/float64(r.endsAt.Sub(r.startsAt)), overdueShare)
	}
	return int(left * float64(r.pending))
}

// state is the planner's state of one target.
type state struct {
	target       roster.Target
	jobs         map[uint64]*inFlight
	peers        map[string]peerLoad
	cache        map[uint32]cachedPart // leading parts of prompts by chain hash
	speedFactor  float64               // prompt speed relative to its role's
	output       *outputModel          // of its service
	outputFactor float64               // time per output token relative to its service's
	outputAt     time.Time             // when outputFactor was last updated; zero before the first sample
	health       health
	notice       *notice       // nil if the target has said nothing of itself
	reported     *reportedLoad // nil if the target has reported no slowdown
	leavesAt     time.Time     // of a draining target
}

// cachedPart holds when a target was first sent a part of a prompt and when it last
// used it.
type cachedPart struct {
	cachedAt, lastUsed time.Time
}

// newState returns the state of a new target.
func newState() *state {
	return &state{
		jobs: make(map[uint64]*inFlight), peers: make(map[string]peerLoad),
		cache: make(map[uint32]cachedPart), speedFactor: 1, outputFactor: 1,
	}
}

// ownLoad returns the load that this host has at the target.
func (s *state) ownLoad(now time.Time) Load {
	l := Load{Active: len(s.jobs), Sent: s.notice.sent(now)}
	for _, r := range s.jobs {
		l.PendingTokens += r.remaining(now)
	}
	return l
}

// load returns the pending prompt tokens and the active requests of all hosts at the
// target, and the age of the oldest peer report among them. It deducts the tokens that
// the target has probably processed since the peers reported, and drops peer loads older
// than peerLoadTTL.
func (s *state) load(now time.Time, speed float64) (pending, active int, age time.Duration) {
	reported, ages := 0, 0.0
	for host, l := range s.peers {
		reportAge := now.Sub(l.at)
		if reportAge > peerLoadTTL {
			delete(s.peers, host)
			continue
		}
		age = max(age, reportAge)
		active += l.Active
		reported += l.PendingTokens
		ages += float64(reportAge) / float64(time.Millisecond) * float64(l.PendingTokens)
	}
	if reported > 0 { // the mean age, weighted by tokens
		reported = max(reported-int(ages/float64(reported)*speed), 0)
	}
	own := s.ownLoad(now)
	return own.PendingTokens + reported, own.Active + active, age
}

// touchCache records that the target uses leading parts of a prompt.
func (s *state) touchCache(now time.Time, chains []uint32, ttl time.Duration) {
	for _, c := range chains {
		entry, ok := s.cache[c]
		if !ok || now.Sub(entry.lastUsed) > ttl {
			entry.cachedAt = now
		}
		entry.lastUsed = now
		s.cache[c] = entry
	}
	if len(s.cache) > maxCachedParts {
		for c, entry := range s.cache {
			if now.Sub(entry.lastUsed) > ttl {
				delete(s.cache, c)
			}
		}
	}
}

// maxCachedParts is the number of parts recorded for a target, 16 bytes each, beyond
// which expired ones are removed.
const maxCachedParts = 4096

// cachedTokens returns the number of leading tokens that the target has cached.
func (s *state) cachedTokens(now time.Time, parts []Part, ttl time.Duration) int {
	return s.cachedTokensSince(now, parts, ttl, 0)
}

// cachedTokensSince returns the number of leading tokens that the target has had
// cached for minAge at least and used within ttl.
func (s *state) cachedTokensSince(now time.Time, parts []Part, ttl, minAge time.Duration) int {
	tokens := 0
	for _, part := range parts {
		entry, ok := s.cache[part.Chain]
		if !ok || now.Sub(entry.lastUsed) > ttl || now.Sub(entry.cachedAt) < minAge {
			break
		}
		tokens = part.Tokens
	}
	return tokens
}

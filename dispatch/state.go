package dispatch

import (
	"time"

	"zinniapin/roster"
)

// peerLoad is a peer's load with the time at which it came.
type peerLoad struct {
	Load
	at time.Time
}

// running is a request that this host has sent to a target.
type running struct {
	unread int
	since  time.Time
}

// state is what is known of one target.
type state struct {
	target roster.Target
	jobs   map[uint64]*running
	// progressed is when the target last answered with a first token of ours.
	progressed time.Time
	peers      map[string]peerLoad
	cache      map[uint32]keptPart // leading parts by their chain
	factor     float64             // speed in relation to its role's
	health     health
}

// keptPart is when a target began to keep a part, and when it used it last.
type keptPart struct {
	first, last time.Time
}

// newState returns what is known of a new target.
func newState() *state {
	return &state{
		jobs: make(map[uint64]*running), peers: make(map[string]peerLoad),
		cache: make(map[uint32]keptPart), factor: 1,
	}
}

// own returns what this host has under way.
func (s *state) own() Load {
	l := Load{Active: len(s.jobs)}
	for _, r := range s.jobs {
		l.PendingTokens += r.unread
	}
	return l
}

// load returns the unread tokens and the requests of all hosts, and the age of
// the oldest report of a peer. Own progress since the last first token is
// taken off, at most the oldest request.
func (s *state) load(now time.Time, speed float64) (unread, active int, age time.Duration) {
	own := s.own()
	unread, active = own.PendingTokens, own.Active
	if oldest := s.oldest(); oldest != nil {
		since := oldest.since
		if s.progressed.After(since) {
			since = s.progressed
		}
		done := int(float64(now.Sub(since)) / float64(time.Millisecond) * speed)
		unread -= min(done, oldest.unread)
	}
	for host, l := range s.peers {
		at := now.Sub(l.at)
		if at > loadLife {
			delete(s.peers, host)
			continue
		}
		age = max(age, at)
		unread += l.PendingTokens
		active += l.Active
	}
	return unread, active, age
}

// oldest returns the request that waits for its first token for the longest
// time, or nil.
func (s *state) oldest() *running {
	var first *running
	for _, r := range s.jobs {
		if r.unread > 0 && (first == nil || r.since.Before(first.since)) {
			first = r
		}
	}
	return first
}

// note records the use of leading parts.
func (s *state) note(now time.Time, chains []uint32, life time.Duration) {
	for _, c := range chains {
		held, ok := s.cache[c]
		if !ok || now.Sub(held.last) > life {
			held.first = now
		}
		held.last = now
		s.cache[c] = held
	}
	if len(s.cache) > maxCachedParts {
		for c, held := range s.cache {
			if now.Sub(held.last) > life {
				delete(s.cache, c)
			}
		}
	}
}

// maxCachedParts is the number of parts of a target beyond which old ones are
// forgotten; 16 bytes each.
const maxCachedParts = 4096

// cached returns the tokens of the longest leading part that the target keeps.
func (s *state) cached(now time.Time, parts []Part, life time.Duration) int {
	return s.kept(now, parts, life, 0)
}

// kept returns the tokens of the longest leading part that the target has kept
// for a time and used within its life.
func (s *state) kept(now time.Time, parts []Part, life, since time.Duration) int {
	tokens := 0
	for _, part := range parts {
		held, ok := s.cache[part.Chain]
		if !ok || now.Sub(held.last) > life || now.Sub(held.first) < since {
			break
		}
		tokens = part.Tokens
	}
	return tokens
}

package dispatch

import (
	"time"

	"zinniapin/roster"
	"zinniapin/target"
)

// Targets tell in their answers that they leave, or that they want no requests of this host for some
// time. Both hold whatever the store's list says, and only for the incarnation that said so.

// notice is what an incarnation of a target has said of itself.
type notice struct {
	startedMillis int64
	leaving       bool
	leavesAt      time.Time // once leaving is set
	closedUntil   time.Time
	at            time.Time           // of the last change
	limit         *limit              // nil if the target names none
	peers         map[string]peerLoad // the loads of peers at the target
	// limitedAt is when the target last named a limit, or that it has none any more, by the clock that all
	// hosts share; zero if it never named one.
	limitedAt time.Time
	// limitChangedAt is when this host last learnt of another limit, or that there is none.
	limitChangedAt time.Time
}

const (
	// noticeTTL is how long a notice is kept of a target that is not listed: its entry may lapse and
	// come back while the same process goes on leaving.
	noticeTTL = 10 * time.Minute
	// maxPause bounds the time for which a target can ask to be left alone.
	maxPause = time.Hour
	// minReturnSpread is the least time over which callers return that were refused because all
	// targets asked to be left alone.
	minReturnSpread = 300 * time.Millisecond
)

// noticeOf returns the notice of an incarnation of a target, nil if a later one is known.
func (p *Planner) noticeOf(now time.Time, id target.ID, startedMillis int64) *notice {
	s, n := p.targets[id], p.notices[id]
	switch {
	case s != nil && s.target.StartedMillis > startedMillis, n != nil && n.startedMillis > startedMillis:
		return nil
	case n == nil || n.startedMillis < startedMillis:
		n = &notice{startedMillis: startedMillis, at: now}
		p.notices[id] = n
	}
	if s != nil && s.target.StartedMillis == startedMillis {
		s.attach(n)
	}
	return n
}

// MarkLeaving records that a target said that it leaves, so that it gets no further requests. It
// returns whether that is new.
func (p *Planner) MarkLeaving(now time.Time, t roster.Target) bool {
	n := p.noticeOf(now, t.ID, t.StartedMillis)
	if n == nil || n.leaving {
		return false
	}
	n.leave(now)
	r := p.report(t.ID)
	r.Leaving, r.StartedMillis = true, t.StartedMillis
	return true
}

// Pause records that a target turned a request away and wants none of this host for a time. It
// returns whether the target was open before. Peers are not told: a target asks each host by itself.
func (p *Planner) Pause(now time.Time, t roster.Target, pause time.Duration) bool {
	n := p.noticeOf(now, t.ID, t.StartedMillis)
	until := now.Add(min(pause, maxPause))
	if n == nil || !until.After(n.closedUntil) {
		return false
	}
	open := !n.closedUntil.After(now)
	n.closedUntil, n.at = until, now
	return open
}

// MayCall tells whether a target may be sent anything, requests of callers or other calls.
func (p *Planner) MayCall(now time.Time, id target.ID) bool {
	s := p.targets[id]
	return s == nil || !s.notice.closed(now)
}

// closed tells whether the target wants no requests at present. A nil notice says nothing.
func (n *notice) closed(now time.Time) bool { return n != nil && n.closedUntil.After(now) }

// allows tells whether the limit that the target names lets this host send it a request now.
func (n *notice) allows(now time.Time) bool { return n == nil || n.limit.allows(now) }

// sent returns the number of requests that this host has sent lately, if hosts take turns.
func (n *notice) sent(now time.Time) int {
	if n == nil || n.limit == nil {
		return 0
	}
	return n.limit.turns.sent(now)
}

// limited tells whether the target names a limit.
func (n *notice) limited() bool { return n != nil && n.limit != nil }

// left tells whether the target has said that it leaves.
func (n *notice) left() bool { return n != nil && n.leaving }

// attach connects a listed target to what it has said.
func (s *state) attach(n *notice) { s.notice, n.peers = n, s.peers }

// attachNotices connects the listed targets to what they have said, and drops old notices.
func (p *Planner) attachNotices(now time.Time) {
	for id, n := range p.notices {
		s := p.targets[id]
		switch {
		case s == nil && now.Sub(n.at) > noticeTTL, s != nil && s.target.StartedMillis > n.startedMillis:
			delete(p.notices, id)
		case s != nil && s.target.StartedMillis == n.startedMillis:
			s.attach(n)
		}
	}
}

// ReturnAfter returns a time after which a job can be tried again if all targets that could run it
// want no requests at present, or no more than they got: that of the first that will, and a random part,
// since all refused callers would return at that moment otherwise. It returns 0 if one takes requests.
func (p *Planner) ReturnAfter(now time.Time, j Job) time.Duration {
	var first time.Time
	for _, s := range p.services[j.Service] {
		if s.target.Draining || s.notice.left() || !j.acceptsVersion(s) {
			continue
		}
		if !s.notice.closed(now) && s.notice.allows(now) {
			return 0
		}
		opens := s.notice.closedUntil
		if s.notice.limited() {
			if byLimit := s.notice.limit.opensAt(now); byLimit.After(opens) {
				opens = byLimit
			}
		}
		if first.IsZero() || opens.Before(first) {
			first = opens
		}
	}
	if first.IsZero() {
		return 0
	}
	wait := first.Sub(now)
	return wait + time.Duration(p.random.Float64()*float64(max(wait/2, minReturnSpread)))
}

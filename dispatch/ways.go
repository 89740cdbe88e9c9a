package dispatch

import (
	"time"

	"zinniapin/target"
)

// A host that has lost its links to targets gets no answer from any of them, although they are sound; it may be those
// of one service alone. So it reports a target to its peers only once another one of its service has answered it since,
// and takes no answer for no evidence where it knows that its own link is lost.

// unconfirmedTTL is how long an exchange without an answer waits to be reported.
const unconfirmedTTL = 2 * time.Second

// unconfirmed counts exchanges with a target that brought no answer, since when no other target has answered.
type unconfirmed struct {
	count int
	since time.Time
}

// SetLostLinks replaces the targets to which this host has lost its own links. Peers may reach them. What it took for
// failures of those that are new among them is forgotten.
func (p *Planner) SetLostLinks(now time.Time, lost map[target.ID]bool) {
	before := p.lostLinks
	p.lostLinks = lost
	for id := range lost {
		s := p.targets[id]
		if before[id] || s == nil {
			continue
		}
		delete(p.unconfirmed, id)
		h := &s.health
		h.unreachableInARow = 0
		if s.quarantined(now) {
			*h = health{answeredAt: h.answeredAt, latencyMillis: h.latencyMillis, ttlStart: h.ttlStart}
		}
	}
}

// withhold counts an exchange without an answer, to be reported when another target answers.
func (p *Planner) withhold(now time.Time, id target.ID) {
	u := p.unconfirmed[id]
	if u == nil || now.Sub(u.since) > unconfirmedTTL {
		u = &unconfirmed{since: now}
		p.unconfirmed[id] = u
	}
	u.count++
}

// confirm reports the exchanges without an answer that were withheld for targets of a service, since one of it has
// answered now. Targets that are alone in their service are confirmed by any other.
func (p *Planner) confirm(now time.Time, answered *state) {
	for id, u := range p.unconfirmed {
		s := p.targets[id]
		if s != nil && s.target.Service != answered.target.Service && len(p.services[s.target.Service]) > 1 {
			continue
		}
		if s != nil && s != answered && now.Sub(u.since) <= unconfirmedTTL {
			p.report(id).Unreachable += u.count
		}
		delete(p.unconfirmed, id)
	}
}

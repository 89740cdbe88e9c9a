package reach

import (
	"slices"
	"time"
)

// Host is another host that may have links to targets.
type Host struct {
	Address string // for links
	Zone    string
}

const (
	// noWayTime is how long a host is not asked again for a target after it said that it does not reach it either, or
	// for any after it said that it has lost all its links.
	noWayTime = time.Second
	// noAnswerTime is how long a host is not asked again that did not answer, or has no room.
	noAnswerTime = 2 * time.Second
	// helpedTime is how long a host that connected to a target is asked before others of its kind.
	helpedTime = 5 * time.Second
	// maxAsked bounds the hosts that are asked for one connection.
	maxAsked = 12
)

// asked is what a host answered lately.
type asked struct {
	avoidedUntil time.Time
	noWayUntil   map[string]time.Time // by target
	helpedAt     time.Time
}

// Order returns the hosts to ask for a connection to a target, in that order: those of this host's own availability
// zone, then those of the target's, then others; among each at random, but first those that helped lately.
func (t *Table) Order(now time.Time, address string, all []Host, ownZone, targetZone string) []Host {
	rank := func(h Host) int {
		r := 4
		switch h.Zone {
		case ownZone:
			r = 0
		case targetZone:
			r = 2
		}
		if a := t.asked[h.Address]; a == nil || now.Sub(a.helpedAt) > helpedTime {
			r++
		}
		return r
	}
	var usable []Host
	for _, h := range all {
		if a := t.asked[h.Address]; a == nil || !now.Before(a.avoidedUntil) && !now.Before(a.noWayUntil[address]) {
			usable = append(usable, h)
		}
	}
	t.random.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	slices.SortStableFunc(usable, func(a, b Host) int { return rank(a) - rank(b) })
	return usable[:min(len(usable), maxAsked)]
}

// ask returns what a host answered lately. Hosts that answered nothing for long are forgotten.
func (t *Table) ask(now time.Time, host string) *asked {
	a := t.asked[host]
	if a != nil {
		return a
	}
	if len(t.asked) >= maxRemembered {
		for h, old := range t.asked {
			if now.After(old.avoidedUntil) && now.Sub(old.helpedAt) > helpedTime {
				delete(t.asked, h)
			}
		}
	}
	a = &asked{noWayUntil: make(map[string]time.Time)}
	t.asked[host] = a
	return a
}

// maxRemembered is the number of hosts beyond which those without a recent answer are forgotten.
const maxRemembered = 256

// Helped records that a host has connected to a target.
func (t *Table) Helped(now time.Time, host string) { t.ask(now, host).helpedAt = now }

// HasNoWay records that a host does not reach a target either.
func (t *Table) HasNoWay(now time.Time, host, address string) {
	a := t.ask(now, host)
	for old, until := range a.noWayUntil {
		if !now.Before(until) {
			delete(a.noWayUntil, old)
		}
	}
	a.noWayUntil[address] = now.Add(noWayTime)
}

// HasNoLinks records that a host has lost its links to all targets.
func (t *Table) HasNoLinks(now time.Time, host string) { t.avoid(now, host, noWayTime) }

// DoesNotAnswer records that a host did not answer, or has no room.
func (t *Table) DoesNotAnswer(now time.Time, host string) { t.avoid(now, host, noAnswerTime) }

// avoid keeps a host from being asked for a time.
func (t *Table) avoid(now time.Time, host string, span time.Duration) {
	a := t.ask(now, host)
	a.avoidedUntil, a.helpedAt = now.Add(span), time.Time{}
}

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
	// noWayTime is how long a host is not asked again after it said that it does not reach a target either.
	noWayTime = time.Second
	// noAnswerTime is how long a host is not asked again that did not answer, or has no room.
	noAnswerTime = 2 * time.Second
	// maxAsked bounds the hosts that are asked for one connection.
	maxAsked = 6
)

// Order returns the hosts to ask for a connection to a target, in that order: those of this host's own availability
// zone, then those of the target's, then others, at random among each.
func (t *Table) Order(now time.Time, all []Host, ownZone, targetZone string) []Host {
	rank := func(h Host) int {
		switch h.Zone {
		case ownZone:
			return 0
		case targetZone:
			return 1
		}
		return 2
	}
	var usable []Host
	for _, h := range all {
		if !now.Before(t.avoided[h.Address]) {
			delete(t.avoided, h.Address)
			usable = append(usable, h)
		}
	}
	t.random.Shuffle(len(usable), func(i, j int) { usable[i], usable[j] = usable[j], usable[i] })
	slices.SortStableFunc(usable, func(a, b Host) int { return rank(a) - rank(b) })
	return usable[:min(len(usable), maxAsked)]
}

// HasNoWay records that a host does not reach a target either.
func (t *Table) HasNoWay(now time.Time, host string) { t.avoided[host] = now.Add(noWayTime) }

// DoesNotAnswer records that a host did not answer, or has no room.
func (t *Table) DoesNotAnswer(now time.Time, host string) { t.avoided[host] = now.Add(noAnswerTime) }

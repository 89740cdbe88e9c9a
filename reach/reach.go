// Package reach keeps what a host knows of its own links: which targets it cannot connect to although other hosts
// can, and which of these hosts to ask for a connection. A host takes its links for lost only on the word of a
// connection that another host made at the same time, or once it can connect to no target at all; until then a target
// that does not answer is the target's fault.
//
// A Table has no I/O, no goroutine and no clock of its own; it is not safe for concurrent use.
package reach

import (
	"math/rand/v2"
	"time"
)

const (
	// probeInterval is the time between two attempts to connect to a target whose link is lost.
	probeInterval = 500 * time.Millisecond
	// maxProbes bounds the untried targets that are probed at a time.
	maxProbes = 4
	// checkInterval is the least time between two checks of the link to one silent target.
	checkInterval = time.Second
	// provenTime is how long a connection proves that the host's own links work.
	provenTime = 200 * time.Millisecond
	// minFailed is the number of targets that cannot be connected to from which the others are probed as well.
	minFailed = 2
)

// Table is the state of the links of one host. Targets are named by their addresses.
type Table struct {
	random *rand.Rand
	listed []string
	// lost are the targets that only other hosts reach. While there are any, working are those to which this host
	// has connected since the first was lost.
	lost, working map[string]bool
	// failed are the targets that could not be connected to since the latest connection, and of which no other
	// host had a word.
	failed      map[string]bool
	connectedAt time.Time // latest connection
	probedAt    time.Time // latest probe of a lost link
	triedAt     map[string]time.Time
	asked       map[string]*asked // what other hosts answered, by address
}

// New returns the table of a host whose links all work. The seed is that of its random choices.
func New(seed uint64) *Table {
	return &Table{random: rand.New(rand.NewPCG(seed, 3)), lost: make(map[string]bool), working: make(map[string]bool), failed: make(map[string]bool),
		triedAt: make(map[string]time.Time), asked: make(map[string]*asked)}
}

// Lost returns the targets whose links are lost.
func (t *Table) Lost() map[string]bool {
	lost := make(map[string]bool, len(t.lost))
	for a := range t.lost {
		lost[a] = true
	}
	return lost
}

// IsLost tells whether the link to a target is lost.
func (t *Table) IsLost(address string) bool { return t.lost[address] }

// AllLost tells whether the links to all targets are lost.
func (t *Table) AllLost() bool { return len(t.lost) > 0 && len(t.lost) == len(t.listed) }

// SetTargets replaces the targets. It returns whether a lost link was among those that are gone.
func (t *Table) SetTargets(addresses []string) bool {
	t.listed = addresses
	kept := make(map[string]bool, len(addresses))
	for _, a := range addresses {
		kept[a] = true
	}
	before := len(t.lost)
	for _, all := range []map[string]bool{t.lost, t.working, t.failed} {
		for a := range all {
			if !kept[a] {
				delete(all, a)
			}
		}
	}
	for a := range t.triedAt {
		if !kept[a] {
			delete(t.triedAt, a)
		}
	}
	return len(t.lost) != before
}

// Connected records that this host has connected to a target. It returns whether a link is back that was lost. All
// others that were lost are tried again, too, since they probably came back with it.
func (t *Table) Connected(now time.Time, address string) bool {
	t.connectedAt = now
	clear(t.failed)
	if !t.lost[address] {
		t.working[address] = len(t.lost) > 0
		return false
	}
	clear(t.lost)
	clear(t.working)
	return true
}

// Bypassed records that another host has connected to a target while this one could not. It returns whether that
// link was not known to be lost.
func (t *Table) Bypassed(address string) bool {
	if t.lost[address] {
		return false
	}
	if len(t.lost) == 0 {
		clear(t.working)
	}
	t.lost[address] = true
	delete(t.working, address)
	delete(t.failed, address)
	return true
}

// Failed records that this host could not connect to a target of which no other host had a word. While links to
// others are lost, this one counts as lost, too; otherwise all do once none works. It returns whether any is lost
// that was not before.
func (t *Table) Failed(address string) bool {
	if t.lost[address] {
		return false
	}
	if len(t.lost) > 0 {
		return t.Bypassed(address)
	}
	t.failed[address] = true
	if len(t.listed) < minFailed {
		return false
	}
	for _, a := range t.listed {
		if !t.failed[a] {
			return false
		}
	}
	for _, a := range t.listed {
		t.lost[a] = true
	}
	clear(t.failed)
	return true
}

// Proven tells whether this host has connected to a target just now.
func (t *Table) Proven(now time.Time) bool { return now.Sub(t.connectedAt) < provenTime }

// Comparable returns a random target, other than the given one, to which this host should be able to connect. It is
// empty if there is none; known is false if there is none because all links are lost.
func (t *Table) Comparable(address string) (other string, known bool) {
	var all []string
	for _, a := range t.listed {
		if a != address && !t.lost[a] {
			all = append(all, a)
		}
	}
	if len(all) == 0 {
		return "", len(t.lost) == 0
	}
	return all[t.random.IntN(len(all))], true
}

// MayCheck tells whether the link to a target that has been silent may be checked, and takes note of that.
func (t *Table) MayCheck(now time.Time, address string) bool {
	if t.lost[address] || now.Sub(t.triedAt[address]) < checkInterval {
		return false
	}
	t.triedAt[address] = now
	return true
}

// Probes returns the targets to connect to now: while links are lost, one of these, to learn whether they are back,
// and some that were not tried meanwhile, as well as while it is in doubt whether any target can be reached. It is to
// be called several times a second.
func (t *Table) Probes(now time.Time) []string {
	if len(t.lost) == 0 && len(t.failed) < minFailed {
		return nil
	}
	var probes, lost, untried []string
	for _, a := range t.listed {
		switch {
		case t.lost[a]:
			lost = append(lost, a)
		case !t.working[a] && !t.failed[a] && now.Sub(t.triedAt[a]) >= probeInterval:
			untried = append(untried, a)
		}
	}
	if len(lost) > 0 && now.Sub(t.probedAt) >= probeInterval {
		t.probedAt = now
		probes = append(probes, lost[t.random.IntN(len(lost))])
	}
	t.random.Shuffle(len(untried), func(i, j int) { untried[i], untried[j] = untried[j], untried[i] })
	for _, a := range untried[:min(len(untried), maxProbes)] {
		t.triedAt[a] = now
		probes = append(probes, a)
	}
	return probes
}

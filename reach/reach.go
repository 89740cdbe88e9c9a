// Package reach keeps what a host knows of its own links: which targets it cannot connect to although other hosts
// can, and which of these hosts to ask for a connection. A host takes its links for lost only on the evidence of a
// connection that another host made at the same time, or once it can connect to no target of a group, such as those of a
// service; until then a target that does not answer is the target's fault.
//
// A Table has no I/O, no goroutine and no clock of its own; it is not safe for concurrent use.
package reach

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// probeInterval is the time between two attempts to connect to a target whose link is lost.
	probeInterval = 500 * time.Millisecond
	// maxProbes bounds the untried targets that are probed at a time.
	maxProbes = 4
	// checkInterval is the least time between two checks of the link to one silent target.
	checkInterval = time.Second
	// maxComparable bounds the targets that a failing one is compared with.
	maxComparable = 3
	// minFailed is the number of targets that cannot be connected to from which the others are probed as well.
	minFailed = 2
)

// Table is the state of the links of one host. Targets are named by their addresses.
type Table struct {
	random *rand.Rand
	listed []string
	group  map[string]string // of targets that fail alike, by target
	// lost are the targets that only other hosts reach. While there are any of a group, working are those of it to
	// which this host has connected since the first was lost.
	lost, working map[string]bool
	// failed are the targets that could not be connected to since the latest connection to one of their group, and of
	// which no other host knew anything.
	failed      map[string]bool
	connectedAt map[string]time.Time // latest connection, by group
	probedAt    time.Time            // latest probe of a lost link
	triedAt     map[string]time.Time
	asked       map[string]*asked // what other hosts answered, by address
}

// New returns the table of a host whose links all work. The seed is that of its random choices.
func New(seed uint64) *Table {
	return &Table{random: rand.New(rand.NewPCG(seed, 3)), lost: make(map[string]bool), working: make(map[string]bool), failed: make(map[string]bool),
		group: make(map[string]string), connectedAt: make(map[string]time.Time), triedAt: make(map[string]time.Time), asked: make(map[string]*asked)}
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

// Target is a target by its address. Targets of a group are on links that fail alike, such as those of a service.
type Target struct{ Address, Group string }

// SetTargets replaces the targets. It returns whether a lost link was among those that are gone.
func (t *Table) SetTargets(all []Target) bool {
	t.listed, t.group = nil, make(map[string]string, len(all))
	kept, groups := make(map[string]bool, len(all)), make(map[string]bool)
	for _, target := range all {
		t.listed = append(t.listed, target.Address)
		t.group[target.Address], kept[target.Address], groups[target.Group] = target.Group, true, true
	}
	for g := range t.connectedAt {
		if !groups[g] {
			delete(t.connectedAt, g)
		}
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

// Connected records that this host has connected to a target. It returns whether a link is back that was lost. The
// others of its group that were lost are tried again, too, since they probably came back with it.
func (t *Table) Connected(now time.Time, address string) bool {
	g := t.group[address]
	t.connectedAt[g] = now
	t.forget(t.failed, g)
	if !t.lost[address] {
		if t.lostIn(g) {
			t.working[address] = true
		}
		return false
	}
	t.forget(t.lost, g)
	t.forget(t.working, g)
	return true
}

// forget removes the targets of a group from a set.
func (t *Table) forget(set map[string]bool, group string) {
	for a := range set {
		if t.group[a] == group {
			delete(set, a)
		}
	}
}

// lostIn tells whether any link to targets of a group is lost.
func (t *Table) lostIn(group string) bool {
	for a := range t.lost {
		if t.group[a] == group {
			return true
		}
	}
	return false
}

// Bypassed records that another host has connected to a target while this one could not. It returns whether that
// link was not known to be lost.
func (t *Table) Bypassed(address string) bool {
	if t.lost[address] {
		return false
	}
	if g := t.group[address]; !t.lostIn(g) {
		t.forget(t.working, g)
	}
	t.lost[address] = true
	delete(t.working, address)
	delete(t.failed, address)
	return true
}

// Failed records that this host could not connect to a target of which no other host knew anything. While links to
// others of its group are lost, this one counts as lost, too; otherwise all of the group do once none of them works. It
// returns whether any is lost that was not before.
func (t *Table) Failed(address string) bool {
	g := t.group[address]
	if t.lost[address] {
		return false
	}
	if t.lostIn(g) {
		return t.Bypassed(address)
	}
	t.failed[address] = true
	var group []string
	for _, a := range t.listed {
		if t.group[a] == g {
			group = append(group, a)
		}
	}
	if len(group) < minFailed || slices.ContainsFunc(group, func(a string) bool { return !t.failed[a] }) {
		return false
	}
	for _, a := range group {
		t.lost[a] = true
	}
	t.forget(t.failed, g)
	return true
}

// Proven tells whether this host has connected since a time to a target of the group of the given one, so that the links
// to it should work, too.
func (t *Table) Proven(since time.Time, address string) bool {
	return t.connectedAt[t.group[address]].After(since)
}

// Comparable returns random targets to which this host should be able to connect if the links to the given one work: of
// its group or, if it is alone there, of others. If there is none, known tells whether that is not since their
// links are lost.
func (t *Table) Comparable(address string) (others []string, known bool) {
	var same, rest []string
	lost := false
	for _, a := range t.listed {
		switch {
		case a == address:
		case t.lost[a]:
			lost = true
		case t.group[a] == t.group[address]:
			same = append(same, a)
		default:
			rest = append(rest, a)
		}
	}
	if len(same) == 0 && !lost {
		same = rest
	}
	t.random.Shuffle(len(same), func(i, j int) { same[i], same[j] = same[j], same[i] })
	return same[:min(len(same), maxComparable)], !lost
}

// MayCheck tells whether the link to a target that has been silent may be checked, and takes note of that.
func (t *Table) MayCheck(now time.Time, address string) bool {
	if t.lost[address] || now.Sub(t.triedAt[address]) < checkInterval {
		return false
	}
	t.triedAt[address] = now
	return true
}

// Probes returns the targets to connect to now: while links are lost, one of each group, to learn whether they are back,
// and some that were not tried meanwhile, as well as while it is in doubt whether any target can be reached. It is to
// be called several times a second.
func (t *Table) Probes(now time.Time) []string {
	if len(t.lost) == 0 && len(t.failed) < minFailed {
		return nil
	}
	var probes, untried []string
	lost := make(map[string][]string) // by group
	for _, a := range t.listed {
		switch {
		case t.lost[a]:
			lost[t.group[a]] = append(lost[t.group[a]], a)
		case !t.working[a] && !t.failed[a] && now.Sub(t.triedAt[a]) >= probeInterval:
			untried = append(untried, a)
		}
	}
	if now.Sub(t.probedAt) >= probeInterval {
		t.probedAt = now
		for _, group := range lost {
			probes = append(probes, group[t.random.IntN(len(group))])
		}
	}
	t.random.Shuffle(len(untried), func(i, j int) { untried[i], untried[j] = untried[j], untried[i] })
	for _, a := range untried[:min(len(untried), maxProbes)] {
		t.triedAt[a] = now
		probes = append(probes, a)
	}
	return probes
}

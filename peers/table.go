// Package peers lets the hosts hear of each other by datagrams: each replaces
// the one before, so that lost ones do no harm and no connection can fall
// silent. What is too large for a datagram is asked for over a link.
package peers

import (
	"sort"
	"time"

	"zinniapin/wire"
)

const (
	// liveTime is how long a host counts as live after it was heard last.
	liveTime = 2500 * time.Millisecond
	// triedTime is how long datagrams are still sent to a host that is not
	// heard, so that both ends of a healed cut find each other.
	triedTime = 90 * time.Second
)

// Peer is a host as this one hears of it.
type Peer struct {
	Digest   *wire.HostDigest // newest
	LastSeen time.Time
	lost     bool
}

// Live tells whether the host was heard lately.
func (p *Peer) Live(now time.Time) bool { return now.Sub(p.LastSeen) < liveTime }

// Table keeps the known hosts. It is not safe for concurrent use.
type Table struct {
	self  string // own address
	peers map[string]*Peer
	// named are addresses that others or the settings name, with the time until
	// which they are tried.
	named map[string]time.Time
}

// NewTable returns a table of a host, with addresses to begin with.
func NewTable(self string, seeds []string, now time.Time) *Table {
	t := &Table{self: self, peers: make(map[string]*Peer), named: make(map[string]time.Time)}
	t.AddAddresses(now, seeds)
	return t
}

// AddAddresses notes addresses at which hosts may be.
func (t *Table) AddAddresses(now time.Time, addresses []string) {
	for _, a := range addresses {
		if a != t.self && a != "" {
			t.named[a] = now.Add(triedTime)
		}
	}
}

// HandleDigest takes a digest. It returns whether it is newer than what was known,
// and whether the host or its process is new.
func (t *Table) HandleDigest(now time.Time, d *wire.HostDigest) (newer, found bool) {
	held := t.peers[d.Host]
	if held != nil && held.Digest.Incarnation == d.Incarnation {
		if d.Sequence <= held.Digest.Sequence {
			return false, false
		}
		found = held.lost
	} else {
		found = true
	}
	t.peers[d.Host] = &Peer{Digest: d, LastSeen: now}
	t.AddAddresses(now, []string{d.Address})
	t.AddAddresses(now, d.Peers)
	return true, found
}

// Expire returns hosts that have just ceased to be live.
func (t *Table) Expire(now time.Time) []string {
	var lost []string
	for name, p := range t.peers {
		if !p.lost && !p.Live(now) {
			p.lost = true
			lost = append(lost, name)
		}
		if now.Sub(p.LastSeen) > triedTime {
			delete(t.peers, name)
		}
	}
	for a, until := range t.named {
		if now.After(until) {
			delete(t.named, a)
		}
	}
	return lost
}

// Live returns the live hosts, ordered by name.
func (t *Table) Live(now time.Time) []*Peer {
	var live []*Peer
	for _, p := range t.peers {
		if p.Live(now) {
			live = append(live, p)
		}
	}
	sort.Slice(live, func(i, j int) bool { return live[i].Digest.Host < live[j].Digest.Host })
	return live
}

// KnownHostCount returns the number of hosts that may be running, this one excluded:
// those that are heard, and those that were heard or named of late. A host that
// is cut off is not heard, yet goes on.
func (t *Table) KnownHostCount() int { return len(t.named) }

// Addresses returns where datagrams go: those of live hosts, near ones first,
// and those that are named but not heard.
func (t *Table) Addresses(now time.Time, zone string) (near, far, silent []string) {
	heard := make(map[string]bool)
	for _, p := range t.Live(now) {
		heard[p.Digest.Address] = true
		if p.Digest.Zone == zone {
			near = append(near, p.Digest.Address)
		} else {
			far = append(far, p.Digest.Address)
		}
	}
	for a := range t.named {
		if !heard[a] {
			silent = append(silent, a)
		}
	}
	sort.Strings(silent)
	return near, far, silent
}

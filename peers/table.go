// Package peers implements the gossip between hosts: each host regularly sends its
// state to the others as a UDP datagram, the digest. A digest replaces the sender's
// previous one, so lost datagrams do no harm, and no connection can hang. Data too
// large for a datagram is requested over a link (package link).
package peers

import (
	"sort"
	"time"

	"zinniapin/wire"
)

const (
	// livenessTimeout is how long a host counts as live after its last digest.
	livenessTimeout = 2500 * time.Millisecond
	// addressLifetime is how long digests are still sent to an address after the
	// settings or a digest last named it, so that hosts find each other again after
	// a network partition.
	addressLifetime = 90 * time.Second
)

// Peer is another host, as described by its newest digest.
type Peer struct {
	Digest   *wire.HostDigest // newest
	LastSeen time.Time
	lost     bool
}

// Live reports whether a digest of the host arrived within livenessTimeout.
func (p *Peer) Live(now time.Time) bool { return now.Sub(p.LastSeen) < livenessTimeout }

// Table holds the known hosts and addresses. It is not safe for concurrent use.
type Table struct {
	self  string // own address
	peers map[string]*Peer
	// addresses are those that the settings or digests name, each with the time
	// until which it is used.
	addresses map[string]time.Time
}

// NewTable returns the table of the host at address self. The seeds are the first
// addresses to try.
func NewTable(self string, seeds []string, now time.Time) *Table {
	t := &Table{self: self, peers: make(map[string]*Peer), addresses: make(map[string]time.Time)}
	t.AddAddresses(now, seeds)
	return t
}

// AddAddresses adds addresses at which other hosts may run.
func (t *Table) AddAddresses(now time.Time, addresses []string) {
	for _, a := range addresses {
		if a != t.self && a != "" {
			t.addresses[a] = now.Add(addressLifetime)
		}
	}
}

// HandleDigest stores a digest. It returns whether the digest is newer than the
// stored one, and whether its host is found: new, restarted, or live again.
func (t *Table) HandleDigest(now time.Time, d *wire.HostDigest) (newer, found bool) {
	previous := t.peers[d.Host]
	if previous != nil && previous.Digest.Incarnation == d.Incarnation {
		if d.Sequence <= previous.Digest.Sequence {
			return false, false
		}
		found = previous.lost
	} else {
		found = true
	}
	t.peers[d.Host] = &Peer{Digest: d, LastSeen: now}
	t.AddAddresses(now, []string{d.Address})
	t.AddAddresses(now, d.Peers)
	return true, found
}

// Expire returns the hosts that have ceased to be live since the last call. It also
// removes hosts and addresses that have not been seen for addressLifetime.
func (t *Table) Expire(now time.Time) []string {
	var lost []string
	for name, p := range t.peers {
		if !p.lost && !p.Live(now) {
			p.lost = true
			lost = append(lost, name)
		}
		if now.Sub(p.LastSeen) > addressLifetime {
			delete(t.peers, name)
		}
	}
	for a, until := range t.addresses {
		if now.After(until) {
			delete(t.addresses, a)
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

// KnownHostCount returns the number of other hosts that may be running: the
// addresses named within addressLifetime. Hosts that are not live are included,
// because a host that is cut off from this one may go on serving.
func (t *Table) KnownHostCount() int { return len(t.addresses) }

// Addresses returns the addresses to send digests to: those of live hosts in the
// given zone, those of live hosts in other zones, and those without a live host.
func (t *Table) Addresses(now time.Time, zone string) (sameZone, otherZones, silent []string) {
	live := make(map[string]bool)
	for _, p := range t.Live(now) {
		live[p.Digest.Address] = true
		if p.Digest.Zone == zone {
			sameZone = append(sameZone, p.Digest.Address)
		} else {
			otherZones = append(otherZones, p.Digest.Address)
		}
	}
	for a := range t.addresses {
		if !live[a] {
			silent = append(silent, a)
		}
	}
	sort.Strings(silent)
	return sameZone, otherZones, silent
}

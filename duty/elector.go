// Package duty lets one host at a time carry out what must have one author:
// reports of usage and orders of targets. Authority is one object in the
// platform's store: its conditional update names the holder and raises the
// fencing number. Which host tries is decided by what the hosts hear of each
// other; two that try at once cost a refused update.
package duty

import (
	"hash/fnv"
	"sort"
	"time"
)

// Record is the object that holds the authority.
type Record struct {
	// Holder is the host that holds the duties; empty when it gave them up.
	Holder string `json:"holder"`
	// Incarnation is the holder's process.
	Incarnation uint64 `json:"incarnation"`
	// Fence rises with each holder.
	Fence uint64 `json:"fence"`
	// Windows are the figures of usage windows that no longer change, by the
	// number of the window.
	Windows map[string]map[string]uint32 `json:"windows,omitempty"`
}

// Peer is a live host as this one hears of it.
type Peer struct {
	Host string
	// StoreReachable tells whether the host reaches the store.
	StoreReachable bool
	Leaving        bool
	// HoldsDuties tells whether the host's process holds the duties itself: one that
	// was started anew does not, though the record names its host.
	HoldsDuties bool
	// Holder and Fence are the newest record that the peer knows of.
	Holder string
	Fence  uint64
	// LastSeen is when the peer was heard last.
	LastSeen time.Time
}

const (
	// heardWithin is how long a host counts as live after it was heard last.
	heardWithin = 2500 * time.Millisecond
	// rankDelay keeps hosts of lower rank from trying together with the first.
	rankDelay = 700 * time.Millisecond
	// lostMargin is added to the lease for a host that lost the duties.
	lostMargin = time.Second
)

// Elector decides when this host tries to take the duties. It is not safe for
// concurrent use.
type Elector struct {
	self  string
	lease time.Duration
	start time.Time
	// vacant is since when no live host is known to hold the duties.
	vacant time.Time
	// holder is whom the vacancy is about.
	holder string
	// lost is when this host last lost the duties, or found another holder.
	lost time.Time
}

// NewElector returns the elector of a host that starts now. The lease is the
// time within which a former holder may still act.
func NewElector(self string, lease time.Duration, now time.Time) *Elector {
	return &Elector{self: self, lease: lease, start: now}
}

// MarkLost notes that this host lost the duties: it stays away for a lease.
func (e *Elector) MarkLost(now time.Time) { e.lost = now }

// ShouldAcquire tells whether this host should try to take the duties now. The holder is
// the newest that any host knows of; empty when none does.
func (e *Elector) ShouldAcquire(now time.Time, reaches bool, peers []Peer, holder string) bool {
	if !reaches {
		e.vacant = time.Time{}
		return false
	}
	if holder != "" && holder != e.self && served(now, peers, holder) {
		e.vacant = time.Time{}
		return false
	}
	if e.vacant.IsZero() || holder != e.holder {
		e.holder = holder
		e.vacant = now
	}
	if !e.lost.IsZero() && now.Sub(e.lost) < e.lease+lostMargin {
		return false
	}
	wait := time.Duration(e.rank(now, peers)) * rankDelay
	if holder != "" {
		wait += e.lease // a process that was started anew knows least of the windows
	}
	// A process that has just started has not heard its peers yet.
	ready := now.Sub(e.start) >= heardWithin
	return ready && now.Sub(e.vacant) >= wait
}

// served tells whether a host is heard, holds the duties, reaches the store and
// does not leave.
func served(now time.Time, peers []Peer, host string) bool {
	for _, p := range peers {
		if p.Host == host {
			return now.Sub(p.LastSeen) < heardWithin && p.StoreReachable && p.HoldsDuties && !p.Leaving
		}
	}
	return false
}

// NextCandidates returns the live hosts that would take the duties first, at most n.
func NextCandidates(now time.Time, peers []Peer, n int) []string {
	var names []string
	for _, p := range peers {
		if now.Sub(p.LastSeen) < heardWithin && p.StoreReachable && !p.Leaving {
			names = append(names, p.Host)
		}
	}
	sort.Slice(names, func(i, j int) bool { return order(names[i]) < order(names[j]) })
	return names[:min(n, len(names))]
}

// rank returns how many live hosts come before this one.
func (e *Elector) rank(now time.Time, peers []Peer) int {
	names := []string{e.self}
	for _, p := range peers {
		if p.Host != e.self && now.Sub(p.LastSeen) < heardWithin && p.StoreReachable && !p.Leaving {
			names = append(names, p.Host)
		}
	}
	sort.Slice(names, func(i, j int) bool { return order(names[i]) < order(names[j]) })
	for i, name := range names {
		if name == e.self {
			return i
		}
	}
	return 0
}

// order spreads the duties over hosts whatever their names are.
func order(host string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(host)) // never fails
	return h.Sum64()
}

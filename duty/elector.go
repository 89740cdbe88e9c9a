// Package duty elects the host that holds the duties: the usage reports and the
// orders of targets, which only one host at a time may carry out. The holder is
// named in one object of the platform's store, the Record; a host acquires the
// duties by a conditional update that names it and raises the fencing number.
// Package duty only decides which host tries, from the digests that the hosts
// exchange. If two hosts try at once, the store refuses one of the updates.
package duty

import (
	"hash/fnv"
	"sort"
	"time"
)

// Record is the object in the store that names the holder of the duties.
type Record struct {
	// Holder is the host that holds the duties; empty after a hand-over.
	Holder string `json:"holder"`
	// Incarnation identifies the holder's process.
	Incarnation uint64 `json:"incarnation"`
	// Fence is the fencing number, which rises each time the duties are acquired.
	Fence uint64 `json:"fence"`
	// Windows holds the frozen counts of usage windows. The outer key is the window's
	// number in decimal, the inner key an organisation, the value its requests.
	Windows map[string]map[string]uint32 `json:"windows,omitempty"`
	// DueFrom is the first window that may be reported unless Windows holds it; 0 for any.
	DueFrom uint64 `json:"due_from,omitempty"`
}

// Peer is another host, as described by its newest digest.
type Peer struct {
	Host string
	// StoreReachable is set if the host can reach the store.
	StoreReachable bool
	// Leaving is set once the host's process is stopping.
	Leaving bool
	// HoldsDuties is set if the host's current process holds the duties. After a
	// restart it does not, even if the record still names the host.
	HoldsDuties bool
	// Holder and Fence are those of the newest record that the peer knows.
	Holder string
	Fence  uint64
	// LastSeen is when the peer's newest digest arrived.
	LastSeen time.Time
}

const (
	// livenessTimeout is how long a host counts as live after its last digest.
	livenessTimeout = 2500 * time.Millisecond
	// rankDelay is the wait per rank that keeps hosts from trying at once.
	rankDelay = 700 * time.Millisecond
	// lostMargin is added to the lease for a host that lost the duties or an
	// attempt to acquire them.
	lostMargin = time.Second
)

// Elector decides when this host tries to acquire the duties. It is not safe for
// concurrent use.
type Elector struct {
	self      string
	lease     time.Duration
	startedAt time.Time
	// vacantSince is since when no live host is known to hold the duties.
	vacantSince time.Time
	// vacancyHolder is the holder at the start of the vacancy. When another host
	// becomes the holder, the vacancy starts again.
	vacancyHolder string
	// lostAt is when this host last lost the duties or failed to acquire them.
	lostAt time.Time
}

// NewElector returns the elector of a process that starts now. The lease is the
// time within which a former holder may still act.
func NewElector(self string, lease time.Duration, now time.Time) *Elector {
	return &Elector{self: self, lease: lease, startedAt: now}
}

// MarkLost records that this host lost the duties or failed to acquire them. It
// does not try again for the lease and lostMargin.
func (e *Elector) MarkLost(now time.Time) { e.lostAt = now }

// ShouldAcquire reports whether this host should try to acquire the duties now.
// The holder is that of the newest known record; empty if there is none. A host
// tries once the vacancy has lasted for the lease, if there was a holder, and for
// rankDelay times its rank among the live hosts.
func (e *Elector) ShouldAcquire(now time.Time, storeReachable bool, peers []Peer, holder string) bool {
	if !storeReachable {
		e.vacantSince = time.Time{}
		return false
	}
	if holder != "" && holder != e.self && holderActive(now, peers, holder) {
		e.vacantSince = time.Time{}
		return false
	}
	if e.vacantSince.IsZero() || holder != e.vacancyHolder {
		e.vacancyHolder = holder
		e.vacantSince = now
	}
	if !e.lostAt.IsZero() && now.Sub(e.lostAt) < e.lease+lostMargin {
		return false
	}
	wait := time.Duration(e.rank(now, peers)) * rankDelay
	if holder != "" {
		wait += e.lease // also if this host is the holder: a restarted process lacks the counts
	}
	// A process that has just started has not received its peers' digests yet.
	discovered := now.Sub(e.startedAt) >= livenessTimeout
	return discovered && now.Sub(e.vacantSince) >= wait
}

// holderActive reports whether a host is live, holds the duties, can reach the
// store and is not leaving.
func holderActive(now time.Time, peers []Peer, host string) bool {
	for _, p := range peers {
		if p.Host == host {
			return now.Sub(p.LastSeen) < livenessTimeout && p.StoreReachable && p.HoldsDuties && !p.Leaving
		}
	}
	return false
}

// NextCandidates returns the first hosts that would try to acquire the duties, at
// most n.
func NextCandidates(now time.Time, peers []Peer, n int) []string {
	var names []string
	for _, p := range peers {
		if now.Sub(p.LastSeen) < livenessTimeout && p.StoreReachable && !p.Leaving {
			names = append(names, p.Host)
		}
	}
	sort.Slice(names, func(i, j int) bool { return hostHash(names[i]) < hostHash(names[j]) })
	return names[:min(n, len(names))]
}

// rank returns the number of live hosts that try before this one.
func (e *Elector) rank(now time.Time, peers []Peer) int {
	names := []string{e.self}
	for _, p := range peers {
		if p.Host != e.self && now.Sub(p.LastSeen) < livenessTimeout && p.StoreReachable && !p.Leaving {
			names = append(names, p.Host)
		}
	}
	sort.Slice(names, func(i, j int) bool { return hostHash(names[i]) < hostHash(names[j]) })
	for i, name := range names {
		if name == e.self {
			return i
		}
	}
	return 0
}

// hostHash returns the hash by which hosts are ranked, so that the rank does not
// depend on how hosts are named.
func hostHash(host string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(host)) // never fails
	return h.Sum64()
}

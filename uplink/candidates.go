package uplink

import (
	"strings"
	"sync"
	"time"

	"zinniapin/membership"
	"zinniapin/zone"
)

// maxCandidates limits the number of addresses kept.
const maxCandidates = 64

// candidate is a controller to which the gateway may open a link.
type candidate struct {
	address  string
	zone     zone.Name // empty while unknown
	failedAt time.Time // when the last dial or heartbeat failed; zero after a successful dial
}

// candidates holds the controllers to which a gateway may open links. It is safe for
// concurrent use.
type candidates struct {
	mu       sync.Mutex
	homeZone zone.Name
	local    string // address of the controller on the same host, or ""
	all      []*candidate
}

// newCandidates returns the candidates named in the configuration of an uplink.
func newCandidates(c Config) *candidates {
	k := &candidates{homeZone: c.Self.Zone.Name, local: c.LocalController}
	if c.LocalController != "" {
		k.all = append(k.all, &candidate{address: c.LocalController, zone: k.homeZone})
	}
	for _, address := range c.Seeds {
		k.add(address, "")
	}
	return k
}

// add adds a candidate, or sets the zone of a known one. If there are too many, it evicts the
// one that failed the longest ago, or adds nothing if none has failed.
func (k *candidates) add(address string, name zone.Name) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.all {
		if c.address == address {
			if name != "" {
				c.zone = name
			}
			return
		}
	}
	if address == "" || len(k.all) >= maxCandidates && !k.evictFailed() {
		return
	}
	k.all = append(k.all, &candidate{address: address, zone: name})
}

// evictFailed removes the candidate that failed the longest ago, except for the local
// controller. It returns false if no candidate has failed. The lock is held.
func (k *candidates) evictFailed() bool {
	oldest := -1
	for i, c := range k.all {
		if c.address == k.local || c.failedAt.IsZero() {
			continue
		}
		if oldest < 0 || c.failedAt.Before(k.all[oldest].failedAt) {
			oldest = i
		}
	}
	if oldest < 0 {
		return false
	}
	k.all = append(k.all[:oldest], k.all[oldest+1:]...)
	return true
}

// addMembers adds the controllers that a controller listed in a heartbeat reply.
func (k *candidates) addMembers(members []membership.Member) {
	for _, m := range members {
		k.add(m.Process.Address, m.Process.Zone.Name)
	}
}

// setFailed sets the time at which a dial or heartbeat of a candidate failed. The zero time
// clears it, after a successful dial.
func (k *candidates) setFailed(address string, at time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.all {
		if c.address == address {
			c.failedAt = at
		}
	}
}

// pick returns the best address for a slot other than exclude, or "" if there is none.
// Candidates that have not failed come first, then those that failed the longest ago. Among
// equals, the first slot prefers the local controller, and the second one, which never takes
// the local controller, prefers another zone.
func (k *candidates) pick(slot int, exclude string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var best *candidate
	for _, c := range k.all {
		if c.address == exclude || slot > 0 && c.address == k.local {
			continue
		}
		if best == nil || k.preferred(slot, c, best) {
			best = c
		}
	}
	if best == nil {
		return ""
	}
	return best.address
}

// preferred reports whether candidate a is better than b for a slot.
func (k *candidates) preferred(slot int, a, b *candidate) bool {
	if !a.failedAt.Equal(b.failedAt) {
		return a.failedAt.Before(b.failedAt)
	}
	if slot == 0 {
		return a.address == k.local && b.address != k.local
	}
	return k.zoneRank(a) < k.zoneRank(b)
}

// zoneRank ranks a candidate for the second slot, lower being better: another zone, then an
// unknown zone, then the gateway's own zone.
func (k *candidates) zoneRank(c *candidate) int {
	switch c.zone {
	case k.homeZone:
		return 2
	case "":
		return 1
	default:
		return 0
	}
}

// hasOtherZone reports whether there is a candidate in another zone that has not failed.
func (k *candidates) hasOtherZone() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.all {
		if c.zone != "" && c.zone != k.homeZone && c.failedAt.IsZero() {
			return true
		}
	}
	return false
}

// requestIDOf returns the request id in the argument of a status request, which is the id alone
// or follows a blank.
func requestIDOf(argument string) string {
	_, id, found := strings.Cut(argument, " ")
	if !found {
		return argument
	}
	return id
}

package uplink

import (
	"strings"
	"sync"
	"time"

	"zinniapin/membership"
	"zinniapin/zone"
)

// maxCandidates bounds the addresses kept.
const maxCandidates = 64

// candidate is a controller that may be linked to.
type candidate struct {
	address string
	zone    zone.Name // empty while not known
	failed  time.Time // when the last dial failed; zero if it did not
}

// candidates keeps the controllers that a gateway may link to. It is safe for
// concurrent use.
type candidates struct {
	mu   sync.Mutex
	home zone.Name
	own  string
	all  []*candidate
}

// newCandidates returns the candidates of the settings.
func newCandidates(c Config) *candidates {
	k := &candidates{home: c.Self.Zone.Name, own: c.LocalController}
	if c.LocalController != "" {
		k.all = append(k.all, &candidate{address: c.LocalController, zone: k.home})
	}
	for _, address := range c.Seeds {
		k.learn(address, "")
	}
	return k
}

// learn adds a candidate or its zone. The oldest failed one makes room.
func (k *candidates) learn(address string, name zone.Name) {
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
	if address == "" || len(k.all) >= maxCandidates && !k.makeRoom() {
		return
	}
	k.all = append(k.all, &candidate{address: address, zone: name})
}

// makeRoom drops the candidate that failed first. The lock is held.
func (k *candidates) makeRoom() bool {
	oldest := -1
	for i, c := range k.all {
		if c.address == k.own || c.failed.IsZero() {
			continue
		}
		if oldest < 0 || c.failed.Before(k.all[oldest].failed) {
			oldest = i
		}
	}
	if oldest < 0 {
		return false
	}
	k.all = append(k.all[:oldest], k.all[oldest+1:]...)
	return true
}

// learnAll adds the controllers that a controller named.
func (k *candidates) learnAll(members []membership.Member) {
	for _, m := range members {
		k.learn(m.Process.Address, m.Process.Zone.Name)
	}
}

// mark notes the outcome of a dial.
func (k *candidates) mark(address string, failed time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.all {
		if c.address == address {
			c.failed = failed
		}
	}
}

// pick returns the best address for a slot, or "". The first slot is for the
// own host's controller, the second for one in another zone; the one that
// failed longest ago comes first among equals.
func (k *candidates) pick(slot int, taken string) string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var best *candidate
	for _, c := range k.all {
		if c.address == taken || slot > 0 && c.address == k.own {
			continue
		}
		if best == nil || k.better(slot, c, best) {
			best = c
		}
	}
	if best == nil {
		return ""
	}
	return best.address
}

// better tells whether candidate a comes before b for a slot.
func (k *candidates) better(slot int, a, b *candidate) bool {
	if !a.failed.Equal(b.failed) {
		return a.failed.Before(b.failed)
	}
	if slot == 0 {
		return a.address == k.own && b.address != k.own
	}
	return k.distance(a) < k.distance(b)
}

// distance ranks a candidate for the second slot: another zone first, then a
// zone that is not known.
func (k *candidates) distance(c *candidate) int {
	switch c.zone {
	case k.home:
		return 2
	case "":
		return 1
	default:
		return 0
	}
}

// elsewhere tells whether a candidate in another zone has not failed.
func (k *candidates) elsewhere() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, c := range k.all {
		if c.zone != "" && c.zone != k.home && c.failed.IsZero() {
			return true
		}
	}
	return false
}

// requestID returns the part of a question that names the request.
func requestID(argument string) string {
	_, id, found := strings.Cut(argument, " ")
	if !found {
		return argument
	}
	return id
}

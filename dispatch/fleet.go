package dispatch

import (
	"hash/fnv"
	"time"
)

const (
	// fleetMemory is how long a host counts as one of the fleet after it was live: one that is cut off and one
	// that has crashed look the same, and the first goes on sending.
	fleetMemory = 2 * time.Hour
	// settleTime is how long a host that has started sends nothing to targets with a limit, since it does not yet
	// know the other hosts, nor what its last process has sent.
	settleTime = 3 * time.Second
	// Where more than maxSilent of the fleet are gone, or have been silent for silentTime, it is not known what
	// they send. Who is silent for forgetSilent is left out.
	silentTime   = 1500 * time.Millisecond
	forgetSilent = time.Minute
	maxSilent    = 0.05
	// joinTime is the time after the start in which the fleet is not yet known while it grows by joinGrowth.
	joinTime   = 15 * time.Second
	joinGrowth = 1.1
)

// fleet holds the hosts among which limits are divided.
type fleet struct {
	self   uint64
	others []uint64 // that were live within fleetMemory, hashed
	liveAt map[uint64]time.Time
	offset time.Duration // time of the clock that all hosts share minus local time
	// startedAt is when hosts were first known, grownAt when this host last learnt, soon after it, of more than
	// the grownTo that it knew.
	startedAt, grownAt time.Time
	grownTo            int
	live               int                  // number of live hosts, this one included
	heardAt            map[string]time.Time // when the loads of a peer, or of a zone, were last told
}

// SetFleet sets the live hosts, this one included or not, and the time by the clock that all hosts share.
// Hosts that were live before are remembered.
func (p *Planner) SetFleet(now, shared time.Time, self string, hosts []string) {
	f := &p.fleet
	if f.startedAt.IsZero() {
		f.startedAt, f.liveAt = now, make(map[uint64]time.Time)
	}
	f.self, f.offset, f.others = hashOf(self), shared.Sub(now), f.others[:0]
	f.live = 1
	for _, h := range hosts {
		if h != self {
			f.live++
			f.liveAt[hashOf(h)] = now
		}
	}
	for h, at := range f.liveAt {
		if now.Sub(at) > fleetMemory {
			delete(f.liveAt, h)
			continue
		}
		f.others = append(f.others, h)
	}
	if size := f.size(); now.Sub(f.startedAt) < joinTime && float64(size) > joinGrowth*float64(f.grownTo) {
		f.grownAt, f.grownTo = now, size
	}
}

// size returns the number of hosts, this one included.
func (f *fleet) size() int { return 1 + len(f.others) }

// settled tells whether this host knows the fleet well enough to take part in dividing limits.
func (f *fleet) settled(now time.Time) bool {
	return !f.grownAt.IsZero() && now.Sub(f.grownAt) >= settleTime
}

// hear notes when the loads of a peer or of a zone were told; the zero time that it is gone.
func (f *fleet) hear(at time.Time, host string) {
	if f.heardAt == nil {
		f.heardAt = make(map[string]time.Time)
	}
	if at.IsZero() {
		delete(f.heardAt, host)
	} else {
		f.heardAt[host] = at
	}
}

// heard tells whether this host knows what nearly all of the fleet have sent lately.
func (f *fleet) heard(now time.Time) bool {
	silent := 0
	for host, at := range f.heardAt {
		if now.Sub(at) > forgetSilent {
			delete(f.heardAt, host)
		} else if now.Sub(at) > silentTime {
			silent++
		}
	}
	all := len(f.heardAt)
	return all > silent && float64(silent) <= maxSilent*float64(all) && float64(f.size()-f.live) <= maxSilent*float64(f.size())
}

// hashOf returns the hash of the name of a host.
func hashOf(host string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(host)) // never fails
	return h.Sum64()
}

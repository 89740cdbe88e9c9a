package quota

import "time"

const (
	// settleTime is how long the number of hosts must not grow by growth before a host that started takes part in dividing
	// limits.
	settleTime = 3 * time.Second
	growth     = 1.1
	// knownTime is the time after its start from which a settled host stays settled when hosts are added. A hint that is
	// too low shows before.
	knownTime = 2 * settleTime
	// forgetSilent is how long a host that went without notice is remembered, forgetLeft one that announced it.
	forgetSilent = 10 * time.Minute
	forgetLeft   = 15 * time.Second
	// minorityTime is how long a host that is with no more than half of the fleet uses its base share.
	minorityTime = 5 * time.Minute
	// HintTime is how long a hint counts.
	HintTime = forgetSilent
	// maxSilentStep bounds the silence that counts between two calls: a host that was suspended must not
	// take others for silent.
	maxSilentStep = time.Second
)

// memory is what is remembered of another host.
type memory struct {
	live, leaving bool
	silent        time.Duration
	leavingAt     Instant
}

// fleet remembers the other hosts, among which limits are divided.
type fleet struct {
	hasSeeds  bool
	startedAt Instant
	others    map[string]*memory // by address
	live      int                // live hosts, this one included
	setAt     Instant            // of the last update
	// size may grow to growth x baseSize within settleTime from baseAt; grownAt is when it last exceeded that before
	// the number of hosts was known.
	baseSize        int
	baseAt, grownAt Instant
	minority        bool
	minoritySince   Instant
	// hint is a lower bound of the number of hosts from the store, 0 if there is none; it is void when hintLeft has
	// passed.
	hint     int
	hintLeft time.Duration
}

// newFleet returns the memory of a process that starts at now.
func newFleet(now Instant, hasSeeds bool) fleet {
	return fleet{hasSeeds: hasSeeds, startedAt: now, others: make(map[string]*memory), live: 1, setAt: now, baseSize: 1, baseAt: now, grownAt: now}
}

// size returns the number of hosts among which limits are divided: those that are remembered, this one included, or the
// hint if that is larger.
func (f *fleet) size() int { return max(1+len(f.others), f.hint) }

// setHint sets a lower bound of the number of hosts. A host that remembers less than growth times as many is settled by
// it, as by settleTime without growth.
func (f *fleet) setHint(now Instant, hosts int) {
	if hosts < 1 {
		return
	}
	f.hint, f.hintLeft = max(f.hint, hosts), HintTime
	if settleAt := f.grownAt.add(settleTime); now < settleAt && float64(1+len(f.others)) <= growth*float64(hosts) {
		f.grownAt = now.add(-settleTime)
	}
	// A hint above the base is no growth: it makes the base share smaller, and needs no time to settle.
	if size := f.size(); size > f.baseSize {
		f.baseSize, f.baseAt = size, now
	}
}

// update takes in the live hosts other than self.
func (f *fleet) update(now Instant, self string, peers []Peer) {
	known := f.settled(now) && now.since(f.startedAt) >= knownTime
	for _, h := range f.others {
		h.live = false
	}
	f.live = 1
	for _, p := range peers {
		if p.Address == self {
			continue
		}
		h := f.others[p.Address]
		if h == nil {
			h = &memory{}
			f.others[p.Address] = h
		}
		if p.Leaving && !h.leaving {
			h.leavingAt = now
		}
		h.live, h.leaving, h.silent = true, p.Leaving, 0
		f.live++
	}
	f.forget(now)
	if size := f.size(); float64(size) > growth*float64(f.baseSize) {
		// Hosts that are added to a fleet that was known own nothing before they are settled themselves, and the others'
		// shares become smaller at once.
		if !known {
			f.grownAt = now
		}
		f.baseSize, f.baseAt = size, now
	} else if now.since(f.baseAt) >= settleTime {
		f.baseSize, f.baseAt = size, now
	}
	minority := 2*f.live <= f.size()
	if minority && !f.minority {
		f.minoritySince = now
	}
	f.minority = minority
}

// forget drops hosts that left, and, while more than half of the fleet is live, those that are silent for long.
func (f *fleet) forget(now Instant) {
	step := min(maxSilentStep, now.since(f.setAt))
	f.setAt = now
	if f.hintLeft -= step; f.hintLeft <= 0 {
		f.hint, f.hintLeft = 0, 0
	}
	for address, h := range f.others {
		if h.live {
			continue
		}
		h.silent += step
		if h.leaving && now.since(h.leavingAt) >= forgetLeft {
			delete(f.others, address)
		}
	}
	if 2*f.live <= f.size() {
		return
	}
	for address, h := range f.others {
		if !h.live && h.silent >= forgetSilent {
			delete(f.others, address)
		}
	}
}

// settledSince returns since when the number of hosts is known, and whether it is.
func (f *fleet) settledSince(now Instant) (Instant, bool) {
	at := f.grownAt.add(settleTime)
	if len(f.others) == 0 {
		// A hint does not settle a host that has heard no other.
		at = max(at, f.startedAt.add(settleTime))
		return at, now >= at && !f.hasSeeds
	}
	return at, now >= at
}

// untilSettled returns in how long this host will be settled if the number of hosts does not grow until then, and
// whether that is known.
func (f *fleet) untilSettled(now Instant) (time.Duration, bool) {
	at, settled := f.settledSince(now)
	return at.since(now), !settled && now < at && (!f.hasSeeds || len(f.others) > 0)
}

// settled tells whether the number of hosts is known.
func (f *fleet) settled(now Instant) bool {
	_, settled := f.settledSince(now)
	return settled
}

// owns tells whether this host may use or lend its base share.
func (f *fleet) owns(now Instant) bool {
	return f.settled(now) && (!f.minority || now.since(f.minoritySince) < minorityTime)
}

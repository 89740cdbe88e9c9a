package dispatch

import "time"

// recentMarks remembers the prompts that peers have sent lately. Each comes in two digests, since a datagram
// may be lost, and to record one costs several look-ups in large maps, at every host of a zone.
type recentMarks [512]struct {
	target, chain uint32
	at            time.Time
}

// markInterval is the time within which the same prompt parts at the same target are recorded once. It is short
// against the time for which a part counts as cached.
const markInterval = 250 * time.Millisecond

// repeated tells whether a prompt whose leading parts end with a chain was marked lately for a target, and
// remembers it.
func (m *recentMarks) repeated(now time.Time, target, chain uint32) bool {
	slot := &m[mix(uint64(target)<<32|uint64(chain))%uint64(len(m))]
	if slot.target == target && slot.chain == chain && now.Sub(slot.at) < markInterval {
		return true
	}
	slot.target, slot.chain, slot.at = target, chain, now
	return false
}

// MarkProcessed records that a target has processed a prompt, the part that is its own included.
func (p *Planner) MarkProcessed(now time.Time, key uint32, parts []Part) {
	p.MarkCached(now, key, chainsOf(parts))
}

// MarkCached records that a peer sent a prompt with these leading parts to a target,
// which therefore has them cached.
func (p *Planner) MarkCached(now time.Time, key uint32, chains []uint32) {
	if len(chains) == 0 || p.marks.repeated(now, key, chains[len(chains)-1]) {
		return
	}
	if s := p.byKey[key]; s != nil {
		s.touchCache(now, chains, p.policy.CacheTTL)
	}
}

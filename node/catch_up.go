package node

import "time"

const (
	// firstDigestWait is how long a host that has just started waits for a peer's digest before it
	// serves, where the store may show a configuration that is older than its peers'.
	firstDigestWait = 500 * time.Millisecond
	// maxCatchUpTime is how long after its start a host refuses requests because peers have a newer
	// configuration that it does not get.
	maxCatchUpTime = 2 * time.Second
)

// caughtUp reports whether this host may admit requests by its configuration. A store that came back from an
// older copy shows a host that has just started keys that its peers know to be withdrawn. Where the store does
// not count eras, and so cannot have come back from one, a host that has admitted requests goes on. Elsewhere it
// may have to wait again; requests that it has admitted do not depend on it.
func (n *Node) caughtUp(version uint64) bool {
	firstEra := n.era.current() == 0
	if n.hasCaughtUp.Load() || firstEra && n.hasAdmitted.Load() {
		return true
	}
	up := time.Since(n.started)
	n.gossip.mu.Lock()
	heard, newest := n.gossip.digestHeard, n.gossip.newestConfiguration
	n.gossip.mu.Unlock()
	switch {
	case up >= maxCatchUpTime, heard && version >= newest:
		n.hasCaughtUp.Store(true)
		return true
	case heard:
		return false
	case firstEra, n.mesh.KnownHostCount() == 0, up >= firstDigestWait:
		n.hasAdmitted.Store(true)
		return true
	}
	return false
}

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

// caughtUp reports whether this host may serve with its configuration. A store that came back from an
// older copy shows a host that has just started keys that its peers know to be withdrawn.
func (n *Node) caughtUp(version uint64) bool {
	if n.hasCaughtUp.Load() {
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
	default:
		mayBeOlder := n.era.current() > 0 && n.mesh.KnownHostCount() > 0
		return !mayBeOlder || up >= firstDigestWait
	}
}

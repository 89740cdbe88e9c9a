package node

import "time"

const (
	// suspendedLimit is the shortest suspension of the machine that counts: a time
	// during which the monotonic clock stood still as well.
	suspendedLimit = 300 * time.Millisecond
	// stalledLimit is the shortest pause of the process that counts while the
	// clocks went on. Timers on a busy host fire late by less than this.
	stalledLimit = 800 * time.Millisecond
)

// detectSuspension returns how long the machine or the process was paused since
// the last call, and whether that exceeds a limit.
func (n *Node) detectSuspension(now time.Time) (time.Duration, bool) {
	suspended := n.clock.TakeSuspended()
	gap := time.Duration(0)
	if !n.lastTick.IsZero() {
		gap = now.Sub(n.lastTick) - tickInterval
	}
	n.lastTick = now
	return max(suspended, gap), suspended > suspendedLimit || gap > stalledLimit
}

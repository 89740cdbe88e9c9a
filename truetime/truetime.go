// Package truetime estimates the time of day on hosts whose clocks may jump.
// An estimate is the time of day at the start of the process plus the steady
// time since; hosts that have run longer correct one that started amid a jump.
package truetime

import (
	"sort"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// tolerance is how far an estimate may be from that of the peers before it
// follows them; it is above their clocks' usual differences.
const tolerance = 150 * time.Millisecond

// sinceBoot returns the time since the machine's start, with the time that it
// was suspended.
func sinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(processStart) // Linux has had the clock since 2.6.39
	}
	return time.Duration(t.Nano())
}

// processStart is a fallback for the clock of the machine.
var processStart = time.Now()

// Clock is the estimate of one process. It is safe for concurrent use.
type Clock struct {
	mu     sync.Mutex
	offset time.Duration // time of day less the time since boot
	peers  map[string]peer
	steady time.Time
	boot   time.Duration
}

// peer is the estimate of another host.
type peer struct {
	offset time.Duration // in terms of this host's time since boot
	uptime time.Duration
	at     time.Duration
}

// New returns a clock that starts from the host's time of day.
func New() *Clock {
	boot := sinceBoot()
	return &Clock{offset: time.Duration(time.Now().UnixNano()) - boot, peers: make(map[string]peer), steady: time.Now(), boot: boot}
}

// Now returns the estimate.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Unix(0, int64(c.offset+sinceBoot()))
}

// peerLife is how long a peer's estimate counts.
const peerLife = 5 * time.Second

// ObservePeer notes the estimate of a peer that has run for a time, and follows the
// median of those that have run longer than this process.
func (c *Clock) ObservePeer(host string, now time.Time, uptime, own time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	boot := sinceBoot()
	c.peers[host] = peer{time.Duration(now.UnixNano()) - boot, uptime, boot}
	var offsets []time.Duration
	for name, p := range c.peers {
		if boot-p.at > peerLife {
			delete(c.peers, name)
			continue
		}
		if p.uptime+(boot-p.at) > own {
			offsets = append(offsets, p.offset)
		}
	}
	// All hosts start together at times: one peer alone proves nothing then.
	if len(offsets) < 2 {
		return
	}
	sort.Slice(offsets, func(i, j int) bool { return offsets[i] < offsets[j] })
	median := offsets[len(offsets)/2]
	if d := median - c.offset; d > tolerance || d < -tolerance {
		c.offset = median
	}
}

// TakeSuspended returns for how long the machine stood still since the last call.
func (c *Clock) TakeSuspended() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, boot := time.Now(), sinceBoot()
	lost := (boot - c.boot) - now.Sub(c.steady)
	c.steady, c.boot = now, boot
	return max(lost, 0)
}

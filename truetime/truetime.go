// Package truetime estimates the time of day on hosts whose wall clocks may jump. The
// estimate is the wall-clock time at the start of the process plus the time since
// then by the boot clock. A process that started while its wall clock was wrong is
// corrected by the estimates of hosts that have run longer.
package truetime

import (
	"sort"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// maxDeviation is how far the estimate may deviate from the median of the peers
// before it is set to that; it exceeds the usual differences of their clocks.
const maxDeviation = 150 * time.Millisecond

// SinceBoot returns the time since the machine booted, including the time for
// which it was suspended, as by CLOCK_BOOTTIME.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Since(processStart) // not reached on Linux 2.6.39 or newer
	}
	return time.Duration(t.Nano())
}

// processStart replaces the boot time where the boot clock is missing.
var processStart = time.Now()

// Clock estimates the time of day for one process. It is safe for concurrent use.
type Clock struct {
	mu            sync.Mutex
	offset        time.Duration // Unix time minus the time since boot
	peers         map[string]peerEstimate
	lastMonotonic time.Time
	lastBoot      time.Duration
}

// peerEstimate is the latest estimate of another host.
type peerEstimate struct {
	offset     time.Duration // in terms of this host's time since boot
	uptime     time.Duration
	receivedAt time.Duration
}

// New returns a clock that starts from the host's wall clock.
func New() *Clock {
	boot := SinceBoot()
	return &Clock{offset: time.Duration(time.Now().UnixNano()) - boot, peers: make(map[string]peerEstimate), lastMonotonic: time.Now(), lastBoot: boot}
}

// Now returns the estimated time of day.
func (c *Clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Unix(0, int64(c.offset+SinceBoot()))
}

// peerEstimateLifetime is how long a peer's estimate is used.
const peerEstimateLifetime = 5 * time.Second

// ObservePeer records a peer's estimate and the uptime of its process. If the estimate
// of this process, whose uptime is ownUptime, deviates by more than maxDeviation from
// the median of the peers that have run longer, it is set to the median.
func (c *Clock) ObservePeer(host string, estimate time.Time, uptime, ownUptime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	boot := SinceBoot()
	c.peers[host] = peerEstimate{time.Duration(estimate.UnixNano()) - boot, uptime, boot}
	var offsets []time.Duration
	for name, p := range c.peers {
		if boot-p.receivedAt > peerEstimateLifetime {
			delete(c.peers, name)
			continue
		}
		if p.uptime+(boot-p.receivedAt) > ownUptime {
			offsets = append(offsets, p.offset)
		}
	}
	// A single peer is not followed: if all hosts start together, it may be the one
	// that is wrong.
	if len(offsets) < 2 {
		return
	}
	sort.Slice(offsets, func(i, j int) bool { return offsets[i] < offsets[j] })
	median := offsets[len(offsets)/2]
	if d := median - c.offset; d > maxDeviation || d < -maxDeviation {
		c.offset = median
	}
}

// TakeSuspended returns for how long the machine was suspended since the last call.
func (c *Clock) TakeSuspended() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, boot := time.Now(), SinceBoot()
	suspended := (boot - c.lastBoot) - now.Sub(c.lastMonotonic)
	c.lastMonotonic, c.lastBoot = now, boot
	return max(suspended, 0)
}

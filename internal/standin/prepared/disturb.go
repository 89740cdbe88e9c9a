package prepared

import (
	"bufio"
	"hash/fnv"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// slowFactor is the multiple of TargetSwitches.Delay that the slow requests wait.
const slowFactor = 10

// SetFaults sets the faults of the next requests, one fault per request.
func (t *Target) SetFaults(faults ...Fault) {
	t.mu.Lock()
	t.Faults = faults
	t.mu.Unlock()
}

// SetHeader sets further header lines of all responses, each with its line end.
func (t *Target) SetHeader(lines string) {
	t.mu.Lock()
	t.Header = lines
	t.mu.Unlock()
}

// SetHeaderUnless is SetHeader, unless the header lines contain a text.
func (t *Target) SetHeaderUnless(text, lines string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !strings.Contains(t.Header, text) {
		t.Header = lines
	}
}

// FallSilent makes the target send nothing on any connection for a time. It goes on with its answers after
// that.
func (t *Target) FallSilent(d time.Duration) {
	t.mu.Lock()
	now := time.Now()
	t.silentUntil = now.Add(d)
	t.silences = append(t.silences, Silence{now, t.silentUntil})
	t.mu.Unlock()
}

// silence returns how much longer the target sends nothing.
func (t *Target) silence() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return max(time.Until(t.silentUntil), 0)
}

// extraHeader returns what SetHeader set, and the load that the target reports.
func (t *Target) extraHeader() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.Header + t.loadHeader(t.Shared)
}

// Change changes the switches of a target at any time. Spans of silence that are under way go on.
func (t *Target) Change(change func(s *TargetSwitches)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(&t.TargetSwitches)
	t.setTimes++
	if t.CrashEvery > 0 {
		go t.repeat(t.setTimes, t.CrashEvery, func() { t.Crash("") })
	}
	if t.SilentEvery > 0 {
		silentFor := t.SilentFor
		go t.repeat(t.setTimes, t.SilentEvery, func() { t.FallSilent(silentFor) })
	}
}

// repeat acts again and again, at intervals of half to one and a half of the mean, until the next Change
// or until the target is closed.
func (t *Target) repeat(setTimes int, mean time.Duration, act func()) {
	for {
		t.mu.Lock()
		wait := mean/2 + time.Duration(t.random.Int64N(int64(mean)))
		t.mu.Unlock()
		time.Sleep(wait)
		t.mu.Lock()
		over := t.closed || t.setTimes != setTimes
		t.mu.Unlock()
		if over {
			return
		}
		act()
	}
}

// switches returns a copy of the switches.
func (t *Target) switches() TargetSwitches {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.TargetSwitches
}

// nextDelay returns how long the next response waits.
func (t *Target) nextDelay() time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case t.SlowShare == 0:
		return t.Delay
	case t.random.Float64() < t.SlowShare:
		return slowFactor * t.Delay
	}
	return 0
}

// nextCloses tells whether the next response ends its connection.
func (t *Target) nextCloses() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.random.Float64() < t.CloseShare
}

// accepts tells whether the target takes one more connection.
func (t *Target) accepts() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.MaxConnections == 0 || len(t.crasher.connections) < t.MaxConnections
}

// awaitRequest waits for the first byte of the next request. It returns false if none comes. A connection
// that was idle for too long is reset when the byte comes, since the target has dropped it.
func (t *Target) awaitRequest(c net.Conn, r *bufio.Reader) bool {
	idleSince := time.Now()
	if _, err := r.Peek(1); err != nil {
		return false
	}
	if limit := t.switches().IdleTime; limit > 0 && time.Since(idleSince) > limit {
		reset(c)
		return false
	}
	return true
}

// reset closes a connection so that its peer sees a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// newRandom returns a source that depends on a name alone.
func newRandom(name string) *rand.Rand {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return rand.New(rand.NewPCG(h.Sum64(), 1))
}

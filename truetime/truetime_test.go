package truetime

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A process that started while its wall clock was wrong follows the peers that have
// run longer, and they do not follow it.
func TestNewcomerFollowsOlderProcesses(t *testing.T) {
	is := is.New(t)
	c := New()
	c.offset += 3 * time.Second // as if its wall clock was wrong at the start
	trueTime := func() time.Time { return time.Now() }
	for _, host := range []string{"a", "b", "c"} {
		c.ObservePeer(host, trueTime(), time.Minute, time.Second)
	}
	is.True(time.Since(c.Now()).Abs() < 200*time.Millisecond)

	longRunning := New()
	for _, host := range []string{"a", "b", "c"} {
		longRunning.ObservePeer(host, trueTime().Add(3*time.Second), time.Second, time.Minute)
	}
	is.True(time.Since(longRunning.Now()).Abs() < 200*time.Millisecond)
}

// Neither a single peer nor a minority of peers with wrong clocks moves the estimate.
func TestMinorityIsNotFollowed(t *testing.T) {
	is := is.New(t)
	c := New()
	c.ObservePeer("a", time.Now().Add(time.Minute), time.Hour, time.Second)
	is.True(time.Since(c.Now()).Abs() < 200*time.Millisecond)
	c.ObservePeer("b", time.Now(), time.Hour, time.Second)
	c.ObservePeer("c", time.Now(), time.Hour, time.Second)
	is.True(time.Since(c.Now()).Abs() < 200*time.Millisecond)
}

// TakeSuspended returns the time for which the machine was suspended since the call
// before.
func TestTakeSuspended(t *testing.T) {
	is := is.New(t)
	c := New()
	time.Sleep(20 * time.Millisecond)
	is.True(c.TakeSuspended() < 50*time.Millisecond)
	c.lastBoot -= 2 * time.Second // as if the machine had been suspended
	is.True(c.TakeSuspended() > 1900*time.Millisecond)
	is.True(c.TakeSuspended() < 50*time.Millisecond) // the call before reset it
}

package truetime

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A process that started while its clock was wrong follows those that have run
// for longer; they do not follow it.
func TestNewcomerFollowsOlderProcesses(t *testing.T) {
	is := is.New(t)
	c := New()
	c.offset += 3 * time.Second // it started amid a jump
	truth := func() time.Time { return time.Now() }
	for _, host := range []string{"a", "b", "c"} {
		c.ObservePeer(host, truth(), time.Minute, time.Second)
	}
	is.True(time.Since(c.Now()).Abs() < 200*time.Millisecond)

	old := New()
	for _, host := range []string{"a", "b", "c"} {
		old.ObservePeer(host, truth().Add(3*time.Second), time.Second, time.Minute)
	}
	is.True(time.Since(old.Now()).Abs() < 200*time.Millisecond)
}

// One peer alone, or a minority of wrong ones, moves nothing.
func TestMinorityIsNotFollowed(t *testing.T) {
	is := is.New(t)
	c := New()
	c.ObservePeer("a", time.Now().Add(time.Minute), time.Hour, time.Second)
	is.True(time.Since(c.Now()).Abs() < 200*time.Millisecond)
	c.ObservePeer("b", time.Now(), time.Hour, time.Second)
	c.ObservePeer("c", time.Now(), time.Hour, time.Second)
	is.True(time.Since(c.Now()).Abs() < 200*time.Millisecond)
}

func TestNothingIsSuspendedInCalm(t *testing.T) {
	is := is.New(t)
	c := New()
	time.Sleep(20 * time.Millisecond)
	is.True(c.TakeSuspended() < 50*time.Millisecond)
	c.boot -= 2 * time.Second // as if the machine had stood still meanwhile
	is.True(c.TakeSuspended() > 1900*time.Millisecond)
	is.True(c.TakeSuspended() < 50*time.Millisecond) // told once
}

package membership

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/machine"
)

// TestSilentGatewayMayRun checks a gateway whose heartbeats stop: it counts as
// live, then as unreachable but possibly running, and as ended after
// UnreachableTimeout. It counts as ended at once if it had announced that it
// leaves, or when its next incarnation is live, and as possibly running if a peer gives it out as
// failed to a process that has just started.
func TestSilentGatewayMayRun(t *testing.T) {
	gateway := func(incarnation uint64) Member {
		m := controllerOn(1, incarnation)
		m.Process.Role = machine.Gateway
		return m
	}
	began := time.Unix(1000, 0)
	afterFailure := func(m Member) (*Table, time.Time) {
		table := New(controllerOn(0, 1), began)
		now := began
		for _, beat := range []uint64{1, 2} {
			m.Beat = beat
			table.Merge(now, 9, m.ToWire())
			now = now.Add(time.Second)
		}
		for now.Sub(began) < 60*time.Second {
			table.Tick(now)
			now = now.Add(time.Second)
		}
		return table, now
	}
	t.Run("cut off", func(t *testing.T) {
		is := is.New(t)
		table, now := afterFailure(gateway(7))
		is.Equal(len(table.UnreachableMembers(began.Add(2*time.Second), machine.Gateway)), 0)
		is.Equal(len(table.UnreachableMembers(now, machine.Gateway)), 1)
		is.Equal(len(table.UnreachableMembers(now, machine.Controller)), 0)
		is.Equal(len(table.UnreachableMembers(now.Add(UnreachableTimeout), machine.Gateway)), 0)
	})
	t.Run("given out as failed", func(t *testing.T) {
		is := is.New(t)
		m := gateway(7)
		told := m.ToWire()
		told.Silent = true
		table := New(controllerOn(0, 1), began)
		table.Merge(began, 9, told)
		is.Equal(len(table.Members(began)), 1)
		is.Equal(len(table.UnreachableMembers(began.Add(UnreachableTimeout), machine.Gateway)), 1)
		is.Equal(len(table.UnreachableMembers(began.Add(UnreachableTimeout+time.Second), machine.Gateway)), 0)
	})
	t.Run("leaving", func(t *testing.T) {
		m := gateway(7)
		m.Leaving = true
		table, now := afterFailure(m)
		is.New(t).Equal(len(table.UnreachableMembers(now, machine.Gateway)), 0)
	})
	t.Run("restarted", func(t *testing.T) {
		is := is.New(t)
		table, now := afterFailure(gateway(7))
		next := gateway(8)
		for _, beat := range []uint64{1, 2} {
			next.Beat = beat
			table.Merge(now, 9, next.ToWire())
			now = now.Add(time.Second)
		}
		is.Equal(len(table.UnreachableMembers(now, machine.Gateway)), 0)
	})
}

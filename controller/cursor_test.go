package controller

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniapin/machine"
)

// TestCursorRequestsAllRecordsOnce checks the versions that a link requests while
// its peer becomes a source and stops being one, and after a record that could not
// be merged.
func TestCursorRequestsAllRecordsOnce(t *testing.T) {
	is := is.New(t)
	c := cursor{}
	is.Equal(c.nextVersion(false, true), uint64(noRecords)) // no version received yet
	c.received(noRecords, 70)
	is.Equal(c.nextVersion(false, false), uint64(noRecords))
	c.received(noRecords, 90)
	is.Equal(c.nextVersion(false, true), uint64(70)) // includes the changes since the first reply
	c.received(70, 90)
	is.Equal(c.nextVersion(true, false), uint64(0)) // a new source is asked for all records
	is.Equal(c.nextVersion(true, false), uint64(0)) // again, because no reply came
	c.received(0, 95)
	is.Equal(c.nextVersion(true, false), uint64(95))
	c.requestAll()
	is.Equal(c.nextVersion(true, false), uint64(0))
	c.received(0, 99)
	is.Equal(c.nextVersion(false, false), uint64(noRecords))
}

// gatewayLive reports whether a controller considers a host's gateway live.
func (f *fleet) gatewayLive(controller int, host machine.HostID) bool {
	for _, m := range f.running[controller].Members() {
		if m.Process.Role == machine.Gateway && m.Process.Host == host {
			return true
		}
	}
	return false
}

// TestSuspectedGatewayRefutes cuts the link between a gateway and one of its two
// controllers. That controller suspects the gateway; the gateway learns of it
// through the other one, refutes the suspicion and stays live for all. Once it is
// isolated, it must be removed.
func TestSuspectedGatewayRefutes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 7)
		f.within(30*time.Second, "all members live everywhere", f.membershipComplete)
		f.within(10*time.Second, "two links of the gateway", func() bool { return len(f.controllersOfGateway(0, hostOf(3))) == 2 })
		for i := range 7 {
			if i != 3 && addressOf(i) == f.controllersOfGateway(0, hostOf(3))[1] {
				f.fabric.SetCut(hostOf(3), hostOf(i), true)
			}
		}
		for range 60 {
			time.Sleep(500 * time.Millisecond)
			for i := range 7 {
				if !f.gatewayLive(i, hostOf(3)) {
					t.Fatalf("controller %d does not consider the gateway live", i)
				}
			}
		}
		f.isolate(3)
		f.within(14*time.Second, "the loss of the gateway", func() bool { return !f.gatewayLive(0, hostOf(3)) })
	})
}

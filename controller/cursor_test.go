package controller

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniapin/machine"
)

// TestCursorAsksForEverythingOnce checks what a link asks for as its peer
// becomes a source and stops being one, and after something not understood.
func TestCursorAsksForEverythingOnce(t *testing.T) {
	is := is.New(t)
	c := cursor{}
	is.Equal(c.ask(false, true), uint64(noRecords)) // nothing seen yet
	c.took(noRecords, 70)
	is.Equal(c.ask(false, false), uint64(noRecords))
	c.took(noRecords, 90)
	is.Equal(c.ask(false, true), uint64(70)) // the guard misses nothing in between
	c.took(70, 90)
	is.Equal(c.ask(true, false), uint64(0)) // a source tells everything
	is.Equal(c.ask(true, false), uint64(0)) // again after a lost reply
	c.took(0, 95)
	is.Equal(c.ask(true, false), uint64(95))
	c.lost()
	is.Equal(c.ask(true, false), uint64(0))
	c.took(0, 99)
	is.Equal(c.ask(false, false), uint64(noRecords))
}

// gatewaySeen tells whether a controller takes a host's gateway for live.
func (f *fleet) gatewaySeen(controller int, host machine.HostID) bool {
	for _, m := range f.running[controller].Members() {
		if m.Process.Role == machine.Gateway && m.Process.Host == host {
			return true
		}
	}
	return false
}

// TestDoubtedGatewayRefutes cuts a gateway off one of its two controllers: it
// is doubted there, learns so by the other and stays live for all.
func TestDoubtedGatewayRefutes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 7)
		f.within(30*time.Second, "all see all", f.allSeeAll)
		f.within(10*time.Second, "two links", func() bool { return len(f.viaOf(0, hostOf(3))) == 2 })
		for i := range 7 {
			if i != 3 && addressOf(i) == f.viaOf(0, hostOf(3))[1] {
				f.fabric.SetCut(hostOf(3), hostOf(i), true)
			}
		}
		for range 60 {
			time.Sleep(500 * time.Millisecond)
			for i := range 7 {
				if !f.gatewaySeen(i, hostOf(3)) {
					t.Fatalf("controller %d misses the gateway", i)
				}
			}
		}
		f.cutOff(3)
		f.within(14*time.Second, "the loss", func() bool { return !f.gatewaySeen(0, hostOf(3)) })
	})
}

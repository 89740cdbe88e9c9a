package uplink

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniapin/link/memlink"
)

// withUplink runs test with a running uplink, its gateway, and two controllers.
func withUplink(t *testing.T, test func(t *testing.T, f *memlink.Fabric, own, far *fakeController, u *Uplink, g *fakeGateway)) {
	synctest.Test(t, func(t *testing.T) {
		f := memlink.NewFabric()
		own := startController(f, "host-0", "own", "riga-a", heartbeatReply(3))
		far := startController(f, "host-2", "far", "jelgava", heartbeatReply(3))
		u, g := newUplink(f, "far"), &fakeGateway{}
		ctx, cancel := context.WithCancel(context.Background())
		var loops sync.WaitGroup
		loops.Go(func() { _ = u.Run(ctx, g) })
		defer func() { cancel(); loops.Wait() }()
		test(t, f, own, far, u, g)
	})
}

// TestStoreDownReportExpires checks that the report that the store is down expires when heartbeats
// are no longer answered. The number of linked controllers does not show that, since the links
// still open.
func TestStoreDownReportExpires(t *testing.T) {
	withUplink(t, func(t *testing.T, f *memlink.Fabric, own, far *fakeController, _ *Uplink, g *fakeGateway) {
		is := is.New(t)
		for _, c := range []*fakeController{own, far} {
			c.mu.Lock()
			c.reply.StoreDownForMost = true
			c.mu.Unlock()
		}
		time.Sleep(5 * time.Second)
		is.True(g.lastConnectivity().StoreDownForMost)
		f.SetLossy("host-0", "host-0", true)
		f.SetLossy("host-0", "host-2", true)
		time.Sleep(storeDownTTL + 2*interval)
		for range 30 {
			is.True(!g.lastConnectivity().StoreDownForMost)
			time.Sleep(time.Second)
		}
	})
}

// TestConfirmationIsDatedByRequest checks that a confirmation in a delayed reply does not
// count as newer than it is.
func TestConfirmationIsDatedByRequest(t *testing.T) {
	withUplink(t, func(t *testing.T, f *memlink.Fabric, own, far *fakeController, u *Uplink, _ *fakeGateway) {
		is := is.New(t)
		confirmed := time.Now()
		for _, c := range []*fakeController{own, far} {
			c.mu.Lock()
			c.confirmedAt = confirmed
			c.mu.Unlock()
		}
		f.SetDelay(900 * time.Millisecond)
		time.Sleep(10 * time.Second)
		at := u.replica.Confirmed().At
		is.True(!at.IsZero())
		is.True(!at.After(confirmed))
	})
}

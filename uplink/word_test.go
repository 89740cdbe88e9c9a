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

// running runs an uplink before two controllers that give this reply.
func running(t *testing.T, test func(t *testing.T, f *memlink.Fabric, own, far *fakeController, u *Uplink, g *fakeGateway)) {
	synctest.Test(t, func(t *testing.T) {
		f := memlink.NewFabric()
		own := startController(f, "host-0", "own", "riga-a", heartbeat(3))
		far := startController(f, "host-2", "far", "jelgava", heartbeat(3))
		u, g := newUplink(f, "far"), &fakeGateway{}
		ctx, cancel := context.WithCancel(context.Background())
		var loops sync.WaitGroup
		loops.Go(func() { _ = u.Run(ctx, g) })
		defer func() { cancel(); loops.Wait() }()
		test(t, f, own, far, u, g)
	})
}

// TestWordOfStoreDownAges checks that the word that the store is down does not
// outlive the heartbeats: links that open and bring no answers keep the count
// of controllers up.
func TestWordOfStoreDownAges(t *testing.T) {
	running(t, func(t *testing.T, f *memlink.Fabric, own, far *fakeController, _ *Uplink, g *fakeGateway) {
		is := is.New(t)
		for _, k := range []*fakeController{own, far} {
			k.mu.Lock()
			k.reply.StoreDownForMost = true
			k.mu.Unlock()
		}
		time.Sleep(5 * time.Second)
		is.True(g.seen().StoreDownForMost)
		f.SetLossy("host-0", "host-0", true)
		f.SetLossy("host-0", "host-2", true)
		time.Sleep(wordAge + 2*interval)
		for range 30 {
			is.True(!g.seen().StoreDownForMost)
			time.Sleep(time.Second)
		}
	})
}

// TestConfirmationCountsFromTheAsking checks that a reply on its way for long
// makes no confirmation younger than it is.
func TestConfirmationCountsFromTheAsking(t *testing.T) {
	running(t, func(t *testing.T, f *memlink.Fabric, own, far *fakeController, u *Uplink, _ *fakeGateway) {
		is := is.New(t)
		confirmed := time.Now()
		for _, k := range []*fakeController{own, far} {
			k.mu.Lock()
			k.confirmed = confirmed
			k.mu.Unlock()
		}
		f.SetDelay(900 * time.Millisecond)
		time.Sleep(10 * time.Second)
		known := u.holder.Confirmed().At
		is.True(!known.IsZero())
		is.True(!known.After(confirmed))
	})
}

package controller

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniapin/link"
	"zinniapin/machine"
	"zinniapin/usage"
)

// TestLastControllerStoresItsUsage checks that a controller that leaves while there
// is no other stores its buffered usage counters itself.
func TestLastControllerStoresItsUsage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 1)
		r := f.accept(0, 100)
		f.within(14*time.Second, "configured", func() bool { return f.inForce(r, 0) })
		k := f.running[0]
		ctx, cancel := context.WithTimeout(f.ctx, 30*time.Second)
		defer cancel()
		left := make(chan struct{})
		go func() {
			k.Leave(ctx)
			close(left)
		}()
		time.Sleep(leaveDelay - time.Millisecond)
		k.usage.relay.Add(time.Now(), []usage.Counter{{
			Gateway: "host-0/gateway/1", Organisation: "svetki",
			Window: time.Now().Truncate(time.Minute), Amount: usage.Amount{Requests: 1},
		}}, usage.PushInfo{})
		<-left
		is.NoErr(ctx.Err())
		is.Equal(k.usage.relay.Len(), 0)
	})
}

// lateLink is a link that was being accepted when the controller ended.
type lateLink struct {
	link.Link
	peer machine.Process
	done chan struct{}
}

func (l *lateLink) Peer() machine.Process { return l.peer }
func (l *lateLink) Done() <-chan struct{} { return l.done }
func (l *lateLink) Close() error          { close(l.done); return nil }

// TestLinkOfAGatewayDoesNotOutliveItsController checks that a gateway's link which is accepted as the controller ends is
// closed. The gateway would otherwise stay at a controller that knows no configuration.
func TestLinkOfAGatewayDoesNotOutliveItsController(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		time.Sleep(time.Second)
		k := f.running[0]
		f.stops[0]()
		time.Sleep(time.Second)
		l := &lateLink{peer: machine.Process{Host: "host-9", Role: machine.Gateway}, done: make(chan struct{})}
		ctx, cancel := context.WithCancel(f.ctx)
		cancel()
		k.handleAccepted(ctx, l)
		synctest.Wait()
		select {
		case <-l.done:
		default:
			t.Fatal("the link stays open")
		}
	})
}

package controller

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

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

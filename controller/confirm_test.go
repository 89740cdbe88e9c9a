package controller

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniapin/wire"
)

// TestOnlyRepliesConfirmConfiguration checks that only the reply to this controller's own
// heartbeat confirms the configuration, dated by the time of the request. The
// confirmation in another controller's request must be ignored: the request may
// have waited while this process was paused, so its age is unknown.
func TestOnlyRepliesConfirmConfiguration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2)
		f.within(14*time.Second, "linked", func() bool { return len(f.running[0].links.linkedHosts()) == 1 })
		k := f.running[0]
		peer := k.links.peers[f.running[1].config.Self.Host]
		before := k.replica.Confirmed().At
		confirming := &wire.Heartbeat{ConfirmedRevision: 7, ConfirmedAgeMs: 0}
		k.serveHeartbeat(peer.link, confirming)
		is.True(k.replica.Confirmed().At.Equal(before))
		requestedAt := before.Add(time.Millisecond)
		k.applyHeartbeatReply(peer, requestedAt, &wire.Heartbeat{}, confirming)
		is.True(k.replica.Confirmed().At.Equal(requestedAt))
	})
}

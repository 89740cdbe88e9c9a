package controller

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniapin/wire"
)

// TestOnlyAnswersConfirm checks that a heartbeat of another controller, which
// may have waited while this process was paused, confirms nothing, and that
// the answer to an own one confirms from the asking on.
func TestOnlyAnswersConfirm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2)
		f.within(14*time.Second, "linked", func() bool { return len(f.running[0].links.linked()) == 1 })
		k := f.running[0]
		peer := k.links.peers[f.running[1].config.Self.Host]
		before := k.holder.Confirmed().At
		said := &wire.Heartbeat{ConfirmedRevision: 7, ConfirmedAgeMs: 0}
		k.serveHeartbeat(peer.link, said)
		is.True(k.holder.Confirmed().At.Equal(before))
		asked := before.Add(time.Millisecond)
		k.takeIn(peer, asked, &wire.Heartbeat{}, said)
		is.True(k.holder.Confirmed().At.Equal(asked))
	})
}

package node

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"zinniapin/roster"
	"zinniapin/settings"
	"zinniapin/target"
	"zinniapin/wire"
)

// A snapshot of a peer was lost as a whole when one of its entries, or its configuration, was odd.
func TestOddPartOfASnapshotCostsOnlyItself(t *testing.T) {
	is := is.New(t)
	log := zerolog.New(io.Discard)
	n := New(settings.Node{Host: "h1", Bounds: settings.NodeBounds{UsageWindowSeconds: 2}}, Platform{}, NewOutput(io.Discard), &log)
	sound := func(id string) string {
		return `{"target":{"id":"` + id + `","service":"s","address":"1.2.3.4:5","zone":"z","slots":8},"revision":7}`
	}
	n.roster.ApplyList(time.Now(), []roster.Entry{{Target: roster.Target{ID: "spoiled", Service: "s", Address: "1.2.3.4:6", Zone: "z", Slots: 8}, Revision: 3}}, 5, false)
	is.NoErr(n.applySnapshot("h2", &wire.SnapshotReply{
		TargetsRevision: 9, TargetIds: []string{"a", "spoiled", "n", "z"},
		Targets: []byte("[" + strings.Join([]string{
			sound("a"), strings.Replace(sound("spoiled"), "8}", "1e400}", 1), strings.Replace(sound("n"), ":5", ":99999", 1), "null", "7",
			`{"target":` + strings.Repeat("[", 20_000) + strings.Repeat("]", 20_000) + "}", sound("z"),
		}, ",") + "]"),
	}))
	ids := func() (all []target.ID) {
		for _, t := range n.roster.Targets() {
			all = append(all, t.ID)
		}
		return all
	}
	is.Equal(ids(), []target.ID{"a", "z"})
	err := n.applySnapshot("h2", &wire.SnapshotReply{Configuration: []byte("odd"), TargetsRevision: 11, TargetIds: []string{"a", "b"}, Targets: []byte("[" + sound("b") + "]")})
	is.True(err != nil) // of the configuration
	is.Equal(ids(), []target.ID{"a", "b"})
}

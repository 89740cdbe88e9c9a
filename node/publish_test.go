package node

import (
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"zinniapin/dispatch"
	"zinniapin/roster"
	"zinniapin/settings"
	"zinniapin/target"
)

// Guards against a list of targets that is taken back: of two lists that are applied at once, the newer one was sometimes
// passed on first, so that requests went by the older one until the next change (DRAIN).
func TestNewestListOfTargetsIsPassedOnLast(t *testing.T) {
	is := is.New(t)
	log := zerolog.New(io.Discard)
	n := New(settings.Node{Host: "h1", Bounds: settings.NodeBounds{UsageWindowSeconds: 2}}, Platform{}, NewOutput(io.Discard), &log)
	list := func(count int, revision uint64) []roster.Entry {
		all := make([]roster.Entry, count)
		for i := range all {
			all[i] = roster.Entry{Revision: revision, Target: roster.Target{ID: target.ID(fmt.Sprint("t-", i)), Service: "s", Address: fmt.Sprint("127.0.0.1:", i+1), Zone: "z", Slots: 8, StartedMillis: int64(revision)}}
		}
		return all
	}
	for round := range 500 {
		n.streams.mu.Lock() // the older list waits here on its way
		var older sync.WaitGroup
		older.Go(func() { n.applyTargetList(list(1+round%4, uint64(2*round+1)), uint64(2*round+1), false) })
		for begun, applied := time.Now(), false; !applied || time.Since(begun) < 100*time.Microsecond; {
			n.rosterMu.Lock()
			applied = len(n.roster.Targets()) == 1+round%4
			n.rosterMu.Unlock()
		}
		n.streams.mu.Unlock()
		n.applyTargetList(list(5+round%4, uint64(2*round+2)), uint64(2*round+2), false)
		older.Wait()
		n.handler.PlannerMu.Lock()
		d := n.handler.Planner.Plan(time.Now(), dispatch.Job{Service: "s"}, nil)
		n.handler.PlannerMu.Unlock()
		is.Equal(d.Candidates, 5+round%4)
	}
}

package authority

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniapin/internal/standin/engine"
	"zinniapin/internal/standin/objects"
	"zinniapin/target"
)

// TestFencedEngineChangesOneAtATime checks that a fenced engine does not receive a
// second author's order while it still carries out the first author's change.
func TestFencedEngineChangesOneAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		api, engines := objects.New(), engine.NewDirect()
		e := engines.Add("e1", engine.Options{ID: "e1", Seed: 1, ChecksFence: true})
		engineTarget := target.Target{ID: "e1", Address: "e1", ChecksFence: true}
		var both sync.WaitGroup
		for _, author := range []string{"a", "b"} {
			x := NewExecutor(api, author, &fakeLiveness{}, Options{})
			both.Go(func() {
				defer x.Close()
				outcome, err := x.OrderEngine(context.Background(), engines, engineTarget, Change{Kind: target.OrderRole, Role: target.Prefill})
				is.NoErr(err)
				is.Equal(outcome, Applied)
			})
			time.Sleep(time.Second)
		}
		both.Wait()
		records := e.Records()
		is.Equal(len(records.Orders), 2)
		is.Equal(len(records.Conflicts()), 0)
	})
}

// TestFencedEngineOutlivesDeadAuthor checks that an author replaces the open order
// of another one after the takeover delay, without proof that the other has ended.
func TestFencedEngineOutlivesDeadAuthor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		api, engines := objects.New(), engine.NewDirect()
		engines.Add("e1", engine.Options{ID: "e1", Seed: 1, ChecksFence: true})
		engineTarget := target.Target{ID: "e1", Address: "e1", ChecksFence: true}
		change := Change{Kind: target.OrderRole, Role: target.Prefill}
		stuck := NewExecutor(api, "a", &fakeLiveness{}, Options{})
		_, err := stuck.OrderEngine(minuteContext(t), hungEngine{}, engineTarget, change)
		is.True(err != nil)
		stuck.Close()
		started := time.Now()
		x := NewExecutor(api, "b", &fakeLiveness{}, Options{})
		defer x.Close()
		outcome, err := x.OrderEngine(context.Background(), engines, engineTarget, change)
		is.NoErr(err)
		is.Equal(outcome, Applied)
		is.True(time.Since(started) >= defaultTakeoverDelay)
	})
}

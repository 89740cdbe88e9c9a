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

// TestFencedEngineChangesOneAtATime lets two live authors order one fenced
// engine within its change: it must not receive the second order before the
// first has ended.
func TestFencedEngineChangesOneAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		api, engines := objects.New(), engine.NewDirect()
		e := engines.Add("e1", engine.Options{ID: "e1", Seed: 1, ChecksFence: true})
		at := target.Target{ID: "e1", Address: "e1", ChecksFence: true}
		var both sync.WaitGroup
		for _, author := range []string{"a", "b"} {
			x := NewExecutor(api, author, &register{}, Options{})
			both.Go(func() {
				defer x.Close()
				outcome, err := x.OrderEngine(context.Background(), engines, at, Change{Kind: target.OrderRole, Role: target.Prefill})
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

// TestFencedEngineOutlivesDeadAuthor lets an author leave its order open
// without any proof of its end; another one goes ahead after its patience.
func TestFencedEngineOutlivesDeadAuthor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		api, engines := objects.New(), engine.NewDirect()
		engines.Add("e1", engine.Options{ID: "e1", Seed: 1, ChecksFence: true})
		at := target.Target{ID: "e1", Address: "e1", ChecksFence: true}
		change := Change{Kind: target.OrderRole, Role: target.Prefill}
		stuck := NewExecutor(api, "a", &register{}, Options{})
		_, err := stuck.OrderEngine(canceledSoon(t), hung{}, at, change)
		is.True(err != nil)
		stuck.Close()
		began := time.Now()
		x := NewExecutor(api, "b", &register{}, Options{})
		defer x.Close()
		outcome, err := x.OrderEngine(context.Background(), engines, at, change)
		is.NoErr(err)
		is.Equal(outcome, Applied)
		is.True(time.Since(began) >= defaultPatience)
	})
}

package authority

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"zinniapin/event"
	"zinniapin/internal/standin/objects"
)

// closedLines returns the lines of a log that say that an order was closed.
func closedLines(log *bytes.Buffer) int {
	return strings.Count(log.String(), event.OrderClosed.Name)
}

// TestClosedIsLoggedOnceClosed checks that an order is logged as closed when
// the object API holds it so, not when its outcome is known.
func TestClosedIsLoggedOnceClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		api, lines := objects.New(), &bytes.Buffer{}
		log := zerolog.New(zerolog.SyncWriter(lines))
		x := NewExecutor(api, "a", &register{ended: map[string]bool{}}, Options{Log: &log})
		defer x.Close()
		puts := 0
		api.SetFault(func(op objects.Operation, _ string) objects.Verdict {
			if op != objects.Put {
				return objects.Pass
			}
			puts++
			if puts == 1 {
				return objects.Pass // opens
			}
			return objects.Refuse
		})
		outcome, err := x.Do(t.Context(), "unit", false, accepting{}, Order{Payload: "p"})
		is.NoErr(err)
		is.Equal(outcome, Applied)
		time.Sleep(time.Minute)
		is.Equal(closedLines(lines), 0) // the object API still holds it open
		api.SetFault(nil)
		is.NoErr(x.Drain(t.Context()))
		is.Equal(closedLines(lines), 1)
	})
}

// TestUnopenedIsNotLoggedAsClosed checks that an order that was never opened
// is not logged as closed, and that one left open by a stop is not either.
func TestUnopenedIsNotLoggedAsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		api, lines := objects.New(), &bytes.Buffer{}
		log := zerolog.New(zerolog.SyncWriter(lines))
		live := &register{ended: map[string]bool{}}
		stuck := NewExecutor(api, "a", live, Options{Log: &log})
		other := NewExecutor(api, "b", live, Options{Log: &log})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := stuck.Do(ctx, "unit", false, unanswering{}, Order{})
		is.True(err != nil)
		stuck.Close()
		_, err = other.Do(canceledSoon(t), "unit", false, accepting{}, Order{})
		is.True(err != nil)
		other.Close()
		is.Equal(closedLines(lines), 0)
	})
}

// unanswering is a driver whose orders are sent and never answered.
type unanswering struct{ accepting }

func (unanswering) Send(ctx context.Context, _ Order) error {
	<-ctx.Done()
	return ctx.Err()
}

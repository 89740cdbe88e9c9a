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

// countClosedLogs returns the number of order-closed events in a log.
func countClosedLogs(log *bytes.Buffer) int {
	return strings.Count(log.String(), event.OrderClosed.Name)
}

// TestClosedIsLoggedOnceClosed checks that an order is logged as closed when the
// object API has stored that, and not earlier, when its outcome is known.
func TestClosedIsLoggedOnceClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		api, lines := objects.New(), &bytes.Buffer{}
		log := zerolog.New(zerolog.SyncWriter(lines))
		x := NewExecutor(api, "a", &fakeLiveness{ended: map[string]bool{}}, Options{Log: &log})
		defer x.Close()
		puts := 0
		api.SetFault(func(op objects.Operation, _ string) objects.Verdict {
			if op != objects.Put {
				return objects.Pass
			}
			puts++
			if puts == 1 {
				return objects.Pass // the update that opens the order
			}
			return objects.Refuse
		})
		outcome, err := x.Do(t.Context(), "unit", false, acceptingDriver{}, Order{Payload: "p"})
		is.NoErr(err)
		is.Equal(outcome, Applied)
		time.Sleep(time.Minute)
		is.Equal(countClosedLogs(lines), 0) // the order is still open in the object API
		api.SetFault(nil)
		is.NoErr(x.Drain(t.Context()))
		is.Equal(countClosedLogs(lines), 1)
	})
}

// TestUnopenedIsNotLoggedAsClosed checks that neither an order that was never
// opened nor one that stays open when its executor is closed is logged as closed.
func TestUnopenedIsNotLoggedAsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		api, lines := objects.New(), &bytes.Buffer{}
		log := zerolog.New(zerolog.SyncWriter(lines))
		liveness := &fakeLiveness{ended: map[string]bool{}}
		stuck := NewExecutor(api, "a", liveness, Options{Log: &log})
		other := NewExecutor(api, "b", liveness, Options{Log: &log})
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := stuck.Do(ctx, "unit", false, unansweringDriver{}, Order{})
		is.True(err != nil)
		stuck.Close()
		_, err = other.Do(minuteContext(t), "unit", false, acceptingDriver{}, Order{})
		is.True(err != nil)
		other.Close()
		is.Equal(countClosedLogs(lines), 0)
	})
}

// unansweringDriver is a driver whose target never answers an order.
type unansweringDriver struct{ acceptingDriver }

func (unansweringDriver) Send(ctx context.Context, _ Order) error {
	<-ctx.Done()
	return ctx.Err()
}

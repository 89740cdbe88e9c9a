package authority

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniapin/internal/standin/objects"
	"zinniapin/result"
	"zinniapin/target"
)

// resetDriver is a driver whose target resets the connection of the first order.
type resetDriver struct {
	acceptingDriver
	sent int
}

func (d *resetDriver) Send(context.Context, Order) error {
	d.sent++
	if d.sent == 1 {
		return target.ErrIncomplete
	}
	return nil
}

// TestTryDoesNotWait checks that Try returns at once while an order is open, its own or
// another author's, and that repeated calls replace the order of an author that has ended
// once it can no longer be in transit.
func TestTryDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		api, liveness := objects.New(), &fakeLiveness{ended: map[string]bool{}}
		a, b := NewExecutor(api, "a", liveness, Options{}), NewExecutor(api, "b", liveness, Options{})
		defer b.Close()
		driver := &resetDriver{}
		try := func(x *Executor) (Outcome, error) {
			began := time.Now()
			outcome, err := x.Try(t.Context(), "unit", false, driver, Order{})
			is.Equal(time.Since(began), time.Duration(0))
			return outcome, err
		}
		_, err := try(a) // no answer: a goes on probing
		is.Equal(result.CodeOf(err), result.OrderOutcomeUnknown)
		_, err = try(a)
		is.Equal(result.CodeOf(err), result.OrderOpen)
		outcome, err := try(b)
		is.Equal(outcome, Blocked)
		is.Equal(result.CodeOf(err), result.OrderOpen)
		a.Close()
		liveness.mu.Lock()
		liveness.ended["a"] = true
		liveness.mu.Unlock()
		tries := 0
		for ; outcome == Blocked; tries++ {
			time.Sleep(10 * time.Second)
			outcome, err = try(b)
		}
		is.NoErr(err)
		is.Equal(outcome, Applied)
		is.Equal(driver.sent, 2)
		is.True(tries >= 12 && tries <= 14) // MaxTransit after the first try that found a's end
	})
}

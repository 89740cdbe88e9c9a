package claim

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"zinniapin/internal/standin/objects"
)

// TestDrainOutlastsOutage checks a shutdown during an outage of the object API: Drain writes
// the final state once the object API is back, and returns ErrPending if its context ends
// first.
func TestDrainOutlastsOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		api := objects.New()
		r := NewStoreRegistry(api, Options{})
		got, err := r.Begin(t.Context(), testID, [32]byte{1})
		is.NoErr(err)
		api.SetFault(func(objects.Operation, string) objects.Verdict { return objects.Refuse })
		is.True(errors.Is(r.Finish(t.Context(), *got.Ticket, Answer{Status: 200}), ErrPending))
		short, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		is.True(errors.Is(r.Drain(short), ErrPending))
		time.AfterFunc(5*time.Second, func() { api.SetFault(nil) })
		long, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		is.NoErr(r.Drain(long))
		done, err := r.Begin(t.Context(), testID, [32]byte{1})
		is.NoErr(err)
		is.Equal(done.State, Done)
	})
}

// TestFlushWaitsForThePassUnderWay guards against a Flush that returns success while another
// pass has taken the only pending update off the queue and has not written it.
func TestFlushWaitsForThePassUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		api := objects.New()
		r := NewStoreRegistry(api, Options{})
		got, err := r.Begin(t.Context(), testID, [32]byte{1})
		is.NoErr(err)
		api.SetFault(func(objects.Operation, string) objects.Verdict { return objects.Refuse })
		is.True(errors.Is(r.Finish(t.Context(), *got.Ticket, Answer{Status: 200}), ErrPending))
		answer := make(chan struct{})
		api.SetFault(func(objects.Operation, string) objects.Verdict {
			<-answer
			return objects.Refuse
		})
		first := make(chan error, 1)
		go func() { first <- r.Flush(context.Background()) }()
		synctest.Wait() // the first Flush waits for the object API
		short, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		is.True(errors.Is(r.Flush(short), ErrPending))
		close(answer)
		is.True(errors.Is(<-first, ErrPending))
	})
}

package authority

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCancelAfterUnconfirmedOpening checks that no order stays open when the caller
// gives up after the update that opens it had no answer, while the agent reads the
// record.
func TestCancelAfterUnconfirmedOpening(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1_800_000_000, 0)
	a := NewAgent("a", 1, Policy{})
	a.Step(now, Event{Kind: Start})
	opening := a.Step(now, Event{Kind: ReadDone})
	is.Equal(opening.Kind, DoPut)
	a.Step(now, Event{Kind: PutDone, CallResult: CallUnknown})
	read := a.Step(now, Event{Kind: PutDone, CallResult: CallConflict}) // the first update took effect
	is.Equal(read.Kind, DoRead)

	is.True(a.Cancellable())
	withdrawal := a.Step(now, Event{Kind: Cancelled})
	is.Equal(withdrawal.Kind, DoPut)
	is.Equal(withdrawal.Put.Record.Open.ID, "")
	is.Equal(a.Step(now, Event{Kind: PutDone, CallResult: CallConflict}).Kind, DoRead)
	closing := a.Step(now, Event{Kind: ReadDone, Found: Snapshot{Version: 1, Record: opening.Put.Record}})
	is.Equal(closing.Kind, DoPut)
	is.Equal(closing.Put.Version, Snapshot{Version: 1}.Version)
	is.Equal(closing.Put.Record.Open.ID, "")
	a.Step(now, Event{Kind: PutDone, CallResult: CallConfirmed, Version: 2})
	is.True(a.Idle())
	is.Equal(a.Outcome(), NotSent)
}

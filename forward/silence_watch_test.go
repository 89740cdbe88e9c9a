package forward

import (
	"context"
	"testing"
	"time"
)

// A search has the first event in hand when the silent target goes on. Either its attempt takes over, and is not
// cancelled, or the silent target stays.
func TestOneOfTwoTargetsThatSpeakAtOnceIsKept(t *testing.T) {
	for _, claimFirst := range []bool{true, false} {
		parent, end := context.WithCancel(context.Background())
		defer end()
		attempt, replace := context.WithCancelCause(parent)
		inHand, searchCtx := make(chan struct{}), context.Context(nil)
		w := &silenceWatch{limit: time.Millisecond, parent: parent, replace: replace}
		claimed := false
		w.search = func(ctx context.Context) {
			searchCtx = ctx
			if claimFirst {
				claimed = w.claim()
			}
			close(inHand)
			time.Sleep(20 * time.Millisecond) // the silent target goes on meanwhile
			if !claimFirst {
				claimed = w.claim()
			}
		}
		w.await()
		w.timer = time.AfterFunc(w.limit, w.expire)
		<-inHand
		replaced := w.settle(true)
		if replaced != claimed || replaced != claimFirst {
			t.Errorf("replaced %v, claimed %v, claimed first %v", replaced, claimed, claimFirst)
		}
		if replaced && searchCtx.Err() != nil || !replaced && attempt.Err() != nil {
			t.Errorf("the attempt that is kept was cancelled: %v, %v", context.Cause(searchCtx), context.Cause(attempt))
		}
		w.stop()
	}
}

package claim

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"zinniapin/event"
	"zinniapin/store"
)

// finalUpdate is the update that writes the final state of a claim.
type finalUpdate struct {
	heldClaim
	final record
}

// answerBytes returns the size of the answer, which takes up memory while the update is
// pending.
func (u finalUpdate) answerBytes() int {
	if u.final.Answer == nil {
		return 0
	}
	return len(u.final.Answer.Body)
}

// writeFinal tries once to write the final state of a claim. If the object API does not
// confirm it, the update becomes pending and the error is ErrPending.
func (s *StoreRegistry) writeFinal(ctx context.Context, h heldClaim, final record) error {
	u := finalUpdate{heldClaim: h, final: final}
	done, err := s.tryWrite(ctx, &u)
	if done {
		return err
	}
	event.ClaimPending.Log(s.options.Log).Str("claim", u.key).Str("state", string(final.State)).Err(err).Send()
	s.enqueue(u)
	return trace.Wrap(ErrPending)
}

// maxWriteTries limits the attempts of one tryWrite after version conflicts.
const maxWriteTries = 3

// tryWrite tries to write a final state. It returns true if nothing is left to do: the update
// was confirmed or can no longer apply. If the object is too large, it writes it without the
// answer.
func (s *StoreRegistry) tryWrite(ctx context.Context, u *finalUpdate) (bool, error) {
	value, err := u.final.encode()
	if err != nil {
		return true, trace.Wrap(err)
	}
	for range maxWriteTries {
		_, err = s.objects.Put(ctx, store.PurposeClaim, u.key, value, u.version)
		if err == nil {
			return true, nil
		}
		if errors.Is(err, store.ErrTooLarge) && u.final.Answer != nil {
			u.final = u.final.withoutAnswer()
			return s.tryWrite(ctx, u)
		}
		if !errors.Is(err, store.ErrConflict) {
			return false, err
		}
		if done, err := s.resolveConflict(ctx, u); done || err != nil {
			return done, err
		}
	}
	return false, err
}

// resolveConflict reads the claim after a version conflict. It returns true if the update was
// already written or must not replace what is stored. Otherwise it sets the version that the
// next attempt replaces.
func (s *StoreRegistry) resolveConflict(ctx context.Context, u *finalUpdate) (bool, error) {
	object, err := s.objects.Get(ctx, store.PurposeClaim, u.key)
	if errors.Is(err, store.ErrNotFound) {
		return true, nil
	}
	if err != nil {
		return false, err
	}
	found, err := decodeRecord(object.Value)
	if err != nil {
		return true, trace.Wrap(err)
	}
	if !found.replaceableBy(u.record.Attempt, u.final.State) {
		return true, nil
	}
	u.version = object.Version
	return false, nil
}

// enqueue keeps an update for Run to retry. If the queue is full the update is lost, or only
// its answer if the limit on bytes is reached; both are logged.
func (s *StoreRegistry) enqueue(u finalUpdate) {
	kept, withAnswer := s.pending.add(u)
	if !kept {
		event.ClaimPendingLost.Log(s.options.Log).Str("claim", u.key).Send()
		return
	}
	if !withAnswer {
		event.ClaimAnswerDropped.Log(s.options.Log).Str("claim", u.key).Int("bytes", u.answerBytes()).Send()
	}
}

// Pending returns the number of final states that the object API has not confirmed.
func (s *StoreRegistry) Pending() int {
	return s.pending.len()
}

// Flush tries every pending update once. It first waits for a pass of Run in progress, so that
// the updates of that pass are included. It returns ErrPending if updates remain.
func (s *StoreRegistry) Flush(ctx context.Context) error {
	select {
	case s.flushing <- struct{}{}:
		defer func() { <-s.flushing }()
	case <-ctx.Done():
		return trace.Wrap(ErrPending)
	}
	for range s.pending.len() {
		u, ok := s.pending.next()
		if !ok {
			break
		}
		done, err := s.tryWrite(ctx, &u)
		if done {
			continue
		}
		s.enqueue(u)
		if errors.Is(err, store.ErrUnavailable) {
			break
		}
	}
	if s.pending.len() > 0 {
		return trace.Wrap(ErrPending)
	}
	return nil
}

// Drain calls Flush until nothing is pending. If ctx ends first, it returns ErrPending.
func (s *StoreRegistry) Drain(ctx context.Context) error {
	for {
		err := s.Flush(ctx)
		if err == nil {
			return nil
		}
		pause := time.NewTimer(s.options.RetryEvery)
		select {
		case <-pause.C:
		case <-ctx.Done():
			pause.Stop()
			return err
		}
	}
}

// Run retries pending updates until ctx ends.
func (s *StoreRegistry) Run(ctx context.Context) {
	tick := time.NewTicker(s.options.RetryEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			_ = s.Flush(ctx) // the next pass retries what remains
		}
	}
}

// pendingQueue is a bounded FIFO queue of updates. It is safe for concurrent use.
type pendingQueue struct {
	mu          sync.Mutex
	updates     []finalUpdate
	answerBytes int // total of the queued answers
	maxCount    int
	maxBytes    int
}

// newPendingQueue returns a queue with limits on the number of updates and on the bytes of
// their answers.
func newPendingQueue(maxCount, maxBytes int) *pendingQueue {
	return &pendingQueue{maxCount: maxCount, maxBytes: maxBytes}
}

// add queues an update. It reports whether the update was kept, and whether with its answer.
// Beyond the limit on bytes the answer is dropped and the update is kept, since it matters
// more that the claim is known to be done.
func (q *pendingQueue) add(u finalUpdate) (kept, withAnswer bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.updates) >= q.maxCount {
		return false, false
	}
	withAnswer = true
	if q.answerBytes+u.answerBytes() > q.maxBytes {
		u.final = u.final.withoutAnswer()
		withAnswer = false
	}
	q.answerBytes += u.answerBytes()
	q.updates = append(q.updates, u)
	return true, withAnswer
}

// next removes and returns the oldest update.
func (q *pendingQueue) next() (finalUpdate, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.updates) == 0 {
		return finalUpdate{}, false
	}
	u := q.updates[0]
	q.updates = q.updates[1:]
	q.answerBytes -= u.answerBytes()
	return u, true
}

// len returns the number of updates queued.
func (q *pendingQueue) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.updates)
}

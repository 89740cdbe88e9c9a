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

// ending is the end of a claim that the object API has to confirm.
type ending struct {
	held
	desired record
}

// bytes returns the memory that the ending's answer takes.
func (e ending) bytes() int {
	if e.desired.Answer == nil {
		return 0
	}
	return len(e.desired.Answer.Body)
}

// end writes the end of a claim once and postpones it when the object API
// does not confirm it.
func (s *StoreRegistry) end(ctx context.Context, h held, desired record) error {
	e := ending{held: h, desired: desired}
	settled, err := s.settle(ctx, &e)
	if settled {
		return err
	}
	event.ClaimPending.Log(s.options.Log).Str("claim", e.key).Str("state", string(desired.State)).Err(err).Send()
	s.postpone(e)
	return trace.Wrap(ErrPending)
}

// maxSettleTries bounds the updates of one pass over an ending.
const maxSettleTries = 3

// settle writes an ending. It reports whether nothing more is to be done.
func (s *StoreRegistry) settle(ctx context.Context, e *ending) (bool, error) {
	value, err := e.desired.encode()
	if err != nil {
		return true, trace.Wrap(err)
	}
	for range maxSettleTries {
		_, err = s.objects.Put(ctx, store.PurposeClaim, e.key, value, e.version)
		if err == nil {
			return true, nil
		}
		if errors.Is(err, store.ErrTooLarge) && e.desired.Answer != nil {
			e.desired = e.desired.withoutAnswer()
			return s.settle(ctx, e)
		}
		if !errors.Is(err, store.ErrConflict) {
			return false, err
		}
		if settled, err := s.adopt(ctx, e); settled || err != nil {
			return settled, err
		}
	}
	return false, err
}

// adopt reads the claim after a conflict. It reports whether the ending is
// written or overtaken, and otherwise takes over the version to replace.
func (s *StoreRegistry) adopt(ctx context.Context, e *ending) (bool, error) {
	object, err := s.objects.Get(ctx, store.PurposeClaim, e.key)
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
	if !found.replaceable(e.record.Attempt, e.desired.State) {
		return true, nil
	}
	e.version = object.Version
	return false, nil
}

// postpone keeps an ending for Run, within the bounds on memory.
func (s *StoreRegistry) postpone(e ending) {
	kept, whole := s.pending.add(e)
	if !kept {
		event.ClaimPendingLost.Log(s.options.Log).Str("claim", e.key).Send()
		return
	}
	if !whole {
		event.ClaimAnswerDropped.Log(s.options.Log).Str("claim", e.key).Int("bytes", e.bytes()).Send()
	}
}

// Pending returns the number of ends that wait for the object API.
func (s *StoreRegistry) Pending() int {
	return s.pending.len()
}

// Flush tries every pending end once, those included that Run has in hand. It
// returns ErrPending when some remain.
func (s *StoreRegistry) Flush(ctx context.Context) error {
	select {
	case s.passing <- struct{}{}:
		defer func() { <-s.passing }()
	case <-ctx.Done():
		return trace.Wrap(ErrPending)
	}
	for range s.pending.len() {
		e, ok := s.pending.next()
		if !ok {
			break
		}
		settled, err := s.settle(ctx, &e)
		if settled {
			continue
		}
		s.postpone(e)
		if errors.Is(err, store.ErrUnavailable) {
			break
		}
	}
	if s.pending.len() > 0 {
		return trace.Wrap(ErrPending)
	}
	return nil
}

// Drain flushes until no end is pending, or until ctx ends: then it returns
// ErrPending.
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

// Run retries pending ends until the context ends.
func (s *StoreRegistry) Run(ctx context.Context) {
	tick := time.NewTicker(s.options.RetryEvery)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			_ = s.Flush(ctx) // what remains stays for the next pass
		}
	}
}

// backlog is a bounded queue of endings. It is safe for concurrent use.
type backlog struct {
	mu       sync.Mutex
	queue    []ending
	size     int // bytes of answers
	maxCount int
	maxBytes int
}

// newBacklog returns a backlog with bounds in endings and bytes of answers.
func newBacklog(maxCount, maxBytes int) *backlog {
	return &backlog{maxCount: maxCount, maxBytes: maxBytes}
}

// add queues an ending. It reports whether it was kept, and whether with its
// answer: a claim that is known to be done matters more than the answer.
func (b *backlog) add(e ending) (kept, whole bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) >= b.maxCount {
		return false, false
	}
	whole = true
	if b.size+e.bytes() > b.maxBytes {
		e.desired = e.desired.withoutAnswer()
		whole = false
	}
	b.size += e.bytes()
	b.queue = append(b.queue, e)
	return true, whole
}

// next removes and returns the oldest ending.
func (b *backlog) next() (ending, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) == 0 {
		return ending{}, false
	}
	e := b.queue[0]
	b.queue = b.queue[1:]
	b.size -= e.bytes()
	return e, true
}

// len returns the number of endings queued.
func (b *backlog) len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.queue)
}

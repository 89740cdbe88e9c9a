package gateway

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"zinniapin/invariant"
	"zinniapin/settings"
	"zinniapin/target"
)

// silenceWatch watches the pauses between the chunks of an attempt. When the engine falls
// silent, the watch looks for a successor, an attempt at another engine that has begun to
// answer, and only then gives the silent engine up. If the engine goes on first, the search
// ends. If no successor is found, the engine is given up after as much time again.
//
// The searches run in goroutines of their own. The lock of the watch orders a chunk and the
// end of a search, so that either the chunk is delivered or the successor takes over.
type silenceWatch struct {
	gen     *generation
	ctx     context.Context // of the request
	current target.Target
	cancel  context.CancelCauseFunc // ends the watched attempt
	mayMove bool                    // the attempt is not a prefill
	stall   time.Duration
	timer   *time.Timer

	mu        sync.Mutex
	begun     bool               // a chunk was received
	stopped   bool               // the attempt has ended
	endSearch context.CancelFunc // of the latest search; may be nil
	next      *successor
	failed    []failedAttempt // of the searches
	searches  sync.WaitGroup
}

// successor is an attempt that has begun to answer and takes over from a silent engine. It
// implements target.Stream.
type successor struct {
	target.Stream
	place   *placement
	request target.GenerateRequest
	first   *target.Chunk // nil once returned by Next
	cancel  context.CancelFunc
}

// Next implements target.Stream.
func (n *successor) Next() (target.Chunk, error) {
	if n.first != nil {
		c := *n.first
		n.first = nil
		return c, nil
	}
	return n.Stream.Next()
}

// Close implements target.Stream.
func (n *successor) Close() error {
	defer n.cancel()
	return n.Stream.Close()
}

// drop ends an attempt that is not needed.
func (n *successor) drop() {
	_ = n.Close()
	n.place.done(time.Now(), false)
}

// failedAttempt is an attempt of a search and its error.
type failedAttempt struct {
	attempt *engineAttempt
	err     error
}

// newSilenceWatch starts to watch an attempt.
func newSilenceWatch(ctx context.Context, gen *generation, a *engineAttempt, phase target.Phase, cancel context.CancelCauseFunc) *silenceWatch {
	s := &gen.gateway.options.Settings
	w := &silenceWatch{gen: gen, ctx: ctx, current: a.target, cancel: cancel, mayMove: phase != target.PhasePrefill, stall: settings.Millis(s.StallMillis)}
	w.timer = time.AfterFunc(settings.Millis(s.FirstChunkMillis), w.expired)
	return w
}

// chunk records that a chunk was received. It returns an error if the chunk must not be
// delivered, because a successor has taken over.
func (w *silenceWatch) chunk() error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.next != nil {
		return fmt.Errorf("%w: %w", errTakenOver, target.ErrIncomplete)
	}
	w.begun = true
	if w.endSearch != nil {
		w.endSearch()
		w.endSearch = nil
	}
	w.timer.Reset(w.stall)
	return nil
}

// stop ends the watch and returns the successor, or nil if there is none. It records the
// failed attempts of the searches.
func (w *silenceWatch) stop() *successor {
	w.mu.Lock()
	w.stopped = true
	w.timer.Stop()
	if w.endSearch != nil {
		w.endSearch()
	}
	w.mu.Unlock()
	w.searches.Wait()
	for _, f := range w.failed {
		w.gen.recordAttempt(f.attempt, f.err)
	}
	return w.next
}

// expired is called when no chunk was received in time.
func (w *silenceWatch) expired() {
	defer invariant.Contain("search for another engine", func() { w.cancel(errStalled) })
	w.mu.Lock()
	if w.stopped {
		w.mu.Unlock()
		return
	}
	if !w.begun || !w.mayMove {
		w.cancel(errStalled)
		w.mu.Unlock()
		return
	}
	ctx, end := context.WithCancel(w.ctx)
	defer end()
	w.endSearch = end
	w.searches.Add(1)
	w.mu.Unlock()
	defer w.searches.Done()
	giveUpAt := time.Now().Add(w.stall)
	if w.search(ctx) {
		w.cancel(errTakenOver)
		return
	}
	giveUp := time.NewTimer(time.Until(giveUpAt))
	defer giveUp.Stop()
	select {
	case <-giveUp.C:
	case <-ctx.Done():
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() == nil {
		w.cancel(errStalled)
	}
}

// search makes attempts at other engines, one after the other, until one of them has begun to
// answer or ctx ends. It tells whether one takes over.
func (w *silenceWatch) search(ctx context.Context) bool {
	query := w.gen.query
	query.Exclude = append(slices.Clone(query.Exclude), w.current.ID)
	for ctx.Err() == nil && w.gen.recheckKey() == nil && w.gen.attemptCount() < maxAttempts {
		place, ok := w.gen.gateway.fleet.choose(time.Now(), &query)
		if !ok {
			return false
		}
		// A prompt that has to be processed elsewhere first is left to the retry of the request.
		if place.prefill != nil || !w.gen.gateway.retryBudget.spend() {
			place.done(time.Now(), false)
			return false
		}
		w.gen.gateway.logRouted(w.gen.call, w.gen.contract.Organisation, query.Model, &place.choice)
		query.Exclude = append(query.Exclude, place.choice.Target.ID)
		next, a, err := w.begin(ctx, place)
		if err == nil {
			return w.takeOver(ctx, next)
		}
		place.done(time.Now(), ctx.Err() == nil)
		w.mu.Lock()
		w.failed = append(w.failed, failedAttempt{a, err})
		w.mu.Unlock()
		if ctx.Err() == nil {
			w.gen.learnOfTarget(ctx, a, target.PhaseWhole, err)
		}
		if !isTargetError(err) || w.gen.gateway.crashes.suspects(w.gen.part) {
			return false
		}
	}
	return false
}

// errSlowStart means that an engine did not begin to answer in time.
var errSlowStart = errors.New("gateway: no chunk from another engine within the time limit")

// begin makes an attempt for the rest of the answer and waits for its first chunk.
func (w *silenceWatch) begin(ctx context.Context, place *placement) (*successor, *engineAttempt, error) {
	request := w.gen.request()
	a := &engineAttempt{id: request.Attempt, target: place.choice.Target}
	attemptCtx, cancel := context.WithCancelCause(w.ctx) // a successor outlives the search
	limit := time.AfterFunc(settings.Millis(w.gen.gateway.options.Settings.FirstChunkMillis), func() { cancel(errSlowStart) })
	defer limit.Stop()
	stopCancel := context.AfterFunc(ctx, func() { cancel(nil) })
	defer stopCancel()
	stream, err := w.gen.gateway.options.Engines.Generate(attemptCtx, a.target, request)
	if err != nil {
		cancel(nil)
		return nil, a, err
	}
	for {
		c, err := stream.Next()
		if err != nil {
			_ = stream.Close()
			if cause := context.Cause(attemptCtx); cause != nil {
				err = fmt.Errorf("%w: %w", cause, errors.Join(target.ErrIncomplete, err))
			}
			cancel(nil)
			return nil, a, err
		}
		if c.Attempt != request.Attempt {
			continue
		}
		a.chunks++
		next := &successor{Stream: stream, place: place, request: request, first: &c, cancel: func() { cancel(nil) }}
		return next, a, nil
	}
}

// takeOver makes a successor replace the silent engine, unless that has gone on meanwhile.
func (w *silenceWatch) takeOver(ctx context.Context, next *successor) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if ctx.Err() != nil {
		next.drop()
		w.failed = append(w.failed, failedAttempt{&engineAttempt{id: next.request.Attempt, target: next.place.choice.Target, chunks: 1},
			fmt.Errorf("%w: %w", errNotNeeded, target.ErrIncomplete)})
		return false
	}
	w.next = next
	return true
}

// attemptCount returns the number of attempts so far.
func (gen *generation) attemptCount() int {
	gen.progress.Lock()
	defer gen.progress.Unlock()
	return gen.attempts
}

// open begins an attempt, or continues the successor of one.
func (gen *generation) open(ctx context.Context, t target.Target, r target.GenerateRequest) (target.Stream, error) {
	next := gen.next
	if next == nil {
		return gen.gateway.options.Engines.Generate(ctx, t, r)
	}
	gen.next = nil
	context.AfterFunc(ctx, next.cancel)
	return next, nil
}

// dropNext ends a successor that did not get to continue the answer.
func (gen *generation) dropNext() {
	if gen.next != nil {
		gen.next.drop()
		gen.next = nil
	}
}

// recheckUnlessBegun is recheckKey, but for a successor, which has begun to answer.
func (gen *generation) recheckUnlessBegun() error {
	if gen.next != nil {
		return nil
	}
	if err := gen.recheckKey(); err != nil {
		return err
	}
	return gen.checkBlocked()
}

// endedByGateway tells whether the gateway itself ended an attempt.
func endedByGateway(err error) bool {
	for _, cause := range []error{errStalled, errTargetLeaving, errTakenOver, errNotNeeded, errSlowStart} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"time"

	"zinniapin/contract"
	"zinniapin/event"
	"zinniapin/result"
	"zinniapin/routing"
	"zinniapin/target"
)

// Causes for which the gateway itself cancels an attempt.
var (
	errStalled       = errors.New("gateway: no chunk from the engine within the time limit")
	errTargetLeaving = errors.New("gateway: stream moved off a leaving engine")
	errTakenOver     = errors.New("gateway: another engine took over from a silent one")
	errNotNeeded     = errors.New("gateway: the silent engine went on")
)

// generation is a request to a model in progress. Generating text has no side effects, so it
// may be attempted again. Text that was delivered is not taken back: the next attempt
// continues after it.
type generation struct {
	gateway            *Gateway
	call               *call
	contract           *contract.Contract
	limit              int    // largest number of output tokens
	prompt             string // as rendered by chatBody.prompt
	part               requestPart
	priority           int
	query              routing.Request
	emit               func(text string, outputTokens int) error
	onFirstToken       func() // called at the first token, then set to nil
	execution          execution
	next               *successor // continues the answer; nil without one
	progress           sync.Mutex // held to change the fields up to attempts, and by searches to read them
	assembly           assembly
	text               strings.Builder
	attempts           int
	finish             string
	enginePromptTokens int // prompt tokens as counted by the engine, 0 until known
	checkedSnapshot    *contract.Snapshot
	withdrawnAt        time.Time // when the key was first seen withdrawn; zero if it is valid
	relocation         relocation
}

// engineAttempt is one attempt at one engine.
type engineAttempt struct {
	id     string
	target target.Target
	chunks int // chunks of this attempt that were received
}

// run generates the answer, in as many attempts as needed and allowed. It returns nil only
// for a complete answer.
func (gen *generation) run(ctx context.Context) error {
	gen.gateway.retryBudget.countRequest()
	var place *placement
	defer func() {
		if place != nil {
			place.done(time.Now(), false)
		}
		gen.relocation.close()
		gen.dropNext()
	}()
	for {
		if err := gen.recheckUnlessBegun(); err != nil {
			return gen.execution.attachTo(err)
		}
		var err error
		if place, err = gen.placementForAttempt(place); err != nil {
			return gen.execution.attachTo(err)
		}
		progress := gen.assembly.received
		err = gen.attempt(ctx, place)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return gen.execution.attachTo(canceled(ctx))
		}
		if !isTargetError(err) {
			return gen.execution.attachTo(err)
		}
		place = gen.keepOrRelease(place, err, gen.assembly.received > progress)
		if stop := gen.checkRetry(err); stop != nil {
			return gen.execution.attachTo(stop)
		}
	}
}

// isTargetError tells whether the error is a failure of the target, so that another attempt
// may succeed.
func isTargetError(err error) bool {
	for _, known := range []error{target.ErrNotSent, target.ErrRefused, target.ErrIncomplete, errStalled, errTargetLeaving, errTakenOver} {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}

// recheckKey returns an error if the key was withdrawn after admission, so that no attempt
// is sent for it.
func (gen *generation) recheckKey() error {
	_, err := authenticate(gen.gateway.snapshot.Load(), gen.call.credential)
	return err
}

// placementForAttempt returns where the next attempt goes: the placement that the request
// still holds, the one reserved for a move, or a newly chosen one.
func (gen *generation) placementForAttempt(held *placement) (*placement, error) {
	if held != nil {
		return held, nil
	}
	if gen.next != nil {
		return gen.next.place, nil
	}
	if next := gen.relocation.take(); next != nil {
		gen.gateway.logRouted(gen.call, gen.contract.Organisation, gen.query.Model, &next.choice)
		return next, nil
	}
	now := time.Now()
	place, ok := gen.gateway.fleet.choose(now, &gen.query)
	if !ok && len(gen.query.Exclude) > 0 {
		// All targets have been tried; one of them may have recovered.
		gen.query.Exclude = nil
		place, ok = gen.gateway.fleet.choose(now, &gen.query)
	}
	if !ok {
		return nil, result.New(result.NoTarget, "no live engine serves %s", gen.query.Model).Retry(defaultRetryAfter)
	}
	gen.gateway.logRouted(gen.call, gen.contract.Organisation, gen.query.Model, &place.choice)
	return place, nil
}

// keepOrRelease decides whether a request keeps its placement after a failed attempt. A
// stream that broke after progress continues at the same engine, which still holds its KV
// cache, if the engine accepts new work. Otherwise the placement is released and the failed
// engine excluded from the next choice.
func (gen *generation) keepOrRelease(place *placement, err error, progress bool) *placement {
	if errors.Is(err, target.ErrIncomplete) && !endedByGateway(err) && progress && place.prefill == nil && place.usable() {
		return place
	}
	gen.query.Exclude = append(gen.query.Exclude, place.failedTarget())
	failed := !errors.Is(err, errTargetLeaving)
	place.done(time.Now(), failed)
	return nil
}

// checkRetry returns why no further attempt is made, or nil. An attempt that was never sent
// and one that was moved off a leaving engine cost the engines no work, so their retry is
// not charged to the budget.
func (gen *generation) checkRetry(err error) error {
	if gen.next != nil {
		return nil
	}
	needsNoBudget := errors.Is(err, target.ErrNotSent) || errors.Is(err, errTargetLeaving)
	if gen.attempts >= maxAttempts {
		return gen.finalError(err)
	}
	if !needsNoBudget && gen.execution.state != result.NotRun && gen.gateway.crashes.suspects(gen.part) {
		return gen.finalError(err)
	}
	if !needsNoBudget && !gen.gateway.retryBudget.spend() {
		if gen.execution.state == result.NotRun {
			return result.Wrap(err, result.RetriesUsedUp, "the retry budget is exhausted").Retry(defaultRetryAfter)
		}
		return gen.finalError(err)
	}
	return nil
}

// finalError returns the error of a request whose last attempt failed.
func (gen *generation) finalError(err error) error {
	switch {
	case gen.execution.state == result.NotRun:
		return result.Wrap(err, result.TargetRefused, "%d attempts", gen.attempts).Retry(defaultRetryAfter)
	case errors.Is(err, errStalled) && gen.assembly.received == 0:
		return result.Wrap(err, result.TargetTimeout, "%d attempts", gen.attempts).Retry(defaultRetryAfter)
	default:
		return result.Wrap(err, result.AnswerIncomplete, "received %d tokens in %d attempts", gen.assembly.received, gen.attempts).Retry(defaultRetryAfter)
	}
}

// attempt makes one attempt at a placement: in two phases if the placement has a prefill
// engine, else in one. If the decode phase fails, its engine is asked to generate the rest
// in one phase. If the prefill phase fails, the caller chooses a new placement.
func (gen *generation) attempt(ctx context.Context, place *placement) error {
	if gen.next != nil {
		return gen.runOnTarget(ctx, place, gen.next.request)
	}
	if place.prefill != nil {
		done, err := gen.prefillThenDecode(ctx, place)
		final := err != nil && (!isTargetError(err) || errors.Is(err, errTargetLeaving))
		if done || final || ctx.Err() != nil || place.prefill != nil {
			return err
		}
		if err := gen.recheckKey(); err != nil {
			return err
		}
	}
	return gen.runOnTarget(ctx, place, gen.request())
}

// prefillThenDecode prefills on one engine and decodes on another. It returns false if the
// decode engine has to do both for the rest of the answer.
func (gen *generation) prefillThenDecode(ctx context.Context, place *placement) (bool, error) {
	source := *place.prefill
	prefill := gen.request()
	prefill.Phase = target.PhasePrefill
	handle, err := gen.prefill(ctx, place, source, prefill)
	if err != nil {
		return false, err
	}
	place.prefillDone(time.Now())
	if handle == "" {
		return false, nil
	}
	if gen.assembly.received >= gen.limit {
		return true, nil
	}
	if err := gen.recheckKey(); err != nil {
		return true, err
	}
	decode := gen.request()
	decode.Phase = target.PhaseDecode
	decode.KVSource = source.Address
	decode.KVHandle = handle
	err = gen.runOnTarget(ctx, place, decode)
	return err == nil, err
}

// request counts an attempt and returns the engine request for the rest of the answer.
func (gen *generation) request() target.GenerateRequest {
	gen.progress.Lock()
	defer gen.progress.Unlock()
	gen.attempts++
	return target.GenerateRequest{
		Attempt:    gen.gateway.attemptID(gen.call.id, gen.attempts),
		Model:      gen.query.Model,
		Prompt:     gen.prompt,
		CacheScope: gen.contract.Organisation,
		MaxTokens:  gen.limit,
		Priority:   gen.priority,
		Offset:     gen.assembly.received,
		Delivered:  gen.text.String(),
	}
}

// runOnTarget runs a request on the placement's own target and keeps the finish reason and
// the prompt token count.
func (gen *generation) runOnTarget(ctx context.Context, place *placement, r target.GenerateRequest) error {
	last, err := gen.stream(ctx, place, place.choice.Target, r)
	if err != nil {
		return err
	}
	gen.finish = last.Finish
	gen.enginePromptTokens = max(gen.enginePromptTokens, last.PromptTokens)
	return nil
}

// prefill runs the prefill phase on an engine and returns the handle of the exported KV
// cache, or "" if there is none.
func (gen *generation) prefill(ctx context.Context, place *placement, t target.Target, r target.GenerateRequest) (string, error) {
	last, err := gen.stream(ctx, place, t, r)
	if err != nil {
		return "", err
	}
	gen.enginePromptTokens = max(gen.enginePromptTokens, last.PromptTokens)
	gen.finish = last.Finish
	return last.KVHandle, nil
}

// stream runs a request on a target, delivers its tokens, records the outcome of the attempt
// and returns the last chunk. It cancels the attempt if the engine sends no chunk in time,
// if another one took over from it while it was silent, or if the target is about to leave and another placement is available.
func (gen *generation) stream(ctx context.Context, place *placement, t target.Target, r target.GenerateRequest) (target.Chunk, error) {
	a := &engineAttempt{id: r.Attempt, target: t}
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	query := gen.query
	query.Exclude = append(slices.Clone(query.Exclude), place.choice.Target.ID)
	place.setOnLeaving(func() bool {
		reserved := gen.relocation.find(gen.gateway.fleet, query)
		if reserved {
			cancel(errTargetLeaving)
		}
		return reserved
	})
	defer place.setOnLeaving(nil)
	watch := newSilenceWatch(ctx, gen, a, r.Phase, cancel)
	last, err := gen.consume(attemptCtx, a, r, watch.chunk)
	gen.next = watch.stop()
	if cause := context.Cause(attemptCtx); err != nil && cause != nil && ctx.Err() == nil {
		err = fmt.Errorf("%w: %w", cause, err)
	}
	gen.recordAttempt(a, err)
	gen.learnOfTarget(ctx, a, r.Phase, err)
	return last, err
}

// consume reads an engine's answer to its end and calls onChunk for each chunk.
func (gen *generation) consume(ctx context.Context, a *engineAttempt, r target.GenerateRequest, onChunk func() error) (target.Chunk, error) {
	s, err := gen.open(ctx, a.target, r)
	if err != nil {
		return target.Chunk{}, err
	}
	defer func() { _ = s.Close() }() // Close cancels an unfinished attempt and never fails
	for {
		c, err := s.Next()
		if errors.Is(err, io.EOF) {
			return c, fmt.Errorf("%w: the stream ended without its end marker", target.ErrIncomplete)
		}
		if err != nil {
			return c, err
		}
		if err := onChunk(); err != nil {
			return c, err
		}
		done, err := gen.deliver(a, c)
		if done || err != nil {
			return c, err
		}
	}
}

// deliver passes the text of a chunk to the caller and tells whether the chunk ends the
// answer. It drops chunks of other attempts and repeated ones.
func (gen *generation) deliver(a *engineAttempt, c target.Chunk) (bool, error) {
	if c.Attempt == a.id {
		a.chunks++
		if a.chunks == hardlyBegun+1 {
			gen.gateway.crashes.answered(gen.part)
		}
	}
	if err := gen.checkWithdrawn(); err != nil {
		return false, err
	}
	isNew, err := gen.accept(a.id, c)
	if err != nil {
		return false, err
	}
	if isNew {
		if gen.onFirstToken != nil {
			gen.onFirstToken()
			gen.onFirstToken = nil
		}
		if err := gen.emit(c.Text, gen.assembly.received); err != nil {
			return false, err
		}
	} else if !c.Done || c.Attempt != a.id {
		gen.gateway.metrics.droppedChunks.Inc()
		event.ChunkDropped.Log(&gen.gateway.log).Str("request", gen.call.id).Str("target", string(a.target.ID)).Int("offset", c.Offset).Send()
	}
	if c.Attempt == a.id && c.KVHandle != "" {
		return true, nil // the end of a prefill phase
	}
	return gen.assembly.complete(a.id, c)
}

// accept adds a chunk to the answer and returns whether it is new.
func (gen *generation) accept(attempt string, c target.Chunk) (bool, error) {
	gen.progress.Lock()
	defer gen.progress.Unlock()
	isNew, err := gen.assembly.accept(attempt, c)
	if isNew {
		gen.text.WriteString(c.Text)
	}
	return isNew, err
}

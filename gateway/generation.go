package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"zinniapin/contract"
	"zinniapin/event"
	"zinniapin/result"
	"zinniapin/routing"
	"zinniapin/settings"
	"zinniapin/target"
)

// Causes of the gateway's own ending of an attempt.
var (
	errStalled = errors.New("gateway: the engine fell silent")
	errMoved   = errors.New("gateway: the engine leaves")
)

// generation is a request to a model under way. Generating has no side
// effects, so it may be attempted again; what was delivered stays delivered,
// and the next attempt goes on after it.
type generation struct {
	gateway    *Gateway
	call       *call
	contract   *contract.Contract
	limit      int    // output tokens
	prompt     string // rendered
	priority   int
	query      routing.Request
	emit       func(text string, have int) error
	started    func() // called at the first token; nil from then on
	assembly   assembly
	text       strings.Builder
	execution  execution
	attempts   int
	finish     string
	prompted   int // prompt tokens by the engine's count, 0 until known
	sinceCheck *contract.Snapshot
	withdrawn  time.Time // when the key was found withdrawn; zero if not
	relocation relocation
}

// engineAttempt is one try at one engine.
type engineAttempt struct {
	id       string
	target   target.Target
	answered bool // any chunk of the attempt came
}

// run generates the answer, over as many attempts as it takes and is allowed.
// It returns nil only for a whole answer.
func (n *generation) run(ctx context.Context) error {
	n.gateway.budget.earn()
	var place *placement
	defer func() {
		if place != nil {
			place.done(time.Now(), false)
		}
		n.relocation.close()
	}()
	for {
		if err := n.recheckKey(); err != nil {
			return n.execution.stamp(err)
		}
		var err error
		if place, err = n.place(place); err != nil {
			return n.execution.stamp(err)
		}
		progress := n.assembly.have
		err = n.attempt(ctx, place)
		if err == nil {
			return nil
		}
		if ctx.Err() != nil {
			return n.execution.stamp(canceled(ctx))
		}
		if !isTargetError(err) {
			return n.execution.stamp(err)
		}
		place = n.keep(place, err, n.assembly.have > progress)
		if stop := n.again(err); stop != nil {
			return n.execution.stamp(stop)
		}
	}
}

// isTargetError tells whether another attempt may mend the error.
func isTargetError(err error) bool {
	for _, known := range []error{target.ErrNotSent, target.ErrRefused, target.ErrIncomplete, errStalled, errMoved} {
		if errors.Is(err, known) {
			return true
		}
	}
	return false
}

// recheckKey refuses to dispatch for a key that was withdrawn since admission.
func (n *generation) recheckKey() error {
	_, err := authenticate(n.gateway.snapshot.Load(), n.call.credential)
	return err
}

// place returns where the next attempt goes: the place held, or a new one.
func (n *generation) place(held *placement) (*placement, error) {
	if held != nil {
		return held, nil
	}
	if next := n.relocation.take(); next != nil {
		n.gateway.routed(n.call, n.contract.Organisation, n.query.Model, &next.choice)
		return next, nil
	}
	now := time.Now()
	place, ok := n.gateway.fleet.choose(now, &n.query)
	if !ok && len(n.query.Exclude) > 0 {
		// Every target was tried; one of them may have recovered.
		n.query.Exclude = nil
		place, ok = n.gateway.fleet.choose(now, &n.query)
	}
	if !ok {
		return nil, result.New(result.NoTarget, "no live engine serves %s", n.query.Model).Retry(retryElsewhere)
	}
	n.gateway.routed(n.call, n.contract.Organisation, n.query.Model, &place.choice)
	return place, nil
}

// keep decides where a failed attempt leaves its place. A stream that broke
// after progress goes on at the same engine, which still holds its cache, if
// the engine takes new work; else the place is given up and the engine at
// fault left out of the next choice.
func (n *generation) keep(place *placement, err error, progress bool) *placement {
	ours := errors.Is(err, errStalled) || errors.Is(err, errMoved)
	if errors.Is(err, target.ErrIncomplete) && !ours && progress && place.prefill == nil && place.usable() {
		return place
	}
	n.query.Exclude = append(n.query.Exclude, place.atFault())
	failed := !errors.Is(err, errMoved)
	place.done(time.Now(), failed)
	return nil
}

// again returns why no further attempt is made, or nil. An attempt that never
// left the gateway and one that was moved off a leaving engine cost the
// engines nothing, so they need no retry from the budget.
func (n *generation) again(err error) error {
	free := errors.Is(err, target.ErrNotSent) || errors.Is(err, errMoved)
	if n.attempts >= maxAttempts {
		return n.final(err)
	}
	if !free && !n.gateway.budget.spend() {
		if n.execution.state == result.NotRun {
			return result.Wrap(err, result.RetriesUsedUp, "many requests fail").Retry(retryElsewhere)
		}
		return n.final(err)
	}
	return nil
}

// final returns the result of a request whose last attempt failed.
func (n *generation) final(err error) error {
	switch {
	case n.execution.state == result.NotRun:
		return result.Wrap(err, result.TargetRefused, "%d attempts", n.attempts).Retry(retryElsewhere)
	case errors.Is(err, errStalled) && n.assembly.have == 0:
		return result.Wrap(err, result.TargetTimeout, "%d attempts", n.attempts).Retry(retryElsewhere)
	default:
		return result.Wrap(err, result.AnswerIncomplete, "%d tokens came in %d attempts", n.assembly.have, n.attempts).Retry(retryElsewhere)
	}
}

// attempt makes one attempt at a place: in two phases when the choice says
// so, else whole. When the decode phase fails, its engine is asked for the
// whole; when the prefill phase fails, a new place is chosen.
func (n *generation) attempt(ctx context.Context, place *placement) error {
	if place.prefill != nil {
		done, err := n.twoPhases(ctx, place)
		lost := err != nil && (!isTargetError(err) || errors.Is(err, errMoved))
		if done || lost || ctx.Err() != nil || place.prefill != nil {
			return err
		}
		if err := n.recheckKey(); err != nil {
			return err
		}
	}
	return n.phase(ctx, place, n.request())
}

// twoPhases prefills on one engine and decodes on another. It returns false
// when the decode engine has to do the whole of what is left.
func (n *generation) twoPhases(ctx context.Context, place *placement) (bool, error) {
	source := *place.prefill
	prefill := n.request()
	prefill.Phase = target.PhasePrefill
	handle, err := n.prefill(ctx, place, source, prefill)
	if err != nil {
		return false, err
	}
	place.prefilled(time.Now())
	if handle == "" {
		return false, nil
	}
	if n.assembly.have >= n.limit {
		return true, nil
	}
	if err := n.recheckKey(); err != nil {
		return true, err
	}
	decode := n.request()
	decode.Phase = target.PhaseDecode
	decode.KVSource = source.Address
	decode.KVHandle = handle
	err = n.phase(ctx, place, decode)
	return err == nil, err
}

// request returns the engine's request for what is left of the answer.
func (n *generation) request() target.GenerateRequest {
	n.attempts++
	return target.GenerateRequest{
		Attempt:    n.gateway.attemptID(n.call.id, n.attempts),
		Model:      n.query.Model,
		Prompt:     n.prompt,
		CacheScope: n.contract.Organisation,
		MaxTokens:  n.limit,
		Priority:   n.priority,
		Offset:     n.assembly.have,
		Delivered:  n.text.String(),
	}
}

// phase runs a request on the place's own target.
func (n *generation) phase(ctx context.Context, place *placement, r target.GenerateRequest) error {
	last, err := n.stream(ctx, place, place.choice.Target, r)
	if err != nil {
		return err
	}
	n.finish = last.Finish
	n.prompted = max(n.prompted, last.PromptTokens)
	return nil
}

// prefill runs a prefill request and returns the handle of its cache.
func (n *generation) prefill(ctx context.Context, place *placement, t target.Target, r target.GenerateRequest) (string, error) {
	last, err := n.stream(ctx, place, t, r)
	if err != nil {
		return "", err
	}
	n.prompted = max(n.prompted, last.PromptTokens)
	n.finish = last.Finish
	return last.KVHandle, nil
}

// stream runs a request on a target, delivers its tokens and returns the
// chunk that ends the answer. It records how the attempt ended.
func (n *generation) stream(ctx context.Context, place *placement, t target.Target, r target.GenerateRequest) (target.Chunk, error) {
	a := &engineAttempt{id: r.Attempt, target: t}
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	query := n.query
	query.Exclude = append(slices.Clone(query.Exclude), place.choice.Target.ID)
	place.onLeave(func() bool {
		found := n.relocation.find(n.gateway.fleet, query)
		if found {
			cancel(errMoved)
		}
		return found
	})
	defer place.onLeave(nil)
	stall := settings.Millis(n.gateway.options.Settings.StallMillis)
	first := settings.Millis(n.gateway.options.Settings.FirstChunkMillis)
	watchdog := time.AfterFunc(first, func() { cancel(errStalled) })
	defer watchdog.Stop()
	last, err := n.consume(attemptCtx, a, r, func() { watchdog.Reset(stall) })
	if cause := context.Cause(attemptCtx); err != nil && cause != nil && ctx.Err() == nil {
		err = fmt.Errorf("%w: %w", cause, err)
	}
	n.ended(a, err)
	return last, err
}

// consume reads an engine's answer to its end.
func (n *generation) consume(ctx context.Context, a *engineAttempt, r target.GenerateRequest, alive func()) (target.Chunk, error) {
	s, err := n.gateway.options.Engines.Generate(ctx, a.target, r)
	if err != nil {
		return target.Chunk{}, err
	}
	defer func() { _ = s.Close() }() // closing cancels what is not done; there is nobody to tell
	for {
		c, err := s.Next()
		if errors.Is(err, io.EOF) {
			return c, fmt.Errorf("%w: no end marker", target.ErrIncomplete)
		}
		if err != nil {
			return c, err
		}
		alive()
		done, err := n.take(a, c)
		if done || err != nil {
			return c, err
		}
	}
}

// take delivers a chunk and tells whether it ends the answer.
func (n *generation) take(a *engineAttempt, c target.Chunk) (bool, error) {
	a.answered = a.answered || c.Attempt == a.id
	if err := n.checkWithdrawn(); err != nil {
		return false, err
	}
	fresh, err := n.assembly.accept(a.id, c)
	if err != nil {
		return false, err
	}
	if fresh {
		n.text.WriteString(c.Text)
		if n.started != nil {
			n.started()
			n.started = nil
		}
		if err := n.emit(c.Text, n.assembly.have); err != nil {
			return false, err
		}
	} else if !c.Done || c.Attempt != a.id {
		n.gateway.metrics.dropped.Inc()
		event.ChunkDropped.Log(&n.gateway.log).Str("request", n.call.id).Str("target", string(a.target.ID)).Int("offset", c.Offset).Send()
	}
	if c.Attempt == a.id && c.KVHandle != "" {
		return true, nil // the end of a prefill phase
	}
	return n.assembly.whole(a.id, c)
}

// checkWithdrawn cuts a stream whose key was withdrawn longer ago than the
// setting allows. By default the answer is finished: it was admitted while
// the key was good, its length is bounded, and the engine's work is done for
// the greater part, while a cut answer harms a caller whose key was merely
// rotated. An operator who withdraws keys because they leaked sets the bound.
func (n *generation) checkWithdrawn() error {
	bound := settings.Millis(n.gateway.options.Settings.WithdrawnStreamMillis)
	if bound == 0 {
		return nil
	}
	if s := n.gateway.snapshot.Load(); s != n.sinceCheck {
		n.sinceCheck = s
		_, err := authenticate(s, n.call.credential)
		switch {
		case err == nil:
			n.withdrawn = time.Time{}
		case n.withdrawn.IsZero():
			n.withdrawn = time.Now()
		}
	}
	if !n.withdrawn.IsZero() && time.Since(n.withdrawn) >= bound {
		return result.New(result.KeyWithdrawn, "the answer was cut after %s", bound)
	}
	return nil
}

// ended records the end of an attempt.
func (n *generation) ended(a *engineAttempt, err error) {
	n.execution.record(err, a.answered)
	outcome := attemptExecution(err, a.answered).String()
	if err == nil {
		outcome = "whole"
	}
	n.gateway.metrics.attempts.WithLabelValues(outcome).Inc()
	if err == nil {
		return
	}
	event.AttemptFailed.Log(&n.gateway.log).Str("request", n.call.id).Str("attempt", a.id).
		Str("target", string(a.target.ID)).Str("outcome", outcome).Int("delivered", n.assembly.have).Err(err).Send()
	n.gateway.history.add(decision{At: time.Now(), Request: n.call.id, Organisation: n.contract.Organisation,
		Decision: "attempt_failed", Target: string(a.target.ID), Reason: err.Error(), Execution: outcome})
}

// routed logs a routing decision.
func (g *Gateway) routed(c *call, organisation, model string, choice *routing.Choice) {
	line := event.RequestRouted.Log(&g.log).Str("request", c.id).Str("organisation", organisation).Str("model", model).
		Str("target", string(choice.Target.ID)).Str("reason", string(choice.Reason)).Int("candidates", choice.Candidates).
		Int64("expected_ms", choice.Expected.Milliseconds())
	if choice.Prefill != nil {
		line = line.Str("prefill", string(choice.Prefill.ID))
	}
	line.Send()
	g.history.add(decision{At: time.Now(), Request: c.id, Organisation: organisation, Decision: "routed",
		Target: string(choice.Target.ID), Reason: string(choice.Reason), Candidates: choice.Candidates,
		ExpectedMS: choice.Expected.Milliseconds()})
}

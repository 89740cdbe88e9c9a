package gateway

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"zinniapin/claim"
	"zinniapin/event"
	"zinniapin/result"
	"zinniapin/target"
)

// Limits for claims.
const (
	// maxKeptAnswerBytes limits the answer that is stored for replay. The object
	// API accepts at most 1 MB for a claim, including the answer.
	maxKeptAnswerBytes = 256 << 10
	// claimTimeout limits the time to write the claim of an admitted call, which
	// counts against the concurrency limits meanwhile. lookupTimeout limits the
	// time to read the claim of a refused call.
	claimTimeout  = 5 * time.Second
	lookupTimeout = time.Second
	// claimCloseTimeout limits the time to record the outcome of a claimed call.
	claimCloseTimeout = 10 * time.Second
)

// runRepeatable makes attempts until one is answered, the retry budget is exhausted, the
// limit on attempts is reached or the time is over.
func (s *serviceCall) runRepeatable(ctx context.Context) (ServiceResponse, error) {
	s.gateway.retryBudget.countRequest()
	for {
		response, err := s.attempt(ctx)
		if err == nil || !isTargetError(err) {
			return response, err
		}
		needsNoBudget := errors.Is(err, target.ErrNotSent)
		suspected := s.execution.state != result.NotRun && s.gateway.crashes.suspects(s.part)
		if ctx.Err() != nil || s.attempts >= maxAttempts || suspected || !needsNoBudget && !s.gateway.retryBudget.spend() {
			return response, s.finalError(ctx, err)
		}
	}
}

// runAtMostOnce makes attempts at a call that must not run twice. It tries another target
// only if no byte reached the previous one or if that target reported that it did not run
// the call.
func (s *serviceCall) runAtMostOnce(ctx context.Context) (ServiceResponse, error) {
	for {
		response, err := s.attempt(ctx)
		if err == nil || !isTargetError(err) {
			return response, err
		}
		if s.execution.state != result.NotRun || ctx.Err() != nil || s.attempts >= maxAttempts {
			return response, s.finalError(ctx, err)
		}
	}
}

// attempt makes one attempt at a target that has not been tried.
func (s *serviceCall) attempt(ctx context.Context) (ServiceResponse, error) {
	if s.contract != nil {
		if _, err := authenticate(s.gateway.snapshot.Load(), s.call.credential); err != nil {
			return ServiceResponse{}, err
		}
	}
	if err := s.checkBlocked(); err != nil {
		return ServiceResponse{}, err
	}
	place, ok := s.gateway.fleet.choose(time.Now(), &s.query)
	if !ok && s.attempts > 0 {
		return ServiceResponse{}, result.New(result.TargetRefused, "%d targets were tried", s.attempts).Retry(defaultRetryAfter)
	}
	if !ok {
		return ServiceResponse{}, result.New(result.NoTarget, "no live target serves %s", s.service.Name).Retry(defaultRetryAfter)
	}
	s.attempts++
	s.gateway.logRouted(s.call, s.organisation(), "", &place.choice)
	response, err := s.callTarget(ctx, place)
	s.query.Exclude = append(s.query.Exclude, place.choice.Target.ID)
	s.execution.record(err, false)
	s.recordAttempt(place.choice.Target.ID, err)
	s.learnOfTarget(ctx, place.choice.Target, err)
	return response, err
}

// callTarget calls the service at a target and ends the placement there.
func (s *serviceCall) callTarget(ctx context.Context, place *placement) (response ServiceResponse, err error) {
	defer func() { place.done(time.Now(), err != nil) }()
	return s.gateway.options.Services.Call(ctx, place.choice.Target, s.request)
}

// recordAttempt counts the outcome of an attempt and logs its failure.
func (s *serviceCall) recordAttempt(id target.ID, err error) {
	outcome := "whole"
	if err != nil {
		outcome = attemptExecution(err, false).String()
	}
	s.gateway.metrics.attempts.WithLabelValues(outcome).Inc()
	if err != nil {
		event.AttemptFailed.Log(&s.gateway.log).Str("request", s.call.id).Str("target", string(id)).Str("outcome", outcome).Err(err).Send()
	}
}

// finalError returns the error of a call whose last attempt failed.
func (s *serviceCall) finalError(ctx context.Context, err error) error {
	switch {
	case s.execution.state == result.NotRun:
		return result.Wrap(err, result.TargetRefused, "%d attempts", s.attempts).Retry(defaultRetryAfter)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result.Wrap(err, result.TargetTimeout, "%d attempts", s.attempts)
	default:
		return result.Wrap(err, result.AnswerIncomplete, "%d attempts", s.attempts)
	}
}

// serveNonRepeatable serves a call that must run at most once. The call is claimed after
// admission and before anything is sent to a target, so that a queued call holds no claim
// and a refused one writes nothing.
func (s *serviceCall) serveNonRepeatable(ctx context.Context, w http.ResponseWriter, key string) error {
	id := claim.ID{Organisation: s.organisation(), IdempotencyKey: key}
	digest := s.requestDigest()
	admitted := false
	response, err := s.runAdmitted(ctx, func(ctx context.Context) (ServiceResponse, error) {
		admitted = true
		return s.runClaimed(context.WithoutCancel(ctx), w, id, digest)
	})
	if !admitted {
		response, err = s.answerRefused(w, id, digest, err)
	}
	if err != nil {
		return s.withExecution(err)
	}
	return s.writeResponse(w, response, nil)
}

// runClaimed claims an admitted call and runs it, or answers from an earlier claim. It runs
// to its end even if the caller disconnects, since cancelling it would leave its outcome
// unknown.
func (s *serviceCall) runClaimed(ctx context.Context, w http.ResponseWriter, id claim.ID, digest [32]byte) (ServiceResponse, error) {
	beginCtx, cancelBegin := context.WithTimeout(ctx, min(claimTimeout, s.timeout()))
	defer cancelBegin()
	outcome, err := s.gateway.options.Claims.Begin(beginCtx, id, digest)
	if err != nil {
		return ServiceResponse{}, s.claimError(err)
	}
	if outcome.Ticket == nil {
		return s.replay(w, outcome)
	}
	s.request.Header.Set(headerTargetIdempotency, id.IdempotencyKey)
	runCtx, cancelRun := context.WithTimeout(ctx, s.timeout())
	defer cancelRun()
	response, err := s.runAtMostOnce(runCtx)
	closeErr := s.closeClaim(*outcome.Ticket, response, err)
	if closeErr != nil {
		event.ClaimNotClosed.Log(&s.gateway.log).Str("request", s.call.id).Str("organisation", id.Organisation).
			Str("execution", s.execution.state.String()).Err(closeErr).Send()
	}
	return response, err
}

// answerRefused answers a call that was not admitted: from the claim of an earlier call if
// there is one, else with the refusal. If the claim cannot be read, the refusal concerns
// only this call, which did not run.
func (s *serviceCall) answerRefused(w http.ResponseWriter, id claim.ID, digest [32]byte, refusal error) (ServiceResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), lookupTimeout)
	defer cancel()
	outcome, found, err := s.gateway.options.Claims.Lookup(ctx, id, digest)
	switch {
	case err == nil && found:
		return s.replay(w, outcome)
	case err != nil && result.CodeOf(err) != result.StoreUnavailable && result.Of(err) != nil:
		return ServiceResponse{}, s.claimError(err)
	default:
		return ServiceResponse{}, refusal
	}
}

// claimError returns an error of the claim registry as the error for the caller. If it
// states the execution of an earlier call, that is kept.
func (s *serviceCall) claimError(err error) error {
	found := result.Of(err)
	if found == nil {
		return result.Wrap(err, result.StoreUnavailable, "the claim could not be confirmed").Retry(defaultRetryAfter)
	}
	s.claimExecution = found.Execution
	return err
}

// closeClaim records the outcome of a claimed call. The outcome depends only on the
// execution states of its attempts.
func (s *serviceCall) closeClaim(t claim.Ticket, a ServiceResponse, err error) error {
	ctx, cancel := context.WithTimeout(context.Background(), claimCloseTimeout)
	defer cancel()
	claims := s.gateway.options.Claims
	switch {
	case err == nil && len(a.Body) <= maxKeptAnswerBytes:
		storedAnswer := claim.Answer{Status: a.Status, ContentType: a.Header.Get("Content-Type"), Body: a.Body}
		return trace.Wrap(claims.Finish(ctx, t, storedAnswer))
	case err != nil && s.execution.state == result.NotRun:
		return trace.Wrap(claims.Release(ctx, t))
	default:
		// The outcome is unknown or the answer too large to store: the call
		// must never run again.
		return trace.Wrap(claims.Abandon(ctx, t))
	}
}

// replay answers a call whose idempotency key was claimed before.
func (s *serviceCall) replay(w http.ResponseWriter, o claim.Outcome) (ServiceResponse, error) {
	switch {
	case o.State == claim.Done && o.Answer != nil:
		w.Header().Set(headerReplayed, "true")
		return ServiceResponse{
			Status: o.Answer.Status,
			Header: http.Header{"Content-Type": {o.Answer.ContentType}},
			Body:   o.Answer.Body,
		}, nil
	case o.State == claim.Claimed:
		s.claimExecution = result.Unknown
		retry := max(o.RetryAfter, defaultRetryAfter)
		return ServiceResponse{}, result.New(result.ClaimRunning, "the first call has not ended").Retry(retry)
	case o.State == claim.NotRun:
		return ServiceResponse{}, result.New(result.ClaimNotRun, "the claim was released").Retry(defaultRetryAfter)
	default:
		s.claimExecution = result.Unknown
		return ServiceResponse{}, result.New(result.ClaimUnknown, "the outcome of an earlier call under this key is unknown")
	}
}

// withExecution returns err with the higher of two execution states: that of this call and
// that of an earlier one, as its claim records.
func (s *serviceCall) withExecution(err error) error {
	e := execution{max(s.execution.state, s.claimExecution)}
	return e.attachTo(err)
}

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

// Bounds of claims.
const (
	// maxKeptAnswerBytes bounds an answer that is kept for replay: the object
	// API holds a megabyte for each claim, answer included.
	maxKeptAnswerBytes = 256 << 10
	// claimTimeout bounds the claiming of an admitted call, which holds a place
	// meanwhile, and lookTimeout the reading of the claim of a refused one.
	claimTimeout = 5 * time.Second
	lookTimeout  = time.Second
	// claimCloseTimeout bounds the recording of an outcome.
	claimCloseTimeout = 10 * time.Second
)

// repeatable makes attempts until one is answered, the budget is used up or
// time is over.
func (s *serviceCall) repeatable(ctx context.Context) (ServiceResponse, error) {
	s.gateway.budget.earn()
	for {
		answer, err := s.attempt(ctx)
		if err == nil || !isTargetError(err) {
			return answer, err
		}
		free := errors.Is(err, target.ErrNotSent)
		if ctx.Err() != nil || s.attempts >= maxAttempts || !free && !s.gateway.budget.spend() {
			return answer, s.final(ctx, err)
		}
	}
}

// guarded makes attempts at a call that may run at most once: another target
// is tried only when no byte reached the last one, or on its own word that it
// did not run the call.
func (s *serviceCall) guarded(ctx context.Context) (ServiceResponse, error) {
	for {
		answer, err := s.attempt(ctx)
		if err == nil || !isTargetError(err) {
			return answer, err
		}
		if s.execution.state != result.NotRun || ctx.Err() != nil || s.attempts >= maxAttempts {
			return answer, s.final(ctx, err)
		}
	}
}

// attempt makes one attempt at a target not tried yet.
func (s *serviceCall) attempt(ctx context.Context) (ServiceResponse, error) {
	if s.contract != nil {
		if _, err := authenticate(s.gateway.snapshot.Load(), s.call.credential); err != nil {
			return ServiceResponse{}, err
		}
	}
	place, ok := s.gateway.fleet.choose(time.Now(), &s.query)
	if !ok && s.attempts > 0 {
		return ServiceResponse{}, result.New(result.TargetRefused, "%d targets tried", s.attempts).Retry(retryElsewhere)
	}
	if !ok {
		return ServiceResponse{}, result.New(result.NoTarget, "no live target serves %s", s.service.Name).Retry(retryElsewhere)
	}
	s.attempts++
	s.gateway.routed(s.call, s.organisation(), "", &place.choice)
	answer, err := s.gateway.options.Services.Call(ctx, place.choice.Target, s.request)
	place.done(time.Now(), err != nil)
	s.query.Exclude = append(s.query.Exclude, place.choice.Target.ID)
	s.execution.record(err, false)
	s.ended(place.choice.Target.ID, err)
	return answer, err
}

// ended logs and counts the end of an attempt.
func (s *serviceCall) ended(id target.ID, err error) {
	outcome := "whole"
	if err != nil {
		outcome = attemptExecution(err, false).String()
	}
	s.gateway.metrics.attempts.WithLabelValues(outcome).Inc()
	if err != nil {
		event.AttemptFailed.Log(&s.gateway.log).Str("request", s.call.id).Str("target", string(id)).Str("outcome", outcome).Err(err).Send()
	}
}

// final returns the result of a call whose last attempt failed.
func (s *serviceCall) final(ctx context.Context, err error) error {
	switch {
	case s.execution.state == result.NotRun:
		return result.Wrap(err, result.TargetRefused, "%d attempts", s.attempts).Retry(retryElsewhere)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result.Wrap(err, result.TargetTimeout, "%d attempts", s.attempts)
	default:
		return result.Wrap(err, result.AnswerIncomplete, "%d attempts", s.attempts)
	}
}

// once runs a call that may run at most once. It is admitted first, so that
// it queues holding nothing and a refusal writes nothing; the claim comes then,
// before anything is sent.
func (s *serviceCall) once(ctx context.Context, w http.ResponseWriter, key string) error {
	id := claim.ID{Organisation: s.organisation(), IdempotencyKey: key}
	digest := s.digest()
	admitted := false
	answer, err := s.admitted(ctx, func(ctx context.Context) (ServiceResponse, error) {
		admitted = true
		return s.claimed(context.WithoutCancel(ctx), w, id, digest)
	})
	if !admitted {
		answer, err = s.refused(w, id, digest, err)
	}
	if err != nil {
		return s.known(err)
	}
	return s.answer(w, answer, nil)
}

// claimed claims an admitted call and runs it, or answers from an earlier
// claim. A caller that goes away does not end the call: its outcome would
// then be unknown for nothing.
func (s *serviceCall) claimed(ctx context.Context, w http.ResponseWriter, id claim.ID, digest [32]byte) (ServiceResponse, error) {
	begin, cancelBegin := context.WithTimeout(ctx, min(claimTimeout, s.timeout()))
	defer cancelBegin()
	outcome, err := s.gateway.options.Claims.Begin(begin, id, digest)
	if err != nil {
		return ServiceResponse{}, s.claimError(err)
	}
	if outcome.Ticket == nil {
		return s.answered(w, outcome)
	}
	s.request.Header.Set(headerTargetIdempotency, id.IdempotencyKey)
	run, cancelRun := context.WithTimeout(ctx, s.timeout())
	defer cancelRun()
	answer, err := s.guarded(run)
	closed := s.closeClaim(*outcome.Ticket, answer, err)
	if closed != nil {
		event.ClaimNotClosed.Log(&s.gateway.log).Str("request", s.call.id).Str("organisation", id.Organisation).
			Str("execution", s.execution.state.String()).Err(closed).Send()
	}
	return answer, err
}

// refused answers a call that was not admitted: from its claim when an
// earlier call has one, else with the refusal. When the claim cannot be read
// the refusal speaks of this call alone, which did not run.
func (s *serviceCall) refused(w http.ResponseWriter, id claim.ID, digest [32]byte, refusal error) (ServiceResponse, error) {
	ctx, cancel := context.WithTimeout(context.Background(), lookTimeout)
	defer cancel()
	outcome, found, err := s.gateway.options.Claims.Lookup(ctx, id, digest)
	switch {
	case err == nil && found:
		return s.answered(w, outcome)
	case err != nil && result.CodeOf(err) != result.StoreUnavailable && result.Of(err) != nil:
		return ServiceResponse{}, s.claimError(err)
	default:
		return ServiceResponse{}, refusal
	}
}

// claimError returns a failure of the registry as a refusal. One that tells
// of an earlier call's execution keeps it.
func (s *serviceCall) claimError(err error) error {
	found := result.Of(err)
	if found == nil {
		return result.Wrap(err, result.StoreUnavailable, "the claim could not be confirmed").Retry(retryElsewhere)
	}
	s.earlier = found.Execution
	return err
}

// closeClaim records what became of a claimed call, by the attempts' states
// alone.
func (s *serviceCall) closeClaim(t claim.Ticket, a ServiceResponse, err error) error {
	ctx, cancel := context.WithTimeout(context.Background(), claimCloseTimeout)
	defer cancel()
	claims := s.gateway.options.Claims
	switch {
	case err == nil && len(a.Body) <= maxKeptAnswerBytes:
		kept := claim.Answer{Status: a.Status, ContentType: a.Header.Get("Content-Type"), Body: a.Body}
		return trace.Wrap(claims.Finish(ctx, t, kept))
	case err != nil && s.execution.state == result.NotRun:
		return trace.Wrap(claims.Release(ctx, t))
	default:
		// Unknown, or an answer too large to keep: it never runs again.
		return trace.Wrap(claims.Abandon(ctx, t))
	}
}

// answered answers a call whose key was claimed before.
func (s *serviceCall) answered(w http.ResponseWriter, o claim.Outcome) (ServiceResponse, error) {
	switch {
	case o.State == claim.Done && o.Answer != nil:
		w.Header().Set(headerReplayed, "true")
		return ServiceResponse{
			Status: o.Answer.Status,
			Header: http.Header{"Content-Type": {o.Answer.ContentType}},
			Body:   o.Answer.Body,
		}, nil
	case o.State == claim.Claimed:
		s.earlier = result.Unknown
		retry := max(o.RetryAfter, retryElsewhere)
		return ServiceResponse{}, result.New(result.ClaimRunning, "the first call has not ended").Retry(retry)
	case o.State == claim.NotRun:
		return ServiceResponse{}, result.New(result.ClaimNotRun, "the claim was given back").Retry(retryElsewhere)
	default:
		s.earlier = result.Unknown
		return ServiceResponse{}, result.New(result.ClaimUnknown, "an earlier call under this key was cut off")
	}
}

// known returns err with what is known of the execution, this call's and, by
// the claim, an earlier one's.
func (s *serviceCall) known(err error) error {
	e := execution{max(s.execution.state, s.earlier)}
	return e.stamp(err)
}

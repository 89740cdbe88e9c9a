package gateway

import (
	"context"
	"errors"

	"zinniapin/result"
	"zinniapin/target"
)

// checkBlocked returns why a request that has not run must not be sent, or nil.
func (gen *generation) checkBlocked() error {
	wait, rejected := gen.gateway.crashes.rejects(gen.part)
	if !rejected || gen.execution.state != result.NotRun {
		return nil
	}
	return result.New(result.RequestBlocked, "the prompt is blocked").Retry(wait)
}

// learnOfTarget takes the outcome of an attempt as evidence for or against the request. An
// attempt that the gateway or the caller ended is none, nor is a prefill that succeeded.
func (gen *generation) learnOfTarget(ctx context.Context, a *engineAttempt, phase target.Phase, err error) {
	switch {
	case err == nil && phase != target.PhasePrefill:
		gen.gateway.crashes.answered(gen.part)
	case errors.Is(err, target.ErrIncomplete) && !endedByGateway(err) && ctx.Err() == nil && a.chunks <= hardlyBegun:
		gen.gateway.crashes.brokeOff(ctx, a.target, gen.gateway.fleet.bootOf(a.target.ID), gen.part.id())
	}
}

// checkBlocked returns why a call that has not run must not be sent, or nil.
func (s *serviceCall) checkBlocked() error {
	wait, rejected := s.gateway.crashes.rejects(s.part)
	if !rejected || s.execution.state != result.NotRun {
		return nil
	}
	return result.New(result.RequestBlocked, "the call is blocked").Retry(wait)
}

// learnOfTarget takes the outcome of an attempt as evidence for or against the call.
func (s *serviceCall) learnOfTarget(ctx context.Context, t target.Target, err error) {
	switch {
	case err == nil:
		s.gateway.crashes.answered(s.part)
	case errors.Is(err, target.ErrIncomplete) && ctx.Err() == nil:
		s.gateway.crashes.brokeOff(ctx, t, s.gateway.fleet.bootOf(t.ID), s.part.id())
	}
}

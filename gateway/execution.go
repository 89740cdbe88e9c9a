package gateway

import (
	"errors"

	"zinniapin/result"
	"zinniapin/target"
)

// execution is what is known about whether a request ran. It is computed from
// the ends of the request's attempts only: it rises from not run over unknown
// to ran and never falls, so that a refusal that says "not run" is true.
type execution struct {
	state result.Execution
}

// record notes the end of an attempt: its error and whether the target had
// answered any part.
func (e *execution) record(err error, answered bool) {
	e.state = max(e.state, attemptExecution(err, answered))
}

// attemptExecution is what the end of one attempt tells.
func attemptExecution(err error, answered bool) result.Execution {
	switch {
	case err == nil, answered:
		return result.Ran
	case errors.Is(err, target.ErrNotSent), errors.Is(err, target.ErrRefused):
		return result.NotRun
	default:
		return result.Unknown
	}
}

// stamp returns err as a result error that carries the execution state.
func (e *execution) stamp(err error) *result.Error {
	found := result.Of(err)
	if found == nil {
		found = result.Wrap(err, result.Internal, "the request failed")
	}
	stamped := *found
	stamped.Execution = e.state
	return &stamped
}

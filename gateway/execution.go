package gateway

import (
	"errors"

	"zinniapin/result"
	"zinniapin/target"
)

// execution tracks whether a request has run at a target. Its state depends only on the
// outcomes of the request's attempts and never goes back: it moves from not run to unknown
// to ran. An error with the state "not run" is therefore reliable.
type execution struct {
	state result.Execution
}

// record updates the state with the outcome of an attempt: its error, nil on success, and
// whether the target had returned any part of an answer.
func (e *execution) record(err error, answered bool) {
	e.state = max(e.state, attemptExecution(err, answered))
}

// attemptExecution returns whether an attempt with the given outcome ran at the target. An
// attempt that failed without an answer did not run if it was not sent or was refused;
// after any other error it is unknown.
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

// attachTo returns err as a result error that carries the execution state.
func (e *execution) attachTo(err error) *result.Error {
	found := result.Of(err)
	if found == nil {
		found = result.Wrap(err, result.Internal, "the request failed")
	}
	stamped := *found
	stamped.Execution = e.state
	return &stamped
}

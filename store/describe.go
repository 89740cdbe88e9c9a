package store

import (
	"errors"
	"time"

	"github.com/gravitational/trace"

	"zinniapin/result"
)

// RetryAfter is when to come back after the object API failed.
const RetryAfter = 2 * time.Second

// Describe returns err as a numbered result where it holds one of this
// package's errors, and err itself otherwise.
func Describe(err error) error {
	switch {
	case err == nil:
		return nil
	case result.Of(err) != nil:
		return trace.Wrap(err)
	case errors.Is(err, ErrUnavailable):
		return result.Wrap(err, result.StoreUnavailable, "the object API cannot be reached").Retry(RetryAfter)
	case errors.Is(err, ErrUnknown):
		return unknown(err)
	case errors.Is(err, ErrConflict):
		return result.Wrap(err, result.StoreConflict, "another writer came first")
	case errors.Is(err, ErrNotFound):
		return result.Wrap(err, result.StoreNotFound, "the object does not exist")
	case errors.Is(err, ErrTooLarge):
		return result.Wrap(err, result.StoreTooLarge, "the value is larger than %d bytes", MaxValueBytes)
	default:
		return trace.Wrap(err)
	}
}

// unknown returns the result of an update whose answer was lost.
func unknown(err error) error {
	e := result.Wrap(err, result.StoreUnknown, "the update may or may not have taken effect; repeat it to find out")
	e.Execution = result.Unknown
	return e
}

package store

import (
	"errors"
	"time"

	"github.com/gravitational/trace"

	"zinniapin/result"
)

// RetryAfter is the time after which callers are told to retry when the object API is
// unavailable.
const RetryAfter = 2 * time.Second

// Describe wraps an error of this package as the result with the matching code. It
// passes on other errors, and errors that are already results.
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

// unknown returns the result for an update whose answer was lost.
func unknown(err error) error {
	e := result.Wrap(err, result.StoreUnknown, "the update may or may not have taken effect; repeat it to find out")
	e.Execution = result.Unknown
	return e
}

// Package store declares the interfaces of the platform's object API: versioned objects
// with conditional updates and watches. All state that the hosts must agree on or that
// must be durable is kept there and changed by conditional updates.
package store

import (
	"context"
	"errors"
)

// Errors of a Store. Callers test for them with errors.Is.
var (
	// ErrNotFound means that the object does not exist.
	ErrNotFound = errors.New("store: object not found")
	// ErrConflict means that the condition of an update did not hold; the
	// update took no effect.
	ErrConflict = errors.New("store: version conflict")
	// ErrUnavailable means that the call was refused or never sent; an update
	// took no effect and never will.
	ErrUnavailable = errors.New("store: unavailable")
	// ErrUnknown means that no usable answer came; an update may have taken effect, or
	// may yet do so.
	ErrUnknown = errors.New("store: outcome unknown")
	// ErrTooLarge means that the value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("store: value too large")
)

// MaxValueBytes is the largest size of a value in the object API, in bytes.
const MaxValueBytes = 1 << 20

// Version is the version of one object. It rises with each update, and goes on rising
// when a deleted object is created again, so no two values have the same version.
type Version uint64

// Absent is the version to pass if the object must not exist yet.
const Absent Version = 0

// Object is a value with its version.
type Object struct {
	Key     string
	Version Version
	Value   []byte
}

// Purpose is the purpose of a call, which determines its priority in the budget of
// calls.
type Purpose int

// Purposes of calls, highest priority first.
const (
	PurposeClaim         Purpose = iota // claims of requests that must run at most once
	PurposeConfiguration                // the configuration
	PurposeOrder                        // orders of targets and the records around them
	PurposeUsage                        // usage windows and reports
	PurposeStatus                       // status reads and clean-up
)

// Store is the object API. Implementations are safe for concurrent use.
type Store interface {
	// Get returns the object, or ErrNotFound.
	Get(ctx context.Context, p Purpose, key string) (Object, error)
	// Put writes the value if the object's version is still the given one
	// (Absent: if it does not exist) and returns the new version.
	Put(ctx context.Context, p Purpose, key string, value []byte, ifVersion Version) (Version, error)
	// Delete removes the object if its version is still the given one.
	Delete(ctx context.Context, p Purpose, key string, ifVersion Version) error
	// List returns the objects whose keys begin with prefix, in key order.
	List(ctx context.Context, p Purpose, prefix string) ([]Object, error)
	// Watch waits until the object's version exceeds after and returns it.
	// It returns ErrNotFound if the wait ends without a newer version.
	Watch(ctx context.Context, p Purpose, key string, after Version) (Object, error)
}

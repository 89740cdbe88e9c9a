// Package store is the seam to the platform's object API: versioned objects
// with conditional updates and watches. Whatever must be agreed or kept is
// decided by a conditional update here.
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
	// ErrUnknown means that no answer came; an update may have taken effect,
	// or may yet do so.
	ErrUnknown = errors.New("store: outcome unknown")
	// ErrTooLarge means that the value exceeds MaxValueBytes.
	ErrTooLarge = errors.New("store: value too large")
)

// MaxValueBytes is the largest value that the object API holds, in bytes.
const MaxValueBytes = 1 << 20

// Version counts the updates of one object. It rises with each update and
// keeps rising after a delete, so a version never names two values.
type Version uint64

// Absent is the version to give when the object must not exist yet.
const Absent Version = 0

// Object is a value with its version.
type Object struct {
	Key     string
	Version Version
	Value   []byte
}

// Purpose is what a call is for. It selects the priority and the budget of
// the call.
type Purpose int

// Purposes of calls, highest priority first.
const (
	PurposeClaim Purpose = iota
	PurposeConfiguration
	PurposeOrder
	PurposeUsage
	PurposeStatus
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
	// It returns ErrNotFound when the wait ends without news.
	Watch(ctx context.Context, p Purpose, key string, after Version) (Object, error)
}

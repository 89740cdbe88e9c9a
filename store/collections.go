package store

import (
	"context"
	"errors"
	"time"
)

// ErrCompacted means that the store has discarded the changes after a revision, so
// that the collection must be listed again.
var ErrCompacted = errors.New("store: history compacted")

// Member is an object of a collection.
type Member struct {
	Name string
	// Revision is the store's revision at the object's last change, with the era of the answer that
	// brought it (see EraOf).
	Revision uint64
	// WriterStartedMillis is when the process that wrote the object started, in
	// milliseconds of Unix time; 0 if the object does not contain it.
	WriterStartedMillis int64
	Value               []byte // as written
	// Err tells why the object cannot be read; nil if it can. An odd object has no Value, but a name.
	Err error
}

// Listing is the contents of a collection as of one revision of the store.
type Listing struct {
	Members  []Member
	Revision uint64
}

// Change is the new state of a member, or its deletion.
type Change struct {
	Member  Member
	Deleted bool
}

// Changes are the changes of a collection up to one revision of the store.
type Changes struct {
	Changes  []Change
	Revision uint64
}

// Collections is an object API with collections and a single revision counter for all
// of them. Its errors are those of Store, and ErrCompacted. Implementations are safe
// for concurrent use.
type Collections interface {
	// List returns all members of a collection.
	List(ctx context.Context, collection string) (Listing, error)
	// Watch waits for changes after a revision, at most for the given time. If there
	// are none in that time, it returns no changes and no error. If the era of the revision is over,
	// it returns ErrCompacted.
	Watch(ctx context.Context, collection string, after uint64, wait time.Duration) (Changes, error)
	// Get returns one member, or ErrNotFound.
	Get(ctx context.Context, collection, name string) (Member, error)
	// Create adds a member and returns it, or ErrConflict when it exists.
	Create(ctx context.Context, collection, name string, value []byte) (Member, error)
	// Replace writes a member if its revision is still the given one and returns it,
	// or ErrConflict. If the era of the revision is over, it returns ErrUnknown: the store may have
	// given out the revision again.
	Replace(ctx context.Context, collection, name string, revision uint64, value []byte) (Member, error)
	// Delete removes a member if its revision is still the given one. Its errors are those of Replace, and
	// ErrNotFound.
	Delete(ctx context.Context, collection, name string, revision uint64) error
}

package configuration

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"zinniapin/contract"
	"zinniapin/store"
)

// UnreferencedKey is the key of the list of parts to which the root does not refer any more.
const UnreferencedKey = "config/old"

const (
	// maxUnreferenced limits the list of unreferenced parts. The oldest entries beyond it are
	// dropped, and their parts stay in the store.
	maxUnreferenced = 4096
	// maxDeletes limits the parts deleted after one change.
	maxDeletes = 8
	// collectAttempts limits the attempts at an update of the list that conflicts with another.
	collectAttempts = 3
)

// retention is how long unreferenced parts are kept. Both the number of revisions and the age
// must be reached before a part is deleted.
type retention struct {
	revisions contract.Revision
	age       time.Duration
}

// defaultRetention is the retention that CollectGarbage applies. It must outlast readers: a
// reader of a root has read all its parts within 66 s or has failed, with at most 257 reads, 8
// at a time, of at most 2 s each.
var defaultRetention = retention{revisions: recentChanges, age: time.Hour}

// unreferencedPart is an entry of the list: a part to which the root of a revision did not refer.
type unreferencedPart struct {
	Part     Digest            `json:"part"`
	Version  store.Version     `json:"version"` // of the part, read before the root of Revision
	Revision contract.Revision `json:"revision"`
	UnixMS   int64             `json:"unix_ms"`
}

// CollectGarbage adds the parts that an accepted change made unreferenced to the list, and
// deletes parts that have been in the list for the retention time. before is the configuration
// on which the change was based. If it fails, parts remain in the store, which does no harm.
//
// It never deletes a part to which the accepted root refers or a later one will refer. A writer
// reads the root, then writes its parts, each with a new version, and then updates the root on
// condition that it is still the one read. A part is listed with a version that was read before
// a root of revision r that does not refer to it. It is deleted on condition that it still has
// that version, once a later root does not refer to it either. A writer that wrote the part
// before its version was read for the list has read a root of revision r or older, so its
// update of the root fails, since the root has changed. A writer that wrote the part later
// changed the version, so the delete fails.
func CollectGarbage(ctx context.Context, s store.Store, before *Bundle, now time.Time) error {
	return defaultRetention.collect(ctx, s, before, now)
}

// collect is CollectGarbage with the given retention.
func (r retention) collect(ctx context.Context, s store.Store, before *Bundle, now time.Time) error {
	versions, root, err := findUnreferenced(ctx, s, before)
	if err != nil {
		return trace.Wrap(err)
	}
	for range collectAttempts {
		err = r.updateList(ctx, s, versions, root, now)
		if !errors.Is(err, store.ErrConflict) {
			break
		}
	}
	return trace.Wrap(err)
}

// findUnreferenced returns the versions of the parts to which before refers and the accepted
// root does not. It returns that root too, which it reads after the versions.
func findUnreferenced(ctx context.Context, s store.Store, before *Bundle) (map[Digest]store.Version, *Root, error) {
	newest, err := readRoot(ctx, s)
	if err != nil {
		return nil, nil, err
	}
	versions := map[Digest]store.Version{}
	referenced := newest.referenced()
	for _, d := range before.Root.digests() {
		if referenced[d] {
			continue
		}
		object, err := s.Get(ctx, store.PurposeConfiguration, d.key())
		if errors.Is(err, store.ErrNotFound) {
			continue
		}
		if err != nil {
			return nil, nil, trace.Wrap(err)
		}
		versions[d] = object.Version
	}
	root, err := readRoot(ctx, s)
	if err != nil {
		return nil, nil, err
	}
	for d := range root.referenced() {
		delete(versions, d)
	}
	return versions, root, nil
}

// readRoot reads the root object without its parts.
func readRoot(ctx context.Context, s store.Store) (*Root, error) {
	object, err := s.Get(ctx, store.PurposeConfiguration, RootKey)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return decodeRoot(object.Value)
}

// referenced returns the digests of all parts as a set.
func (r *Root) referenced() map[Digest]bool {
	set := make(map[Digest]bool, len(r.Buckets)+1)
	for _, d := range r.digests() {
		set[d] = true
	}
	return set
}

// updateList deletes parts in the list of unreferenced parts whose retention is over, and adds
// the given ones to the list. It drops the oldest entries beyond maxUnreferenced. It returns
// store.ErrConflict if the list was updated at the same time.
func (r retention) updateList(ctx context.Context, s store.Store, versions map[Digest]store.Version, root *Root, now time.Time) error {
	listed, version, err := readList(ctx, s)
	if err != nil {
		return err
	}
	remaining := r.deleteDue(ctx, s, listed, root, now)
	updated := make([]unreferencedPart, 0, len(remaining)+len(versions))
	for _, u := range remaining {
		if _, again := versions[u.Part]; !again {
			updated = append(updated, u)
		}
	}
	for d, v := range versions {
		updated = append(updated, unreferencedPart{d, v, root.Revision, now.UnixMilli()})
	}
	updated = updated[max(0, len(updated)-maxUnreferenced):]
	raw, err := json.Marshal(updated)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = s.Put(ctx, store.PurposeConfiguration, UnreferencedKey, raw, version)
	return trace.Wrap(err)
}

// readList reads the list of unreferenced parts, oldest first, and its version.
func readList(ctx context.Context, s store.Store) ([]unreferencedPart, store.Version, error) {
	object, err := s.Get(ctx, store.PurposeConfiguration, UnreferencedKey)
	if errors.Is(err, store.ErrNotFound) {
		return nil, store.Absent, nil
	}
	if err != nil {
		return nil, store.Absent, trace.Wrap(err)
	}
	var listed []unreferencedPart
	if err := json.Unmarshal(object.Value, &listed); err != nil {
		return nil, object.Version, nil // a list that cannot be decoded is replaced by a new one
	}
	return listed, object.Version, nil
}

// deleteDue deletes listed parts whose retention is over, at most maxDeletes, and returns the
// entries that remain. It drops the entries of parts to which the root refers again.
func (r retention) deleteDue(ctx context.Context, s store.Store, listed []unreferencedPart, root *Root, now time.Time) []unreferencedPart {
	referenced := root.referenced()
	var remaining []unreferencedPart
	deletes := 0
	for _, u := range listed {
		if referenced[u.Part] {
			continue
		}
		if deletes == maxDeletes || !r.due(u, root, now) {
			remaining = append(remaining, u)
			continue
		}
		deletes++
		err := s.Delete(ctx, store.PurposeConfiguration, u.Part.key(), u.Version)
		if err != nil && !errors.Is(err, store.ErrNotFound) && !errors.Is(err, store.ErrConflict) {
			remaining = append(remaining, u)
		}
	}
	return remaining
}

// due reports whether a listed part has been kept long enough to be deleted.
func (r retention) due(u unreferencedPart, root *Root, now time.Time) bool {
	return root.Revision >= u.Revision+r.revisions && now.Sub(time.UnixMilli(u.UnixMS)) >= r.age
}

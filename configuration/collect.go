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

// UnreferencedKey is the key of the list of parts that the root no longer names.
const UnreferencedKey = "config/old"

const (
	// maxOld bounds the list of old parts; the oldest are forgotten first.
	maxOld = 4096
	// maxDeletes bounds the parts deleted after one change.
	maxDeletes = 8
	// collectAttempts bounds how often a lost race for the list is repeated.
	collectAttempts = 3
)

// retention is how long parts are kept that the root no longer names. Both
// bounds must have passed.
type retention struct {
	revisions contract.Revision
	age       time.Duration
}

// kept is the retention in use. A reader of a root has all its parts within 66
// seconds or gives up: 257 reads, 8 at a time, of 2 s each at most.
var kept = retention{revisions: recentChanges, age: time.Hour}

// oldPart is a part that no root named from a revision on.
type oldPart struct {
	Part     Digest            `json:"part"`
	Version  store.Version     `json:"version"` // read before the revision was
	Revision contract.Revision `json:"revision"`
	UnixMS   int64             `json:"unix_ms"`
}

// CollectGarbage notes the parts that an accepted change left behind, and deletes
// some of those that were noted long ago. The caller's change was made against
// before. An error leaves parts behind and harms nothing.
//
// No part is deleted that a root names or will name. A writer reads the root,
// then writes or renews its parts, then updates the root if it is still the
// one read. A part is noted with a version read before a root of revision r
// that does not name it, and deleted in that version once a later root does
// not name it either. A writer that renewed the part before it was noted read
// a root of at most r, and its update fails since the root has moved on; one
// that renewed it later changed the version, and the delete fails.
func CollectGarbage(ctx context.Context, s store.Store, before *Bundle, now time.Time) error {
	return kept.collect(ctx, s, before, now)
}

// collect is Collect with a retention.
func (k retention) collect(ctx context.Context, s store.Store, before *Bundle, now time.Time) error {
	versions, root, err := left(ctx, s, before)
	if err != nil {
		return trace.Wrap(err)
	}
	for range collectAttempts {
		err = k.note(ctx, s, versions, root, now)
		if !errors.Is(err, store.ErrConflict) {
			break
		}
	}
	return trace.Wrap(err)
}

// left returns the versions of the parts that before names and the root, which
// is read after them, does not.
func left(ctx context.Context, s store.Store, before *Bundle) (map[Digest]store.Version, *Root, error) {
	newest, err := readRoot(ctx, s)
	if err != nil {
		return nil, nil, err
	}
	versions := map[Digest]store.Version{}
	named := newest.named()
	for _, d := range before.Root.digests() {
		if named[d] {
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
	for d := range root.named() {
		delete(versions, d)
	}
	return versions, root, nil
}

// readRoot reads the root alone.
func readRoot(ctx context.Context, s store.Store) (*Root, error) {
	object, err := s.Get(ctx, store.PurposeConfiguration, RootKey)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return decodeRoot(object.Value)
}

// named returns the digests of all parts as a set.
func (r *Root) named() map[Digest]bool {
	set := make(map[Digest]bool, len(r.Buckets)+1)
	for _, d := range r.digests() {
		set[d] = true
	}
	return set
}

// note deletes old parts whose time has come and notes new ones. A lost race
// for the list is a store.ErrConflict.
func (k retention) note(ctx context.Context, s store.Store, versions map[Digest]store.Version, root *Root, now time.Time) error {
	old, version, err := readOld(ctx, s)
	if err != nil {
		return err
	}
	remaining := k.deleteDue(ctx, s, old, root, now)
	fresh := make([]oldPart, 0, len(remaining)+len(versions))
	for _, o := range remaining {
		if _, again := versions[o.Part]; !again {
			fresh = append(fresh, o)
		}
	}
	for d, v := range versions {
		fresh = append(fresh, oldPart{d, v, root.Revision, now.UnixMilli()})
	}
	fresh = fresh[max(0, len(fresh)-maxOld):]
	raw, err := json.Marshal(fresh)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = s.Put(ctx, store.PurposeConfiguration, UnreferencedKey, raw, version)
	return trace.Wrap(err)
}

// readOld reads the list of old parts, oldest first.
func readOld(ctx context.Context, s store.Store) ([]oldPart, store.Version, error) {
	object, err := s.Get(ctx, store.PurposeConfiguration, UnreferencedKey)
	if errors.Is(err, store.ErrNotFound) {
		return nil, store.Absent, nil
	}
	if err != nil {
		return nil, store.Absent, trace.Wrap(err)
	}
	var old []oldPart
	if err := json.Unmarshal(object.Value, &old); err != nil {
		return nil, object.Version, nil // a damaged list is begun anew
	}
	return old, object.Version, nil
}

// deleteDue deletes parts whose time has come and returns the others.
func (k retention) deleteDue(ctx context.Context, s store.Store, old []oldPart, root *Root, now time.Time) []oldPart {
	named := root.named()
	var remaining []oldPart
	deletes := 0
	for _, o := range old {
		if named[o.Part] {
			continue
		}
		if deletes == maxDeletes || !k.due(o, root, now) {
			remaining = append(remaining, o)
			continue
		}
		deletes++
		err := s.Delete(ctx, store.PurposeConfiguration, o.Part.key(), o.Version)
		if err != nil && !errors.Is(err, store.ErrNotFound) && !errors.Is(err, store.ErrConflict) {
			remaining = append(remaining, o)
		}
	}
	return remaining
}

// due tells whether the time of an old part has come.
func (k retention) due(o oldPart, root *Root, now time.Time) bool {
	return root.Revision >= o.Revision+k.revisions && now.Sub(time.UnixMilli(o.UnixMS)) >= k.age
}

package configuration

import (
	"context"
	"errors"
	"maps"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"zinniapin/store"
)

// Load reads the accepted configuration and the version of its root object. It reads only the
// parts that have does not contain; have may be nil. It returns store.ErrNotFound if no
// configuration has been accepted yet.
func Load(ctx context.Context, s store.Store, have *Bundle) (*Bundle, store.Version, error) {
	root, err := s.Get(ctx, store.PurposeConfiguration, RootKey)
	if err != nil {
		return nil, store.Absent, trace.Wrap(err)
	}
	b, err := Complete(ctx, s, root.Value, have)
	return b, root.Version, trace.Wrap(err)
}

// Complete reads the parts of a root object that are not in have, an earlier configuration or nil,
// and joins all parts.
func Complete(ctx context.Context, s store.Store, rawRoot []byte, have *Bundle) (*Bundle, error) {
	parts := Parts{}
	if have != nil {
		parts = maps.Clone(have.Parts)
	}
	missing, err := Missing(rawRoot, parts)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := readParts(ctx, s, missing, parts); err != nil {
		return nil, trace.Wrap(err)
	}
	return Join(rawRoot, parts)
}

// parallelReads limits the concurrent reads of parts.
const parallelReads = 8

// readParts reads the missing parts from the store and adds them to parts.
func readParts(ctx context.Context, s store.Store, missing []Digest, parts Parts) error {
	read := make([]Part, len(missing))
	readers, ctx := errgroup.WithContext(ctx)
	readers.SetLimit(parallelReads)
	for i, d := range missing {
		readers.Go(func() error {
			object, err := s.Get(ctx, store.PurposeConfiguration, d.key())
			if err != nil {
				return trace.Wrap(err)
			}
			read[i], err = checkedPart(d, object.Value)
			return err
		})
	}
	if err := readers.Wait(); err != nil {
		return err
	}
	for i, d := range missing {
		parts[d] = read[i]
	}
	return nil
}

// putAttempts limits the attempts to write a part that others write or delete at the same time.
const putAttempts = 8

// putPart stores a part. If it is stored already, putPart writes the same content again, so that
// it gets a new version and a garbage collection in progress does not delete it.
func putPart(ctx context.Context, s store.Store, part []byte) (Digest, error) {
	d := DigestOf(part)
	version := store.Absent
	var err error
	for range putAttempts {
		_, err = s.Put(ctx, store.PurposeConfiguration, d.key(), part, version)
		if !errors.Is(err, store.ErrConflict) {
			return d, trace.Wrap(err)
		}
		object, err := s.Get(ctx, store.PurposeConfiguration, d.key())
		if err != nil && !errors.Is(err, store.ErrNotFound) {
			return d, trace.Wrap(err)
		}
		version = object.Version
	}
	return d, trace.Wrap(err)
}

package configuration

import (
	"context"
	"errors"
	"maps"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"zinniapin/store"
)

// Load reads the accepted configuration, fetching only the parts that have
// does not hold; have may be nil. It returns store.ErrNotFound when none was
// ever accepted.
func Load(ctx context.Context, s store.Store, have *Bundle) (*Bundle, store.Version, error) {
	root, err := s.Get(ctx, store.PurposeConfiguration, RootKey)
	if err != nil {
		return nil, store.Absent, trace.Wrap(err)
	}
	b, err := Complete(ctx, s, root.Value, have)
	return b, root.Version, trace.Wrap(err)
}

// Complete fetches the parts of a root object that have does not hold.
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

// parallelReads bounds the reads of parts under way at once.
const parallelReads = 8

// readParts reads parts from the store into parts.
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
			read[i], err = partOf(d, object.Value)
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

// renewAttempts bounds how often a part that others write or delete at the
// same time is written.
const renewAttempts = 8

// putPart stores a part. One that is there already gets a new version with the
// same content, so that no collection begun before deletes it.
func putPart(ctx context.Context, s store.Store, part []byte) (Digest, error) {
	d := DigestOf(part)
	version := store.Absent
	var err error
	for range renewAttempts {
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

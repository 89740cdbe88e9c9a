package configuration

import (
	"context"
	"errors"

	"github.com/gravitational/trace"

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
	parts := map[Digest][]byte{}
	if have != nil {
		for d, part := range have.Parts {
			parts[d] = part
		}
	}
	missing, err := Missing(rawRoot, parts)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	for _, d := range missing {
		object, err := s.Get(ctx, store.PurposeConfiguration, d.key())
		if err != nil {
			return nil, trace.Wrap(err)
		}
		parts[d] = object.Value
	}
	return NewBundle(rawRoot, parts)
}

// putPart stores a part. A part that is there already is left alone, since
// its name is the digest of its content.
func putPart(ctx context.Context, s store.Store, part []byte) (Digest, error) {
	d := DigestOf(part)
	_, err := s.Put(ctx, store.PurposeConfiguration, d.key(), part, store.Absent)
	if errors.Is(err, store.ErrConflict) {
		return d, nil
	}
	return d, trace.Wrap(err)
}

package configuration

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"zinniapin/internal/standin/objects"
	"zinniapin/result"
	"zinniapin/store"
)

func TestPartKeepsContent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		plain := rapid.SliceOf(rapid.Byte()).Draw(rt, "content")
		part, err := checkedPart(DigestOf(plain), plain)
		if err != nil {
			rt.Fatal(err)
		}
		got, err := part.Bytes()
		if err != nil || string(got) != string(plain) || part.Size() != len(plain) {
			rt.Fatalf("got %q, %v", got, err)
		}
	})
}

// TestPartUnderWrongDigest checks that Join refuses an undamaged part under the digest of another.
func TestPartUnderWrongDigest(t *testing.T) {
	is := is.New(t)
	s := objects.New()
	acceptFirst(t, s)
	b, _, err := Load(context.Background(), s, nil)
	is.NoErr(err)
	fleet := b.Parts[b.Root.Fleet]
	mixed := Parts{}
	for d := range b.Parts {
		mixed[d] = fleet
	}
	_, err = Join(b.RawRoot, mixed)
	is.Equal(result.CodeOf(err), result.BadConfiguration)
}

// swappedStore is a store that answers reads of parts with other content.
type swappedStore struct {
	store.Store
}

// Get implements store.Store.
func (s swappedStore) Get(ctx context.Context, p store.Purpose, key string) (store.Object, error) {
	o, err := s.Store.Get(ctx, p, key)
	if key != RootKey {
		o.Value = []byte("[]")
	}
	return o, err
}

// TestLoadChecksParts checks that Load returns an error and no configuration if the store returns
// damaged parts or fails to return them.
func TestLoadChecksParts(t *testing.T) {
	is := is.New(t)
	s := objects.New()
	acceptFirst(t, s)
	b, _, err := Load(context.Background(), swappedStore{s}, nil)
	is.Equal(result.CodeOf(err), result.BadConfiguration)
	is.Equal(b, nil)
	s.SetFault(func(op objects.Operation, key string) objects.Verdict {
		if op == objects.Get && key != RootKey {
			return objects.Refuse
		}
		return objects.Pass
	})
	b, _, err = Load(context.Background(), s, nil)
	is.True(errors.Is(err, store.ErrUnavailable))
	is.Equal(b, nil)
}

package claim

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/internal/standin/objects"
	"zinniapin/result"
	"zinniapin/store"
)

// changedPut is a store whose first update gets no answer and is stored in a changed form.
type changedPut struct {
	store.Store
	change func(*record)
}

func (s *changedPut) Put(ctx context.Context, p store.Purpose, key string, value []byte, v store.Version) (store.Version, error) {
	if s.change == nil {
		return s.Store.Put(ctx, p, key, value, v)
	}
	r, err := decodeRecord(value)
	if err != nil {
		return store.Absent, err
	}
	s.change(&r)
	s.change = nil
	if value, err = r.encode(); err != nil {
		return store.Absent, err
	}
	if _, err := s.Store.Put(ctx, p, key, value, v); err != nil {
		return store.Absent, err
	}
	return store.Absent, store.ErrUnknown
}

// Guards against a ticket for a claim that is not the one in the store: a request may run only under the claim that all
// others find there.
func TestTicketIsForTheClaimThatIsStored(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*record)
		ticket bool
	}{
		{"as written", func(*record) {}, true},
		{"other request", func(r *record) { r.Digest = "00" }, false},
		{"other organisation", func(r *record) { r.Organisation = "other" }, false},
		{"other time", func(r *record) { r.Claimed = r.Claimed.Add(time.Second) }, false},
		{"orphaned", func(r *record) { r.Orphaned = true }, false},
		{"settled", func(r *record) { r.Settled = r.Claimed }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := &changedPut{objects.New(), c.change}
			r := NewStoreRegistry(s, Options{})
			got, err := r.Begin(context.Background(), testID, [32]byte{1})
			is.Equal(got.Ticket != nil, c.ticket)
			if !c.ticket {
				is.True(err != nil && result.CodeOf(err) == result.ClaimMismatch || got.State == Claimed)
			}
		})
	}
}

package httpstore_test

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/internal/standin/objects"
	"zinniapin/internal/standin/platform"
	"zinniapin/store"
	"zinniapin/store/httpstore"
)

// timeout bounds the calls of these tests.
const timeout = 2 * time.Second

// start starts a stand-in of the platform and returns it with a store connected to it.
func start(t *testing.T, limit time.Duration) (*platform.Server, *httpstore.Store) {
	t.Helper()
	p, err := platform.Start("127.0.0.1:0", platform.Options{})
	if err != nil {
		t.Fatal(err)
	}
	s := httpstore.New(p.URL(), limit)
	t.Cleanup(func() { s.Close(); p.Close() })
	return p, s
}

const key = "a key/with ? & %2F"

func TestConditionalUpdates(t *testing.T) {
	is := is.New(t)
	_, s := start(t, timeout)
	ctx, p := t.Context(), store.PurposeClaim
	_, err := s.Get(ctx, p, key)
	is.True(errors.Is(err, store.ErrNotFound))
	first, err := s.Put(ctx, p, key, []byte("one"), store.Absent)
	is.NoErr(err)
	_, err = s.Put(ctx, p, key, []byte("two"), store.Absent)
	is.True(errors.Is(err, store.ErrConflict))
	second, err := s.Put(ctx, p, key, nil, first)
	is.NoErr(err)
	is.True(second > first)
	_, err = s.Put(ctx, p, key, []byte("three"), first)
	is.True(errors.Is(err, store.ErrConflict))
	object, err := s.Get(ctx, p, key)
	is.NoErr(err)
	is.Equal(object, store.Object{Key: key, Version: second, Value: []byte{}})
	is.True(errors.Is(s.Delete(ctx, p, key, first), store.ErrConflict))
	is.NoErr(s.Delete(ctx, p, key, second))
	is.True(errors.Is(s.Delete(ctx, p, key, second), store.ErrNotFound))
	again, err := s.Put(ctx, p, key, []byte("four"), store.Absent)
	is.NoErr(err)
	is.True(again > second) // versions go on rising after a delete
}

func TestLargestValue(t *testing.T) {
	is := is.New(t)
	_, s := start(t, timeout)
	_, err := s.Put(t.Context(), store.PurposeUsage, "big", make([]byte, store.MaxValueBytes+1), store.Absent)
	is.True(errors.Is(err, store.ErrTooLarge))
	_, err = s.Put(t.Context(), store.PurposeUsage, "big", make([]byte, store.MaxValueBytes), store.Absent)
	is.NoErr(err)
	object, err := s.Get(t.Context(), store.PurposeUsage, "big")
	is.NoErr(err)
	is.Equal(len(object.Value), store.MaxValueBytes)
}

func TestListIsInOrderAndByPrefix(t *testing.T) {
	is := is.New(t)
	_, s := start(t, timeout)
	for _, k := range []string{"p/b", "q/a", "p/a"} {
		_, err := s.Put(t.Context(), store.PurposeOrder, k, []byte(k), store.Absent)
		is.NoErr(err)
	}
	found, err := s.List(t.Context(), store.PurposeOrder, "p/")
	is.NoErr(err)
	is.Equal(len(found), 2)
	is.Equal(string(found[0].Value), "p/a")
	is.Equal(found[1].Key, "p/b")
}

func TestWatchSeesTheNextVersion(t *testing.T) {
	is := is.New(t)
	_, s := start(t, timeout)
	first, err := s.Put(t.Context(), store.PurposeConfiguration, "root", []byte("1"), store.Absent)
	is.NoErr(err)
	seen := make(chan store.Object, 1)
	go func() {
		object, _ := s.Watch(t.Context(), store.PurposeConfiguration, "root", first)
		seen <- object
	}()
	_, err = s.Put(t.Context(), store.PurposeConfiguration, "root", []byte("2"), first)
	is.NoErr(err)
	is.Equal(string((<-seen).Value), "2")
}

// If the answer is lost after the update took effect, the error must be ErrUnknown and
// never ErrUnavailable, which would mean that nothing happened.
func TestLostAnswerIsUnknown(t *testing.T) {
	is := is.New(t)
	p, s := start(t, timeout)
	p.SetFaults(platform.Faults{LoseAnswers: 1})
	_, err := s.Put(t.Context(), store.PurposeClaim, "k", []byte("v"), store.Absent)
	is.True(errors.Is(err, store.ErrUnknown))
	is.True(!errors.Is(err, store.ErrUnavailable))
	object, err := s.Get(t.Context(), store.PurposeClaim, "k")
	is.NoErr(err)
	is.Equal(string(object.Value), "v")
	is.Equal(p.Objects.Calls()[store.PurposeClaim], 2) // one Put, not repeated, and one Get
}

// A refused call has no effect and fails with ErrUnavailable. One without an answer may
// have taken effect and fails with ErrUnknown.
func TestFaultsOfSingleCallsGiveTheirErrors(t *testing.T) {
	for verdict, want := range map[objects.Verdict]error{
		objects.Refuse:      store.ErrUnavailable,
		objects.LoseAnswer:  store.ErrUnknown,
		objects.LoseRequest: store.ErrUnknown,
		objects.Late:        store.ErrUnknown,
	} {
		is := is.New(t)
		p, s := start(t, timeout)
		p.Objects.SetFault(func(objects.Operation, string) objects.Verdict { return verdict })
		_, err := s.Put(t.Context(), store.PurposeClaim, "k", []byte("v"), store.Absent)
		is.True(errors.Is(err, want))
	}
}

func TestRefusedAndUnansweredCallsDiffer(t *testing.T) {
	is := is.New(t)
	p, s := start(t, 100*time.Millisecond)
	p.SetFaults(platform.Faults{Outage: true})
	is.True(errors.Is(s.Delete(t.Context(), store.PurposeOrder, "k", 1), store.ErrUnavailable))
	p.SetFaults(platform.Faults{Hang: true})
	_, err := s.Put(t.Context(), store.PurposeOrder, "k", nil, store.Absent)
	is.True(errors.Is(err, store.ErrUnknown))
	p.Close()
	_, err = s.Put(t.Context(), store.PurposeOrder, "k", nil, store.Absent)
	is.True(errors.Is(err, store.ErrUnavailable)) // nothing listens
}

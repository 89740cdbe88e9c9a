package authority

import (
	"context"
	"encoding/json"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/internal/standin/objects"
	"zinniapin/result"
	"zinniapin/store"
)

// Guards against sending an order that is not the one in the store: a record under the order's id counts for the update
// without an answer only if it agrees in each field.
func TestOrderIsSentOnlyAsItIsStored(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	for _, c := range []struct {
		name   string
		change func(*Record)
		sent   bool
	}{
		{"as written", func(*Record) {}, true},
		{"other payload", func(r *Record) { r.Open.Payload = "other" }, false},
		{"other fencing number", func(r *Record) { r.Open.Epoch-- }, false},
		{"other highest fencing number", func(r *Record) { r.Epoch++ }, false},
		{"other role", func(r *Record) { r.Open.Role = "prefill" }, false},
		{"ended", func(r *Record) { r.Open.Ended = true }, false},
		{"other last order", func(r *Record) { r.LastID = "b-1-1" }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			a := NewAgent("a", 1, Policy{})
			a.Step(now, Event{Kind: Start, Order: Order{Payload: "wanted", Role: "decode"}})
			opening := a.Step(now, Event{Kind: ReadDone})
			a.Step(now, Event{Kind: PutDone, CallResult: CallUnknown})
			a.Step(now, Event{Kind: PutDone, CallResult: CallConflict})
			stored := opening.Put.Record
			c.change(&stored)
			next := a.Step(now, Event{Kind: ReadDone, Found: Snapshot{Version: 1, Record: stored}})
			is.Equal(next.Kind == DoSend, c.sent)
			if !c.sent { // it opens the order anew, above the record that it found
				is.Equal(next.Kind, DoPut)
				is.Equal(next.Put.Version, store.Version(1))
				is.True(next.Put.Record.Epoch > stored.Epoch)
				is.True(next.Put.Record.Open.ID != stored.Open.ID)
			}
		})
	}
}

// Guards against telling an operator that an order was released in their name while its author, or another operator, closed
// it first.
func TestReleaseTellsWhoClosedTheOrder(t *testing.T) {
	open := Record{Epoch: 3, Open: Order{ID: "a-1-1", Author: "a", Epoch: 3}}
	released := func(by string) Record {
		r := open.closed(Released)
		r.ReleasedBy = by
		return r
	}
	for _, c := range []struct {
		name   string
		stored Record // what the store holds when the release gets no answer
		ours   bool
	}{
		{"this release", released("operator"), true},
		{"another operator", released("other"), false},
		{"the author", open.closed(Applied), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			api := objects.New()
			value, err := open.encode()
			is.NoErr(err)
			version, err := api.Put(ctx, store.PurposeOrder, Prefix+"engine/e", value, store.Absent)
			is.NoErr(err)
			objectsOf := &lostPut{Store: api, before: func() {
				value, _ := json.Marshal(c.stored) // has no value that cannot be encoded
				_, err := api.Put(ctx, store.PurposeOrder, Prefix+"engine/e", value, version)
				is.NoErr(err)
			}}
			x := NewExecutor(objectsOf, "operator", nil, Options{})
			defer x.Close()
			err = x.Release(ctx, "engine/e", "operator")
			if c.ours {
				is.NoErr(err)
				return
			}
			e := result.Of(err)
			is.True(e != nil)
			is.Equal(e.Code, result.NoOpenOrder)
		})
	}
}

// lostPut is a store whose first update gets no answer; another one takes effect in its place.
type lostPut struct {
	store.Store
	before func()
}

func (s *lostPut) Put(ctx context.Context, p store.Purpose, key string, value []byte, v store.Version) (store.Version, error) {
	if s.before != nil {
		s.before()
		s.before = nil
		return store.Absent, errors.Join(store.ErrUnknown)
	}
	return s.Store.Put(ctx, p, key, value, v)
}

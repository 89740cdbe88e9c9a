package configuration

import (
	"context"
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"zinniapin/contract"
	"zinniapin/internal/standin/objects"
	"zinniapin/result"
	"zinniapin/store"
)

// Guards against telling an operator that a change was accepted which is not in the store: a change that was accepted under
// the same id counts for a proposal only if it has the same content.
func TestAcceptedChangeIsTheOneProposed(t *testing.T) {
	larger := testContract("two")
	larger.Limits.Concurrency++
	fleet := testFleet()
	fleet.Pools = append(fleet.Pools, contract.Pool{Name: "other"})
	proposed := func() Proposal {
		return Proposal{ID: "second", Author: "a", Summary: "add two", Base: 1, Contracts: []*contract.Contract{testContract("two")}}
	}
	for _, c := range []struct {
		name   string
		change func(*Proposal)
		same   bool
	}{
		{"sent again", func(*Proposal) {}, true},
		{"other contract", func(p *Proposal) { p.Contracts = []*contract.Contract{larger} }, false},
		{"a contract more", func(p *Proposal) { p.Contracts = append(p.Contracts, testContract("three")) }, false},
		{"removal", func(p *Proposal) { p.Remove = []string{"one"} }, false},
		{"fleet", func(p *Proposal) { p.Fleet = fleet }, false},
		{"author", func(p *Proposal) { p.Author = "b" }, false},
		{"summary", func(p *Proposal) { p.Summary = "add others" }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			s := objects.New()
			acceptFirst(t, s)
			_, err := Accept(ctx, s, proposed(), testTime)
			is.NoErr(err)
			again := proposed()
			c.change(&again)
			revision, err := Accept(ctx, s, again, testTime)
			if c.same {
				is.NoErr(err)
				is.Equal(revision, contract.Revision(2))
				return
			}
			is.Equal(result.CodeOf(err), result.RevisionConflict)
		})
	}
}

// A root that an earlier build wrote names no content of its changes: a proposal that is sent again is then told by id,
// author and summary.
func TestChangeOfAnEarlierBuildIsRecognised(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := objects.New()
	acceptFirst(t, s)
	p := Proposal{ID: "second", Author: "a", Summary: "add two", Base: 1, Contracts: []*contract.Contract{testContract("two")}}
	_, err := Accept(ctx, s, p, testTime)
	is.NoErr(err)
	object, err := s.Get(ctx, store.PurposeConfiguration, RootKey)
	is.NoErr(err)
	var root map[string]any
	is.NoErr(json.Unmarshal(object.Value, &root))
	for _, change := range root["recent"].([]any) {
		delete(change.(map[string]any), "content")
	}
	value, err := json.Marshal(root)
	is.NoErr(err)
	_, err = s.Put(ctx, store.PurposeConfiguration, RootKey, value, object.Version)
	is.NoErr(err)
	revision, err := Accept(ctx, s, p, testTime)
	is.NoErr(err)
	is.Equal(revision, contract.Revision(2))
	p.Author = "b"
	_, err = Accept(ctx, s, p, testTime)
	is.Equal(result.CodeOf(err), result.RevisionConflict)
}

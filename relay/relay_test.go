package relay

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/configuration"
	"zinniapin/contract"
	"zinniapin/internal/standin/objects"
	"zinniapin/link"
	"zinniapin/link/memlink"
	"zinniapin/machine"
	"zinniapin/wire"
	"zinniapin/zone"
)

// contractsOf returns the contracts of n organisations with the given rate limit and two keys
// each.
func contractsOf(n int, rate float64) []*contract.Contract {
	all := make([]*contract.Contract, n)
	for i := range all {
		name := fmt.Sprintf("organisation-%05d", i)
		all[i] = &contract.Contract{Organisation: name,
			Keys:   []contract.Key{{Fingerprint: contract.Fingerprint(name + "-1")}, {Fingerprint: contract.Fingerprint(name + "-2")}},
			Limits: contract.Limits{RequestsPerSecond: rate, Concurrency: 8}}
	}
	return all
}

// accept stores a new revision with these contracts on top of base and returns its bundle.
func accept(t testing.TB, s *objects.Store, base contract.Revision, contracts []*contract.Contract) *configuration.Bundle {
	p := configuration.Proposal{ID: fmt.Sprint(base), Base: base, Contracts: contracts}
	if base == 0 {
		p.Fleet = &contract.Fleet{Zones: []zone.Zone{{Name: "riga-a", Region: "baltic"}}}
	}
	if _, err := configuration.Accept(context.Background(), s, p, time.Unix(0, 0)); err != nil {
		t.Fatal(err)
	}
	b, _, err := configuration.Load(context.Background(), s, nil)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// linkTo returns a link to a process that serves the configuration of a replica.
func linkTo(t testing.TB, h *Replica) link.Link {
	fabric := memlink.NewFabric()
	server := machine.Process{Host: "server", Role: machine.Controller, Incarnation: 1}
	serve := link.HandlerFunc(func(_ context.Context, _ link.Link, q *wire.Envelope) (*wire.Envelope, error) {
		return &wire.Envelope{Body: &wire.Envelope_ConfigReply{ConfigReply: h.Serve(q.GetConfigRequest())}}, nil
	})
	if _, _, err := fabric.Network(server).Listen("a", serve, func(link.Link) {}); err != nil {
		t.Fatal(err)
	}
	l, err := fabric.Network(machine.Process{Host: "client"}).Dial(context.Background(), "a", nil)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// TestFetchNeverGoesBack checks a first fetch that takes several replies, a fetch after one
// contract has changed, and that neither an outdated peer nor an outdated bundle replaces a
// newer revision.
func TestFetchNeverGoesBack(t *testing.T) {
	is := is.New(t)
	s := objects.New()
	first := accept(t, s, 0, contractsOf(16_000, 10))
	second := accept(t, s, 1, contractsOf(1, 20))
	peer, stale, replica := &Replica{}, &Replica{}, &Replica{}
	_, err := stale.Apply(first)
	is.NoErr(err)
	_, err = peer.Apply(first)
	is.NoErr(err)
	got, err := replica.Fetch(context.Background(), linkTo(t, peer))
	is.NoErr(err)
	is.Equal(len(got.Contracts), 16_000)
	_, err = peer.Apply(second)
	is.NoErr(err)
	reply := peer.Serve(&wire.ConfigRequest{HaveRevision: 1})
	is.True(len(reply.Parts) > 0)
	got, err = replica.Fetch(context.Background(), linkTo(t, peer))
	is.NoErr(err)
	is.Equal(got.Revision, contract.Revision(2))
	is.Equal(got.Contracts["organisation-00000"].Limits.RequestsPerSecond, 20.0)
	got, err = replica.Fetch(context.Background(), linkTo(t, stale))
	is.NoErr(err)
	is.Equal(got, nil)
	got, err = replica.Apply(first)
	is.NoErr(err)
	is.Equal(got, nil)
	is.Equal(replica.Revision(), contract.Revision(2))
}

// TestConfirmationsOnlyRise checks that a late confirmation of an older revision does not
// count for the revision in force.
func TestConfirmationsOnlyRise(t *testing.T) {
	is := is.New(t)
	s := objects.New()
	first := accept(t, s, 0, contractsOf(1, 10))
	h := &Replica{}
	_, err := h.Apply(first)
	is.NoErr(err)
	h.Confirm(1, time.Unix(10, 0))
	is.Equal(h.ConfirmedAt(), time.Unix(10, 0))
	h.Confirm(2, time.Unix(20, 0))
	is.True(h.ConfirmedAt().IsZero()) // revision 2 is newer than the one in force
	h.Confirm(1, time.Unix(30, 0))
	is.True(h.ConfirmedAt().IsZero()) // nor after a stale read of the store
}

// BenchmarkOneChangeAmong16000 measures how long it takes to fetch and apply a change of one
// contract among 16,000.
func BenchmarkOneChangeAmong16000(b *testing.B) {
	s := objects.New()
	first := accept(b, s, 0, contractsOf(16_000, 10))
	second := accept(b, s, 1, contractsOf(1, 20))
	peer := &Replica{}
	if _, err := peer.Apply(second); err != nil {
		b.Fatal(err)
	}
	l := linkTo(b, peer)
	for b.Loop() {
		b.StopTimer()
		h := &Replica{}
		if _, err := h.Apply(first); err != nil {
			b.Fatal(err)
		}
		b.StartTimer()
		if got, err := h.Fetch(context.Background(), l); err != nil || got == nil {
			b.Fatal(err)
		}
	}
}

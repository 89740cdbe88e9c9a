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

// contractsOf returns n contracts.
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

// accept accepts contracts and returns the bundle.
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

// linkTo returns a link to a process that serves a holder.
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

// TestFetchNeverGoesBack covers a first fetch in several replies, a change of
// one contract and a stale peer.
func TestFetchNeverGoesBack(t *testing.T) {
	is := is.New(t)
	s := objects.New()
	first := accept(t, s, 0, contractsOf(16_000, 10))
	second := accept(t, s, 1, contractsOf(1, 20))
	peer, stale, holder := &Replica{}, &Replica{}, &Replica{}
	_, err := stale.Apply(first)
	is.NoErr(err)
	_, err = peer.Apply(first)
	is.NoErr(err)
	got, err := holder.Fetch(context.Background(), linkTo(t, peer))
	is.NoErr(err)
	is.Equal(len(got.Contracts), 16_000)
	_, err = peer.Apply(second)
	is.NoErr(err)
	reply := peer.Serve(&wire.ConfigRequest{HaveRevision: 1})
	is.True(len(reply.Parts) > 0)
	got, err = holder.Fetch(context.Background(), linkTo(t, peer))
	is.NoErr(err)
	is.Equal(got.Revision, contract.Revision(2))
	is.Equal(got.Contracts["organisation-00000"].Limits.RequestsPerSecond, 20.0)
	got, err = holder.Fetch(context.Background(), linkTo(t, stale))
	is.NoErr(err)
	is.Equal(got, nil)
	got, err = holder.Apply(first)
	is.NoErr(err)
	is.Equal(got, nil)
	is.Equal(holder.Revision(), contract.Revision(2))
}

// TestConfirmationsOnlyRise covers an old word of the store that comes late.
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
	is.True(h.ConfirmedAt().IsZero()) // a newer one exists
	h.Confirm(1, time.Unix(30, 0))
	is.True(h.ConfirmedAt().IsZero()) // a stale read does not change that
}

// BenchmarkOneChangeAmong16000 measures the time from a peer's word of one
// changed contract among 16,000 to the new snapshot.
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

package relay

import (
	"context"
	"testing"

	"zinniapin/internal/standin/objects"
)

// BenchmarkAllOf16000 measures a first fetch of 16,000 contracts.
func BenchmarkAllOf16000(b *testing.B) {
	peer := &Replica{}
	if _, err := peer.Apply(accept(b, objects.New(), 0, contractsOf(16_000, 10))); err != nil {
		b.Fatal(err)
	}
	l := linkTo(b, peer)
	b.ReportAllocs()
	for b.Loop() {
		h := &Replica{}
		if got, err := h.Fetch(context.Background(), l); err != nil || got == nil {
			b.Fatal(err)
		}
	}
}

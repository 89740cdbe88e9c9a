package relay

import (
	"testing"

	"github.com/matryer/is"

	"zinniapin/contract"
	"zinniapin/internal/standin/objects"
)

// TestChangeSharesTheRest checks that a change of one contract reuses all others, including
// those of the same bucket, and does not modify the previous snapshot.
func TestChangeSharesTheRest(t *testing.T) {
	is := is.New(t)
	s := objects.New()
	first := accept(t, s, 0, contractsOf(2_000, 10))
	second := accept(t, s, 1, contractsOf(1, 20))
	h := &Replica{}
	before, err := h.Apply(first)
	is.NoErr(err)
	after, err := h.Apply(second)
	is.NoErr(err)
	is.Equal(len(after.Contracts), 2_000)
	for name, c := range after.Contracts {
		is.Equal(c == before.Contracts[name], name != "organisation-00000")
		owner, err := after.Authenticate(contract.Fingerprint(name + "-2"))
		is.NoErr(err)
		is.Equal(owner, c)
	}
	is.Equal(before.Contracts["organisation-00000"].Limits.RequestsPerSecond, 10.0)
	is.Equal(after.Contracts["organisation-00000"].Limits.RequestsPerSecond, 20.0)
	decoded := 0
	for _, contracts := range h.decoded {
		for _, c := range contracts {
			is.Equal(c, after.Contracts[c.Organisation])
			decoded++
		}
	}
	is.Equal(decoded, 2_000)
}

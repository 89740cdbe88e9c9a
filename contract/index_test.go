package contract

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "zinniapin/internal/fixedseed"
)

// keyed returns a contract with keys of these numbers.
func keyed(organisation string, keys ...int) *Contract {
	c := &Contract{Organisation: organisation}
	for _, k := range keys {
		c.Keys = append(c.Keys, Key{Fingerprint: Fingerprint(fmt.Sprint(k)), Withdrawn: k%5 == 0})
	}
	return c
}

// owners returns whom each of the first keys belongs to, by Authenticate.
func owners(s *Snapshot, keys int) map[int]*Contract {
	found := map[int]*Contract{}
	for k := range keys {
		if c, err := s.Authenticate(Fingerprint(fmt.Sprint(k))); err == nil {
			found[k] = c
		}
	}
	return found
}

// TestNextEqualsNew makes random changes, among them keys that move between
// organisations: each snapshot must equal one made anew, and the snapshots
// before it must stay as they were.
func TestNextEqualsNew(t *testing.T) {
	const keys = 60
	rapid.Check(t, func(rt *rapid.T) {
		s := NewSnapshot(1, Fleet{}, nil)
		for round := range 8 {
			before := owners(s, keys)
			contracts := maps.Clone(s.Contracts)
			holder := rapid.SliceOfN(rapid.IntRange(0, 5), keys, keys).Draw(rt, "holders")
			var gone, come []*Contract
			for n := range 6 {
				name := fmt.Sprint("org-", n)
				if old := s.Contracts[name]; old != nil {
					gone = append(gone, old)
				}
				if rapid.Bool().Draw(rt, "removed") {
					continue
				}
				var own []int
				for k, h := range holder {
					if h == n {
						own = append(own, k)
					}
				}
				come = append(come, keyed(name, own...))
			}
			next := s.Next(Revision(round+2), Fleet{}, gone, come)
			fresh := NewSnapshot(next.Revision, Fleet{}, come)
			if !maps.Equal(next.Contracts, fresh.Contracts) || !maps.Equal(owners(next, keys), owners(fresh, keys)) {
				rt.Fatal("the next snapshot differs from one made anew")
			}
			if !maps.Equal(s.Contracts, contracts) || !maps.Equal(owners(s, keys), before) {
				rt.Fatal("a snapshot changed")
			}
			s = next
		}
	})
}

// TestOddFingerprints covers fingerprints that no key has.
func TestOddFingerprints(t *testing.T) {
	is := is.New(t)
	s := NewSnapshot(1, Fleet{}, []*Contract{keyed("one", 1)})
	for _, odd := range []string{"", "a", "zz", "\xff\xff", Fingerprint("1")[:63], Fingerprint("1") + "0"} {
		_, err := s.Authenticate(odd)
		is.True(err != nil)
	}
	_, err := s.Authenticate(Fingerprint("1"))
	is.NoErr(err)
}

// TestCompactKeepsContent checks that sharing changes no list, and that an
// append to a shared one leaves the others alone.
func TestCompactKeepsContent(t *testing.T) {
	is := is.New(t)
	var s Interner
	all := []*Contract{
		{Organisation: "a", Models: []string{"m", "n"}, Services: []string{}, Keys: []Key{{Label: "x"}}},
		{Organisation: "b", Models: []string{"m", "n"}, Keys: []Key{}},
		{Organisation: "c", Models: []string{"m\x00n"}},
	}
	got := s.Compact(all)
	is.True(slices.Equal(got[0].Models, []string{"m", "n"}))
	is.True(got[0].Services != nil && len(got[0].Services) == 0)
	is.True(got[1].Services == nil && got[1].Keys != nil)
	is.Equal(got[2].Models, []string{"m\x00n"})
	is.Equal(&got[0].Models[0], &got[1].Models[0]) // held once
	_ = append(got[0].Models, "o")
	is.Equal(got[1].Models, []string{"m", "n"})
}

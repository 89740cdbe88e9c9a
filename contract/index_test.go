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

// contractWithKeys returns a contract with the keys of the given numbers. Every fifth key is
// withdrawn.
func contractWithKeys(organisation string, keys ...int) *Contract {
	c := &Contract{Organisation: organisation}
	for _, k := range keys {
		c.Keys = append(c.Keys, Key{Fingerprint: Fingerprint(fmt.Sprint(k)), Withdrawn: k%5 == 0})
	}
	return c
}

// owners returns the contracts that Authenticate returns for keys 0 to keys-1, by key. It leaves
// out keys that are refused.
func owners(s *Snapshot, keys int) map[int]*Contract {
	found := map[int]*Contract{}
	for k := range keys {
		if c, err := s.Authenticate(Fingerprint(fmt.Sprint(k))); err == nil {
			found[k] = c
		}
	}
	return found
}

// TestNextEqualsNew checks that a snapshot made by Next equals one made by NewSnapshot and that
// Next does not modify the snapshot before. It makes random changes, some of which move keys
// between organisations.
func TestNextEqualsNew(t *testing.T) {
	const keys = 60
	rapid.Check(t, func(rt *rapid.T) {
		s := NewSnapshot(1, Fleet{}, nil)
		for round := range 8 {
			before := owners(s, keys)
			contracts := maps.Clone(s.Contracts)
			owner := rapid.SliceOfN(rapid.IntRange(0, 5), keys, keys).Draw(rt, "holders")
			var removed, added []*Contract
			for n := range 6 {
				name := fmt.Sprint("org-", n)
				if old := s.Contracts[name]; old != nil {
					removed = append(removed, old)
				}
				if rapid.Bool().Draw(rt, "removed") {
					continue
				}
				var own []int
				for k, o := range owner {
					if o == n {
						own = append(own, k)
					}
				}
				added = append(added, contractWithKeys(name, own...))
			}
			next := s.Next(Revision(round+2), Fleet{}, removed, added)
			fresh := NewSnapshot(next.Revision, Fleet{}, added)
			if !maps.Equal(next.Contracts, fresh.Contracts) || !maps.Equal(owners(next, keys), owners(fresh, keys)) {
				rt.Fatal("the snapshot made by Next differs from one made by NewSnapshot")
			}
			if !maps.Equal(s.Contracts, contracts) || !maps.Equal(owners(s, keys), before) {
				rt.Fatal("Next changed the snapshot before")
			}
			s = next
		}
	})
}

// TestOddFingerprints checks that fingerprints of unusual length or content are refused.
func TestOddFingerprints(t *testing.T) {
	is := is.New(t)
	s := NewSnapshot(1, Fleet{}, []*Contract{contractWithKeys("one", 1)})
	for _, odd := range []string{"", "a", "zz", "\xff\xff", Fingerprint("1")[:63], Fingerprint("1") + "0"} {
		_, err := s.Authenticate(odd)
		is.True(err != nil)
	}
	_, err := s.Authenticate(Fingerprint("1"))
	is.NoErr(err)
}

// TestCompactKeepsContent checks that Compact changes the content of no list and that an append
// to a shared list does not change the others.
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
	is.Equal(&got[0].Models[0], &got[1].Models[0]) // one copy in memory
	_ = append(got[0].Models, "o")
	is.Equal(got[1].Models, []string{"m", "n"})
}

package contract

import (
	"crypto/subtle"
	"maps"
	"slices"
	"strings"
)

// keyShards is the number of shards of a key index: one for each value of the
// first byte of a fingerprint. A change copies the shards that it touches.
const keyShards = 256

// keyIndex finds the contract of a fingerprint. Each shard is in order of
// fingerprint and immutable once its snapshot is made.
type keyIndex [keyShards][]keyEntry

// keyEntry is whom a key belongs to.
type keyEntry struct {
	fingerprint string
	contract    *Contract
}

// shardOf returns the shard of a fingerprint.
func shardOf(fingerprint string) int {
	if len(fingerprint) < 2 {
		return 0
	}
	return nibble(fingerprint[0])<<4 | nibble(fingerprint[1])
}

// nibble returns the value of a hexadecimal digit; other bytes give any value
// below 16.
func nibble(digit byte) int {
	return int(digit&0xf+9*(digit>>6)) & 0xf
}

// newKeyIndex indexes the keys of contracts.
func newKeyIndex(contracts []*Contract) *keyIndex {
	x := &keyIndex{}
	var sizes [keyShards]int
	for _, c := range contracts {
		for _, k := range c.Keys {
			sizes[shardOf(k.Fingerprint)]++
		}
	}
	for shard, size := range sizes {
		x[shard] = make([]keyEntry, 0, size)
	}
	for _, c := range contracts {
		for _, k := range c.Keys {
			shard := shardOf(k.Fingerprint)
			x[shard] = append(x[shard], keyEntry{k.Fingerprint, c})
		}
	}
	for _, shard := range x {
		slices.SortStableFunc(shard, compareEntries)
	}
	return x
}

// compareEntries orders entries by fingerprint.
func compareEntries(a, b keyEntry) int {
	return strings.Compare(a.fingerprint, b.fingerprint)
}

// with returns the index without the keys of gone and with those of come.
// Shards that hold none of them are shared.
func (x *keyIndex) with(gone, come []*Contract) *keyIndex {
	next := *x
	var lost [keyShards]map[keyEntry]bool
	var added keyIndex
	touched := map[int]bool{}
	for _, c := range gone {
		for _, k := range c.Keys {
			shard := shardOf(k.Fingerprint)
			touched[shard] = true
			if lost[shard] == nil {
				lost[shard] = map[keyEntry]bool{}
			}
			lost[shard][keyEntry{k.Fingerprint, c}] = true
		}
	}
	for _, c := range come {
		for _, k := range c.Keys {
			shard := shardOf(k.Fingerprint)
			touched[shard] = true
			added[shard] = append(added[shard], keyEntry{k.Fingerprint, c})
		}
	}
	for shard := range touched {
		next[shard] = mergeShard(x[shard], lost[shard], added[shard])
	}
	return &next
}

// mergeShard returns a shard of its own without some entries and with others.
func mergeShard(shard []keyEntry, lost map[keyEntry]bool, added []keyEntry) []keyEntry {
	merged := make([]keyEntry, 0, max(0, len(shard)-len(lost))+len(added))
	for _, e := range shard {
		if !lost[e] {
			merged = append(merged, e)
		}
	}
	merged = append(merged, added...)
	slices.SortStableFunc(merged, compareEntries)
	return merged
}

// find returns the contract and the key with this fingerprint, or nil. The
// last comparison takes the same time wherever the fingerprints differ.
func (x *keyIndex) find(fingerprint string) (*Contract, *Key) {
	shard := x[shardOf(fingerprint)]
	i, ok := slices.BinarySearchFunc(shard, fingerprint, func(e keyEntry, f string) int {
		return strings.Compare(e.fingerprint, f)
	})
	if !ok {
		return nil, nil
	}
	owner := shard[i].contract
	for j := range owner.Keys {
		if subtle.ConstantTimeCompare([]byte(owner.Keys[j].Fingerprint), []byte(fingerprint)) == 1 {
			return owner, &owner.Keys[j]
		}
	}
	return nil, nil
}

// Next returns the snapshot of a newer configuration, which differs from s by
// the contracts that are gone and those that come; a changed contract is among
// both. What did not change is shared with s. The parts must have been
// validated.
func (s *Snapshot) Next(r Revision, f Fleet, gone, come []*Contract) *Snapshot {
	next := newSnapshot(r, f)
	next.Contracts = maps.Clone(s.Contracts)
	for _, c := range gone {
		if next.Contracts[c.Organisation] == c {
			delete(next.Contracts, c.Organisation)
		}
	}
	for _, c := range come {
		next.Contracts[c.Organisation] = c
	}
	next.keys = s.keys.with(gone, come)
	return next
}

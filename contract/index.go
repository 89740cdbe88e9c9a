package contract

import (
	"crypto/subtle"
	"maps"
	"slices"
	"strings"
)

// keyShards is the number of shards of a key index, one for each value of the first byte of a
// fingerprint. A new snapshot copies only the shards in which keys change.
const keyShards = 256

// keyIndex finds the contract to which a fingerprint belongs. Each shard is ordered by
// fingerprint, and immutable once its snapshot has been made.
type keyIndex [keyShards][]keyEntry

// keyEntry is a fingerprint with the contract to which the key belongs.
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

// nibble returns the value of a hexadecimal digit. For other bytes it returns some value below 16.
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

// withChanges returns an index without the keys of the removed contracts and with those of the
// added ones. It shares the shards that contain none of these keys with x.
func (x *keyIndex) withChanges(removed, added []*Contract) *keyIndex {
	next := *x
	var removedEntries [keyShards]map[keyEntry]bool
	var addedEntries keyIndex
	changed := map[int]bool{}
	for _, c := range removed {
		for _, k := range c.Keys {
			shard := shardOf(k.Fingerprint)
			changed[shard] = true
			if removedEntries[shard] == nil {
				removedEntries[shard] = map[keyEntry]bool{}
			}
			removedEntries[shard][keyEntry{k.Fingerprint, c}] = true
		}
	}
	for _, c := range added {
		for _, k := range c.Keys {
			shard := shardOf(k.Fingerprint)
			changed[shard] = true
			addedEntries[shard] = append(addedEntries[shard], keyEntry{k.Fingerprint, c})
		}
	}
	for shard := range changed {
		next[shard] = mergeShard(x[shard], removedEntries[shard], addedEntries[shard])
	}
	return &next
}

// mergeShard returns a copy of a shard without the removed entries and with the added ones.
func mergeShard(shard []keyEntry, removed map[keyEntry]bool, added []keyEntry) []keyEntry {
	merged := make([]keyEntry, 0, max(0, len(shard)-len(removed))+len(added))
	for _, e := range shard {
		if !removed[e] {
			merged = append(merged, e)
		}
	}
	merged = append(merged, added...)
	slices.SortStableFunc(merged, compareEntries)
	return merged
}

// find returns the key with the given fingerprint and its contract, or nil. The final comparison
// takes constant time, so that its duration does not tell where two fingerprints differ.
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

// Next returns the snapshot of a newer configuration, which must be valid. It differs from s by
// the fleet and by the removed and added contracts. A changed contract is in both lists: the old
// one is removed and the new one added. Next shares with s what has not changed.
func (s *Snapshot) Next(r Revision, f Fleet, removed, added []*Contract) *Snapshot {
	next := newSnapshot(r, f)
	next.Contracts = maps.Clone(s.Contracts)
	for _, c := range removed {
		if next.Contracts[c.Organisation] == c {
			delete(next.Contracts, c.Organisation)
		}
	}
	for _, c := range added {
		next.Contracts[c.Organisation] = c
	}
	next.keys = s.keys.withChanges(removed, added)
	return next
}

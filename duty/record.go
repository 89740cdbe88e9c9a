package duty

import (
	"bytes"
	"encoding/json"
	"fmt"

	"zinniapin/store"
)

// The record of the duties can be lost with the store's latest changes, when the store comes back from
// an older copy: the record then names a holder of before, with a fence that was passed long ago, or
// is missing. A conditional update that was prepared before can even replace a newer record, since
// revisions are given out again. A fence is therefore above the revision of the record that the holder
// found, which carries the era of the store and rises with each update within it: fences neither fall
// nor repeat, and a record counts only in the era of its fence.

// Outdated tells whether a record that the store showed at a revision was written in an earlier era, or
// holds nothing since another writer spoiled it, so that it names no holder.
func (r *Record) Outdated(revision uint64) bool {
	return store.EraOf(r.Fence) < store.EraOf(revision) || r.Fence == 0 && store.WithinEra(revision) != 0
}

// Decode decodes the record that the store showed at a revision. One that another writer spoiled is an
// error; no process writes a fence above the revision that the store then gives the record.
func Decode(value []byte, revision uint64) (Record, error) {
	var r Record
	if err := json.Unmarshal(value, &r); err != nil {
		return Record{}, fmt.Errorf("the record of the duties cannot be read: %w", err)
	}
	if r.Fence == 0 || r.Fence > revision {
		return Record{}, fmt.Errorf("the record of the duties has the fence %d at revision %d", r.Fence, revision)
	}
	return r, nil
}

// StoredAs tells whether a value that the store shows is this record, in every field. Only then has a write of it
// without an answer taken effect: a write of before may have been carried out late under the same condition. The
// store keeps the content of a value, not its form.
func (r *Record) StoredAs(value []byte) bool {
	var found Record
	if json.Unmarshal(value, &found) != nil {
		return false
	}
	stored, errStored := json.Marshal(found)
	written, errWritten := json.Marshal(r)
	return errStored == nil && errWritten == nil && bytes.Equal(stored, written)
}

// Claim returns the record by which a process acquires the duties, or renews them, after it found the
// record at a revision: with a fence above that revision, the fence of the record and the highest that
// any host knows.
//
// If the record is outdated, or that which the store shows is, windows that were reported may be missing
// in it. The holder of before may have reported any window that ended by now, so only those from the given
// one on are due.
func (r *Record) Claim(host string, incarnation, revision, knownFence, window uint64) Record {
	next := *r
	next.Holder, next.Incarnation = host, incarnation
	next.Fence = max(r.Fence, knownFence, revision) + 1
	if r.Outdated(revision) {
		next.DueFrom = max(r.DueFrom, window)
	}
	return next
}

package relay

import (
	"reflect"

	"zinniapin/configuration"
	"zinniapin/contract"
)

// buckets are decoded buckets of contracts by digest.
type buckets map[configuration.Digest][]*contract.Contract

// decode returns the snapshot of a bundle. Buckets that were decoded before
// are taken as they are, and so are the unchanged contracts of the others, so
// that the snapshot differs from the one before by the change alone.
func (h *Replica) decode(b *configuration.Bundle, before *contract.Snapshot) (*contract.Snapshot, buckets, error) {
	fleet, err := b.Fleet()
	if err != nil {
		return nil, nil, err
	}
	decoded := make(buckets, len(b.Root.Buckets))
	var fresh []*contract.Contract
	gone := h.leaving(b.Root)
	for _, bucket := range b.Root.Buckets {
		if known, ok := h.decoded[bucket.Part]; ok {
			decoded[bucket.Part] = known
			continue
		}
		contracts, err := b.Bucket(bucket.Part, &h.shared)
		if err != nil {
			return nil, nil, err
		}
		decoded[bucket.Part] = contracts
		fresh = append(fresh, keepUnchanged(contracts, gone)...)
	}
	if before == nil {
		return contract.NewSnapshot(b.Root.Revision, fleet, fresh), decoded, nil
	}
	left := make([]*contract.Contract, 0, len(gone))
	for _, c := range gone {
		left = append(left, c)
	}
	return before.Next(b.Root.Revision, fleet, left, fresh), decoded, nil
}

// leaving returns the contracts in force, by organisation, whose buckets the
// root no longer names.
func (h *Replica) leaving(root *configuration.Root) map[string]*contract.Contract {
	named := make(map[configuration.Digest]bool, len(root.Buckets))
	for _, bucket := range root.Buckets {
		named[bucket.Part] = true
	}
	leaving := map[string]*contract.Contract{}
	for digest, contracts := range h.decoded {
		if named[digest] {
			continue
		}
		for _, c := range contracts {
			leaving[c.Organisation] = c
		}
	}
	return leaving
}

// keepUnchanged puts the contracts of gone that are equal to one of contracts
// in its place, takes them out of gone, and returns the other contracts.
func keepUnchanged(contracts []*contract.Contract, gone map[string]*contract.Contract) []*contract.Contract {
	var changed []*contract.Contract
	for i, c := range contracts {
		old := gone[c.Organisation]
		if old == nil || !reflect.DeepEqual(old, c) {
			changed = append(changed, c)
			continue
		}
		contracts[i] = old
		delete(gone, c.Organisation)
	}
	return changed
}

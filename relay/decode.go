package relay

import (
	"reflect"

	"zinniapin/configuration"
	"zinniapin/contract"
)

// decodedBuckets are the contracts of each bucket, by the digest of the bucket.
type decodedBuckets map[configuration.Digest][]*contract.Contract

// decode returns the snapshot of a bundle and its decoded buckets. Buckets that the
// configuration in force contains are reused, and so are the unchanged contracts of the other
// buckets, so that the new snapshot shares everything but the change with the previous one.
func (r *Replica) decode(b *configuration.Bundle, before *contract.Snapshot) (*contract.Snapshot, decodedBuckets, error) {
	fleet, err := b.Fleet()
	if err != nil {
		return nil, nil, err
	}
	decoded := make(decodedBuckets, len(b.Root.Buckets))
	var added []*contract.Contract
	previous := r.contractsOfRemovedBuckets(b.Root)
	for _, bucket := range b.Root.Buckets {
		if known, ok := r.decoded[bucket.Part]; ok {
			decoded[bucket.Part] = known
			continue
		}
		contracts, err := b.Bucket(bucket.Part, &r.sharing)
		if err != nil {
			return nil, nil, err
		}
		decoded[bucket.Part] = contracts
		added = append(added, reuseUnchanged(contracts, previous)...)
	}
	if before == nil {
		return contract.NewSnapshot(b.Root.Revision, fleet, added), decoded, nil
	}
	removed := make([]*contract.Contract, 0, len(previous))
	for _, c := range previous {
		removed = append(removed, c)
	}
	return before.Next(b.Root.Revision, fleet, removed, added), decoded, nil
}

// contractsOfRemovedBuckets returns the contracts in force, by organisation, whose buckets the
// new root does not name. This includes changed buckets, since their digest differs.
func (r *Replica) contractsOfRemovedBuckets(root *configuration.Root) map[string]*contract.Contract {
	named := make(map[configuration.Digest]bool, len(root.Buckets))
	for _, bucket := range root.Buckets {
		named[bucket.Part] = true
	}
	found := map[string]*contract.Contract{}
	for digest, contracts := range r.decoded {
		if named[digest] {
			continue
		}
		for _, c := range contracts {
			found[c.Organisation] = c
		}
	}
	return found
}

// reuseUnchanged replaces each of contracts that equals its previous version by that version,
// and deletes the version from previous. It returns the contracts that are new or changed.
func reuseUnchanged(contracts []*contract.Contract, previous map[string]*contract.Contract) []*contract.Contract {
	var changed []*contract.Contract
	for i, c := range contracts {
		old := previous[c.Organisation]
		if old == nil || !reflect.DeepEqual(old, c) {
			changed = append(changed, c)
			continue
		}
		contracts[i] = old
		delete(previous, c.Organisation)
	}
	return changed
}

package configuration

import (
	"encoding/json"
	"sort"

	"zinniapin/contract"
	"zinniapin/result"
)

// Bundle is a root with all its parts. It is immutable once complete.
type Bundle struct {
	Root  *Root
	Raw   []byte            // the root object as stored
	Parts map[Digest][]byte // by digest; whole
}

// NewBundle joins a root object with its parts and checks every digest.
// Parts that the root does not name are left out.
func NewBundle(rawRoot []byte, parts map[Digest][]byte) (*Bundle, error) {
	root, err := decodeRoot(rawRoot)
	if err != nil {
		return nil, err
	}
	b := &Bundle{Root: root, Raw: rawRoot, Parts: make(map[Digest][]byte, len(root.Buckets)+1)}
	for _, d := range root.digests() {
		part, ok := parts[d]
		if !ok || DigestOf(part) != d {
			return nil, result.New(result.BadConfiguration, "a part is missing or damaged").At(d.key())
		}
		b.Parts[d] = part
	}
	return b, nil
}

// Missing returns the digests that the root names and have does not hold.
func Missing(rawRoot []byte, have map[Digest][]byte) ([]Digest, error) {
	root, err := decodeRoot(rawRoot)
	if err != nil {
		return nil, err
	}
	var missing []Digest
	for _, d := range root.digests() {
		if _, ok := have[d]; !ok {
			missing = append(missing, d)
		}
	}
	return missing, nil
}

// Fleet decodes the description of the fleet.
func (b *Bundle) Fleet() (contract.Fleet, error) {
	var f contract.Fleet
	err := json.Unmarshal(b.Parts[b.Root.Fleet], &f)
	if err != nil {
		return f, result.Wrap(err, result.BadConfiguration, "the description of the fleet is damaged")
	}
	return f, nil
}

// Contracts decodes every contract, in order of organisation.
func (b *Bundle) Contracts() ([]*contract.Contract, error) {
	var all []*contract.Contract
	for _, bucket := range b.Root.Buckets {
		contracts, err := decodeBucket(b.Parts[bucket.Part])
		if err != nil {
			return nil, err
		}
		all = append(all, contracts...)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Organisation < all[j].Organisation })
	return all, nil
}

// Snapshot decodes and indexes the configuration.
func (b *Bundle) Snapshot() (*contract.Snapshot, error) {
	fleet, err := b.Fleet()
	if err != nil {
		return nil, err
	}
	contracts, err := b.Contracts()
	if err != nil {
		return nil, err
	}
	return contract.NewSnapshot(b.Root.Revision, fleet, contracts), nil
}

// decodeBucket decodes the contracts of one bucket.
func decodeBucket(part []byte) ([]*contract.Contract, error) {
	var contracts []*contract.Contract
	if err := json.Unmarshal(part, &contracts); err != nil {
		return nil, result.Wrap(err, result.BadConfiguration, "a bucket of contracts is damaged")
	}
	return contracts, nil
}

// encodeBucket encodes contracts in order of organisation, so that the same
// contracts always give the same digest.
func encodeBucket(contracts []*contract.Contract) ([]byte, error) {
	sort.Slice(contracts, func(i, j int) bool { return contracts[i].Organisation < contracts[j].Organisation })
	return json.Marshal(contracts)
}

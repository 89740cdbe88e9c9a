package configuration

import (
	"encoding/json"
	"slices"
	"sort"

	"github.com/gravitational/trace"

	"zinniapin/contract"
	"zinniapin/result"
)

// Bundle is a root object with all its parts. It is immutable once it is joined.
type Bundle struct {
	Root    *Root
	RawRoot []byte // encoded root object as stored
	Parts   Parts  // all that the root refers to
}

// NewBundle joins a root object with its parts and checks every digest. It leaves out parts that
// the root does not refer to.
func NewBundle(rawRoot []byte, parts map[Digest][]byte) (*Bundle, error) {
	checked := make(Parts, len(parts))
	for d, plain := range parts {
		part, err := newPart(plain)
		if err != nil {
			return nil, err
		}
		checked[d] = part
	}
	return Join(rawRoot, checked)
}

// Join is like NewBundle for parts whose digests have been computed already. Each part must have
// the digest that the root refers to.
func Join(rawRoot []byte, parts Parts) (*Bundle, error) {
	root, err := decodeRoot(rawRoot)
	if err != nil {
		return nil, err
	}
	b := &Bundle{Root: root, RawRoot: rawRoot, Parts: make(Parts, len(root.Buckets)+1)}
	for _, d := range root.digests() {
		part := parts[d]
		if err := part.check(d); err != nil {
			return nil, err
		}
		b.Parts[d] = part
	}
	return b, nil
}

// Missing returns the digests that the root refers to and have does not contain.
func Missing(rawRoot []byte, have Parts) ([]Digest, error) {
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
	part, err := b.Parts[b.Root.Fleet].Bytes()
	if err != nil {
		return f, trace.Wrap(err)
	}
	if err := json.Unmarshal(part, &f); err != nil {
		return f, result.Wrap(err, result.BadConfiguration, "the description of the fleet cannot be decoded")
	}
	return f, nil
}

// Contracts decodes every contract, in order of organisation.
func (b *Bundle) Contracts() ([]*contract.Contract, error) {
	var all []*contract.Contract
	for _, bucket := range b.Root.Buckets {
		contracts, err := b.Bucket(bucket.Part, nil)
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

// Bucket decodes the contracts of one bucket. The interner may be nil.
func (b *Bundle) Bucket(d Digest, interner *contract.Interner) ([]*contract.Contract, error) {
	part, err := b.Parts[d].Bytes()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var contracts []*contract.Contract
	if err := json.Unmarshal(part, &contracts); err != nil {
		return nil, result.Wrap(err, result.BadConfiguration, "a bucket of contracts cannot be decoded")
	}
	if slices.Contains(contracts, nil) {
		return nil, result.New(result.BadConfiguration, "a bucket of contracts contains a null contract").At(d.key())
	}
	return interner.Compact(contracts), nil
}

// encodeBucket encodes contracts in order of organisation, so that the same
// contracts always give the same digest.
func encodeBucket(contracts []*contract.Contract) ([]byte, error) {
	sort.Slice(contracts, func(i, j int) bool { return contracts[i].Organisation < contracts[j].Organisation })
	return json.Marshal(contracts)
}

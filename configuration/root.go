// Package configuration stores the accepted configuration in the object API. It is a root object
// that refers to parts by their digests. A conditional update of the root object accepts a new
// configuration.
package configuration

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"hash/fnv"
	"sort"

	"zinniapin/contract"
	"zinniapin/result"
)

// Keys in the object API.
const (
	// RootKey is the key of the root object.
	RootKey = "config/root"
	// partPrefix begins the keys of parts; the digest follows.
	partPrefix = "config/part/"
)

// bucketCount is the number of buckets among which contracts are divided by organisation.
const bucketCount = 256

// recentChanges is the number of changes that a root object lists, so that a writer that did not
// get the answer to its update can find out whether its change was accepted.
const recentChanges = 64

// Digest is the lower-case hexadecimal SHA-256 of the content of a part.
type Digest string

// DigestOf returns the digest of a part.
func DigestOf(part []byte) Digest {
	sum := sha256.Sum256(part)
	return Digest(hex.EncodeToString(sum[:]))
}

// key returns the key of the part with this digest.
func (d Digest) key() string {
	return partPrefix + string(d)
}

// Change is one accepted change.
type Change struct {
	ID       string            `json:"id"`
	Revision contract.Revision `json:"revision"`
	Author   string            `json:"author"`
	Summary  string            `json:"summary"`
	UnixMS   int64             `json:"unix_ms"`
	// Content identifies what was proposed. It is empty in changes that earlier builds wrote.
	Content Digest `json:"content,omitempty"`
}

// Bucket refers to the part that holds the contracts of one bucket.
type Bucket struct {
	Number int    `json:"number"`
	Part   Digest `json:"part"`
}

// Root is the root object. Its conditional update accepts a configuration.
type Root struct {
	Revision contract.Revision `json:"revision"`
	Fleet    Digest            `json:"fleet"`
	Buckets  []Bucket          `json:"buckets"` // in order of number
	Recent   []Change          `json:"recent"`  // newest first
}

// decodeRoot decodes a root object.
func decodeRoot(data []byte) (*Root, error) {
	r := &Root{}
	if err := json.Unmarshal(data, r); err != nil {
		return nil, result.Wrap(err, result.BadConfiguration, "the root object cannot be decoded").At(RootKey)
	}
	return r, nil
}

// findChange returns the recent change with the given id, or nil.
func (r *Root) findChange(id string) *Change {
	for i := range r.Recent {
		if r.Recent[i].ID == id {
			return &r.Recent[i]
		}
	}
	return nil
}

// addRecent adds a change in front of the recent ones and drops the oldest beyond recentChanges.
func (r *Root) addRecent(c Change) {
	r.Recent = append([]Change{c}, r.Recent...)
	if len(r.Recent) > recentChanges {
		r.Recent = r.Recent[:recentChanges]
	}
}

// digests returns the digests of all parts.
func (r *Root) digests() []Digest {
	all := make([]Digest, 0, len(r.Buckets)+1)
	all = append(all, r.Fleet)
	for _, b := range r.Buckets {
		all = append(all, b.Part)
	}
	return all
}

// setBucket sets the part of a bucket, which it adds if needed.
func (r *Root) setBucket(number int, part Digest) {
	for i := range r.Buckets {
		if r.Buckets[i].Number == number {
			r.Buckets[i].Part = part
			return
		}
	}
	r.Buckets = append(r.Buckets, Bucket{number, part})
	sort.Slice(r.Buckets, func(i, j int) bool { return r.Buckets[i].Number < r.Buckets[j].Number })
}

// bucketOf returns the number of the bucket of an organisation.
func bucketOf(organisation string) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(organisation)) // hash.Hash.Write never fails
	return int(h.Sum32() % bucketCount)
}

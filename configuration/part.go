package configuration

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/gravitational/trace"

	"zinniapin/result"
)

// Part is a part of a configuration together with its digest. It is held compressed, since a
// process needs its bytes only to decode it once and to send it to others. It is immutable.
type Part struct {
	digest     Digest
	compressed []byte
	size       int // uncompressed, in bytes
}

// Parts are parts by digest.
type Parts map[Digest]Part

// Add adds a part under the digest of its content.
func (p Parts) Add(plain []byte) error {
	part, err := newPart(plain)
	if err != nil {
		return err
	}
	p[part.digest] = part
	return nil
}

// compressors reuses compressors, since they are large.
var compressors = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(io.Discard, flate.BestSpeed) // fails only for an unknown level
	return w
}}

// newPart compresses a part.
func newPart(plain []byte) (Part, error) {
	var compressed bytes.Buffer
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&compressed)
	if _, err := w.Write(plain); err != nil {
		return Part{}, trace.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return Part{}, trace.Wrap(err)
	}
	return Part{digest: DigestOf(plain), compressed: bytes.Clone(compressed.Bytes()), size: len(plain)}, nil
}

// checkedPart returns the part with the given content, or an error with the code
// result.BadConfiguration if the content does not have the digest d.
func checkedPart(d Digest, plain []byte) (Part, error) {
	part, err := newPart(plain)
	if err != nil {
		return Part{}, err
	}
	return part, part.check(d)
}

// check returns an error with the code result.BadConfiguration if the part is missing or its
// digest is not d.
func (p Part) check(d Digest) error {
	if p.digest != d {
		return result.New(result.BadConfiguration, "a part is missing or damaged").At(d.key())
	}
	return nil
}

// decompressors reuses decompressors.
var decompressors = sync.Pool{New: func() any {
	return flate.NewReader(bytes.NewReader(nil))
}}

// Size returns the uncompressed size of the part in bytes.
func (p Part) Size() int {
	return p.size
}

// Bytes returns the uncompressed content of the part in a new slice.
func (p Part) Bytes() ([]byte, error) {
	r := decompressors.Get().(io.ReadCloser)
	defer decompressors.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(p.compressed), nil); err != nil {
		return nil, trace.Wrap(err)
	}
	plain := make([]byte, p.size)
	_, err := io.ReadFull(r, plain)
	return plain, trace.Wrap(err)
}

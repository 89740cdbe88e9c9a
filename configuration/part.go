package configuration

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"

	"github.com/gravitational/trace"

	"zinniapin/result"
)

// Part is a part whose digest was checked, held compressed: a process needs
// its bytes only to decode it once and to pass it on. It is immutable.
type Part struct {
	digest Digest
	packed []byte
	size   int // bytes when plain
}

// Parts are parts by digest.
type Parts map[Digest]Part

// Add takes in a part under the digest of its content.
func (p Parts) Add(plain []byte) error {
	part, err := newPart(plain)
	if err != nil {
		return err
	}
	p[part.digest] = part
	return nil
}

// packers keeps compressors, which are large, for the next part.
var packers = sync.Pool{New: func() any {
	w, _ := flate.NewWriter(io.Discard, flate.BestSpeed) // fails only for an unknown level
	return w
}}

// newPart compresses a part.
func newPart(plain []byte) (Part, error) {
	var packed bytes.Buffer
	w := packers.Get().(*flate.Writer)
	defer packers.Put(w)
	w.Reset(&packed)
	if _, err := w.Write(plain); err != nil {
		return Part{}, trace.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return Part{}, trace.Wrap(err)
	}
	return Part{digest: DigestOf(plain), packed: bytes.Clone(packed.Bytes()), size: len(plain)}, nil
}

// partOf returns the part with this digest, or an error with the code
// result.BadConfiguration when the content has another.
func partOf(d Digest, plain []byte) (Part, error) {
	part, err := newPart(plain)
	if err != nil {
		return Part{}, err
	}
	return part, part.check(d)
}

// check tells whether the part is the one that a root names d.
func (p Part) check(d Digest) error {
	if p.digest != d {
		return result.New(result.BadConfiguration, "a part is missing or damaged").At(d.key())
	}
	return nil
}

// unpackers keeps decompressors for the next part.
var unpackers = sync.Pool{New: func() any {
	return flate.NewReader(bytes.NewReader(nil))
}}

// Size returns the length of the part in bytes.
func (p Part) Size() int {
	return p.size
}

// Bytes returns the content of the part in a slice of the caller's own.
func (p Part) Bytes() ([]byte, error) {
	r := unpackers.Get().(io.ReadCloser)
	defer unpackers.Put(r)
	if err := r.(flate.Resetter).Reset(bytes.NewReader(p.packed), nil); err != nil {
		return nil, trace.Wrap(err)
	}
	plain := make([]byte, p.size)
	_, err := io.ReadFull(r, plain)
	return plain, trace.Wrap(err)
}

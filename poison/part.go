package poison

import (
	"crypto/sha256"
	"encoding/binary"
)

// Part identifies something that requests may have in common and that may crash targets: a part of their
// prompts, or all of a request that comes again.
type Part uint64

// requestBit is set in parts that stand for a whole request, of which a request has just one.
const requestBit = 1 << 63

// PartOfPrompt returns the part of a prompt with a hash.
func PartOfPrompt(hash uint64) Part { return Part(hash &^ requestBit) }

// PartOfRequest returns the part that stands for a request as a whole: it is the same when the same caller
// sends the same method, target (path and query) and body again.
func PartOfRequest(caller, method, target string, body []byte) Part {
	h := sha256.New()
	for _, field := range []string{caller, method, target} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = h.Write(length[:]) // a hash never fails
		_, _ = h.Write([]byte(field))
	}
	_, _ = h.Write(body)
	return Part(binary.BigEndian.Uint64(h.Sum(nil)) | requestBit)
}

// IsRequest tells whether the part stands for a whole request.
func (p Part) IsRequest() bool { return p&requestBit != 0 }

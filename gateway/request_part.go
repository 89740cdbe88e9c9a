package gateway

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"zinniapin/poison"
)

// partOfRequest returns the part that stands for a whole request, a digest of its caller,
// method, path or model, and body.
func partOfRequest(caller, method, target string, body []byte) poison.Part {
	d := xxhash.New()
	var length [8]byte
	for _, field := range []string{caller, method, target} {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		_, _ = d.Write(length[:]) // writing to a hash never fails
		_, _ = d.WriteString(field)
	}
	_, _ = d.Write(body)
	return poison.Part(d.Sum64())
}

package gateway

import (
	"sync"

	"zinniapin/poison"
)

// requestPart is the part that stands for a whole request. It is computed when it is first
// needed, which it mostly is not while no target crashes.
type requestPart struct {
	id   func() poison.Part
	size int // bytes that have to be hashed
}

// newRequestPart returns the part of a request with a prompt or body of some bytes.
func newRequestPart(size int, compute func() poison.Part) requestPart {
	return requestPart{sync.OnceValue(compute), size}
}

// maxSoundBytes is the size up to which a request is remembered as sound when it is answered
// while none is suspected. Larger ones hardly come again and take time to hash.
const maxSoundBytes = 4 << 10

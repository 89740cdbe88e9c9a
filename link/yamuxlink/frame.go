package yamuxlink

import (
	"encoding/binary"
	"errors"
	"io"
	"sync"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"zinniapin/intake"
	"zinniapin/link"
	"zinniapin/wire"
)

// prefixBytes is the size of the length prefix of a message.
const prefixBytes = 4

// writeMessage writes an envelope with a length prefix. It fails with ErrTooLarge
// when the envelope exceeds maxBytes.
func writeMessage(w io.Writer, e *wire.Envelope, maxBytes int) error {
	size := proto.Size(e)
	if size > maxBytes {
		return trace.Wrap(link.ErrTooLarge)
	}
	frame := make([]byte, prefixBytes, prefixBytes+size)
	binary.BigEndian.PutUint32(frame, uint32(size))
	frame, err := proto.MarshalOptions{}.MarshalAppend(frame, e)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = w.Write(frame)
	return trace.Wrap(err)
}

// messageCopies is how often the bytes of a message are held until it was handled: received, and twice in its decoded form.
const messageCopies = 3

// readMessage reads an envelope with a length prefix. Its buffer grows with what has
// arrived. All copies of the message are counted by h until done is called; after an
// error nothing is.
func readMessage(r io.Reader, maxBytes int, h *hold) (e *wire.Envelope, done func(), err error) {
	var prefix [prefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return nil, nil, trace.Wrap(err)
	}
	body, err := intake.ReadBody(h, r, int64(binary.BigEndian.Uint32(prefix[:])), int64(maxBytes))
	if errors.Is(err, intake.ErrTooLarge) {
		return nil, nil, trace.Wrap(link.ErrTooLarge)
	}
	if err != nil {
		return nil, nil, trace.Wrap(err)
	}
	held := int64(cap(body))
	copies := (messageCopies - 1) * held
	if err := h.Reserve(copies); err != nil {
		h.Release(held)
		return nil, nil, trace.Wrap(err)
	}
	done = sync.OnceFunc(func() { h.Release(held + copies) })
	e = &wire.Envelope{}
	if err := proto.Unmarshal(body, e); err != nil {
		done()
		return nil, nil, trace.Wrap(err)
	}
	return e, done, nil
}

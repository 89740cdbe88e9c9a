package yamuxlink

import (
	"encoding/binary"
	"io"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

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

// readMessage reads an envelope with a length prefix. It allocates no buffer for
// a message that exceeds maxBytes.
func readMessage(r io.Reader, maxBytes int) (*wire.Envelope, error) {
	var prefix [prefixBytes]byte
	if _, err := io.ReadFull(r, prefix[:]); err != nil {
		return nil, trace.Wrap(err)
	}
	size := binary.BigEndian.Uint32(prefix[:])
	if uint64(size) > uint64(maxBytes) {
		return nil, trace.Wrap(link.ErrTooLarge)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, trace.Wrap(err)
	}
	e := &wire.Envelope{}
	return e, trace.Wrap(proto.Unmarshal(body, e))
}

package yamuxlink

import (
	"encoding/binary"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"zinniapin/intake"
)

// hold counts what the peer of a link makes this process hold. It is safe for concurrent use. Without a connection that a
// budget has accepted, it counts nothing.
type hold struct {
	mu      sync.Mutex
	conn    *intake.Conn
	tunnels int
	streams map[uint32]*input // of the peer's open streams
}

// input is what has arrived on a stream. The session keeps it in a buffer that doubles as it grows and does not shrink until
// both ends have closed the stream: a stream that only this process has closed goes on to receive.
type input struct {
	unread, most              int64
	closedHere, closedByOther bool
	stream                    *yamux.Stream // once this process has closed it
}

// bufferCopies is the size of the buffer of a stream and of the one that it replaces, as a multiple of what it held at most.
const bufferCopies = 3

var _ intake.Reserver = (*hold)(nil)

// newHold returns what counts for an accepted connection, which may carry TLS.
func newHold(conn net.Conn) *hold {
	return &hold{conn: intake.ConnOf(conn), streams: make(map[uint32]*input)}
}

// Reserve implements intake.Reserver.
func (h *hold) Reserve(n int64) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.conn.Reserve(n)
}

// Release implements intake.Reserver.
func (h *hold) Release(n int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.conn.Release(n)
}

// Evicted implements intake.Reserver.
func (h *hold) Evicted() bool { return h.conn.Evicted() }

// served starts the age of the link anew, since the peer has sent a whole message. A link that carries tunnels is kept.
func (h *hold) served() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.tunnels == 0 {
		h.conn.Yield()
	}
}

// addTunnels changes the number of tunnels that the link carries. It is kept as long as there are any; one that was evicted
// before ends with them.
func (h *hold) addTunnels(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.tunnels += n; h.tunnels > 0 {
		_ = h.conn.Keep()
	} else {
		h.conn.Yield()
	}
}

// streamBytes is what a stream holds by itself: a stack, and what the session keeps of it.
const streamBytes = 16 << 10

// open counts a stream and begins to count its input.
func (h *hold) open(id uint32) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.streams[id] != nil {
		return nil
	}
	if err := h.conn.Reserve(streamBytes); err != nil {
		return err
	}
	h.streams[id] = &input{}
	return nil
}

// arrived counts input of a stream. That of others is dropped, or answers a call of this process.
func (h *hold) arrived(id uint32, n int64) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	in := h.streams[id]
	if in == nil {
		return nil
	}
	if more := in.unread + n - in.most; more > 0 {
		if err := h.conn.Reserve(bufferCopies * more); err != nil {
			return err
		}
		in.most += more
	}
	in.unread += n
	return nil
}

// read counts input of a stream as read.
func (h *hold) read(id uint32, n int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if in := h.streams[id]; in != nil {
		in.unread -= n
	}
}

// close records that an end of a stream has closed it, and ends the count of the stream once both have.
// stream is given by the end here.
func (h *hold) close(id uint32, byOther bool, stream *yamux.Stream) {
	h.mu.Lock()
	defer h.mu.Unlock()
	in := h.streams[id]
	if in == nil {
		return
	}
	if stream != nil {
		in.stream = stream
	}
	in.closedHere, in.closedByOther = in.closedHere || !byOther, in.closedByOther || byOther
	if in.closedHere && in.closedByOther {
		h.conn.Release(streamBytes + bufferCopies*in.most)
		delete(h.streams, id)
	}
}

// end drops the input of streams that the other end did not close. Timers of the session refer to them for minutes.
func (h *hold) end() {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, in := range h.streams {
		if in.stream != nil {
			drain(in.stream, in.stream)
		}
	}
}

// drainBytes and drainReads bound what is read of a stream that is closed.
const (
	drainBytes = 16 << 10
	drainReads = 64
)

// drain reads what has arrived on a stream and frees its buffer.
func drain(r io.Reader, s *yamux.Stream) {
	_ = s.SetReadDeadline(time.Unix(1, 0))
	buffer := make([]byte, drainBytes)
	for range drainReads {
		if _, err := r.Read(buffer); err != nil {
			break
		}
	}
	s.Shrink()
}

// Layout of the header of a yamux frame: version and type in a byte each, flags in two, stream and length in four.
const (
	frameHeaderBytes = 12
	frameData        = 0
	flagOpen         = 1
	flagsClose       = 4 | 8 // closed or reset by the other end
)

// countedConn counts the input of a session's streams before the session holds it.
type countedConn struct {
	net.Conn
	hold   *hold
	header [frameHeaderBytes]byte
	got    int    // bytes of the next header
	stream uint32 // of the present frame
	left   uint32 // bytes of its contents that have not come
	closes bool   // the present frame is the last of its stream
}

// Read implements io.Reader.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for in := p[:n]; len(in) > 0; {
		if c.left > 0 {
			m := min(len(in), int(c.left))
			if err := c.hold.arrived(c.stream, int64(m)); err != nil {
				return 0, err
			}
			in, c.left = in[m:], c.left-uint32(m)
			c.checkClosed()
			continue
		}
		m := copy(c.header[c.got:], in)
		in = in[m:]
		if c.got += m; c.got < frameHeaderBytes {
			break
		}
		c.got = 0
		c.stream = binary.BigEndian.Uint32(c.header[4:])
		flags := binary.BigEndian.Uint16(c.header[2:])
		if flags&flagOpen != 0 {
			if err := c.hold.open(c.stream); err != nil {
				return 0, err
			}
		}
		if c.header[1] == frameData {
			c.left = binary.BigEndian.Uint32(c.header[8:])
		}
		c.closes = flags&flagsClose != 0
		c.checkClosed()
	}
	return n, err
}

// checkClosed ends the stream of the present frame if that is its last one and has come whole.
func (c *countedConn) checkClosed() {
	if c.closes && c.left == 0 {
		c.closes = false
		c.hold.close(c.stream, true, nil)
	}
}

// countedStream is a stream of the peer.
type countedStream struct {
	*yamux.Stream
	hold *hold
}

// Read implements io.Reader.
func (s *countedStream) Read(p []byte) (int, error) {
	n, err := s.Stream.Read(p)
	s.hold.read(s.StreamID(), int64(n))
	return n, err
}

// Close implements io.Closer.
func (s *countedStream) Close() error {
	drain(s, s.Stream)
	err := s.Stream.Close()
	s.hold.close(s.StreamID(), false, s.Stream)
	return err
}

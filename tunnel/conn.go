// Package tunnel carries connections to targets through other hosts, for a host that has lost its own links to
// them. Each tunnel is a stream of a link (package link). The host at its end connects to the target and copies bytes
// without looking at them.
//
// Bytes to the target pass as they are; the end of that direction resets the connection to the target. Bytes from
// it pass in frames, so that the end of its connection, a reset and the loss of the host in between are told
// apart: an answer that ends with its connection is whole only after the first of these.
package tunnel

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"
)

// kind is the kind of a frame.
type kind byte

// Kinds of frames. Only data has contents.
const (
	data    kind = iota
	end          // the target has ended its connection
	broken       // the connection to the target was reset
	leaving      // the host in between is about to stop; the tunnel should carry no further request
)

const (
	// headerBytes is the size of a frame's header: its kind in one byte, its length in three.
	headerBytes = 4
	// maxFrameBytes bounds the contents of a frame.
	maxFrameBytes = 16 << 10
)

// putHeader writes the header of a frame.
func putHeader(b []byte, k kind, length int) {
	binary.BigEndian.PutUint32(b, uint32(k)<<24|uint32(length))
}

// errFrame means that the other host sent bytes that are no frame.
var errFrame = errors.New("tunnel: malformed frame")

// Conn is the end of a tunnel at the host that asked for it. It implements net.Conn.
type Conn struct {
	net.Conn // stream of the link
	// Host is the address of the host in between.
	Host string

	header [headerBytes]byte
	got    int   // bytes of the next header that were read
	left   int   // bytes of the present frame that were not read
	ended  error // io.EOF or an error once nothing more comes

	leaving, closed atomic.Bool
}

// newConn returns the end of a tunnel over a stream.
func newConn(stream net.Conn, host string) *Conn { return &Conn{Conn: stream, Host: host} }

// Leaving tells whether the host in between is about to stop. A connection that is idle is to be closed then.
func (c *Conn) Leaving() bool { return c.leaving.Load() }

// Read implements io.Reader. It returns io.EOF only if the target has ended its connection properly.
func (c *Conn) Read(p []byte) (int, error) {
	for c.ended == nil {
		if c.left > 0 {
			n, err := c.Conn.Read(p[:min(len(p), c.left)])
			c.left -= n
			if n > 0 || err == nil {
				return n, nil
			}
			return 0, c.fail(err)
		}
		n, err := c.Conn.Read(c.header[c.got:])
		if c.got += n; c.got == headerBytes {
			c.got = 0
			c.handleHeader(binary.BigEndian.Uint32(c.header[:]))
		} else if err != nil {
			return 0, c.fail(err)
		}
	}
	return 0, c.ended
}

// handleHeader handles the header of a frame.
func (c *Conn) handleHeader(header uint32) {
	length := int(header & 0xffffff)
	switch k := kind(header >> 24); {
	case k == data && length > 0 && length <= maxFrameBytes:
		c.left = length
	case k == end && length == 0:
		c.ended = io.EOF
	case k == broken && length == 0:
		c.ended = syscall.ECONNRESET
	case k == leaving && length == 0:
		c.leaving.Store(true)
	default:
		c.ended = errFrame
	}
}

// fail returns the error of a read. Unless a deadline has passed, nothing more comes.
func (c *Conn) fail(err error) error {
	switch {
	case c.closed.Load():
		c.ended = net.ErrClosed
	case errors.Is(err, os.ErrDeadlineExceeded) || isTimeout(err):
		return err
	default:
		c.ended = fmt.Errorf("the tunnel through %s broke off: %w", c.Host, syscall.ECONNRESET)
	}
	return c.ended
}

// isTimeout tells whether an error is a deadline that has passed.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil && !isTimeout(err) {
		err = fmt.Errorf("the tunnel through %s broke off: %w", c.Host, syscall.EPIPE)
	}
	return n, err
}

// Close ends the tunnel, which resets the connection to the target.
func (c *Conn) Close() error {
	if c.closed.Swap(true) {
		return nil
	}
	err := c.Conn.Close()
	_ = c.SetReadDeadline(time.Unix(1, 0)) // a stream that is closed here still waits for the other end
	return err
}

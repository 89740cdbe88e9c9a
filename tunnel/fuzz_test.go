package tunnel

import (
	"bytes"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// stream is a stream that holds some bytes and then ends.
type stream struct{ *bytes.Reader }

// Write implements net.Conn, as do the methods below.
func (stream) Write(p []byte) (int, error)      { return len(p), nil }
func (stream) Close() error                     { return nil }
func (stream) LocalAddr() net.Addr              { return nil }
func (stream) RemoteAddr() net.Addr             { return nil }
func (stream) SetDeadline(time.Time) error      { return nil }
func (stream) SetReadDeadline(time.Time) error  { return nil }
func (stream) SetWriteDeadline(time.Time) error { return nil }

// FuzzFrames feeds bytes to the end of a tunnel as another host would send them. What is read never ends properly without
// the frame that says so, and holds only contents of frames.
func FuzzFrames(f *testing.F) {
	for _, seed := range [][]byte{{}, {0, 0, 0, 2, 'o', 'k', 1, 0, 0, 0}, {2, 0, 0, 0}, {3, 0, 0, 0, 0, 0, 0, 1, 'x'}, {0, 0, 0, 9, 'x'}, {7, 7, 7, 7}, {1, 0, 0, 0, 0, 0, 0, 1, 'x'}} {
		f.Add(seed, 3)
	}
	f.Fuzz(func(t *testing.T, sent []byte, size int) {
		c := newConn(stream{bytes.NewReader(sent)}, "host")
		buffer := make([]byte, 1+min(max(size, 0), 4096))
		read := 0
		for {
			n, err := c.Read(buffer)
			read += n
			if err == nil {
				if n == 0 {
					t.Fatal("a read returned nothing")
				}
				continue
			}
			if errors.Is(err, io.EOF) && !bytes.Contains(sent, []byte{1, 0, 0, 0}) {
				t.Fatal("the tunnel ended properly without saying so")
			}
			break
		}
		if read > len(sent) {
			t.Fatalf("%d bytes were read of %d", read, len(sent))
		}
		if n, err := c.Read(buffer); n != 0 || err == nil {
			t.Fatal("something came after the end")
		}
	})
}

// Package stricthttp guards the reading of HTTP/1.1 responses from servers that may fail. net/http accepts responses
// that two recipients may read differently, and takes the end of a connection for the end of a response even if the
// connection was reset. A Conn checks the bytes before net/http parses them, so that a response that passes is the
// server's own and complete.
package stricthttp

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"zinniapin/socket"
)

// uploadTimeout is how long the writing of a request may go on after the end of its response. A server that read the
// request had it completely before it ended the connection.
const uploadTimeout = 200 * time.Millisecond

// ErrRetired means that nothing of a request was written, since the connection is not to be used any more.
var ErrRetired = errors.New("stricthttp: the connection is retired")

// Conn is a connection to a server that carries one request at a time. It is safe for concurrent use.
type Conn struct {
	net.Conn
	retires func(status int) bool // whether a response is the last of its connection; nil for none

	mu       sync.Mutex
	response *scanner // nil before the first request
	err      error    // nothing more is read
	read     int      // bytes read of the present response
	upload   *upload
	retired  bool // the present response is the last one
	closed   bool // for writing: another request has come since
}

// upload is the writing of a request.
type upload struct {
	done chan struct{} // closed once err is set
	err  error
	once sync.Once
}

// NewConn returns a connection over c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// NetConn returns the connection beneath.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Expect tells the connection that a request is about to be written. What is read from then on belongs to its
// response.
func (c *Conn) Expect(method string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = c.retired
	c.response, c.read, c.upload = newScanner(method), 0, &upload{done: make(chan struct{})}
}

// Write implements io.Writer.
func (c *Conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	closed := c.closed
	c.mu.Unlock()
	if closed {
		return 0, ErrRetired
	}
	return c.Conn.Write(p)
}

// Written tells the connection that the present request was written, or that this has failed.
func (c *Conn) Written(err error) {
	c.mu.Lock()
	u := c.upload
	c.mu.Unlock()
	if u != nil {
		u.once.Do(func() {
			u.err = err
			close(u.done)
		})
	}
}

// BytesRead returns the number of bytes read of the present response.
func (c *Conn) BytesRead() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.read
}

// Usable tells whether everything that was read belongs to valid responses.
func (c *Conn) Usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err == nil
}

// Read implements io.Reader. It passes on no line that makes a response invalid, and no bytes after the end of a
// response. It returns io.EOF at the end of a response that ends with its connection only if that is complete.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.failed(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	n, invalid := c.scan(p[:n])
	if invalid != nil {
		return 0, invalid
	}
	if errors.Is(err, io.EOF) {
		err = c.judgeEnd()
	}
	return n, err
}

// scan checks bytes that were read and returns how many of them are passed on. An error means that none are.
func (c *Conn) scan(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(p) == 0 || c.response == nil {
		return len(p), nil
	}
	n, err := c.response.scan(p)
	c.read += n
	c.retired = c.retired || c.retires != nil && c.response.headEnded() && c.retires(c.response.status)
	if c.err = err; err == nil || n > 0 && errors.Is(err, ErrExtraBytes) {
		return n, nil
	}
	return 0, err
}

// judgeEnd returns the error of a read at the end of the connection: io.EOF, unless a response ends there that is not
// complete.
func (c *Conn) judgeEnd() error {
	c.mu.Lock()
	ends, u := c.response != nil && c.response.next == toEnd, c.upload
	c.mu.Unlock()
	if !ends {
		return io.EOF
	}
	err := endOf(c.Conn, u)
	if !errors.Is(err, io.EOF) {
		c.mu.Lock()
		c.err = err
		c.mu.Unlock()
	}
	return err
}

// failed returns the error after which nothing more is read.
func (c *Conn) failed() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.err == nil && c.retired && (c.closed || c.response.next == complete) {
		return ErrRetired
	}
	return c.err
}

// endOf judges the end of a connection at which a response ends. It returns io.EOF if the response is complete: the
// server closed the connection, rather than reset it, and had the whole request. A reset is not always seen in the
// result of a read, since a concurrent write may take the error.
func endOf(c net.Conn, u *upload) error {
	timeout := time.NewTimer(uploadTimeout)
	defer timeout.Stop()
	select {
	case <-u.done:
	case <-timeout.C:
		return fmt.Errorf("%w: the response ended before the request was written", io.ErrUnexpectedEOF)
	}
	if u.err != nil {
		return fmt.Errorf("%w: the response ended although writing the request failed: %w", io.ErrUnexpectedEOF, u.err)
	}
	if socket.WasReset(c) {
		return syscall.ECONNRESET
	}
	return io.EOF
}

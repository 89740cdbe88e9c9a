// Package stricthttp guards the reading of HTTP/1.1 responses from servers that may fail. net/http accepts responses
// that two recipients may read differently. A Conn checks the bytes before net/http parses them.
package stricthttp

import (
	"errors"
	"net"
	"sync"
)

// Conn is a connection to a server that carries one request at a time. It is safe for concurrent use.
type Conn struct {
	net.Conn

	mu       sync.Mutex
	response *scanner // nil before the first request
	err      error    // nothing more is read
	read     int      // bytes read of the present response
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
	c.response, c.read = newScanner(method), 0
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
// response.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.failed(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if n > 0 && c.response != nil {
		var invalid error
		n, invalid = c.response.scan(p[:n])
		c.read += n
		if invalid != nil {
			c.err = invalid
			if !errors.Is(invalid, ErrExtraBytes) {
				n = 0
			}
			if n == 0 {
				return 0, invalid
			}
			return n, nil
		}
	}
	return n, err
}

// failed returns the error after which nothing more is read.
func (c *Conn) failed() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.err
}

package oncehttp

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"
)

// Conn is a connection that counts writes, so that an adapter knows whether a byte of a
// request can have left.
type Conn struct {
	net.Conn
	mu     sync.Mutex
	writes int
	sealed bool
}

// Write counts the write before it is made, and refuses it once sealed.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, net.ErrClosed
	}
	c.writes++
	return c.Conn.Write(b)
}

// Writes returns the number of writes so far.
func (c *Conn) Writes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal closes the connection for good and returns the number of writes made.
// The close comes first, because it ends a write that blocks.
func (c *Conn) seal() int {
	_ = c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// NewConn returns a connection that counts its writes.
func NewConn(conn net.Conn) *Conn {
	return &Conn{Conn: conn}
}

// dialWatched returns a dial function whose connections count their writes.
func dialWatched(d *net.Dialer) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
}

// sendWatch follows one request through the connections that it gets.
type sendWatch struct {
	mu     sync.Mutex
	conn   *Conn
	before int
	sent   bool
}

// trace returns the hooks that follow the request.
func (w *sendWatch) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: w.gotConn}
}

// gotConn notes the connection and what it had written before the request.
func (w *sendWatch) gotConn(info httptrace.GotConnInfo) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn != nil && w.conn.Writes() != w.before {
		w.sent = true
	}
	conn, ok := info.Conn.(*Conn)
	if !ok {
		w.sent = true // an unknown connection proves nothing
		return
	}
	w.conn = conn
	w.before = conn.Writes()
}

// end seals the connection of a failed request and tells whether a byte of
// the request can have left. No byte leaves afterwards.
func (w *sendWatch) end() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn != nil && w.conn.seal() != w.before {
		w.sent = true
	}
	return w.sent
}

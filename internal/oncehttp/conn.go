package oncehttp

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync"

	"zinniapin/internal/stricthttp"
)

// Conn is a connection that counts writes, so that its user knows whether a byte of a request
// may have been sent.
type Conn struct {
	net.Conn
	mu     sync.Mutex
	writes int  // started so far
	sealed bool // refuses further writes
}

// Write implements net.Conn. It counts a write before it starts, and refuses writes once the
// connection is sealed.
func (c *Conn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return 0, net.ErrClosed
	}
	c.writes++
	return c.Conn.Write(b)
}

// NetConn returns the connection beneath.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Writes returns the number of writes started so far.
func (c *Conn) Writes() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// seal closes the connection, refuses further writes and returns the number of writes started.
// It closes before it takes the lock, because closing ends a blocked write, which holds the
// lock.
func (c *Conn) seal() int {
	_ = c.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

// NewConn returns a connection that counts the writes to conn.
func NewConn(conn net.Conn) *Conn {
	return &Conn{Conn: conn}
}

// dialCounting returns a dial function for connections that count their writes.
func dialCounting(dial Dial) Dial {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(conn), nil
	}
}

// sendTracker tracks whether one request may have been sent, over all connections that
// http.Transport tries for it.
type sendTracker struct {
	mu           sync.Mutex
	conn         *Conn // the latest one tried
	writesBefore int   // on conn, by earlier requests
	sent         bool  // a byte may have been sent
}

// trace returns the hooks through which the tracker learns the connections.
func (t *sendTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: t.gotConn}
}

// gotConn records the connection that the request gets and its number of writes so far. If the
// previous connection has been written to, the request may have been sent.
func (t *sendTracker) gotConn(info httptrace.GotConnInfo) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil && t.conn.Writes() != t.writesBefore {
		t.sent = true
	}
	strict, ok := info.Conn.(*stricthttp.Conn)
	if !ok {
		t.sent = true // writes to an unknown connection are not counted
		return
	}
	conn := strict.NetConn().(*Conn) // as dialled
	t.conn = conn
	t.writesBefore = conn.Writes()
}

// finish seals the last connection of a failed request, so that no byte of it is sent any more,
// and reports whether one may have been.
func (t *sendTracker) finish() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conn != nil && t.conn.seal() != t.writesBefore {
		t.sent = true
	}
	return t.sent
}

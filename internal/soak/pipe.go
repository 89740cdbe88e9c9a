package soak

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// pipeListener is a net.Listener for in-memory connections, so that the real HTTP server runs in
// virtual time.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// clientConn is the client's end of a connection, with buffered writes. A pipe has no buffer: a
// server that responds before it has read the whole request would make the client's write fail,
// which the buffers of TCP prevent.
type clientConn struct {
	net.Conn
	writes chan []byte
	done   chan struct{}
	once   sync.Once
}

// maxWrites is the number of writes that clientConn buffers.
const maxWrites = 256

// newClientConn returns a connection that buffers the writes to c.
func newClientConn(c net.Conn) *clientConn {
	b := &clientConn{Conn: c, writes: make(chan []byte, maxWrites), done: make(chan struct{})}
	go b.pump()
	return b
}

// pump passes the buffered writes on until the connection is closed. It ignores write errors:
// data that the server does not read is dropped.
func (c *clientConn) pump() {
	for {
		select {
		case b := <-c.writes:
			_, _ = c.Conn.Write(b)
		case <-c.done:
			return
		}
	}
}

// Write implements net.Conn.
func (c *clientConn) Write(b []byte) (int, error) {
	select {
	case c.writes <- append([]byte(nil), b...):
		return len(b), nil
	case <-c.done:
		return 0, net.ErrClosed
	}
}

// Close implements net.Conn.
func (c *clientConn) Close() error {
	c.once.Do(func() { close(c.done) })
	return c.Conn.Close()
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// Accept implements net.Listener.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(10, 0, 0, 1), Port: 80} }

// dial connects to the listener.
func (l *pipeListener) dial(ctx context.Context) (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return newClientConn(near), nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// client returns an HTTP client that connects to the listener whatever the URL's host is.
func (l *pipeListener) client() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		DialContext:        func(ctx context.Context, _, _ string) (net.Conn, error) { return l.dial(ctx) },
	}}
}

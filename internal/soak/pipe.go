package soak

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// pipeListener takes connections in memory, so that the real HTTP server runs
// in virtual time.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// newPipeListener returns an open listener.
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
		return near, nil
	case <-l.closed:
		return nil, net.ErrClosed
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// client returns an HTTP client that reaches the listener alone.
func (l *pipeListener) client() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DisableKeepAlives:  true,
		DisableCompression: true,
		DialContext:        func(ctx context.Context, _, _ string) (net.Conn, error) { return l.dial(ctx) },
	}}
}

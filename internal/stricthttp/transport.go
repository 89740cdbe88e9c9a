package stricthttp

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// Transport is an http.Transport over connections that are a Conn.
type Transport struct{ *http.Transport }

// NewTransport makes t open its connections as a Conn. t.DialContext must be set, and t must not be used otherwise.
// A connection carries no further request after a response with a status for which retires returns true; nil stands
// for none. A request that comes to such a connection fails with ErrRetired.
func NewTransport(t *http.Transport, retires func(status int) bool) *Transport {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &Conn{Conn: c, retires: retires}, nil
	}
	return &Transport{t}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var conn atomic.Pointer[Conn] // the latest that was tried
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*Conn); ok {
				c.Expect(r.Method)
				conn.Store(c)
			}
		},
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if c := conn.Load(); c != nil {
				c.Written(info.Err)
			}
		},
	}
	return t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}

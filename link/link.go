// Package link defines how the processes of the system exchange messages. A Link
// is a connection between two processes, over which either may call the other.
package link

import (
	"context"
	"errors"
	"net"

	"zinniapin/machine"
	"zinniapin/wire"
)

// Errors of links. Callers test for them with errors.Is.
var (
	// ErrClosed means that the link has ended.
	ErrClosed = errors.New("link: closed")
	// ErrTooLarge means that a message exceeds MaxMessageBytes.
	ErrTooLarge = errors.New("link: message too large")
)

// MaxMessageBytes is the maximum size of one message.
const MaxMessageBytes = 16 << 20

// ProtocolVersion is the version of the link protocol of this program. Only
// processes with equal versions open links.
const ProtocolVersion = 1

// Link is a connection to another process. It is safe for concurrent use.
type Link interface {
	// Peer returns the process at the other end, as described by its Hello.
	Peer() machine.Process
	// Call sends a request and returns the reply. If the reply is a Failure,
	// Call returns it as a *result.Error.
	Call(ctx context.Context, request *wire.Envelope) (*wire.Envelope, error)
	// Open sends a request that asks for a stream and returns the reply. If the peer grants the stream, it is
	// returned as well and outlives ctx; the caller must close it.
	Open(ctx context.Context, request *wire.Envelope) (reply *wire.Envelope, stream net.Conn, err error)
	// Done is closed when the link has ended.
	Done() <-chan struct{}
	// Close ends the link and the calls under way.
	Close() error
}

// Handler serves the calls of peers. Serve is called concurrently.
type Handler interface {
	Serve(ctx context.Context, from Link, request *wire.Envelope) (*wire.Envelope, error)
}

// StreamHandler is a Handler that grants streams. For a request that asks for one, Open is called in place of Serve.
// If it returns serve, that is called with the stream once the reply was sent, and the stream is closed when it
// returns.
type StreamHandler interface {
	Handler
	Open(ctx context.Context, from Link, request *wire.Envelope) (reply *wire.Envelope, serve func(net.Conn), err error)
}

// AsksForStream tells whether a request asks for a stream.
func AsksForStream(request *wire.Envelope) bool { return request.GetTunnelRequest() != nil }

// Grants tells whether a reply grants the stream that was asked for.
func Grants(reply *wire.Envelope) bool {
	r := reply.GetTunnelReply()
	return r != nil && r.Outcome == wire.TunnelReply_CONNECTED
}

// HandlerFunc is a function used as a Handler.
type HandlerFunc func(ctx context.Context, from Link, request *wire.Envelope) (*wire.Envelope, error)

// Serve implements Handler.
func (f HandlerFunc) Serve(ctx context.Context, from Link, request *wire.Envelope) (*wire.Envelope, error) {
	return f(ctx, from, request)
}

// Network opens and accepts links. Package yamuxlink implements it over TCP,
// package memlink in memory for tests in virtual time.
type Network interface {
	// Dial opens a link to address and serves the peer's calls with h.
	Dial(ctx context.Context, address string, h Handler) (Link, error)
	// Listen accepts links at address and calls accept for each, until stop
	// closes the listener. It returns the address that it is bound to.
	Listen(address string, h Handler, accept func(Link)) (bound string, stop func() error, err error)
}

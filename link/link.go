// Package link carries messages between the processes of the system. A Link
// joins two processes; either may call the other over it.
package link

import (
	"context"
	"errors"

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

// MaxMessageBytes bounds one message, in bytes.
const MaxMessageBytes = 16 << 20

// ProtocolVersion is the version of the messages that this program speaks.
const ProtocolVersion = 1

// Link joins this process to another. It is safe for concurrent use.
type Link interface {
	// Peer is the process at the other end, as it said in its Hello.
	Peer() machine.Process
	// Call sends a request and returns the reply. A Failure comes back as a
	// *result.Error.
	Call(ctx context.Context, request *wire.Envelope) (*wire.Envelope, error)
	// Done is closed when the link has ended.
	Done() <-chan struct{}
	// Close ends the link and its calls.
	Close() error
}

// Handler serves the calls of peers. It is called concurrently.
type Handler interface {
	Serve(ctx context.Context, from Link, request *wire.Envelope) (*wire.Envelope, error)
}

// HandlerFunc is a function that serves calls.
type HandlerFunc func(ctx context.Context, from Link, request *wire.Envelope) (*wire.Envelope, error)

// Serve implements Handler.
func (f HandlerFunc) Serve(ctx context.Context, from Link, request *wire.Envelope) (*wire.Envelope, error) {
	return f(ctx, from, request)
}

// Network makes links. The yamux network runs over TCP; the in-memory network
// serves tests in virtual time.
type Network interface {
	// Dial opens a link to address and serves the peer's calls with h.
	Dial(ctx context.Context, address string, h Handler) (Link, error)
	// Listen takes links at address and calls accept for each, until the
	// returned function closes the listener.
	Listen(address string, h Handler, accept func(Link)) (bound string, stop func() error, err error)
}

// Package yamuxlink implements links over TCP. A new connection starts with a
// mutual TLS handshake and a Hello from each side; then it carries a yamux session
// in which each call has a stream of its own, with one request and one reply.
package yamuxlink

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/yamux"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"zinniapin/daemon"
	"zinniapin/event"
	"zinniapin/intake"
	"zinniapin/link"
	"zinniapin/machine"
	"zinniapin/result"
	"zinniapin/wire"
)

const (
	// helloTimeout bounds the handshake of a new link, from the dial to the Hello.
	helloTimeout = 5 * time.Second
	// maxHelloBytes bounds the size of a Hello, which is read before the identity
	// of the peer has been checked.
	maxHelloBytes = 4 << 10
	// keepAliveInterval is the interval between two yamux keep-alive probes.
	keepAliveInterval = 10 * time.Second
	// handshakeBytes bounds the input of a handshake, and handshakeCopies is how often
	// it is held.
	handshakeBytes  = 128 << 10
	handshakeCopies = 2
)

// Network opens and accepts links over TCP. Its fields must not change once it is
// in use.
type Network struct {
	// Self describes this process; it is sent in the Hello.
	Self machine.Process
	// TLS secures the links; nil means plaintext.
	TLS *tls.Config
	// Log receives the events of links.
	Log *zerolog.Logger
	// Intake bounds what the accepted links make the process hold, and Kind is the kind of their address; with a nil Intake
	// nothing is bounded.
	Intake *intake.Budget
	Kind   intake.Kind
	// Reaches reports whether links to an address can be opened; nil if all can. Tests cut hosts off
	// with it.
	Reaches func(address string) bool

	refusals, identityRefusals refusalLog
}

var _ link.Network = (*Network)(nil)

// Dial implements link.Network.
func (n *Network) Dial(ctx context.Context, address string, h link.Handler) (link.Link, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	if n.Reaches != nil && !n.Reaches(address) {
		<-ctx.Done()
		return nil, result.Wrap(ctx.Err(), result.LinkFailed, "cannot connect to the process").At(address)
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, result.Wrap(err, result.LinkFailed, "cannot connect to the process").At(address)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	s, err := n.clientHandshake(ctx, conn, h)
	if err != nil {
		_ = conn.Close()
		return nil, link.CallError(err)
	}
	return s, nil
}

// clientHandshake turns a connection that this process dialled into a link.
func (n *Network) clientHandshake(ctx context.Context, conn net.Conn, h link.Handler) (*session, error) {
	conn, certificate, err := n.tlsHandshake(ctx, conn, tls.Client)
	if err != nil {
		return nil, err
	}
	if err := n.sendHello(conn); err != nil {
		return nil, err
	}
	peer, err := receiveHello(conn)
	if err != nil {
		return nil, err
	}
	if err := checkListenerIdentity(peer, certificate); err != nil {
		n.logRefusal(conn, err)
		return nil, err
	}
	return startSession(conn, peer, h, yamux.Client)
}

// serverHandshake turns a connection that a peer dialled into a link. If it
// refuses the peer's Hello, it sends the reason as a Failure.
func (n *Network) serverHandshake(ctx context.Context, conn net.Conn, h link.Handler) (*session, error) {
	conn, certificate, err := n.tlsHandshake(ctx, conn, tls.Server)
	if err != nil {
		return nil, err
	}
	peer, err := receiveHello(conn)
	if err == nil {
		err = checkIdentity(peer, certificate)
	}
	if err != nil {
		_ = writeMessage(conn, link.FailureOf(err), maxHelloBytes)
		return nil, err
	}
	if err := n.sendHello(conn); err != nil {
		return nil, err
	}
	return startSession(conn, peer, h, yamux.Server)
}

// tlsHandshake runs the TLS handshake, if TLS is configured, and returns the
// connection to use and the peer's certificate. Without TLS the certificate is
// nil. side is tls.Client or tls.Server.
func (n *Network) tlsHandshake(ctx context.Context, conn net.Conn, side func(net.Conn, *tls.Config) *tls.Conn) (net.Conn, *x509.Certificate, error) {
	_ = conn.SetDeadline(time.Now().Add(helloTimeout))
	if n.TLS == nil {
		return conn, nil, nil
	}
	secured := side(conn, n.TLS)
	if err := secured.HandshakeContext(ctx); err != nil {
		return nil, nil, result.Wrap(err, result.LinkRefused, "the TLS handshake failed")
	}
	return secured, secured.ConnectionState().PeerCertificates[0], nil
}

// sendHello sends the Hello of this process.
func (n *Network) sendHello(conn net.Conn) error {
	hello := &wire.Envelope{Body: &wire.Envelope_Hello{Hello: link.HelloOf(n.Self)}}
	return writeMessage(conn, hello, maxHelloBytes)
}

// receiveHello reads the peer's Hello and returns the process that it describes,
// or the error that the peer sent instead.
func receiveHello(conn net.Conn) (machine.Process, error) {
	message, done, err := readMessage(conn, maxHelloBytes, &hold{})
	if err != nil {
		return machine.Process{}, err
	}
	defer done()
	if err := link.ErrorOf(message); err != nil {
		return machine.Process{}, err
	}
	return link.ProcessOf(message.GetHello())
}

// startSession starts the yamux session on a connection and serves the peer's
// calls. side is yamux.Client or yamux.Server.
func startSession(conn net.Conn, peer machine.Process, h link.Handler, side func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error)) (*session, error) {
	_ = conn.SetDeadline(time.Time{})
	config := yamux.DefaultConfig()
	config.KeepAliveInterval = keepAliveInterval
	config.LogOutput = io.Discard
	held := newHold(conn)
	if held.conn != nil {
		held.conn.EndHead()
		held.conn.Rest()
		if err := held.conn.Serve(); err != nil { // for what the kernel keeps of this process's messages
			return nil, trace.Wrap(err)
		}
		held.conn.Yield()
		conn = &countedConn{Conn: conn, hold: held}
	}
	mux, err := side(conn, config)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s := &session{mux: mux, peer: peer, handler: h, callSlots: make(chan struct{}, maxConcurrentCalls), hold: held}
	go s.serve()
	return s, nil
}

// Listen implements link.Network.
func (n *Network) Listen(address string, h link.Handler, accept func(link.Link)) (string, func() error, error) {
	listener, err := daemon.Listen("links", address, n.Intake, n.Kind)
	if err != nil {
		return "", nil, err
	}
	go n.acceptAll(listener, h, accept)
	stop := func() error { return trace.Wrap(listener.Close()) }
	return listener.Addr().String(), stop, nil
}

// Bounds of the log lines on refused connections of one kind.
const (
	refusalLogRate  = 10 // lines a second
	refusalLogBurst = 20 // lines
)

// refusalLog bounds the log lines on refused connections of one kind.
type refusalLog struct {
	once     sync.Once
	rate     *rate.Limiter
	unlogged atomic.Int64 // refusals since the latest line
}

// take returns whether a refusal is logged, and how many before it were not.
func (l *refusalLog) take() (logged bool, unlogged int64) {
	l.once.Do(func() { l.rate = rate.NewLimiter(refusalLogRate, refusalLogBurst) })
	if !l.rate.Allow() {
		l.unlogged.Add(1)
		return false, 0
	}
	return true, l.unlogged.Swap(0)
}

// logRefusal logs why a connection was refused, within a bound. An identity that the
// certificate does not support has an event and a bound of its own.
func (n *Network) logRefusal(conn net.Conn, err error) {
	kind, bound := event.LinkPeerRefused, &n.refusals
	if result.CodeOf(err) == result.LinkIdentityRefused {
		kind, bound = event.LinkIdentityRefused, &n.identityRefusals
	}
	if logged, unlogged := bound.take(); logged {
		kind.Log(n.Log).Str("from", conn.RemoteAddr().String()).Int64("unlogged", unlogged).Err(err).Send()
	}
}

// acceptAll accepts connections until the listener closes.
func (n *Network) acceptAll(listener net.Listener, h link.Handler, accept func(link.Link)) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptRetryDelay)
			continue
		}
		go n.acceptOne(conn, h, accept)
	}
}

// acceptRetryDelay is the delay before the next accept after one failed, for
// example because the process had no free file descriptor.
const acceptRetryDelay = 100 * time.Millisecond

// acceptOne runs the handshake of one connection and passes the link to accept.
func (n *Network) acceptOne(conn net.Conn, h link.Handler, accept func(link.Link)) {
	ctx, cancel := context.WithTimeout(context.Background(), helloTimeout)
	defer cancel()
	intake.ConnOf(conn).CountHead(handshakeBytes, handshakeCopies)
	s, err := n.serverHandshake(ctx, conn, h)
	if err != nil {
		n.logRefusal(conn, err)
		_ = conn.Close()
		return
	}
	accept(s)
}

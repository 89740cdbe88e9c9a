// Package yamuxlink carries links over TCP: mutual TLS, one Hello each way,
// then a yamux session with one request and one reply a stream.
package yamuxlink

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"io"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/yamux"
	"github.com/rs/zerolog"

	"zinniapin/daemon"
	"zinniapin/event"
	"zinniapin/link"
	"zinniapin/machine"
	"zinniapin/result"
	"zinniapin/wire"
)

const (
	// helloTimeout bounds the handshake of a new link.
	helloTimeout = 5 * time.Second
	// helloBytes bounds a Hello, which comes from an unchecked peer.
	helloBytes = 4 << 10
	// keepAlive is the interval at which a silent peer is probed.
	keepAlive = 10 * time.Second
	// maxHandshakes bounds the handshakes under way at one listener.
	maxHandshakes = 64
)

// Network makes links over TCP. Self must not change once it is in use.
type Network struct {
	// Self is what this process says of itself.
	Self machine.Process
	// TLS secures the links; nil means plaintext.
	TLS *tls.Config
	// Log takes the events of links.
	Log *zerolog.Logger
}

var _ link.Network = (*Network)(nil)

// Dial implements link.Network.
func (n *Network) Dial(ctx context.Context, address string, h link.Handler) (link.Link, error) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, result.Wrap(err, result.LinkFailed, "cannot reach the process").At(address)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	s, err := n.open(ctx, conn, h)
	if err != nil {
		_ = conn.Close()
		return nil, link.CallError(err)
	}
	return s, nil
}

// open makes a link of a connection that this process dialled.
func (n *Network) open(ctx context.Context, conn net.Conn, h link.Handler) (*session, error) {
	conn, shown, err := n.secure(ctx, conn, tls.Client)
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
	if err := identifyListener(peer, shown); err != nil {
		n.refused(conn, err)
		return nil, err
	}
	return start(conn, peer, h, yamux.Client)
}

// take makes a link of a connection that a peer dialled.
func (n *Network) take(ctx context.Context, conn net.Conn, h link.Handler) (*session, error) {
	conn, shown, err := n.secure(ctx, conn, tls.Server)
	if err != nil {
		return nil, err
	}
	peer, err := receiveHello(conn)
	if err == nil {
		err = identify(peer, shown)
	}
	if err != nil {
		_ = writeMessage(conn, link.FailureOf(err), helloBytes)
		return nil, err
	}
	if err := n.sendHello(conn); err != nil {
		return nil, err
	}
	return start(conn, peer, h, yamux.Server)
}

// secure runs the TLS handshake and returns the peer's certificate, nil without
// TLS.
func (n *Network) secure(ctx context.Context, conn net.Conn, side func(net.Conn, *tls.Config) *tls.Conn) (net.Conn, *x509.Certificate, error) {
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

// sendHello says who this process is.
func (n *Network) sendHello(conn net.Conn) error {
	hello := &wire.Envelope{Body: &wire.Envelope_Hello{Hello: link.HelloOf(n.Self)}}
	return writeMessage(conn, hello, helloBytes)
}

// receiveHello reads who the peer says it is.
func receiveHello(conn net.Conn) (machine.Process, error) {
	message, err := readMessage(conn, helloBytes)
	if err != nil {
		return machine.Process{}, err
	}
	if err := link.ErrorOf(message); err != nil {
		return machine.Process{}, err
	}
	return link.ProcessOf(message.GetHello())
}

// start begins the yamux session and serves the peer's calls.
func start(conn net.Conn, peer machine.Process, h link.Handler, side func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error)) (*session, error) {
	_ = conn.SetDeadline(time.Time{})
	config := yamux.DefaultConfig()
	config.KeepAliveInterval = keepAlive
	config.LogOutput = io.Discard
	mux, err := side(conn, config)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	s := &session{mux: mux, peer: peer, handler: h, serving: make(chan struct{}, maxServing)}
	go s.serve()
	return s, nil
}

// Listen implements link.Network.
func (n *Network) Listen(address string, h link.Handler, accept func(link.Link)) (string, func() error, error) {
	listener, err := daemon.Listen("links", address)
	if err != nil {
		return "", nil, err
	}
	go n.acceptAll(listener, h, accept)
	stop := func() error { return trace.Wrap(listener.Close()) }
	return listener.Addr().String(), stop, nil
}

// refused logs why a connection became no link. A false identity has an event
// of its own.
func (n *Network) refused(conn net.Conn, err error) {
	kind := event.LinkPeerRefused
	if result.CodeOf(err) == result.LinkIdentityRefused {
		kind = event.LinkIdentityRefused
	}
	kind.Log(n.Log).Str("from", conn.RemoteAddr().String()).Err(err).Send()
}

// acceptAll takes connections until the listener closes.
func (n *Network) acceptAll(listener net.Listener, h link.Handler, accept func(link.Link)) {
	handshakes := make(chan struct{}, maxHandshakes)
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(acceptPause)
			continue
		}
		handshakes <- struct{}{}
		go func() {
			defer func() { <-handshakes }()
			n.acceptOne(conn, h, accept)
		}()
	}
}

// acceptPause is the wait after a failed accept, such as one that found no
// free file descriptor.
const acceptPause = 100 * time.Millisecond

// acceptOne runs the handshake of one connection.
func (n *Network) acceptOne(conn net.Conn, h link.Handler, accept func(link.Link)) {
	ctx, cancel := context.WithTimeout(context.Background(), helloTimeout)
	defer cancel()
	s, err := n.take(ctx, conn, h)
	if err != nil {
		n.refused(conn, err)
		_ = conn.Close()
		return
	}
	accept(s)
}

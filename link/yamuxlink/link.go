package yamuxlink

import (
	"context"
	"net"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/yamux"

	"zinniapin/link"
	"zinniapin/machine"
	"zinniapin/wire"
)

const (
	// callTimeout bounds a call whose context has no earlier deadline.
	callTimeout = 10 * time.Second
	// serveTimeout bounds the handling of one call.
	serveTimeout = 30 * time.Second
	// maxConcurrentCalls bounds the calls of one peer that are served at the same
	// time.
	maxConcurrentCalls = 64
)

// session implements link.Link over a yamux session.
type session struct {
	mux       *yamux.Session
	peer      machine.Process
	handler   link.Handler
	callSlots chan struct{}
}

var _ link.Link = (*session)(nil)

// Peer implements link.Link.
func (s *session) Peer() machine.Process {
	return s.peer
}

// Done implements link.Link.
func (s *session) Done() <-chan struct{} {
	return s.mux.CloseChan()
}

// Close implements link.Link.
func (s *session) Close() error {
	return trace.Wrap(s.mux.Close())
}

// Call implements link.Link.
func (s *session) Call(ctx context.Context, request *wire.Envelope) (*wire.Envelope, error) {
	reply, err := s.exchange(ctx, request)
	if err != nil {
		return nil, link.CallError(err)
	}
	if err := link.ErrorOf(reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// exchange opens a stream for the call, sends the request and reads the reply.
func (s *session) exchange(ctx context.Context, request *wire.Envelope) (*wire.Envelope, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stream, err := s.mux.OpenStream()
	if err != nil {
		return nil, trace.NewAggregate(link.ErrClosed, err)
	}
	defer func() { _ = stream.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := writeMessage(stream, request, link.MaxMessageBytes); err != nil {
		return nil, err
	}
	reply, err := readMessage(stream, link.MaxMessageBytes)
	if err != nil && ctx.Err() != nil {
		return nil, trace.Wrap(ctx.Err())
	}
	return reply, err
}

// serve accepts and serves the peer's calls until the session ends. The end of
// the session cancels the contexts of the calls under way.
func (s *session) serve() {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for {
		stream, err := s.mux.AcceptStream()
		if err != nil {
			return
		}
		s.callSlots <- struct{}{}
		go s.serveCall(ctx, stream)
	}
}

// serveCall reads the request of one call from a stream, serves it and writes the
// reply, or a Failure if the reply cannot be sent.
func (s *session) serveCall(ctx context.Context, stream net.Conn) {
	defer func() { <-s.callSlots }()
	defer func() { _ = stream.Close() }()
	_ = stream.SetDeadline(time.Now().Add(serveTimeout))
	request, err := readMessage(stream, link.MaxMessageBytes)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	reply, err := s.handler.Serve(ctx, s, request)
	if err != nil {
		reply = link.FailureOf(err)
	}
	if err := writeMessage(stream, reply, link.MaxMessageBytes); err != nil {
		_ = writeMessage(stream, link.FailureOf(err), link.MaxMessageBytes)
	}
}

package yamuxlink

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/hashicorp/yamux"

	"zinniapin/invariant"
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
	hold      *hold
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

// Open implements link.Link.
func (s *session) Open(ctx context.Context, request *wire.Envelope) (*wire.Envelope, net.Conn, error) {
	stream, err := s.mux.OpenStream()
	if err != nil {
		return nil, nil, link.CallError(trace.NewAggregate(link.ErrClosed, err))
	}
	reply, err := s.exchangeOn(ctx, stream, request)
	if err == nil {
		err = link.ErrorOf(reply)
	}
	if err == nil && link.Grants(reply) && ctx.Err() == nil {
		_ = stream.SetDeadline(time.Time{})
		return reply, stream, nil
	}
	_ = stream.Close()
	if err == nil && link.Grants(reply) {
		err = ctx.Err()
	}
	return reply, nil, link.CallError(err)
}

// exchange opens a stream for the call, sends the request and reads the reply.
func (s *session) exchange(ctx context.Context, request *wire.Envelope) (*wire.Envelope, error) {
	stream, err := s.mux.OpenStream()
	if err != nil {
		return nil, trace.NewAggregate(link.ErrClosed, err)
	}
	defer func() { _ = stream.Close() }()
	return s.exchangeOn(ctx, stream, request)
}

// exchangeOn sends a request on a stream and reads the reply.
func (s *session) exchangeOn(ctx context.Context, stream net.Conn, request *wire.Envelope) (*wire.Envelope, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = stream.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if err := writeMessage(stream, request, link.MaxMessageBytes); err != nil {
		return nil, err
	}
	reply, done, err := readMessage(stream, link.MaxMessageBytes, s.hold)
	if err != nil && ctx.Err() != nil {
		return nil, trace.Wrap(ctx.Err())
	}
	if err != nil {
		return nil, err
	}
	done() // the caller of this process takes the reply over
	s.hold.served()
	return reply, nil
}

// serve accepts and serves the peer's calls until the session ends. The end of
// the session cancels the contexts of the calls under way.
func (s *session) serve() {
	s.hold.conn.Retain()
	defer s.hold.conn.Drop()
	defer s.hold.end()
	var calls sync.WaitGroup
	defer calls.Wait() // what they hold is counted until then
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for {
		stream, err := s.mux.AcceptStream()
		if err != nil {
			return
		}
		s.callSlots <- struct{}{}
		counted := &countedStream{stream, s.hold}
		calls.Go(func() {
			defer func() { _ = counted.Close() }()
			if serve := s.serveInSlot(ctx, counted); serve != nil { // streams outlive their calls and take no slot
				defer invariant.Contain("stream of a link", nil)
				s.hold.addTunnels(1)
				defer s.hold.addTunnels(-1)
				serve(counted)
			}
		})
	}
}

// serveInSlot is serveCall, and frees the slot of the call.
func (s *session) serveInSlot(ctx context.Context, stream net.Conn) (serve func(net.Conn)) {
	defer func() { <-s.callSlots }()
	defer invariant.Contain("call over a link", nil)
	return s.serveCall(ctx, stream)
}

// serveCall reads the request of one call from a stream, serves it and writes the
// reply, or a Failure if the reply cannot be sent. It returns what goes on with the stream, or nil.
func (s *session) serveCall(ctx context.Context, stream net.Conn) func(net.Conn) {
	_ = stream.SetDeadline(time.Now().Add(serveTimeout))
	request, done, err := readMessage(stream, link.MaxMessageBytes, s.hold)
	if err != nil {
		return nil
	}
	defer done()
	s.hold.served()
	ctx, cancel := context.WithTimeout(ctx, serveTimeout)
	defer cancel()
	var reply *wire.Envelope
	var serve func(net.Conn)
	if h, ok := s.handler.(link.StreamHandler); ok && link.AsksForStream(request) {
		reply, serve, err = h.Open(ctx, s, request)
	} else {
		reply, err = s.handler.Serve(ctx, s, request)
	}
	if err != nil {
		reply, serve = link.FailureOf(err), nil
	}
	if err := writeMessage(stream, reply, link.MaxMessageBytes); err != nil && serve == nil {
		_ = writeMessage(stream, link.FailureOf(err), link.MaxMessageBytes)
	}
	_ = stream.SetDeadline(time.Time{})
	return serve
}

package yamuxlink

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/invariant"
	"zinniapin/link"
	"zinniapin/wire"
)

// panickingHandler panics on calls, and on streams once they are open, that name the topic or target "panic".
type panickingHandler struct{ link.HandlerFunc }

// Serve implements link.Handler.
func (h panickingHandler) Serve(ctx context.Context, from link.Link, request *wire.Envelope) (*wire.Envelope, error) {
	if request.GetStatusRequest().Topic == "panic" {
		panic("provoked")
	}
	return h.HandlerFunc.Serve(ctx, from, request)
}

// Open implements link.StreamHandler.
func (h panickingHandler) Open(ctx context.Context, from link.Link, request *wire.Envelope) (*wire.Envelope, func(net.Conn), error) {
	reply, serve, err := echoStreams{}.Open(ctx, from, request)
	if request.GetTunnelRequest().Target == "panic" {
		serve = func(net.Conn) { panic("provoked") }
	}
	return reply, serve, err
}

// Guards against a call or a stream of another process that ends this one (LOST): it ends alone, and its slot is free again.
func TestPanicWithinACallEndsThatCallOnly(t *testing.T) {
	invariant.Tolerate(t)
	is := is.New(t)
	address, stop, err := newNetwork("host-b", nil).Listen("127.0.0.1:0", panickingHandler{echo}, func(link.Link) {})
	is.NoErr(err)
	t.Cleanup(func() { _ = stop() })
	l, err := newNetwork("host-a", nil).Dial(context.Background(), address, echo)
	is.NoErr(err)
	t.Cleanup(func() { _ = l.Close() })
	ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
	defer cancel()
	for range maxConcurrentCalls + 1 {
		_, err := l.Call(ctx, statusRequest("panic", ""))
		is.True(err != nil)
	}
	_, stream, err := l.Open(ctx, tunnelRequest("panic"))
	is.NoErr(err)
	_ = stream.SetReadDeadline(time.Now().Add(eventTimeout))
	_, err = stream.Read(make([]byte, 1))
	is.Equal(err, io.EOF)
	_, err = l.Call(ctx, statusRequest("echo", "hello"))
	is.NoErr(err)
}

package yamuxlink

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/link"
	"zinniapin/result"
	"zinniapin/wire"
)

// echoStreams grants each stream and sends back what comes on it.
type echoStreams struct{ link.HandlerFunc }

// Open implements link.StreamHandler.
func (echoStreams) Open(_ context.Context, _ link.Link, request *wire.Envelope) (*wire.Envelope, func(net.Conn), error) {
	if request.GetTunnelRequest().Target == "" {
		return nil, nil, result.New(result.LinkRefused, "no target is named")
	}
	outcome := wire.TunnelReply_CONNECTED
	if request.GetTunnelRequest().Target == "none" {
		outcome = wire.TunnelReply_NO_WAY
	}
	return &wire.Envelope{Body: &wire.Envelope_TunnelReply{TunnelReply: &wire.TunnelReply{Outcome: outcome}}}, func(c net.Conn) { _, _ = io.Copy(c, c) }, nil
}

// linkToEcho returns a link to a process that grants each stream.
func linkToEcho(t *testing.T) link.Link {
	t.Helper()
	address, stop, err := newNetwork("host-b", nil).Listen("127.0.0.1:0", echoStreams{echo}, func(link.Link) {})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = stop() })
	l, err := newNetwork("host-a", nil).Dial(context.Background(), address, echo)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	return l
}

// tunnelRequest returns a request for a tunnel to a target.
func tunnelRequest(id string) *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_TunnelRequest{TunnelRequest: &wire.TunnelRequest{Target: id}}}
}

// Streams outlive the calls by which they were opened and leave room for calls, however many there are.
func TestStreamsOutliveTheirCalls(t *testing.T) {
	is := is.New(t)
	l := linkToEcho(t)
	var streams []net.Conn
	for range maxConcurrentCalls + 10 {
		ctx, cancel := context.WithTimeout(context.Background(), eventTimeout)
		reply, stream, err := l.Open(ctx, tunnelRequest("t"))
		cancel()
		is.NoErr(err)
		is.True(link.Grants(reply))
		streams = append(streams, stream)
	}
	_, err := l.Call(context.Background(), statusRequest("echo", "hello"))
	is.NoErr(err)
	got := make([]byte, 2)
	for _, s := range streams {
		_, err := s.Write([]byte("ok"))
		is.NoErr(err)
		_, err = io.ReadFull(s, got)
		is.NoErr(err)
		is.Equal(string(got), "ok")
	}
	is.NoErr(l.Close())
	_ = streams[0].SetReadDeadline(time.Now().Add(eventTimeout))
	_, err = streams[0].Read(got)
	is.True(err != nil) // a stream ends with its link
}

func TestStreamThatIsNotGranted(t *testing.T) {
	is := is.New(t)
	l := linkToEcho(t)
	reply, stream, err := l.Open(context.Background(), tunnelRequest("none"))
	is.NoErr(err)
	is.True(stream == nil)
	is.Equal(reply.GetTunnelReply().Outcome, wire.TunnelReply_NO_WAY)
	_, stream, err = l.Open(context.Background(), tunnelRequest(""))
	is.Equal(result.CodeOf(err), result.LinkRefused)
	is.True(stream == nil)
}

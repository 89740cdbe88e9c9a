package tunnel_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/internal/standin/faulty"
	"zinniapin/link"
	"zinniapin/link/memlink"
	"zinniapin/machine"
	"zinniapin/socket"
	"zinniapin/tunnel"
	"zinniapin/wire"
)

// pair is two hosts with a link, of which one connects to a target for the other.
type pair struct {
	client  *tunnel.Client
	server  *tunnel.Server
	handler link.Handler  // of the second
	address string        // of the second
	targets chan net.Conn // accepted at the target
}

// serving serves requests for tunnels.
type serving struct {
	link.HandlerFunc
	server  *tunnel.Server
	connect tunnel.Connect
}

// Open implements link.StreamHandler.
func (s serving) Open(ctx context.Context, _ link.Link, request *wire.Envelope) (*wire.Envelope, func(net.Conn), error) {
	reply, serve := s.server.Open(ctx, request.GetTunnelRequest(), s.connect)
	return reply, serve, nil
}

// newPair starts the two hosts and a target.
func newPair(t *testing.T) *pair {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	p := &pair{targets: make(chan net.Conn, 8), server: &tunnel.Server{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.targets <- c
		}
	}()
	connect := func(_ context.Context, request *wire.TunnelRequest) (net.Conn, wire.TunnelReply_Outcome) {
		if request.Target != "t" {
			return nil, wire.TunnelReply_NO_WAY
		}
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			return nil, wire.TunnelReply_REFUSED
		}
		return c, wire.TunnelReply_CONNECTED
	}
	fabric := memlink.NewFabric()
	far := fabric.Network(machine.Process{Host: "far", Role: machine.Node})
	p.handler, p.address = serving{server: p.server, connect: connect}, "far"
	if _, _, err := far.Listen(p.address, p.handler, func(link.Link) {}); err != nil {
		t.Fatal(err)
	}
	p.client = &tunnel.Client{Network: fabric.Network(machine.Process{Host: "near", Role: machine.Node})}
	return p
}

// open opens a tunnel and returns both of its ends.
func (p *pair) open(t *testing.T) (near *tunnel.Conn, far net.Conn) {
	t.Helper()
	near, outcome, err := p.client.Open(t.Context(), p.address, "t", 0)
	if err != nil || outcome != wire.TunnelReply_CONNECTED {
		t.Fatal(outcome, err)
	}
	far = <-p.targets
	t.Cleanup(func() { _, _ = near.Close(), far.Close() })
	return near, far
}

func TestBytesPassInBothDirections(t *testing.T) {
	is := is.New(t)
	near, far := newPair(t).open(t)
	sent := bytes.Repeat([]byte("0123456789"), 20_000)
	go func() { _, _ = near.Write(sent) }()
	got := make([]byte, len(sent))
	_, err := io.ReadFull(far, got)
	is.NoErr(err)
	is.True(bytes.Equal(got, sent))
	go func() {
		_, _ = far.Write(sent)
		_ = far.Close()
	}()
	got, err = io.ReadAll(near)
	is.NoErr(err) // the target has ended its connection properly
	is.True(bytes.Equal(got, sent))
}

// An answer without a length is whole only if the target itself has ended its connection: neither a reset nor the end of
// the host in between may look like that.
func TestEndsOfATargetAreToldApart(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(p *pair, far net.Conn)
		want error
	}{
		"closed": {func(_ *pair, far net.Conn) { _ = far.Close() }, io.EOF},
		"reset":  {func(_ *pair, far net.Conn) { socket.Reset(far) }, syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newPair(t)
			near, far := p.open(t)
			_, _ = far.Write([]byte("part"))
			got := make([]byte, 4)
			_, err := io.ReadFull(near, got)
			is.NoErr(err)
			c.end(p, far)
			_, err = near.Read(got)
			is.True(errors.Is(err, c.want))
		})
	}
}

// A target that ends its connection while bytes to it are being written has not ended it properly, though the kernel may
// report a reset to the write alone.
func TestEndDuringAWriteIsNoEnd(t *testing.T) {
	for name, end := range faulty.Ends {
		t.Run(name, func(t *testing.T) {
			for range 5 {
				is := is.New(t)
				near, far := newPair(t).open(t)
				go func() { _, _ = near.Write(make([]byte, faulty.UploadBytes)) }()
				_, _ = far.Write([]byte("part"))
				got := make([]byte, 4)
				_, err := io.ReadFull(near, got)
				is.NoErr(err)
				time.Sleep(5 * time.Millisecond) // the write waits for the target
				go func() {
					end(far.(*net.TCPConn))
					_ = far.Close()
				}()
				_, err = near.Read(got)
				is.True(errors.Is(err, syscall.ECONNRESET))
			}
		})
	}
}

// A stream that ends without the frame that says so was lost on the way.
func TestLostTunnelIsNoEnd(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	streams := make(chan net.Conn, 1)
	fabric := memlink.NewFabric()
	far := fabric.Network(machine.Process{Host: "far", Role: machine.Node})
	_, _, err := far.Listen("far", grantAll{streams}, func(link.Link) {})
	is.NoErr(err)
	p.client.Network = fabric.Network(machine.Process{Host: "near", Role: machine.Node})
	near, _, err := p.client.Open(t.Context(), "far", "t", 0)
	is.NoErr(err)
	stream := <-streams
	go func() {
		_, _ = stream.Write([]byte{0, 0, 0, 5, 'p', 'a', 'r'})
		_ = stream.Close()
	}()
	got, err := io.ReadAll(near)
	is.Equal(string(got), "par")
	is.True(errors.Is(err, syscall.ECONNRESET))
}

// grantAll grants each tunnel and hands its stream out.
type grantAll struct{ streams chan net.Conn }

// Serve implements link.Handler.
func (grantAll) Serve(context.Context, link.Link, *wire.Envelope) (*wire.Envelope, error) {
	return nil, nil
}

// Open implements link.StreamHandler.
func (g grantAll) Open(context.Context, link.Link, *wire.Envelope) (*wire.Envelope, func(net.Conn), error) {
	held := make(chan struct{})
	return &wire.Envelope{Body: &wire.Envelope_TunnelReply{TunnelReply: &wire.TunnelReply{}}}, func(c net.Conn) {
		g.streams <- c
		<-held
	}, nil
}

func TestMalformedFramesEndATunnel(t *testing.T) {
	for name, frame := range map[string][]byte{
		"unknown kind":      {9, 0, 0, 1, 'x'},
		"empty data":        {0, 0, 0, 0},
		"long data":         {0, 0xff, 0xff, 0xff},
		"end with contents": {1, 0, 0, 1, 'x'},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			streams := make(chan net.Conn, 1)
			fabric := memlink.NewFabric()
			_, _, err := fabric.Network(machine.Process{Host: "far", Role: machine.Node}).Listen("far", grantAll{streams}, func(link.Link) {})
			is.NoErr(err)
			client := &tunnel.Client{Network: fabric.Network(machine.Process{Host: "near", Role: machine.Node})}
			near, _, err := client.Open(t.Context(), "far", "t", 0)
			is.NoErr(err)
			stream := <-streams
			go func() { _, _ = stream.Write(frame) }()
			_, err = near.Read(make([]byte, 8))
			is.True(err != nil && !errors.Is(err, io.EOF))
		})
	}
}

// A read that a deadline has ended loses nothing, also inside a frame.
func TestDeadlineLosesNothing(t *testing.T) {
	is := is.New(t)
	near, far := newPair(t).open(t)
	got := make([]byte, 8)
	for _, text := range []string{"a", "bc", "def"} {
		_ = near.SetReadDeadline(time.Unix(1, 0))
		_, err := near.Read(got)
		is.True(errors.Is(err, os.ErrDeadlineExceeded))
		_ = near.SetReadDeadline(time.Time{})
		_, _ = far.Write([]byte(text))
		n, err := io.ReadFull(near, got[:len(text)])
		is.NoErr(err)
		is.Equal(string(got[:n]), text)
	}
}

// The end of a tunnel at the host that asked for it resets the connection to the target, so that it works on nothing
// for a caller that has left.
func TestEndOfATunnelReachesTheTarget(t *testing.T) {
	is := is.New(t)
	near, far := newPair(t).open(t)
	is.NoErr(near.Close())
	_ = far.SetReadDeadline(time.Now().Add(2 * time.Second))
	_, err := far.Read(make([]byte, 1))
	is.True(errors.Is(err, syscall.ECONNRESET))
	_, err = near.Read(make([]byte, 1))
	is.True(errors.Is(err, net.ErrClosed))
}

// A host that is about to stop grants no further tunnels, says so on those that it carries, and waits for their end.
func TestHostThatStopsWaitsForItsTunnels(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	near, far := p.open(t)
	p.server.Leave()
	_, outcome, err := p.client.Open(t.Context(), "far", "t", 0)
	is.NoErr(err)
	is.Equal(outcome, wire.TunnelReply_BUSY)
	drained := make(chan struct{})
	go func() { p.server.Drain(t.Context()); close(drained) }()
	_, _ = far.Write([]byte("answer"))
	got := make([]byte, 6)
	_, err = io.ReadFull(near, got)
	is.NoErr(err)
	for begun := time.Now(); !near.Leaving() && time.Since(begun) < 2*time.Second; {
		_ = near.SetReadDeadline(time.Now().Add(20 * time.Millisecond))
		_, _ = near.Read(got)
	}
	is.True(near.Leaving())
	select {
	case <-drained:
		t.Fatal("the host did not wait for its tunnel")
	case <-time.After(50 * time.Millisecond):
	}
	is.NoErr(near.Close())
	select {
	case <-drained:
	case <-time.After(2 * time.Second):
		t.Fatal("the host waits for a tunnel that has ended")
	}
	is.Equal(p.server.Carried(), 0)
}

func TestHostWithoutAWaySaysSo(t *testing.T) {
	is := is.New(t)
	p := newPair(t)
	conn, outcome, err := p.client.Open(t.Context(), "far", "unknown", 0)
	is.NoErr(err)
	is.True(conn == nil)
	is.Equal(outcome, wire.TunnelReply_NO_WAY)
	_, _, err = p.client.Open(t.Context(), "nowhere", "t", 0)
	is.True(err != nil)
}

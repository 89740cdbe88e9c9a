package tunnel

import (
	"cmp"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"zinniapin/invariant"
	"zinniapin/socket"
	"zinniapin/wire"
)

const (
	// maxTunnels is the default of Server.Max.
	maxTunnels = 1024
	// stuckTimeout is the default of Server.StuckTimeout.
	stuckTimeout = 30 * time.Second
)

// Connect connects to the target of a request. If it returns no connection, the outcome tells why.
type Connect func(ctx context.Context, request *wire.TunnelRequest) (net.Conn, wire.TunnelReply_Outcome)

// Server carries tunnels for other hosts. It is safe for concurrent use.
type Server struct {
	// StuckTimeout is how long a target may leave bytes unread until its tunnel is ended: while they wait, the end of
	// the tunnel at the other host is not noticed. Default 30 s.
	StuckTimeout time.Duration
	// Max bounds the tunnels that are carried at a time. Default 1024.
	Max int

	mu      sync.Mutex
	open    map[*carried]struct{}
	pending int // being connected, or not yet carried
	leaving bool
	idle    chan struct{} // closed when the last tunnel ends; nil unless Drain waits
}

// carried is a tunnel that a host carries for another one.
type carried struct {
	stream, conn net.Conn
	begun, ended atomic.Int64 // number of writes to conn

	mu     sync.Mutex // guards writes to stream
	buffer [headerBytes + maxFrameBytes]byte
}

// Open answers the request for a tunnel. If it was granted, serve must be called: it carries the tunnel on a stream until
// its end.
func (s *Server) Open(ctx context.Context, request *wire.TunnelRequest, connect Connect) (reply *wire.Envelope, serve func(net.Conn)) {
	answer := func(o wire.TunnelReply_Outcome) *wire.Envelope {
		return &wire.Envelope{Body: &wire.Envelope_TunnelReply{TunnelReply: &wire.TunnelReply{Outcome: o}}}
	}
	s.mu.Lock()
	if s.leaving || len(s.open)+s.pending >= cmp.Or(s.Max, maxTunnels) {
		s.mu.Unlock()
		return answer(wire.TunnelReply_BUSY), nil
	}
	s.pending++
	s.mu.Unlock()
	conn, outcome := connect(ctx, request)
	if conn == nil {
		s.mu.Lock()
		s.pending--
		s.checkIdle()
		s.mu.Unlock()
		return answer(outcome), nil
	}
	return answer(wire.TunnelReply_CONNECTED), func(stream net.Conn) { s.carry(&carried{stream: stream, conn: conn}) }
}

// carry copies bytes between a tunnel and its target until either ends.
func (s *Server) carry(c *carried) {
	s.mu.Lock()
	if s.open == nil {
		s.open = make(map[*carried]struct{})
	}
	s.open[c] = struct{}{}
	s.pending--
	left := s.leaving
	s.mu.Unlock()
	if left {
		c.send(leaving)
	}
	var copies sync.WaitGroup
	copies.Go(func() {
		defer invariant.Contain("tunnel to a target", func() { socket.Reset(c.conn) })
		_, _ = io.Copy(timedWriter{c, cmp.Or(s.StuckTimeout, stuckTimeout)}, readerOnly{c.stream})
		socket.Reset(c.conn)                           // the other host has ended or given up the tunnel
		_ = c.stream.SetWriteDeadline(time.Unix(1, 0)) // it may have stopped reading before
	})
	copies.Go(func() {
		defer invariant.Contain("tunnel from a target", func() { socket.Reset(c.conn) })
		c.copyAnswers()
	})
	copies.Wait()
	s.mu.Lock()
	delete(s.open, c)
	s.checkIdle()
	s.mu.Unlock()
}

// readerOnly hides that a connection can copy by itself, which takes a pipe.
type readerOnly struct{ io.Reader }

// timedWriter writes to the target of a tunnel, with a limit for each write.
type timedWriter struct {
	*carried
	limit time.Duration
}

// Write implements io.Writer.
func (w timedWriter) Write(p []byte) (int, error) {
	w.begun.Add(1)
	defer w.ended.Add(1)
	_ = w.conn.SetWriteDeadline(time.Now().Add(w.limit))
	return w.conn.Write(p)
}

// lastWriteTime is the time after the end of a target's connection in which bytes to the target that are on the way
// from the other host show.
const lastWriteTime = 50 * time.Millisecond

// endedInOrder tells whether a target that has ended its connection did so in order: it did not reset the connection,
// and had taken all bytes to it.
func (c *carried) endedInOrder() bool {
	begun := c.begun.Load()
	time.Sleep(lastWriteTime)
	return c.begun.Load() == begun && c.ended.Load() == begun && !socket.WasReset(c.conn)
}

// copyAnswers copies what the target sends.
func (c *carried) copyAnswers() {
	defer c.stream.Close() //nolint:errcheck // nothing more is written
	buffer := c.buffer[:]
	for {
		n, err := c.conn.Read(buffer[headerBytes:])
		if n > 0 {
			putHeader(buffer, data, n)
			c.mu.Lock()
			_, writeErr := c.stream.Write(buffer[:headerBytes+n])
			c.mu.Unlock()
			if writeErr != nil {
				socket.Reset(c.conn)
				return
			}
		}
		if errors.Is(err, io.EOF) && c.endedInOrder() {
			c.send(end)
			return
		}
		if err != nil {
			c.send(broken)
			return
		}
	}
}

// send sends a frame without contents. A tunnel that is lost meanwhile needs none.
func (c *carried) send(k kind) {
	var header [headerBytes]byte
	putHeader(header[:], k, 0)
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _ = c.stream.Write(header[:])
}

// Carried returns the number of tunnels.
func (s *Server) Carried() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// checkIdle tells Drain when the last tunnel has ended. The caller holds mu.
func (s *Server) checkIdle() {
	if s.idle != nil && len(s.open)+s.pending == 0 {
		close(s.idle)
		s.idle = nil
	}
}

// Leave grants no further tunnels and tells the hosts at the others to use them for no further request.
func (s *Server) Leave() {
	s.mu.Lock()
	s.leaving = true
	var all []*carried
	for c := range s.open {
		all = append(all, c)
	}
	s.mu.Unlock()
	for _, c := range all {
		go c.send(leaving) // the other host may be slow to read
	}
}

// Drain waits after Leave until all tunnels have ended or the context ends.
func (s *Server) Drain(ctx context.Context) {
	idle := make(chan struct{})
	s.mu.Lock()
	s.idle = idle
	s.checkIdle()
	s.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}

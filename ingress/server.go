// Package ingress serves callers over HTTP/1.1. It parses with net/http but
// owns the connections, so that ambiguous lengths are refused before anything
// is forwarded, a caller's leaving is seen while its request waits, and a stop
// closes no connection with a request in it.
package ingress

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Handler answers requests. It must start an answer or abort it.
type Handler interface {
	Serve(ctx context.Context, r *Request, w *Writer)
}

// Limits bound what a caller may send.
type Limits struct {
	HeadBytes   int
	BodyBytes   int
	HeadTimeout time.Duration // from the first byte of a head to its end
	IdleTimeout time.Duration // between two requests of a connection
}

// Request is one request of a caller with its whole body.
type Request struct {
	Method  string
	Target  string // path and query as the caller wrote them
	Path    string
	Host    string
	Header  http.Header
	Body    []byte
	Arrived time.Time // when the head was complete
	// ConnReused is set when the connection has carried a request before.
	ConnReused bool
}

const (
	// headBufferBytes is the buffer of a connection, the bound of any head.
	headBufferBytes = 32 << 10
	// bodyTimeout bounds the reading of a body.
	bodyTimeout = 10 * time.Second
	// writeTimeout bounds one write to a caller that does not read.
	writeTimeout = 10 * time.Second
	// keepAliveProbe is the interval of TCP keep-alive probes to callers.
	keepAliveProbe = 5 * time.Second
)

// Server takes connections of callers.
type Server struct {
	Handler Handler
	// Limits returns the limits in force.
	Limits func() Limits
	// MaxBodyMemoryBytes bounds the bytes of bodies held at once.
	MaxBodyMemoryBytes int64

	held     atomic.Int64
	draining atomic.Bool
	closing  atomic.Bool
	mu       sync.Mutex
	conns    map[*conn]struct{}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			var passing net.Error
			if errors.As(err, &passing) {
				time.Sleep(10 * time.Millisecond) // out of descriptors: let some go
				continue
			}
			return err
		}
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveProbe, Interval: keepAliveProbe, Count: 2}) // a hint only
		}
		k := &conn{server: s, net: c, reader: bufio.NewReaderSize(c, headBufferBytes)}
		s.mu.Lock()
		if s.conns == nil {
			s.conns = make(map[*conn]struct{})
		}
		s.conns[k] = struct{}{}
		s.mu.Unlock()
		go k.serve()
	}
}

// Drain makes every further answer the last one of its connection.
func (s *Server) Drain() { s.draining.Store(true) }

// CloseIdle ends the connections that have no request. It only wakes them: a
// connection that has read a byte of a request by then answers it first.
func (s *Server) CloseIdle() {
	s.closing.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.mu.Lock()
		if c.idle {
			_ = c.net.SetReadDeadline(time.Unix(1, 0))
		}
		c.mu.Unlock()
	}
}

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// closedPoll is the pace at which Wait looks at the connections.
const closedPoll = 10 * time.Millisecond

// Wait waits until all connections have ended or the context does. After Drain
// and CloseIdle each ends with the answer that is due on it.
func (s *Server) Wait(ctx context.Context) {
	ticker := time.NewTicker(closedPoll)
	defer ticker.Stop()
	for s.Connections() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// conn is one connection of a caller.
type conn struct {
	server *Server
	net    net.Conn
	reader *bufio.Reader
	mu     sync.Mutex // guards idle and the read deadline that goes with it
	idle   bool
}

// setIdle sets whether the connection waits for a request, and until when it
// may take to read.
func (c *conn) setIdle(idle bool, limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
	deadline := time.Now().Add(limit)
	if idle && c.server.closing.Load() {
		deadline = time.Unix(1, 0)
	}
	_ = c.net.SetReadDeadline(deadline)
}

// serve answers the requests of the connection one after the other.
func (c *conn) serve() {
	defer func() {
		c.server.mu.Lock()
		delete(c.server.conns, c)
		c.server.mu.Unlock()
		_ = c.net.Close()
	}()
	for n := 0; ; n++ {
		if !c.one(n > 0) {
			return
		}
	}
}

// one reads and answers one request. It returns whether the connection goes on.
func (c *conn) one(kept bool) bool {
	limits := c.server.Limits()
	wait := limits.IdleTimeout
	if !kept {
		wait = max(limits.HeadTimeout, limits.IdleTimeout)
	}
	c.setIdle(true, wait)
	_, err := c.reader.Peek(1)
	c.setIdle(false, limits.HeadTimeout)
	if err != nil {
		return false
	}
	var head []byte
	head, err = peekHead(c.reader, min(limits.HeadBytes, headBufferBytes-1))
	if err == nil {
		err = checkHead(head)
	}
	if err != nil {
		return c.refuseHead(err)
	}
	parsed, err := http.ReadRequest(c.reader)
	if err != nil {
		return c.refuseHead(errMalformed)
	}
	r := &Request{
		Method: parsed.Method, Target: parsed.RequestURI, Path: parsed.URL.EscapedPath(), Host: parsed.Host,
		Header: parsed.Header, Arrived: time.Now(), ConnReused: kept,
	}
	w := &Writer{conn: c, method: r.Method, close: parsed.Close || parsed.ProtoMinor == 0, server: c.server}
	body, status := c.readBody(parsed, limits)
	if status != 0 {
		if status > 0 {
			w.close = true
			w.Refuse(status, nil)
		}
		return false
	}
	defer c.server.held.Add(-int64(len(body)))
	r.Body = body
	return c.answer(r, w)
}

// refuseHead answers a request whose head cannot be read.
func (c *conn) refuseHead(err error) bool {
	status := 0
	switch {
	case errors.Is(err, errHeadTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errAmbiguous), errors.Is(err, errMalformed):
		status = http.StatusBadRequest
	}
	if status != 0 {
		w := &Writer{conn: c, close: true, server: c.server}
		w.Refuse(status, nil)
	}
	return false
}

// readBody reads the whole body. Status is 0, the status of a refusal, or -1
// when the caller is gone.
func (c *conn) readBody(parsed *http.Request, limits Limits) ([]byte, int) {
	if parsed.ContentLength > int64(limits.BodyBytes) {
		return nil, http.StatusRequestEntityTooLarge
	}
	if parsed.ContentLength == 0 {
		return nil, 0
	}
	if c.server.MaxBodyMemoryBytes > 0 && c.server.held.Load()+max(parsed.ContentLength, 0) > c.server.MaxBodyMemoryBytes {
		return nil, http.StatusServiceUnavailable
	}
	if parsed.Header.Get("Expect") == "100-continue" {
		if _, err := io.WriteString(c.net, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, -1
		}
	}
	_ = c.net.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := io.ReadAll(io.LimitReader(parsed.Body, int64(limits.BodyBytes)+1))
	if err != nil {
		return nil, -1
	}
	if len(body) > limits.BodyBytes {
		return nil, http.StatusRequestEntityTooLarge
	}
	c.server.held.Add(int64(len(body)))
	return body, 0
}

// answer runs the handler while it watches for the caller's leaving.
func (c *conn) answer(r *Request, w *Writer) bool {
	_ = c.net.SetReadDeadline(time.Time{})
	ctx, cancel := context.WithCancel(context.Background())
	watched := make(chan bool, 1)
	go func() {
		_, err := c.reader.Peek(1)
		var slow net.Error
		stopped := errors.As(err, &slow) && slow.Timeout()
		if err != nil && !stopped {
			cancel()
		}
		watched <- err == nil || stopped
	}()
	c.server.Handler.Serve(ctx, r, w)
	_ = c.net.SetReadDeadline(time.Unix(1, 0)) // ends the watch
	alive := <-watched
	cancel()
	return w.finish() && alive && !w.close
}

// Writer writes one answer.
type Writer struct {
	conn    *conn
	server  *Server
	method  string
	close   bool // the connection ends after this answer
	started bool
	aborted bool
	chunked bool
	left    int64 // bytes of the body still due where its length is known
}

// Started tells whether the head was written.
func (w *Writer) Started() bool { return w.started }

// Start writes the head. A negative length makes the body chunked.
func (w *Writer) Start(status int, header http.Header, length int64) error {
	if w.started {
		return nil
	}
	w.started = true
	if w.server.draining.Load() {
		w.close = true
	}
	buffer := make([]byte, 0, 512)
	buffer = append(buffer, "HTTP/1.1 "...)
	buffer = strconv.AppendInt(buffer, int64(status), 10)
	buffer = append(buffer, ' ')
	buffer = append(buffer, http.StatusText(status)...)
	buffer = append(buffer, "\r\n"...)
	for name, values := range header {
		for _, value := range values {
			buffer = append(buffer, name...)
			buffer = append(buffer, ": "...)
			buffer = append(buffer, value...)
			buffer = append(buffer, "\r\n"...)
		}
	}
	if w.close {
		buffer = append(buffer, "Connection: close\r\n"...)
	}
	bodyless := w.method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified
	switch {
	case bodyless:
		w.left = 0
	case length < 0:
		w.chunked = true
		buffer = append(buffer, "Transfer-Encoding: chunked\r\n"...)
	default:
		w.left = length
		buffer = append(buffer, "Content-Length: "...)
		buffer = strconv.AppendInt(buffer, length, 10)
		buffer = append(buffer, "\r\n"...)
	}
	buffer = append(buffer, "\r\n"...)
	return w.write(buffer)
}

// Write writes a piece of the body at once.
func (w *Writer) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if !w.chunked {
		if int64(len(p)) > w.left {
			p = p[:w.left]
		}
		w.left -= int64(len(p))
		return len(p), w.write(p)
	}
	buffer := make([]byte, 0, len(p)+16)
	buffer = strconv.AppendInt(buffer, int64(len(p)), 16)
	buffer = append(buffer, "\r\n"...)
	buffer = append(buffer, p...)
	buffer = append(buffer, "\r\n"...)
	return len(p), w.write(buffer)
}

// write writes bytes of the connection.
func (w *Writer) write(p []byte) error {
	_ = w.conn.net.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := w.conn.net.Write(p)
	if err != nil {
		w.Abort()
	}
	return err
}

// Refuse writes a whole answer without a body.
func (w *Writer) Refuse(status int, header http.Header) {
	if err := w.Start(status, header, 0); err != nil {
		return // the caller is gone, which the connection's watch sees as well
	}
}

// Abort ends the answer as broken: the caller cannot take it for whole.
func (w *Writer) Abort() {
	w.aborted, w.close = true, true
}

// finish ends the body and returns whether the answer is whole.
func (w *Writer) finish() bool {
	if w.aborted || !w.started {
		if t, ok := w.conn.net.(*net.TCPConn); ok && w.started {
			_ = t.SetLinger(0) // a reset shows that the answer is cut
		}
		return false
	}
	if w.chunked {
		return w.write([]byte("0\r\n\r\n")) == nil
	}
	return w.left == 0
}

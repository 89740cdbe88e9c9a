// Package ingress is the HTTP/1.1 server for callers. It parses requests with net/http but manages
// the connections itself, so that requests with an ambiguous body length are refused before
// anything is forwarded, a disconnect of the caller is noticed while its request is in progress,
// and a shutdown closes no connection with a request in progress.
package ingress

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"zinniapin/intake"
	"zinniapin/invariant"
)

// Handler handles requests. Serve must start or abort a response.
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

// Request is a request of a caller with its complete body.
type Request struct {
	Method  string
	Target  string // path and query as received
	Path    string
	Host    string
	Header  http.Header
	Body    []byte
	Arrived time.Time // when the head was complete
	// ConnReused is set when the connection has carried a request before.
	ConnReused bool
}

const (
	// readBufferBytes is the size of the read buffer of a connection, and headBufferBytes that for heads which do not fit
	// into it. A head must fit into the latter.
	readBufferBytes = 4 << 10
	headBufferBytes = 32 << 10
	// headCopies is how often a head is held while it is parsed, the read buffer included.
	headCopies = 4
	// fullRetryAfter is the Retry-After of requests that are refused since the process can hold no more, in seconds.
	fullRetryAfter = "1"
	// bodyTimeout bounds the time to read a body.
	bodyTimeout = 10 * time.Second
	// writeTimeout bounds one write to a caller, which may not be reading.
	writeTimeout = 10 * time.Second
	// keepAliveInterval is the interval of TCP keep-alive probes to callers.
	keepAliveInterval = 5 * time.Second
)

// Server accepts connections of callers and passes their requests to a Handler.
type Server struct {
	Handler Handler
	// Limits returns the limits in force.
	Limits func() Limits

	draining    atomic.Bool // set by Drain
	closingIdle atomic.Bool // set by CloseIdle
	mu          sync.Mutex
	conns       map[*conn]struct{}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			var temporary net.Error
			if errors.As(err, &temporary) {
				time.Sleep(10 * time.Millisecond) // out of file descriptors: wait until some are closed
				continue
			}
			return err
		}
		if t, ok := c.(interface {
			SetKeepAliveConfig(net.KeepAliveConfig) error
		}); ok {
			_ = t.SetKeepAliveConfig(net.KeepAliveConfig{Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: 2}) // only speeds up the detection of dead callers
		}
		k := &conn{server: s, net: c, held: intake.ConnOf(c), reader: bufio.NewReaderSize(c, readBufferBytes)}
		s.mu.Lock()
		if s.conns == nil {
			s.conns = make(map[*conn]struct{})
		}
		s.conns[k] = struct{}{}
		s.mu.Unlock()
		go k.serve()
	}
}

// Drain makes the server close each connection after its next response.
func (s *Server) Drain() { s.draining.Store(true) }

// CloseIdle closes the connections without a request in progress. It does so by expiring their read
// deadline, so a connection that has already read a byte of a request serves that request first.
func (s *Server) CloseIdle() {
	s.closingIdle.Store(true)
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

// waitPollInterval is the interval at which Wait checks the number of connections.
const waitPollInterval = 10 * time.Millisecond

// Wait waits until all connections are closed or the context ends. After Drain and CloseIdle, each
// connection closes after the response to the request in progress.
func (s *Server) Wait(ctx context.Context) {
	ticker := time.NewTicker(waitPollInterval)
	defer ticker.Stop()
	for s.Connections() > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// conn is a connection of a caller.
type conn struct {
	server *Server
	net    net.Conn
	held   *intake.Conn // net, if its listener bounds what connections hold
	reader *bufio.Reader
	grown  bool       // the reader has the size for large heads
	mu     sync.Mutex // guards idle and the read deadline set with it
	idle   bool       // waiting for a request
}

// setIdle sets whether the connection waits for a request, and lets its reads time out after limit.
// After CloseIdle, the reads of an idle connection time out at once.
func (c *conn) setIdle(idle bool, limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idle = idle
	deadline := time.Now().Add(limit)
	if idle && c.server.closingIdle.Load() {
		deadline = time.Unix(1, 0)
	}
	_ = c.net.SetReadDeadline(deadline)
}

// serve handles the requests of the connection one after the other.
func (c *conn) serve() {
	defer invariant.Contain("connection of a caller", nil)
	c.held.Retain()
	defer c.held.Drop()
	defer func() {
		c.server.mu.Lock()
		delete(c.server.conns, c)
		c.server.mu.Unlock()
		_ = c.net.Close()
	}()
	for n := 0; ; n++ {
		if !c.serveRequest(n > 0) {
			return
		}
	}
}

// serveRequest reads and handles one request. It returns whether the connection stays open.
func (c *conn) serveRequest(reused bool) bool {
	limits := c.server.Limits()
	c.shrinkReader()
	c.held.Rest()
	if c.grown && c.held.Reserve(headCopies*headBufferBytes) != nil {
		return false
	}
	wait := limits.IdleTimeout
	if !reused {
		wait = max(limits.HeadTimeout, limits.IdleTimeout)
	}
	c.setIdle(true, wait)
	_, err := c.reader.Peek(1)
	c.setIdle(false, limits.HeadTimeout)
	if err != nil {
		return false
	}
	c.held.Yield()
	head, err := c.peekHead(min(limits.HeadBytes, headBufferBytes-1))
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
		Header: parsed.Header, Arrived: time.Now(), ConnReused: reused,
	}
	w := &Writer{conn: c, method: r.Method, close: parsed.Close || parsed.ProtoMinor == 0, noChunks: parsed.ProtoMinor == 0, server: c.server}
	body, status := c.readBody(parsed, limits)
	if status == 0 && c.held.Serve() != nil {
		status = http.StatusServiceUnavailable
	}
	if status != 0 {
		if status > 0 {
			w.close = true
			w.Refuse(status, refusalHeader(status))
		}
		return false
	}
	r.Body = body
	return c.runHandler(r, w)
}

// refusalHeader returns the headers of a response that refuses a request with a status.
func refusalHeader(status int) http.Header {
	if status != http.StatusServiceUnavailable {
		return nil
	}
	return http.Header{"Retry-After": {fullRetryAfter}}
}

// peekHead is peekHead with a larger read buffer where the head needs one.
func (c *conn) peekHead(limit int) ([]byte, error) {
	head, err := peekHead(c.reader, limit)
	if !errors.Is(err, errHeadTooLarge) || c.grown || c.reader.Buffered() > limit {
		return head, err
	}
	if err := c.held.Reserve(headCopies * headBufferBytes); err != nil {
		return nil, err
	}
	c.resizeReader(headBufferBytes)
	return peekHead(c.reader, limit)
}

// shrinkReader replaces the large read buffer by an ordinary one if what is left in it fits.
func (c *conn) shrinkReader() {
	if c.grown && c.reader.Buffered() <= readBufferBytes {
		c.resizeReader(readBufferBytes)
	}
}

// resizeReader gives the reader a buffer of another size.
func (c *conn) resizeReader(size int) {
	buffered, _ := c.reader.Peek(c.reader.Buffered()) // cannot fail
	c.reader = bufio.NewReaderSize(io.MultiReader(bytes.NewReader(bytes.Clone(buffered)), c.net), size)
	c.grown = size > readBufferBytes
}

// refuseHead refuses a request with an invalid head. It sends no response if reading the head
// failed. It returns false, since the connection is closed in either case.
func (c *conn) refuseHead(err error) bool {
	status := 0
	switch {
	case errors.Is(err, errHeadTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, errAmbiguous), errors.Is(err, errMalformed):
		status = http.StatusBadRequest
	case errors.Is(err, intake.ErrFull):
		status = http.StatusServiceUnavailable
	}
	if status != 0 {
		w := &Writer{conn: c, close: true, server: c.server}
		w.Refuse(status, refusalHeader(status))
	}
	return false
}

// readBody reads the complete body. It returns status 0, or the status to refuse the request with,
// or -1 if the caller has disconnected or is too slow.
func (c *conn) readBody(parsed *http.Request, limits Limits) ([]byte, int) {
	if parsed.ContentLength > int64(limits.BodyBytes) {
		return nil, http.StatusRequestEntityTooLarge
	}
	if parsed.ContentLength == 0 {
		return nil, 0
	}
	if parsed.Header.Get("Expect") == "100-continue" {
		if _, err := io.WriteString(c.net, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, -1
		}
	}
	_ = c.net.SetReadDeadline(time.Now().Add(bodyTimeout))
	body, err := intake.ReadBody(c.held, parsed.Body, parsed.ContentLength, int64(limits.BodyBytes))
	switch {
	case err == nil:
		return body, 0
	case errors.Is(err, intake.ErrTooLarge):
		return nil, http.StatusRequestEntityTooLarge
	case errors.Is(err, intake.ErrFull), errors.Is(err, intake.ErrEvicted):
		return nil, http.StatusServiceUnavailable
	default:
		return nil, -1
	}
}

// runHandler runs the handler and cancels its context if the caller disconnects. It returns whether
// the connection stays open.
func (c *conn) runHandler(r *Request, w *Writer) bool {
	_ = c.net.SetReadDeadline(time.Time{})
	ctx, cancel := context.WithCancel(context.Background())
	watched := make(chan bool, 1)
	go func() {
		_, err := c.reader.Peek(1)
		var timeout net.Error
		stopped := errors.As(err, &timeout) && timeout.Timeout()
		if err != nil && !stopped {
			cancel()
		}
		watched <- err == nil || stopped
	}()
	c.server.Handler.Serve(ctx, r, w)
	_ = c.net.SetReadDeadline(time.Unix(1, 0)) // stops the goroutine above
	connected := <-watched
	cancel()
	return w.finish() && connected && !w.close
}

// Writer writes one response.
type Writer struct {
	conn       *conn
	server     *Server
	method     string
	close      bool // the connection is closed after this response
	started    bool
	aborted    bool
	noChunks   bool // the caller speaks HTTP/1.0
	untilClose bool // the body ends with the connection
	chunked    bool
	remaining  int64 // bytes of the body still to be written, if its length is known
}

// Reserve counts n bytes that are held for the response until it has ended. It returns false if the process can hold no
// more; the response must then do without them.
func (w *Writer) Reserve(n int64) bool { return w.conn.held.Reserve(n) == nil }

// Started tells whether Start was called.
func (w *Writer) Started() bool { return w.started }

// Start writes the status line and the headers, unless that was done before. With a negative length
// the body is sent in chunks.
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
		w.remaining = 0
	case length < 0 && w.noChunks:
		w.untilClose = true
	case length < 0:
		w.chunked = true
		buffer = append(buffer, "Transfer-Encoding: chunked\r\n"...)
	default:
		w.remaining = length
		buffer = append(buffer, "Content-Length: "...)
		buffer = strconv.AppendInt(buffer, length, 10)
		buffer = append(buffer, "\r\n"...)
	}
	buffer = append(buffer, "\r\n"...)
	return w.write(buffer)
}

// Write sends a piece of the body immediately. Bytes beyond the length given to Start are dropped.
func (w *Writer) Write(p []byte) (int, error) {
	if len(p) == 0 {
		return 0, nil
	}
	if w.untilClose {
		return len(p), w.write(p)
	}
	if !w.chunked {
		if int64(len(p)) > w.remaining {
			p = p[:w.remaining]
		}
		w.remaining -= int64(len(p))
		return len(p), w.write(p)
	}
	buffer := make([]byte, 0, len(p)+16)
	buffer = strconv.AppendInt(buffer, int64(len(p)), 16)
	buffer = append(buffer, "\r\n"...)
	buffer = append(buffer, p...)
	buffer = append(buffer, "\r\n"...)
	return len(p), w.write(buffer)
}

// write writes bytes to the connection and aborts the response if that fails.
func (w *Writer) write(p []byte) error {
	_ = w.conn.net.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := w.conn.net.Write(p)
	if err != nil {
		w.Abort()
	}
	return err
}

// Refuse writes a complete response without a body.
func (w *Writer) Refuse(status int, header http.Header) {
	if err := w.Start(status, header, 0); err != nil {
		return // the caller has disconnected; write has aborted the response
	}
}

// Abort makes the connection close without a proper end of the response, so that the caller cannot
// take the response for complete.
func (w *Writer) Abort() {
	w.aborted, w.close = true, true
}

// finish ends the body and returns whether the response is complete.
func (w *Writer) finish() bool {
	if w.aborted || !w.started {
		if t, ok := w.conn.net.(interface{ SetLinger(int) error }); ok && w.started {
			_ = t.SetLinger(0) // closing resets the connection, which shows that the response is incomplete
		}
		return false
	}
	if w.chunked {
		return w.write([]byte("0\r\n\r\n")) == nil
	}
	return w.untilClose || w.remaining == 0
}

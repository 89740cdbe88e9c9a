// Package upstream manages the connections to targets. It sends a request at most once, without
// any retry of its own, and its errors tell whether any of the request was written.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"zinniapin/detour"
	"zinniapin/internal/stricthttp"
	"zinniapin/socket"
)

// Errors of Pool.Do. They tell whether the target may have received the request.
var (
	// ErrNotSent means that nothing of the request was written.
	ErrNotSent = errors.New("upstream: request not sent")
	// ErrNoResponse means that the request was written, completely or in part, and that no response
	// came.
	ErrNoResponse = errors.New("upstream: no response to the request")
	// ErrStale is joined to ErrNoResponse if the target closed a kept connection as the request came:
	// it says nothing of the target, which may have closed the connection for being idle.
	ErrStale = errors.New("upstream: the kept connection was closed")
)

const (
	// readBufferBytes is the size of the read buffer of a connection.
	readBufferBytes = 8 << 10
	// maxInlineBytes is the largest body that is written before the response is read. A larger body
	// is written concurrently with reading, since a target may respond before it has read the body.
	maxInlineBytes = 4 << 10
	// idleMargin is subtracted from a target's idle timeout, since a request takes time to arrive.
	idleMargin = 300 * time.Millisecond
	// defaultIdleTimeout is how long an idle connection is kept if the target announces no timeout.
	defaultIdleTimeout = 4 * time.Second
	// maxIdlePerTarget bounds the idle connections to one target.
	maxIdlePerTarget = 16
)

// Request is a request to a target.
type Request struct {
	Method string
	Target string // path and query
	Host   string
	Header http.Header
	Body   []byte
	// HasBody makes the request carry a Content-Length header even if Body is empty.
	HasBody bool
	// MaxIdle bounds the time for which a pooled connection may have been idle; zero means no
	// further bound. It is set for requests that must not run twice, since the target may be about
	// to close a connection that was idle for long.
	MaxIdle time.Duration
	// Fresh makes the request go out on a new connection.
	Fresh bool
}

// Pool opens connections to targets and keeps idle ones for reuse. It is safe for concurrent use.
type Pool struct {
	mu     sync.Mutex
	idle   map[string][]*connection // by address, the most recently used last
	heard  map[string]time.Time     // when the latest response of a target began to come over this host's own links
	dialer *detour.Dialer
}

// NewPool returns an empty pool that opens connections by a dialer.
func NewPool(d *detour.Dialer) *Pool {
	return &Pool{idle: make(map[string][]*connection), heard: make(map[string]time.Time), dialer: d}
}

// connection is one connection to a target.
type connection struct {
	net         net.Conn
	detour      bool             // it passes through another host
	strict      *stricthttp.Conn // net, under reader
	reader      *bufio.Reader
	address     string
	idleSince   time.Time // when it became idle
	idleTimeout time.Duration
	watchResult chan bool // receives true if nothing arrived while the connection was idle
}

// newConnection returns a connection over c to the target at an address.
func newConnection(c detour.Conn, address string) *connection {
	strict := stricthttp.NewConn(c.Conn)
	return &connection{net: c.Conn, detour: c.Detour, strict: strict, reader: bufio.NewReaderSize(strict, readBufferBytes), address: address, idleTimeout: defaultIdleTimeout}
}

// reset resets a connection with a request in progress. An ordinary close would still deliver the
// bytes that were written, for instance after a network partition has healed.
func (c *connection) reset() { socket.Reset(c.net) }

// leaving tells whether the connection passes through a host that is about to stop.
func (c *connection) leaving() bool {
	through, ok := c.net.(interface{ Leaving() bool })
	return ok && through.Leaving()
}

// take removes an idle connection from the pool and returns it, or nil if there is none on which
// nothing arrived. maxIdle bounds the time for which it was idle, unless it is zero.
func (p *Pool) take(address string, maxIdle time.Duration) *connection {
	for {
		p.mu.Lock()
		idle := p.idle[address]
		if len(idle) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := idle[len(idle)-1]
		p.idle[address] = idle[:len(idle)-1]
		p.mu.Unlock()
		age := time.Since(c.idleSince)
		if !c.stopWatch() || age > c.idleTimeout || c.leaving() {
			_ = c.net.Close()
			continue
		}
		if maxIdle > 0 && age > maxIdle {
			_ = c.net.Close() // the remaining connections were idle for longer and are closed too
			continue
		}
		return c
	}
}

// put adds a connection to the pool after a response was read completely. It closes the connection
// if the pool has enough for its address.
func (p *Pool) put(c *connection) {
	c.idleSince = time.Now()
	p.mu.Lock()
	full := len(p.idle[c.address]) >= maxIdlePerTarget || c.leaving() || c.detour && !p.dialer.IsLost(c.address)
	if !full {
		c.startWatch()
		p.idle[c.address] = append(p.idle[c.address], c)
	}
	p.mu.Unlock()
	if full {
		_ = c.net.Close()
	}
}

// CloseExpired closes connections that were idle for longer than their timeout.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	for address, at := range p.heard {
		if time.Since(at) > heardTTL {
			delete(p.heard, address)
		}
	}
	var expired []*connection
	for address, idle := range p.idle {
		kept := idle[:0]
		for _, c := range idle {
			if time.Since(c.idleSince) > c.idleTimeout || c.leaving() {
				expired = append(expired, c)
			} else {
				kept = append(kept, c)
			}
		}
		if len(kept) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = kept
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.net.Close()
	}
}

// startWatch starts to read from an idle connection. Bytes that arrive while it is idle belong to
// no request, and a close by the target shows before the connection is used again.
func (c *connection) startWatch() {
	c.watchResult = make(chan bool, 1)
	_ = c.net.SetReadDeadline(time.Time{})
	go func() {
		_, err := c.reader.Peek(1)
		c.watchResult <- isTimeout(err)
	}()
}

// stopWatch stops the reading that startWatch began and returns whether nothing arrived.
func (c *connection) stopWatch() bool {
	_ = c.net.SetReadDeadline(time.Unix(1, 0))
	silent := <-c.watchResult && c.hasNoInput()
	_ = c.net.SetReadDeadline(time.Time{})
	return silent && c.reader.Buffered() == 0
}

// hasNoInput tells whether nothing has arrived on a connection whose read deadline has passed. A read that the deadline
// ends may miss bytes that arrived before it: a read of a socket fails without a look at them if it begins after the
// deadline. A tunnel returns them to a further read.
func (c *connection) hasNoInput() bool {
	if socket.HasInput(c.net) {
		return false
	}
	_, err := c.reader.Peek(1)
	return isTimeout(err)
}

// isTimeout tells whether an error is a deadline that has passed.
func isTimeout(err error) bool {
	var timeout net.Error
	return errors.As(err, &timeout) && timeout.Timeout()
}

// Framing tells how the end of the body of a response is marked.
type Framing string

// Framings of responses.
const (
	FramedByLength Framing = "length"
	FramedByChunks Framing = "chunks"
	// FramedByClose means that the body ends with the connection, so that an orderly close by a
	// target that has failed looks like the end of the body.
	FramedByClose Framing = "close"
)

// Response is the response of a target. The body is read from Body. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1.
	Length  int64
	Framing Framing
	Body    io.Reader
	// Through is the host through which the response came, empty if it came over this host's own links.
	Through string

	pool                *Pool
	conn                *connection
	parsed              *http.Response
	bodyWritten         chan error // receives the result of a concurrent write of the request body
	stopWatchingContext func() bool
	complete            bool // the body was read to its end
	last                bool // Close closes the connection
}

// CloseAfter makes Close close the connection. It is for responses that do not tell to which request they belong: a
// copy of one that comes late would pass for the response to the next request.
func (r *Response) CloseAfter() { r.last = true }

// Do sends a request once and reads the head of the response. The connection is reset if ctx ends
// before Close. An error is ErrNotSent or ErrNoResponse, joined with its cause.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	var c *connection
	if !r.Fresh {
		c = p.take(address, r.MaxIdle)
	}
	kept := c != nil
	if !kept {
		opened, err := p.dialer.Dial(ctx, address)
		if err != nil {
			return nil, errors.Join(ErrNotSent, err)
		}
		c = newConnection(opened, address)
	}
	if ctx.Err() != nil {
		_ = c.net.Close()
		return nil, errors.Join(ErrNotSent, ctx.Err())
	}
	stop := context.AfterFunc(ctx, c.reset)
	fail := func(kind, err error) (*Response, error) {
		stop()
		c.reset()
		return nil, errors.Join(kind, err)
	}
	head := r.head()
	c.strict.Expect(r.Method)
	var written chan error
	if len(r.Body) <= maxInlineBytes {
		n, err := c.net.Write(append(head, r.Body...))
		if err != nil && n == 0 && !c.detour { // a stream of a link may have passed on what it did not count
			return fail(ErrNotSent, err)
		}
		if err != nil {
			return fail(ErrNoResponse, err)
		}
		c.strict.Written(nil)
	} else {
		written = make(chan error, 1)
		go func() {
			buffers := net.Buffers{head, r.Body}
			_, err := buffers.WriteTo(c.net)
			c.strict.Written(err)
			written <- err
		}()
	}
	defer p.watchLink(c)()
	parsed, err := readHead(c.reader, r.Method)
	if err == nil && !c.detour {
		p.hear(address)
	}
	if err != nil && kept && c.strict.BytesRead() == 0 && ctx.Err() == nil && isClosed(err) {
		p.dropIdle(address)
		err = errors.Join(ErrStale, err)
	}
	if err != nil {
		return fail(ErrNoResponse, err)
	}
	response := &Response{Status: parsed.StatusCode, Header: parsed.Header, Length: parsed.ContentLength, Framing: framingOf(parsed),
		Through: c.through(), pool: p, conn: c, parsed: parsed, bodyWritten: written, stopWatchingContext: stop}
	response.Body = &body{response: response}
	return response, nil
}

// Refuses tells whether a target refuses connections, as it does once the process that listened there has ended. A
// connection that is accepted is kept for later requests.
func (p *Pool) Refuses(ctx context.Context, address string) bool {
	c, refused := p.dialer.Refuses(ctx, address)
	if c.Conn != nil {
		p.keep(address, c)
	}
	return refused
}

// IsClosed tells whether an error of Do, or of reading a body, means that the target has closed the
// connection.
func IsClosed(err error) bool { return isClosed(err) }

// isClosed tells whether an error means that the target has closed the connection.
func isClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// dropIdle closes the idle connections to an address.
func (p *Pool) dropIdle(address string) {
	p.mu.Lock()
	idle := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range idle {
		_ = c.net.Close()
	}
}

// readHead reads the head of the final response and skips informational ones (1xx). What net/http would accept beyond
// the protocol does not pass stricthttp.Conn, beneath the reader.
func readHead(r *bufio.Reader, method string) (*http.Response, error) {
	for {
		response, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= 200 {
			return response, nil
		}
	}
}

// framingOf returns the framing of a parsed response.
func framingOf(r *http.Response) Framing {
	switch {
	case r.ContentLength >= 0:
		return FramedByLength
	case slices.Contains(r.TransferEncoding, "chunked"):
		return FramedByChunks
	default:
		return FramedByClose
	}
}

// head returns the request line and headers as bytes.
func (r *Request) head() []byte {
	b := make([]byte, 0, 1024)
	b = append(b, r.Method...)
	b = append(b, ' ')
	b = append(b, r.Target...)
	b = append(b, " HTTP/1.1\r\nHost: "...)
	b = append(b, r.Host...)
	b = append(b, "\r\n"...)
	for name, values := range r.Header {
		for _, value := range values {
			b = append(b, name...)
			b = append(b, ": "...)
			b = append(b, value...)
			b = append(b, "\r\n"...)
		}
	}
	if len(r.Body) > 0 || r.HasBody {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(r.Body)), 10)
		b = append(b, "\r\n"...)
	}
	return append(b, "\r\n"...)
}

// body reads the body of a response and sets response.complete once it is read to its end.
type body struct{ response *Response }

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.response.parsed.Body.Read(p)
	if errors.Is(err, io.EOF) {
		b.response.complete = true
	}
	return n, err
}

// Close returns the connection to the pool if the body was read completely and the connection can
// be reused. Otherwise it closes the connection, with a reset if the body was not read completely.
func (r *Response) Close() {
	if !r.stopWatchingContext() { // the context has ended, which resets the connection
		return
	}
	if !r.complete {
		r.conn.reset()
		return
	}
	if !r.reusable() {
		_ = r.conn.net.Close()
		return
	}
	r.conn.idleTimeout = idleTimeoutOf(r.Header)
	r.pool.put(r.conn)
}

// Discard reads the rest of a short body, so that the connection can be reused, and closes the response.
// It gives up a body that is longer than limit or takes longer than the given time.
func (r *Response) Discard(limit int64, within time.Duration) {
	_ = r.conn.net.SetReadDeadline(time.Now().Add(within))
	_, _ = io.Copy(io.Discard, io.LimitReader(r.Body, limit)) // Close resets the connection if this fails
	r.Close()
}

// reusable tells whether the connection can carry another request: the target keeps it open, the
// request was written completely and no unread bytes are left.
func (r *Response) reusable() bool {
	if !r.complete || r.last || r.parsed.Close || r.conn.reader.Buffered() > 0 || !r.conn.strict.Usable() {
		return false
	}
	if r.bodyWritten != nil {
		select {
		case err := <-r.bodyWritten:
			return err == nil
		default:
			return false // the target responded before the request body was written
		}
	}
	return true
}

// idleTimeoutOf returns how long an idle connection may be kept: the timeout in the target's
// Keep-Alive header less idleMargin, or defaultIdleTimeout.
func idleTimeoutOf(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return defaultIdleTimeout
		}
		return max(time.Duration(seconds)*time.Second-idleMargin, 0)
	}
	return defaultIdleTimeout
}

// Package upstream owns the connections to targets. It sends a request at most
// once, never on its own account again, and tells how much of it was written.
package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"zinniapin/socket"
)

// Errors of an exchange. What is known about the request follows from them.
var (
	// ErrNotSent means that nothing of the request was written.
	ErrNotSent = errors.New("upstream: not sent")
	// ErrNoResponse means that the request was written, in whole or in part, and
	// no answer came.
	ErrNoResponse = errors.New("upstream: no answer")
)

const (
	// connectTimeout bounds the opening of a connection; targets are in the
	// same region, a few milliseconds away.
	connectTimeout = 400 * time.Millisecond
	// userTimeout bounds how long written bytes stay unacknowledged. It is beyond
	// the time of any request: one that waits is abandoned by a reset, which
	// takes its bytes back, and a connection that the kernel gave up is not.
	userTimeout = 30 * time.Second
	// readBufferBytes is the buffer of a connection.
	readBufferBytes = 8 << 10
	// inlineBytes is the largest request that is written before the answer is
	// read; a larger one is written beside the reading.
	inlineBytes = 4 << 10
	// idleMargin is taken off a target's own idle timeout, for the way there.
	idleMargin = 300 * time.Millisecond
	// idleDefault is how long an idle connection is kept when the target does
	// not say.
	idleDefault = 4 * time.Second
	// maxIdlePerTarget bounds the idle connections kept to one target.
	maxIdlePerTarget = 16
)

// Request is what is written to a target.
type Request struct {
	Method string
	Target string // path and query
	Host   string
	Header http.Header
	Body   []byte
	// HasBody is set when a body is due even if it is empty.
	HasBody bool
	// MaxIdle bounds the idle time of a connection that may be used; zero
	// means no further bound. Requests that must not run twice use young
	// connections, since an old one may be closed by its target unseen.
	MaxIdle time.Duration
}

// Pool keeps idle connections by address.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*connection
	// Opened counts connections opened.
	Opened atomic.Int64
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{idle: make(map[string][]*connection)} }

// connection is one connection to a target.
type connection struct {
	net     net.Conn
	reader  *bufio.Reader
	address string
	since   time.Time // when it became idle
	keep    time.Duration
	watched chan bool // whether the connection was silent while idle
}

// dial opens a connection.
func (p *Pool) dial(ctx context.Context, address string) (*connection, error) {
	d := net.Dialer{Timeout: connectTimeout, Control: socket.UserTimeout(userTimeout), KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 10 * time.Second, Interval: 5 * time.Second, Count: 4}}
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Join(ErrNotSent, err)
	}
	p.Opened.Add(1)
	return &connection{net: c, reader: bufio.NewReaderSize(c, readBufferBytes), address: address, keep: idleDefault}, nil
}

// abandon resets a connection with a request in it. An ordinary close would
// still deliver what was written, for instance once a partition has healed.
func (c *connection) abandon() {
	if t, ok := c.net.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // it can only fail on a connection that is gone
	}
	_ = c.net.Close()
}

// take returns an idle connection that has stayed silent, or nil.
func (p *Pool) take(address string, within time.Duration) *connection {
	for {
		p.mu.Lock()
		held := p.idle[address]
		if len(held) == 0 {
			p.mu.Unlock()
			return nil
		}
		c := held[len(held)-1]
		p.idle[address] = held[:len(held)-1]
		p.mu.Unlock()
		age := time.Since(c.since)
		if !c.unwatch() || age > c.keep {
			_ = c.net.Close()
			continue
		}
		if within > 0 && age > within {
			_ = c.net.Close() // older ones follow; all are too old
			continue
		}
		return c
	}
}

// put keeps a connection whose answer was read to its end.
func (p *Pool) put(c *connection) {
	c.since = time.Now()
	p.mu.Lock()
	full := len(p.idle[c.address]) >= maxIdlePerTarget
	if !full {
		c.watch()
		p.idle[c.address] = append(p.idle[c.address], c)
	}
	p.mu.Unlock()
	if full {
		_ = c.net.Close()
	}
}

// CloseExpired closes connections that were idle for too long.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	var old []*connection
	for address, held := range p.idle {
		kept := held[:0]
		for _, c := range held {
			if time.Since(c.since) > c.keep {
				old = append(old, c)
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
	for _, c := range old {
		_ = c.net.Close()
	}
}

// watch reads while the connection is idle: anything that comes then belongs
// to no request.
func (c *connection) watch() {
	c.watched = make(chan bool, 1)
	_ = c.net.SetReadDeadline(time.Time{})
	go func() {
		_, err := c.reader.Peek(1)
		var stopped net.Error
		c.watched <- errors.As(err, &stopped) && stopped.Timeout()
	}()
}

// unwatch ends the watch and returns whether the connection was silent.
func (c *connection) unwatch() bool {
	_ = c.net.SetReadDeadline(time.Unix(1, 0))
	silent := <-c.watched
	_ = c.net.SetReadDeadline(time.Time{})
	return silent && c.reader.Buffered() == 0
}

// Response is an answer whose body is still to be read. Close must be called.
type Response struct {
	Status int
	Header http.Header
	// Length is the length of the body, or -1.
	Length int64
	Body   io.Reader

	pool     *Pool
	conn     *connection
	response *http.Response
	written  chan error // of a body that is written beside the reading
	stop     func() bool
	whole    bool
}

// Do sends a request once and reads the head of the answer. The context ends
// the connection. An error is ErrNotSent or ErrNoAnswer.
func (p *Pool) Do(ctx context.Context, address string, r *Request) (*Response, error) {
	c := p.take(address, r.MaxIdle)
	if c == nil {
		var err error
		if c, err = p.dial(ctx, address); err != nil {
			return nil, err
		}
	}
	if ctx.Err() != nil {
		_ = c.net.Close()
		return nil, errors.Join(ErrNotSent, ctx.Err())
	}
	stop := context.AfterFunc(ctx, c.abandon)
	fail := func(kind, err error) (*Response, error) {
		stop()
		c.abandon()
		return nil, errors.Join(kind, err)
	}
	head := r.head()
	var written chan error
	if len(r.Body) <= inlineBytes {
		n, err := c.net.Write(append(head, r.Body...))
		if err != nil && n == 0 {
			return fail(ErrNotSent, err)
		}
		if err != nil {
			return fail(ErrNoResponse, err)
		}
	} else {
		written = make(chan error, 1)
		go func() {
			buffers := net.Buffers{head, r.Body}
			_, err := buffers.WriteTo(c.net)
			written <- err
		}()
	}
	response, err := readHead(c.reader, r.Method)
	if err != nil {
		return fail(ErrNoResponse, err)
	}
	a := &Response{Status: response.StatusCode, Header: response.Header, Length: response.ContentLength,
		pool: p, conn: c, response: response, written: written, stop: stop}
	a.Body = &body{answer: a}
	return a, nil
}

// readHead reads the head of the final answer.
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

// head returns the bytes of the request's head.
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

// body reads the body of an answer and notes its end.
type body struct{ answer *Response }

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.answer.response.Body.Read(p)
	if errors.Is(err, io.EOF) {
		b.answer.whole = true
	}
	return n, err
}

// Close gives the connection back when the answer was read to its end and the
// target allows it, and closes it otherwise.
func (a *Response) Close() {
	if !a.stop() { // the context has closed it
		return
	}
	if !a.whole {
		a.conn.abandon()
		return
	}
	if !a.reusable() {
		_ = a.conn.net.Close()
		return
	}
	a.conn.keep = keepTime(a.Header)
	a.pool.put(a.conn)
}

// reusable tells whether nothing of this exchange is left on the connection.
func (a *Response) reusable() bool {
	if !a.whole || a.response.Close || a.conn.reader.Buffered() > 0 {
		return false
	}
	if a.written != nil {
		select {
		case err := <-a.written:
			return err == nil
		default:
			return false // the target answered before it had read the body
		}
	}
	return true
}

// keepTime returns how long the target keeps an idle connection, less the
// margin for the way there.
func keepTime(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil {
			return idleDefault
		}
		return max(time.Duration(seconds)*time.Second-idleMargin, 0)
	}
	return idleDefault
}

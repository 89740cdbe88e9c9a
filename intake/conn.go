package intake

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// listener accepts connections within a budget.
type listener struct {
	net.Listener
	budget  *Budget
	address *Address
}

// acceptRetryDelay is the delay before the next accept after one failed, for example because the process had no free
// descriptor.
const acceptRetryDelay = 10 * time.Millisecond

// Accept implements net.Listener. The connection is a *Conn. Connections that the budget refuses are closed without an
// answer, since no request was read.
func (l *listener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		if err != nil {
			var other net.Error
			if !errors.As(err, &other) {
				return nil, err
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		if k := l.budget.open(c, l.address); k != nil {
			return k, nil
		}
		_ = c.Close()
	}
}

// Control is a control function for net.ListenConfig that bounds what the kernel keeps of each connection: input that was
// not read, and output that was not sent.
func (k Kind) Control(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// Where these fail, the kernel's own bounds hold.
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, k.ReceiveBytes)
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, k.SendBytes)
	})
}

// Conn is a connection that was accepted within a budget. It is safe for concurrent use, but for CountHead, EndHead and Rest,
// which belong to the goroutine that reads. On a nil Conn, which stands for a connection without bounds, the methods beside
// those of net.Conn do nothing.
type Conn struct {
	net.Conn
	budget  *Budget
	holder  *Holder
	granted chan struct{} // receives when bytes that were waited for are granted
	bytes   atomic.Int64  // reserved
	kernel  atomic.Int64  // those of them that the garbage collector does not free
	asking  sync.Mutex    // held while bytes are asked for, since a holder waits for one request at a time

	ended chan struct{} // closed once the connection was evicted or closed
	end   sync.Once

	mu      sync.Mutex // guards evicted and the deadline that it sets
	evicted bool
	users   atomic.Int32 // the socket, and what uses the bytes
	closed  sync.Once

	// meter counts input of a head that another package keeps; nil for others.
	meter atomic.Pointer[headMeter]
}

// headMeter counts the input that belongs to the head of a request.
type headMeter struct {
	read, limit int64
	copies      int64 // how often each byte is held
}

// Reserve counts n more bytes, before they are held. It may wait until evicted connections have ended. The error is
// ErrFull or ErrEvicted.
func (c *Conn) Reserve(n int64) error {
	if c == nil {
		return nil
	}
	c.asking.Lock()
	defer c.asking.Unlock()
	switch c.budget.reserve(c, n) {
	case Granted:
	case Refused:
		return c.reason()
	case Waiting:
		if err := c.wait(); err != nil {
			return err
		}
	}
	c.bytes.Add(n)
	return nil
}

// wait waits until the bytes that were asked for are granted.
func (c *Conn) wait() error {
	timer := time.NewTimer(waitLimit)
	defer timer.Stop()
	select {
	case <-c.granted:
		return nil
	case <-c.ended:
	case <-timer.C:
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	select {
	case <-c.granted: // meanwhile
		return nil
	default:
	}
	c.budget.ledger.Cancel(c.holder)
	err := c.reason()
	if errors.Is(err, ErrFull) {
		c.budget.count(c.holder.address, false)
	}
	return err
}

// reason returns why bytes are refused.
func (c *Conn) reason() error {
	if c.Evicted() {
		return ErrEvicted
	}
	return ErrFull
}

// Release gives back n bytes that are no longer referenced.
func (c *Conn) Release(n int64) {
	if c == nil || n == 0 {
		return
	}
	c.bytes.Add(-n)
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.budget.ledger.Discard(c.holder, n)
	if len(c.budget.ledger.queue) > 0 {
		c.budget.collectFor(Waiting)
	}
}

// Keep keeps the connection from being evicted, since it has sent a complete request. The error is ErrFull or ErrEvicted.
func (c *Conn) Keep() error {
	if c == nil {
		return nil
	}
	c.budget.mu.Lock()
	kept := c.budget.ledger.Keep(c.holder)
	if !kept && !c.holder.ending {
		c.budget.count(c.holder.address, false)
	}
	c.budget.mu.Unlock()
	if !kept {
		return c.reason()
	}
	return nil
}

// Serve is Keep for a request whose answer is about to be written. It counts what the kernel keeps of the answer, until Rest.
func (c *Conn) Serve() error {
	if c == nil {
		return nil
	}
	if err := c.reserveKernel(c.holder.address.AnswerBytes); err != nil {
		return err
	}
	return c.Keep()
}

// reserveKernel is Reserve for bytes that the garbage collector does not free.
func (c *Conn) reserveKernel(n int64) error {
	err := c.Reserve(n)
	if err == nil {
		c.kernel.Add(n)
	}
	return err
}

// Yield lets the connection be evicted, since it waits for the next request or for the rest of one.
func (c *Conn) Yield() {
	if c == nil {
		return
	}
	c.budget.mu.Lock()
	defer c.budget.mu.Unlock()
	c.budget.ledger.Yield(time.Now(), c.holder)
}

// Evicted tells whether the connection was evicted. It should end then.
func (c *Conn) Evicted() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

// evict makes all reads fail.
func (c *Conn) evict() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.evicted = true
	c.end.Do(func() { close(c.ended) })
	_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// SyscallConn implements syscall.Conn.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	if s, ok := c.Conn.(syscall.Conn); ok {
		return s.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	if m := c.meter.Load(); m != nil && m.read < m.limit {
		n := min(int64(len(p)), m.limit-m.read)
		if err := c.Reserve(n * m.copies); err != nil {
			return 0, err
		}
		got, err := c.Conn.Read(p)
		counted := min(int64(got), n)
		c.Release((n - counted) * m.copies)
		m.read += counted
		return got, err
	}
	return c.Conn.Read(p)
}

// Close implements net.Conn. The bytes of the connection count as free once each Retain was followed by Drop.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.end.Do(func() { close(c.ended) })
	c.closed.Do(c.Drop)
	return err
}

// Retain keeps the bytes of the connection counted after Close, until Drop.
func (c *Conn) Retain() {
	if c != nil {
		c.users.Add(1)
	}
}

// Drop ends what Retain began.
func (c *Conn) Drop() {
	if c != nil && c.users.Add(-1) == 0 {
		c.budget.remove(c.holder, c.bytes.Load()-c.kernel.Load())
	}
}

// SetLinger is that of net.TCPConn.
func (c *Conn) SetLinger(seconds int) error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.SetLinger(seconds)
	}
	return errors.ErrUnsupported
}

// SetKeepAliveConfig is that of net.TCPConn.
func (c *Conn) SetKeepAliveConfig(k net.KeepAliveConfig) error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.SetKeepAliveConfig(k)
	}
	return errors.ErrUnsupported
}

// CountHead makes the connection count its next input, up to limit bytes, as often as it is held while it is parsed.
func (c *Conn) CountHead(limit, copies int64) {
	if c != nil {
		c.meter.Store(&headMeter{limit: limit, copies: copies})
	}
}

// EndHead ends what CountHead began. The bytes stay counted until Rest.
func (c *Conn) EndHead() {
	if c != nil {
		c.meter.Store(nil)
	}
}

// Rest gives back all bytes but those of every connection, and lets the connection be evicted.
func (c *Conn) Rest() {
	if c == nil {
		return
	}
	c.Release(c.bytes.Load() - c.kernel.Load())
	if n := c.kernel.Load() - c.holder.address.ConnectionBytes; n > 0 {
		c.bytes.Add(-n)
		c.kernel.Add(-n)
		c.budget.mu.Lock()
		c.budget.wake(c.budget.ledger.Release(c.holder, n))
		c.budget.mu.Unlock()
	}
	c.Yield()
}

// ConnOf returns the accepted connection under c, which may carry TLS, or nil if no budget accepted it.
func ConnOf(c net.Conn) *Conn {
	if secured, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = secured.NetConn()
	}
	k, _ := c.(*Conn)
	return k
}

// contextKey is the key of the connection in the context of a request.
type contextKey struct{}

// FromContext returns the accepted connection of a request, or nil if no budget accepted it.
func FromContext(ctx context.Context) *Conn {
	k, _ := ctx.Value(contextKey{}).(*Conn)
	return k
}

// headCopies is how often package net/http holds a head while it parses it, its read buffer included.
const headCopies = 3

// headSlackBytes is what package net/http reads of a head beyond MaxHeaderBytes.
const headSlackBytes = 4 << 10

// Bound makes a server of package net/http count the heads of requests, and keeps connections from being evicted while their
// requests are served. MaxHeaderBytes must be set.
func Bound(s *http.Server) {
	head := int64(s.MaxHeaderBytes) + headSlackBytes
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		k := ConnOf(c)
		k.Retain()
		k.CountHead(head, headCopies)
		return context.WithValue(ctx, contextKey{}, k)
	}
	s.ConnState = func(c net.Conn, state http.ConnState) {
		k := ConnOf(c)
		switch state {
		case http.StateActive: // the head is complete
			k.EndHead()
			if k.Serve() != nil {
				_ = c.Close()
			}
		case http.StateIdle:
			k.Rest()
			k.CountHead(head, headCopies)
		case http.StateClosed:
			k.Drop()
		}
	}
}

// Package crowd opens many connections at once whose clients send more, slower or less than they may, and measures what
// a process holds meanwhile.
package crowd

import (
	"bytes"
	"fmt"
	"net"
	"sync"
	"time"
)

// Client sends bytes on a connection that is kept open after it returns. An error ends the connection. A client that reads
// from the connection by itself calls sent once it has sent everything and returns when the connection has ended.
type Client func(c net.Conn, sent func()) error

const (
	// attempts is the number of connections that a client opens, one after the other, if they are closed on it.
	attempts = 3
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 5 * time.Second
	// pieceBytes is the size of the pieces in which bodies are written.
	pieceBytes = 64 << 10
)

// Crowd is a number of clients.
type Crowd struct {
	mu     sync.Mutex
	open   map[net.Conn]struct{}
	closed bool
	sent   sync.WaitGroup // clients that have not sent everything yet
	all    sync.WaitGroup
}

// Start starts n clients of an address.
func Start(address string, n int, client Client) *Crowd {
	c := &Crowd{open: make(map[net.Conn]struct{})}
	c.sent.Add(n)
	for range n {
		c.all.Go(func() {
			once := sync.OnceFunc(c.sent.Done)
			defer once()
			for range attempts {
				if !c.run(address, client, once) {
					return
				}
			}
		})
	}
	return c
}

// run keeps one connection until it ends and returns whether another one may be opened.
func (c *Crowd) run(address string, client Client, sent func()) bool {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return c.running()
	}
	defer conn.Close() //nolint:errcheck // nothing more is written
	if !c.add(conn) {
		return false
	}
	if client(conn, sent) == nil {
		sent()
		buffer := make([]byte, 512)
		for err = nil; err == nil; { // until the process or Close ends the connection
			_, err = conn.Read(buffer)
		}
	}
	c.mu.Lock()
	delete(c.open, conn)
	c.mu.Unlock()
	return c.running()
}

// add registers a connection unless the crowd is closed.
func (c *Crowd) add(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.open[conn] = struct{}{}
	}
	return !c.closed
}

// running tells whether the crowd is not closed.
func (c *Crowd) running() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.closed
}

// WaitSent waits until every client has sent everything on one of its connections, or has given up, and at most for the
// time given.
func (c *Crowd) WaitSent(limit time.Duration) {
	done := make(chan struct{})
	go func() { c.sent.Wait(); close(done) }()
	select {
	case <-done:
	case <-time.After(limit):
	}
}

// Close ends all connections.
func (c *Crowd) Close() {
	c.mu.Lock()
	c.closed = true
	for conn := range c.open {
		_ = conn.Close()
	}
	c.mu.Unlock()
	c.all.Wait()
}

// Silent sends nothing.
func Silent(net.Conn, func()) error { return nil }

// Bytes returns a client that sends the bytes given and then count fillers.
func Bytes(first string, count int) Client {
	filler := bytes.Repeat([]byte("x"), pieceBytes)
	return func(c net.Conn, _ func()) error {
		if _, err := c.Write([]byte(first)); err != nil {
			return err
		}
		for left := count; left > 0; {
			n, err := c.Write(filler[:min(left, len(filler))])
			if err != nil {
				return err
			}
			left -= n
		}
		return nil
	}
}

// Body returns a client that announces a body of length bytes after a head and sends count of them. The head lacks the
// blank line at its end.
func Body(head string, length, count int) Client {
	return Bytes(fmt.Sprintf("%sContent-Length: %d\r\n\r\n", head, length), count)
}

// Chunks returns a client that sends a body of count bytes in chunks of size bytes after a head, without the last chunk.
// The head lacks the blank line at its end.
func Chunks(head string, size, count int) Client {
	chunk := fmt.Appendf(nil, "%x\r\n%s\r\n", size, bytes.Repeat([]byte("x"), size))
	piece := bytes.Repeat(chunk, max(1, pieceBytes/len(chunk)))
	return func(c net.Conn, _ func()) error {
		if _, err := c.Write([]byte(head + "Transfer-Encoding: chunked\r\n\r\n")); err != nil {
			return err
		}
		for left := count; left > 0; left -= len(piece) / len(chunk) * size {
			if _, err := c.Write(piece); err != nil {
				return err
			}
		}
		return nil
	}
}

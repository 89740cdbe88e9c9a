package tunnel

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"zinniapin/link"
	"zinniapin/target"
	"zinniapin/wire"
)

// idleLinkTime is how long a link without tunnels is kept.
const idleLinkTime = 30 * time.Second

// Client asks other hosts for tunnels, over one link to each. It is safe for concurrent use.
type Client struct {
	// Link returns an open link to a host; nil stands for links that the client opens and closes by itself, by
	// Network.
	Link    func(host string) (link.Link, error)
	Network link.Network
	// Handler serves the calls of the other hosts on these links.
	Handler link.Handler

	mu    sync.Mutex
	links map[string]*sharedLink // by address
}

// sharedLink is a link that carries tunnels. Its fields but link and err are guarded by the client's mutex.
type sharedLink struct {
	ready   chan struct{} // closed once link or err is set
	link    link.Link
	err     error
	tunnels int // open, or being asked for
	idle    time.Time
	dropped bool // is to carry no further tunnel
}

// errOtherReply means that a host answered with another message.
var errOtherReply = errors.New("tunnel: the host did not answer the request for a tunnel")

// Open asks the host at an address for a connection to a target. If it returns an error, the host gave no answer;
// otherwise the outcome is the host's answer, and the connection is nil unless that is CONNECTED.
func (c *Client) Open(ctx context.Context, host string, id target.ID, startedMillis int64) (*Conn, wire.TunnelReply_Outcome, error) {
	request := &wire.TunnelRequest{Target: string(id), Born: startedMillis}
	if c.Link == nil {
		return c.openShared(ctx, host, request)
	}
	l, err := c.Link(host)
	if err != nil {
		return nil, 0, err
	}
	stream, outcome, err := open(ctx, l, request)
	if stream == nil {
		return nil, outcome, err
	}
	return newConn(stream, host), outcome, nil
}

// open asks for a tunnel over a link.
func open(ctx context.Context, l link.Link, request *wire.TunnelRequest) (net.Conn, wire.TunnelReply_Outcome, error) {
	reply, stream, err := l.Open(ctx, &wire.Envelope{Body: &wire.Envelope_TunnelRequest{TunnelRequest: request}})
	if err == nil && reply.GetTunnelReply() == nil {
		err = errOtherReply
	}
	if err != nil {
		return nil, 0, err
	}
	return stream, reply.GetTunnelReply().Outcome, nil
}

// openShared is Open over a link of the client's own.
func (c *Client) openShared(ctx context.Context, host string, request *wire.TunnelRequest) (*Conn, wire.TunnelReply_Outcome, error) {
	s := c.share(host)
	granted := false
	defer func() {
		if !granted {
			c.release(s)
		}
	}()
	select {
	case <-s.ready:
	case <-ctx.Done():
		c.drop(host, s)
		return nil, 0, ctx.Err()
	}
	if s.err != nil {
		return nil, 0, s.err
	}
	stream, outcome, err := open(ctx, s.link, request)
	if err != nil {
		if !errors.Is(ctx.Err(), context.Canceled) {
			c.drop(host, s)
		}
		return nil, 0, err
	}
	if stream == nil {
		return nil, outcome, nil
	}
	granted = true
	return newConn(&sharedStream{Conn: stream, release: sync.OnceFunc(func() { c.release(s) })}, host), outcome, nil
}

// sharedStream is a stream of a shared link.
type sharedStream struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (s *sharedStream) Close() error {
	s.release()
	return s.Conn.Close()
}

// share returns the link to a host, which may not be open yet, for one more tunnel.
func (c *Client) share(host string) *sharedLink {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.links[host]
	if s != nil && s.ended() {
		delete(c.links, host)
		s = nil
	}
	if s == nil {
		s = &sharedLink{ready: make(chan struct{})}
		if c.links == nil {
			c.links = make(map[string]*sharedLink)
		}
		c.links[host] = s
		go c.dial(host, s)
	}
	s.tunnels++
	return s
}

// ended tells whether the link has ended.
func (s *sharedLink) ended() bool {
	select {
	case <-s.ready:
	default:
		return false
	}
	if s.err != nil {
		return true
	}
	select {
	case <-s.link.Done():
		return true
	default:
		return false
	}
}

// dial opens the link to a host. It may take longer than the first tunnel waits.
func (c *Client) dial(host string, s *sharedLink) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	l, err := c.Network.Dial(ctx, host, c.Handler)
	s.link, s.err = l, err
	close(s.ready)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closeUnused(s)
}

// dialTimeout bounds the opening of a link.
const dialTimeout = time.Second

// drop makes a link carry no further tunnels. The next one opens another link.
func (c *Client) drop(host string, s *sharedLink) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.dropped = true
	if c.links[host] == s {
		delete(c.links, host)
	}
}

// release ends the use of a link by one tunnel.
func (c *Client) release(s *sharedLink) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.tunnels--
	s.idle = time.Now()
	c.closeUnused(s)
}

// closeUnused closes a link that was dropped once it has no tunnel. The caller holds mu.
func (c *Client) closeUnused(s *sharedLink) {
	select {
	case <-s.ready:
	default:
		return
	}
	if s.dropped && s.tunnels == 0 && s.link != nil {
		_ = s.link.Close()
	}
}

// CloseIdle closes links that have had no tunnel for some time.
func (c *Client) CloseIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for host, s := range c.links {
		if s.tunnels == 0 && time.Since(s.idle) > idleLinkTime {
			s.dropped = true
			delete(c.links, host)
			c.closeUnused(s)
		}
	}
}

// Package nodesoak runs real zinnia-node processes against a simulated platform and
// simulated targets, injects faults from outside the processes and checks what callers,
// targets and the platform observe. Its tests use fixed seeds; flags of TestSoak select
// other seeds and longer runs.
package nodesoak

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is how a proxy treats its connections.
type mode int

// Modes of a proxy.
const (
	pass    mode = iota
	refuse       // resets connections
	silence      // discards bytes in both directions
	oneWay       // discards bytes from the target
	delay        // forwards bytes after delayTime
)

// delayTime is the delay of every read of bytes in mode delay.
const delayTime = 120 * time.Millisecond

// proxy forwards TCP connections to an address, and injects faults into them when its mode
// is other than pass.
type proxy struct {
	listener net.Listener
	target   string // address to which connections are forwarded
	// rewrite changes bytes from the target in place; nil changes none. It must be set before the first connection.
	rewrite func([]byte)

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]struct{} // open connections, which mode refuse resets
}

// newProxy starts a proxy on loopback and returns it.
func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]struct{})}
	go p.accept()
	return p, nil
}

// address returns the address on which the proxy listens.
func (p *proxy) address() string { return p.listener.Addr().String() }

// set sets the mode. Mode refuse also resets the open connections.
func (p *proxy) set(m mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
	if m == refuse {
		for c := range p.conns {
			p.reset(c)
		}
	}
}

// reset closes a connection with a TCP reset.
func (p *proxy) reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // without it the connection is closed normally, which is a fault too
	}
	_ = c.Close()
}

// currentMode returns the mode.
func (p *proxy) currentMode() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// accept accepts connections until the listener is closed.
func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.currentMode() == refuse {
			p.reset(c)
			continue
		}
		go p.forward(c)
	}
}

// forward copies bytes between a connection and the target, until one of them closes.
func (p *proxy) forward(c net.Conn) {
	out, err := net.Dial("tcp", p.target)
	if err != nil {
		p.reset(c)
		return
	}
	p.mu.Lock()
	p.conns[c] = struct{}{}
	p.mu.Unlock()
	defer func() {
		p.mu.Lock()
		delete(p.conns, c)
		p.mu.Unlock()
		_ = c.Close()
		_ = out.Close()
	}()
	done := make(chan struct{}, 2)
	go func() { p.copy(out, c, true); done <- struct{}{} }()
	go func() { p.copy(c, out, false); done <- struct{}{} }()
	<-done
}

// copy copies bytes in one direction, subject to the mode. outward is the direction to the
// target.
func (p *proxy) copy(to io.Writer, from io.Reader, outward bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if !outward && p.rewrite != nil {
			p.rewrite(buffer[:n])
		}
		switch m := p.currentMode(); {
		case m == silence, m == oneWay && !outward:
			continue
		case m == delay:
			time.Sleep(delayTime)
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

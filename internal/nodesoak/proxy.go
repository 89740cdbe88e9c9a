// Package nodesoak runs real zinnia-node processes before stand-ins of the
// prepared machines, injects faults from outside them and checks what callers,
// targets and the platform see. Its tests run it with fixed seeds; longer runs
// take flags, see TestSoak.
package nodesoak

import (
	"io"
	"net"
	"sync"
	"time"
)

// mode is what a proxy does to its connections.
type mode int

// Modes of proxies.
const (
	pass    mode = iota
	refuse       // resets connections
	silence      // takes bytes and passes none on
	oneWay       // passes bytes on to the target only
	delay        // passes bytes on late
)

// delayTime is how late bytes are in mode delay.
const delayTime = 120 * time.Millisecond

// proxy passes connections on to an address until a fault is set.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  mode
	conns map[net.Conn]struct{}
}

// newProxy returns a running proxy on loopback.
func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: make(map[net.Conn]struct{})}
	go p.accept()
	return p, nil
}

// address returns where the proxy listens.
func (p *proxy) address() string { return p.listener.Addr().String() }

// set sets the mode. Refusing also resets the open connections.
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

// reset closes a connection by a reset.
func (p *proxy) reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // a fault, whether it works or not
	}
	_ = c.Close()
}

// now returns the mode.
func (p *proxy) now() mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// accept takes connections until the listener is closed.
func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if p.now() == refuse {
			p.reset(c)
			continue
		}
		go p.join(c)
	}
}

// join passes bytes on between a connection and the target.
func (p *proxy) join(c net.Conn) {
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

// copy passes bytes on in one direction.
func (p *proxy) copy(to io.Writer, from io.Reader, outward bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		switch m := p.now(); {
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

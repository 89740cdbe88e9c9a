package upstream

import (
	"time"

	"zinniapin/detour"
	"zinniapin/tunnel"
)

// checkAfter is the time without a byte of a response after which the link to its target is checked.
const checkAfter = 400 * time.Millisecond

// heardTTL is how long it is remembered when a target was heard last; longer than checkAfter.
const heardTTL = 10 * time.Second

// keep adds a new connection to the pool.
func (p *Pool) keep(address string, c detour.Conn) { p.put(newConnection(c, address)) }

// CloseOutdated closes idle connections over links that are lost, which may be silent, and those through other hosts
// to targets that can be reached directly again. It is to be called with the addresses of the targets with lost links
// whenever these change.
func (p *Pool) CloseOutdated(lost map[string]bool) {
	p.mu.Lock()
	var outdated []*connection
	for address, idle := range p.idle {
		var kept []*connection
		for _, c := range idle {
			if c.detour != lost[address] {
				outdated = append(outdated, c)
			} else {
				kept = append(kept, c)
			}
		}
		if p.idle[address] = kept; len(kept) == 0 {
			delete(p.idle, address)
		}
	}
	p.mu.Unlock()
	for _, c := range outdated {
		_ = c.net.Close()
	}
}

// ProbeLinks connects in the background to some of the targets whose links are lost, to learn whether they are
// back. It is to be called several times a second.
func (p *Pool) ProbeLinks() { p.dialer.Probe(p.keep) }

// hear records that a response of a target has begun to come.
func (p *Pool) hear(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard[address] = time.Now()
}

// heardSince tells whether a response of a target has begun to come since a time.
func (p *Pool) heardSince(address string, since time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.heard[address].After(since)
}

// watchLink checks the link to a target that is silent after a request was written to it, on all connections, since a
// kept connection may be lost without a sign. The function that it returns ends the watch.
func (p *Pool) watchLink(c *connection) func() {
	if c.detour {
		return func() {}
	}
	written := time.Now()
	timer := time.AfterFunc(checkAfter, func() {
		if !p.heardSince(c.address, written) {
			p.CheckLink(c.address)
		}
	})
	return func() { timer.Stop() }
}

// CheckLink finds out whether the link to a silent target is lost, unless it is known or was checked just now.
func (p *Pool) CheckLink(address string) { p.dialer.Check(address, p.keep) }

// through returns the host through which the connection passes, empty for none.
func (c *connection) through() string {
	if t, ok := c.net.(*tunnel.Conn); ok {
		return t.Host
	}
	return ""
}

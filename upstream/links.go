package upstream

import (
	"context"
	"net"
	"time"

	"zinniapin/detour"
	"zinniapin/tunnel"
)

// checkAfter is the time without a byte of a response after which the link to its target is checked.
const checkAfter = 400 * time.Millisecond

// UseDetours makes the pool connect to targets through other hosts where this host's own links are lost. onChange is
// called with the addresses of the targets with lost links whenever these change. It must be called before the pool
// is in use.
func (p *Pool) UseDetours(hosts detour.Hosts, onChange func(lost map[string]bool)) {
	p.dialer = detour.New(detour.Options{Hosts: hosts, OnChange: func(lost map[string]bool) {
		p.closeOutdated(lost)
		onChange(lost)
	}})
}

// Opened returns how many connections were opened over this host's own links since the start, and how often another
// host was asked for one.
func (p *Pool) Opened() (own, asked int64) { return p.dialer.Opened.Load(), p.dialer.Asked.Load() }

// SetTargets replaces the addresses of the targets.
func (p *Pool) SetTargets(addresses []string) { p.dialer.SetTargets(addresses) }

// ConnectFor connects to a target for another host, over this host's own links.
func (p *Pool) ConnectFor(ctx context.Context, address string) (net.Conn, detour.Word) {
	return p.dialer.ConnectFor(ctx, address)
}

// keep adds a new connection to the pool.
func (p *Pool) keep(address string, c detour.Conn) { p.put(newConnection(c, address)) }

// closeOutdated closes idle connections over links that are lost, which may be silent, and those through other hosts
// to targets that can be reached directly again.
func (p *Pool) closeOutdated(lost map[string]bool) {
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

// watchLink checks the link to a target that is silent after a request was written to it, since a kept connection
// may be lost without a sign. The function that it returns ends the watch.
func (p *Pool) watchLink(c *connection) func() {
	if c.detour {
		return func() {}
	}
	timer := time.AfterFunc(checkAfter, func() { p.CheckLink(c.address) })
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

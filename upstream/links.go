package upstream

import (
	"context"
	"net"
	"time"

	"zinniapin/tunnel"
)

// UseDetours makes the pool connect to targets through other hosts where this host's own links are lost. onChange is
// called whenever the targets with lost links change. It must be called before the pool is in use.
func (p *Pool) UseDetours(d Detours, onChange func(lost map[string]bool)) {
	p.dialer.detours = d
	p.dialer.onChange = func(lost map[string]bool) {
		p.closeOutdated(lost)
		onChange(lost)
	}
}

// SetTargets replaces the addresses of the targets.
func (p *Pool) SetTargets(addresses []string) {
	p.dialer.mu.Lock()
	changed := p.dialer.table.SetTargets(addresses)
	p.dialer.mu.Unlock()
	if changed {
		p.dialer.changed()
	}
}

// ConnectFor connects to a target for another host, over this host's own links.
func (p *Pool) ConnectFor(ctx context.Context, address string) (net.Conn, Word) {
	return p.dialer.connectFor(ctx, address)
}

// Detoured returns how many connections were asked of other hosts since the start.
func (p *Pool) Detoured() int64 { return p.dialer.asked.Load() }

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
func (p *Pool) ProbeLinks() {
	p.dialer.mu.Lock()
	probes := p.dialer.table.Probes(time.Now())
	p.dialer.mu.Unlock()
	for _, address := range probes {
		go p.probe(address)
	}
}

// probe connects directly to a target.
func (p *Pool) probe(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), detourTimeout)
	defer cancel()
	c, err := p.dialer.connect(ctx, address)
	if err != nil {
		_ = p.dialer.failure(address, NoWay, err) // the target may be at fault, which other hosts then say
		return
	}
	p.dialer.connected(address)
	p.put(newConnection(c, address, false))
}

// watchLink checks the link to a target that is silent after a request was written to it, since a kept connection
// may be lost without a sign. The function that it returns ends the watch.
func (p *Pool) watchLink(c *connection) func() {
	if c.detour || p.dialer.detours == nil {
		return func() {}
	}
	timer := time.AfterFunc(checkAfter, func() { p.CheckLink(c.address) })
	return func() { timer.Stop() }
}

// CheckLink finds out whether the link to a silent target is lost, unless it is known or was checked just now.
func (p *Pool) CheckLink(address string) {
	p.dialer.mu.Lock()
	may := p.dialer.detours != nil && p.dialer.table.MayCheck(time.Now(), address)
	p.dialer.mu.Unlock()
	if !may {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	if c, err := p.dialer.race(ctx, address); err == nil {
		p.put(c)
	}
}

// through returns the host through which the connection passes, empty for none.
func (c *connection) through() string {
	if t, ok := c.net.(*tunnel.Conn); ok {
		return t.Host
	}
	return ""
}

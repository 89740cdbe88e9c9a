package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"runtime"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"zinniapin/internal/certs"
	"zinniapin/link"
	"zinniapin/link/yamuxlink"
	"zinniapin/machine"
	"zinniapin/wire"
)

// linkSizes are the numbers of links at which one link is measured.
var linkSizes = []int{20, 60, 180}

// callsPerLink is the number of heartbeats sent over each link.
const callsPerLink = 40

// heartbeatReply is the size of an ordinary reply, in records.
const heartbeatReply = 10

// measureLinks measures the memory, goroutines and processor time of links.
func measureLinks(r *report) error {
	secured, err := loopbackTLS()
	if err != nil {
		return err
	}
	for _, kind := range []struct {
		name string
		tls  *tls.Config
	}{{"plaintext", nil}, {"TLS", secured}} {
		if err := measureLinkKind(r, kind.name, kind.tls); err != nil {
			return err
		}
	}
	return nil
}

// loopbackTLS returns a configuration for both ends.
func loopbackTLS() (*tls.Config, error) {
	authority, err := certs.NewAuthority()
	if err != nil {
		return nil, err
	}
	certificate, key, err := authority.Issue("host-000", machine.Controller)
	if err != nil {
		return nil, err
	}
	pair, err := tls.X509KeyPair(certificate, key)
	if err != nil {
		return nil, err
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(authority.PEM)
	return yamuxlink.MutualTLS(pair, roots), nil
}

// linkCost is what a number of links costs at one end.
type linkCost struct {
	heap, stack, goroutines float64
	microseconds            float64 // of one call, at both ends together
	bytes                   float64 // of one call, both ways
}

// measureLinkKind measures links with or without TLS.
func measureLinkKind(r *report, name string, secured *tls.Config) error {
	var idle, busy, stack, goroutines, calls []point
	for _, n := range linkSizes {
		fresh, used, err := measureLinkCount(n, secured)
		if err != nil {
			return err
		}
		size := float64(n)
		idle = append(idle, point{size, fresh.heap / 1e3})
		busy = append(busy, point{size, used.heap / 1e3})
		stack = append(stack, point{size, used.stack / 1e3})
		goroutines = append(goroutines, point{size, used.goroutines})
		calls = append(calls, point{size, used.microseconds})
		r.printf("%s: %d links: a call moves %.0f bytes on the wire\n", name, n, used.bytes)
	}
	r.slope(name+": heap of an end, idle", "kB", "link", idle)
	r.slope(name+": heap of an end, with heartbeats", "kB", "link", busy)
	r.slope(name+": stacks of an end", "kB", "link", stack)
	r.slope(name+": goroutines of an end", "", "link", goroutines)
	r.slope(name+": processor time of a call, both ends", "us", "link", calls)
	return nil
}

// measureLinkCount opens n links within this process, so that both ends are
// counted, and halves the sums.
func measureLinkCount(n int, secured *tls.Config) (fresh, used linkCost, err error) {
	log := zerolog.Nop()
	network := &yamuxlink.Network{Self: controllerOf(0, 1), TLS: secured, Log: &log}
	answer := heartbeatAnswer()
	handler := link.HandlerFunc(func(context.Context, link.Link, *wire.Envelope) (*wire.Envelope, error) { return answer, nil })
	address, stop, err := network.Listen("127.0.0.1:0", handler, func(link.Link) {})
	if err != nil {
		return fresh, used, err
	}
	defer func() { _ = stop() }()
	relay, err := startCounting(address)
	if err != nil {
		return fresh, used, err
	}
	defer relay.close()
	base := costNow()
	links := make([]link.Link, n)
	for i := range links {
		if links[i], err = network.Dial(context.Background(), address, handler); err != nil {
			return fresh, used, err
		}
	}
	time.Sleep(100 * time.Millisecond)
	fresh = costNow().half(base)
	before := processorTime()
	if err := callAll(links); err != nil {
		return fresh, used, err
	}
	spent := processorTime() - before
	used = costNow().half(base)
	used.microseconds = float64(spent.Microseconds()) / float64(n*callsPerLink)
	used.bytes, err = relay.bytesOfCall(network, handler)
	for _, l := range links {
		_ = l.Close()
	}
	time.Sleep(200 * time.Millisecond)
	return fresh, used, err
}

// heartbeatAnswer returns a reply of ordinary size.
func heartbeatAnswer() *wire.Envelope {
	h := &wire.Heartbeat{ConfigRevision: 1_000, MembersVersion: 100_000, TargetsVersion: 100_000, ConfirmedRevision: 1_000, ConfirmedAgeMs: 2_000}
	for i := range heartbeatReply {
		m := controllerMembers(i + 1)[i]
		h.Members = append(h.Members, m.ToWire())
	}
	return &wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: h}}
}

// callAll sends heartbeats over all links at once.
func callAll(links []link.Link) error {
	var group sync.WaitGroup
	failures := make(chan error, len(links))
	for _, l := range links {
		group.Go(func() {
			for range callsPerLink {
				if _, err := l.Call(context.Background(), heartbeatQuestion()); err != nil {
					failures <- fmt.Errorf("heartbeat: %w", err)
					return
				}
			}
		})
	}
	group.Wait()
	select {
	case err := <-failures:
		return err
	default:
		return nil
	}
}

// heartbeatQuestion returns a request of ordinary size.
func heartbeatQuestion() *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: &wire.Heartbeat{ConfigRevision: 1_000,
		MembersVersion: 100_000, TargetsVersion: 100_000, ConfirmedRevision: 1_000, ConfirmedAgeMs: 2_000}}}
}

// costNow returns what this process holds.
func costNow() linkCost {
	return linkCost{heap: heapBytes(), stack: stackBytes(), goroutines: float64(runtime.NumGoroutine())}
}

// half returns half of what was added since base.
func (c linkCost) half(base linkCost) linkCost {
	return linkCost{heap: (c.heap - base.heap) / 2, stack: (c.stack - base.stack) / 2, goroutines: (c.goroutines - base.goroutines) / 2}
}

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

// linkSizes are the numbers of links at which the cost of links is measured.
var linkSizes = []int{20, 60, 180}

// callsPerLink is the number of heartbeats sent over each link.
const callsPerLink = 40

// responseRecords is the number of member records in a typical heartbeat reply.
const responseRecords = 10

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

// loopbackTLS returns a mutual TLS configuration that both ends can use.
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

// linkCost is the cost of a number of links at one end.
type linkCost struct {
	heap, stack, goroutines float64 // heap and stack in bytes
	microseconds            float64 // processor time of one call, at both ends together
	bytes                   float64 // on the wire for one call, in both directions
}

// measureLinkKind measures links that use TLS, or plaintext if secured is nil.
func measureLinkKind(r *report, name string, secured *tls.Config) error {
	var idle, busy, stack, goroutines, calls []point
	for _, n := range linkSizes {
		idleCost, busyCost, err := measureLinkCount(n, secured)
		if err != nil {
			return err
		}
		size := float64(n)
		idle = append(idle, point{size, idleCost.heap / 1e3})
		busy = append(busy, point{size, busyCost.heap / 1e3})
		stack = append(stack, point{size, busyCost.stack / 1e3})
		goroutines = append(goroutines, point{size, busyCost.goroutines})
		calls = append(calls, point{size, busyCost.microseconds})
		r.printf("%s: %d links: a call moves %.0f bytes on the wire\n", name, n, busyCost.bytes)
	}
	r.slope(name+": heap of an end, idle", "kB", "link", idle)
	r.slope(name+": heap of an end, with heartbeats", "kB", "link", busy)
	r.slope(name+": stacks of an end", "kB", "link", stack)
	r.slope(name+": goroutines of an end", "", "link", goroutines)
	r.slope(name+": processor time of a call, both ends", "us", "link", calls)
	return nil
}

// measureLinkCount opens n links and returns the cost of one end before and
// after heartbeats. Both ends are in this process, so it halves the totals.
func measureLinkCount(n int, secured *tls.Config) (idleCost, busyCost linkCost, err error) {
	log := zerolog.Nop()
	network := &yamuxlink.Network{Self: controllerOf(0, 1), TLS: secured, Log: &log}
	answer := heartbeatResponse()
	handler := link.HandlerFunc(func(context.Context, link.Link, *wire.Envelope) (*wire.Envelope, error) { return answer, nil })
	address, stop, err := network.Listen("127.0.0.1:0", handler, func(link.Link) {})
	if err != nil {
		return idleCost, busyCost, err
	}
	defer func() { _ = stop() }()
	proxy, err := startCountingProxy(address)
	if err != nil {
		return idleCost, busyCost, err
	}
	defer proxy.close()
	base := currentCost()
	links := make([]link.Link, n)
	for i := range links {
		if links[i], err = network.Dial(context.Background(), address, handler); err != nil {
			return idleCost, busyCost, err
		}
	}
	time.Sleep(100 * time.Millisecond)
	idleCost = currentCost().halfSince(base)
	before := processorTime()
	if err := callAll(links); err != nil {
		return idleCost, busyCost, err
	}
	spent := processorTime() - before
	busyCost = currentCost().halfSince(base)
	busyCost.microseconds = float64(spent.Microseconds()) / float64(n*callsPerLink)
	busyCost.bytes, err = proxy.bytesOfCall(network, handler)
	for _, l := range links {
		_ = l.Close()
	}
	time.Sleep(200 * time.Millisecond)
	return idleCost, busyCost, err
}

// heartbeatResponse returns a heartbeat reply of typical size.
func heartbeatResponse() *wire.Envelope {
	h := &wire.Heartbeat{ConfigRevision: 1_000, MembersVersion: 100_000, TargetsVersion: 100_000, ConfirmedRevision: 1_000, ConfirmedAgeMs: 2_000}
	for i := range responseRecords {
		m := controllerMembers(i + 1)[i]
		h.Members = append(h.Members, m.ToWire())
	}
	return &wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: h}}
}

// callAll sends callsPerLink heartbeats over each link, all links concurrently.
func callAll(links []link.Link) error {
	var group sync.WaitGroup
	failures := make(chan error, len(links))
	for _, l := range links {
		group.Go(func() {
			for range callsPerLink {
				if _, err := l.Call(context.Background(), heartbeatRequest()); err != nil {
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

// heartbeatRequest returns a heartbeat without records.
func heartbeatRequest() *wire.Envelope {
	return &wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: &wire.Heartbeat{ConfigRevision: 1_000,
		MembersVersion: 100_000, TargetsVersion: 100_000, ConfirmedRevision: 1_000, ConfirmedAgeMs: 2_000}}}
}

// currentCost returns the memory and the goroutines of this process.
func currentCost() linkCost {
	return linkCost{heap: heapBytes(), stack: stackBytes(), goroutines: float64(runtime.NumGoroutine())}
}

// halfSince returns half of the increase since base.
func (c linkCost) halfSince(base linkCost) linkCost {
	return linkCost{heap: (c.heap - base.heap) / 2, stack: (c.stack - base.stack) / 2, goroutines: (c.goroutines - base.goroutines) / 2}
}

package targetlink_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"zinniapin/detour"
	"zinniapin/internal/standin/prepared"
	"zinniapin/link"
	"zinniapin/link/memlink"
	"zinniapin/machine"
	"zinniapin/reach"
	"zinniapin/target"
	"zinniapin/targetlink"
	"zinniapin/wire"
)

// host is a controller with its own ways to two targets. It carries tunnels for gateways by any way and for other
// controllers over its own links.
type host struct {
	links *targetlink.Links
	ways  []*prepared.Way
}

// Serve implements link.Handler.
func (*host) Serve(context.Context, link.Link, *wire.Envelope) (*wire.Envelope, error) {
	return nil, link.ErrClosed
}

// Open implements link.StreamHandler.
func (h *host) Open(ctx context.Context, from link.Link, request *wire.Envelope) (*wire.Envelope, func(net.Conn), error) {
	if from.Peer().Role == machine.Gateway {
		return h.links.ServeTunnelByAnyWay(ctx, request.GetTunnelRequest())
	}
	return h.links.ServeTunnel(ctx, request.GetTunnelRequest())
}

// echo starts a target that sends back what it gets.
func echo(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c); _ = c.Close() }()
		}
	}()
	return l.Addr().String()
}

// newHosts starts a gateway's host, of which the links are returned first, and two controllers. The gateway asks the
// first controller, which asks the second.
func newHosts(t *testing.T) (gateway, first, second *host) {
	t.Helper()
	targets := []string{echo(t), echo(t)}
	fabric := memlink.NewFabric()
	log := zerolog.Nop()
	start := func(name string, role machine.Role, asks string) *host {
		h := &host{}
		network := fabric.Network(machine.Process{Host: machine.HostID(name), Role: role, Address: name})
		h.links = targetlink.New(targetlink.Options{Zone: "a", Network: network, Handler: h, Log: &log})
		if asks != "" {
			h.links.AskHosts(func() []reach.Host { return []reach.Host{{Address: asks, Zone: "a"}} })
		}
		var all []targetlink.Target
		for i, address := range targets {
			way := prepared.NewWay(address)
			t.Cleanup(way.Close)
			h.ways = append(h.ways, way)
			all = append(all, targetlink.Target{ID: target.ID(rune('a' + i)), Address: way.Address(), Zone: "a"})
		}
		h.links.SetTargets(all)
		if _, _, err := network.Listen(name, h, func(link.Link) {}); err != nil {
			t.Fatal(err)
		}
		return h
	}
	return start("g", machine.Gateway, "c1"), start("c1", machine.Controller, "c2"), start("c2", machine.Controller, "c1")
}

// set sets the mode of the ways of a host.
func (h *host) set(mode prepared.WayMode) {
	for _, w := range h.ways {
		w.Set(mode)
	}
}

// try connects to a target and exchanges some bytes.
func (h *host) try(t *testing.T) error {
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	c, err := h.links.Dial(ctx, h.ways[0].Address())
	if err != nil {
		return err
	}
	defer c.Close() //nolint:errcheck // a test
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	if _, err := c.Write([]byte("hello")); err != nil {
		return err
	}
	_, err = io.ReadFull(c, make([]byte, 5))
	return err
}

// A gateway reaches targets through a controller that has lost its links, too, if that reaches a further one.
func TestGatewayIsLedThroughTwoControllers(t *testing.T) {
	is := is.New(t)
	gateway, first, second := newHosts(t)
	is.NoErr(gateway.try(t))
	gateway.set(prepared.WayReset)
	is.NoErr(gateway.try(t))
	first.set(prepared.WayReset)
	is.NoErr(gateway.try(t))
	is.True(second.ways[0].Accepted() > 0)
}

// Tunnels between controllers have no loops: when none reaches a target, the gateway learns so soon, and puts nothing
// down to the target.
func TestTunnelsHaveNoLoops(t *testing.T) {
	is := is.New(t)
	gateway, first, second := newHosts(t)
	for _, h := range []*host{gateway, first, second} {
		h.set(prepared.WayReset)
	}
	begun := time.Now()
	err := gateway.try(t)
	is.True(err != nil)
	is.True(time.Since(begun) < time.Second)
	c, refused := gateway.links.Refuses(t.Context(), gateway.ways[0].Address())
	is.True(c == detour.Conn{})
	is.True(!refused)
}

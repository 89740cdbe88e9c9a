// Package otherhost plays another host, through which connections to a target go once a host has lost its own links.
package otherhost

import (
	"context"
	"fmt"
	"net"

	"zinniapin/link"
	"zinniapin/link/memlink"
	"zinniapin/machine"
	"zinniapin/tunnel"
	"zinniapin/wire"
)

// handler serves requests for tunnels to a target.
type handler struct {
	link.HandlerFunc
	server tunnel.Server
	target string // address
}

// Open implements link.StreamHandler.
func (h *handler) Open(ctx context.Context, _ link.Link, request *wire.Envelope) (*wire.Envelope, func(net.Conn), error) {
	reply, serve := h.server.Open(ctx, request.GetTunnelRequest(), func(context.Context, *wire.TunnelRequest) (net.Conn, wire.TunnelReply_Outcome) {
		c, err := net.Dial("tcp", h.target)
		if err != nil {
			return nil, wire.TunnelReply_REFUSED
		}
		return c, wire.TunnelReply_CONNECTED
	})
	return reply, serve, nil
}

// name is the address of the other host.
const name = "far"

// Start starts another host and returns a function that connects to the target at an address through it.
func Start(target string) (dial func(context.Context) (net.Conn, error), err error) {
	fabric := memlink.NewFabric()
	far := fabric.Network(machine.Process{Host: name, Role: machine.Node})
	if _, _, err := far.Listen(name, &handler{target: target}, func(link.Link) {}); err != nil {
		return nil, err
	}
	near := &tunnel.Client{Network: fabric.Network(machine.Process{Host: "near", Role: machine.Node})}
	return func(ctx context.Context) (net.Conn, error) {
		c, outcome, err := near.Open(ctx, name, "", 0)
		if err == nil && outcome != wire.TunnelReply_CONNECTED {
			err = fmt.Errorf("the other host answered %v", outcome)
		}
		if err != nil {
			return nil, err
		}
		return c, nil
	}, nil
}

package controller

import (
	"context"
	"net"
	"time"

	"zinniapin/detour"
	"zinniapin/link"
	"zinniapin/machine"
	"zinniapin/membership"
	"zinniapin/reach"
	"zinniapin/result"
	"zinniapin/targetlink"
	"zinniapin/wire"
)

// linksInterval is the interval at which the links to targets are maintained.
const linksInterval = 250 * time.Millisecond

// maintainLinks passes the targets to their links and probes those that are lost.
func (k *Controller) maintainLinks(context.Context) {
	k.config.Links.SetTargets(targetlink.TargetsOf(k.Targets()))
	k.config.Links.Probe(detour.Drop)
	k.config.Links.Maintain()
}

// linkHosts returns the other controllers of the region, which may connect to targets for this one.
func (k *Controller) linkHosts() []reach.Host {
	var all []reach.Host
	for _, m := range membership.Controllers(k.Members(), k.config.Self.Zone.Region) {
		if m.Process.Host != k.config.Self.Host && !m.Leaving {
			all = append(all, reach.Host{Address: m.Process.Address, Zone: string(m.Process.Zone.Name)})
		}
	}
	return all
}

// streamHandler serves the calls of other processes and their requests for tunnels.
type streamHandler struct{ k *Controller }

var _ link.StreamHandler = streamHandler{}

// Serve implements link.Handler.
func (h streamHandler) Serve(ctx context.Context, from link.Link, request *wire.Envelope) (*wire.Envelope, error) {
	return h.k.serve(ctx, from, request)
}

// Open implements link.StreamHandler. A gateway may be led through a further controller, a controller must not be, so
// that tunnels have no loops.
func (h streamHandler) Open(ctx context.Context, from link.Link, request *wire.Envelope) (*wire.Envelope, func(net.Conn), error) {
	links, tunnel := h.k.config.Links, request.GetTunnelRequest()
	switch role := from.Peer().Role; {
	case links == nil || tunnel == nil:
		return nil, nil, result.New(result.UnknownMessage, "the controller carries no tunnels")
	case role == machine.Gateway:
		return links.ServeTunnelByAnyWay(ctx, tunnel)
	case role == machine.Controller:
		return links.ServeTunnel(ctx, tunnel)
	default:
		return nil, nil, result.New(result.UnknownMessage, "a controller carries no tunnels for a %s", role)
	}
}

// NoCalls refuses all calls. It serves links over which a controller only asks for tunnels.
var NoCalls = link.HandlerFunc(func(context.Context, link.Link, *wire.Envelope) (*wire.Envelope, error) {
	return nil, result.New(result.UnknownMessage, "only tunnels are asked for over this link")
})

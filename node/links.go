package node

import (
	"context"
	"net"
	"time"

	"zinniapin/link"
	"zinniapin/reach"
	"zinniapin/result"
	"zinniapin/roster"
	"zinniapin/target"
	"zinniapin/targetlink"
	"zinniapin/wire"
)

// newTargetLinks returns the links of a node to targets.
func newTargetLinks(n *Node) *targetlink.Links {
	l := targetlink.New(targetlink.Options{Zone: n.settings.Zone, Network: n.network, Handler: peerHandler{n}, MaxTunnels: n.intake.Tunnels(), OnLost: n.linksLost, Log: n.log})
	l.AskHosts(n.linkHosts)
	l.Register(n.registry)
	return l
}

// linkHosts returns the hosts that may connect to targets for this one.
func (n *Node) linkHosts() []reach.Host {
	var all []reach.Host
	for _, m := range n.mesh.LiveHosts(time.Now()) {
		all = append(all, reach.Host{Address: m.Address, Zone: m.Zone})
	}
	return all
}

// linksLost takes in the targets to which this host has lost its own links.
func (n *Node) linksLost(addresses map[string]bool, ids map[target.ID]bool) {
	n.pool.CloseOutdated(addresses)
	n.handler.PlannerMu.Lock()
	n.handler.Planner.SetLostLinks(time.Now(), ids)
	n.handler.PlannerMu.Unlock()
}

// linkTargets returns targets as their links need them.
func linkTargets(all []roster.Target) []targetlink.Target {
	linked := make([]targetlink.Target, 0, len(all))
	for _, t := range all {
		linked = append(linked, targetlink.Target{ID: t.ID, Address: t.Address, Zone: t.Zone, Service: t.Service, StartedMillis: t.StartedMillis})
	}
	return linked
}

// peerHandler serves the calls of peers: requests for snapshots and for tunnels.
type peerHandler struct{ n *Node }

var _ link.StreamHandler = peerHandler{}

// Serve implements link.Handler.
func (h peerHandler) Serve(_ context.Context, _ link.Link, request *wire.Envelope) (*wire.Envelope, error) {
	wanted := request.GetSnapshotRequest()
	if wanted == nil {
		return nil, result.New(result.LinkRefused, "a node answers requests for snapshots and tunnels only")
	}
	return h.n.snapshot(wanted)
}

// Open implements link.StreamHandler.
func (h peerHandler) Open(ctx context.Context, _ link.Link, request *wire.Envelope) (*wire.Envelope, func(net.Conn), error) {
	return h.n.links.ServeTunnel(ctx, request.GetTunnelRequest())
}

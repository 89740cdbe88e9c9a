package node

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"zinniapin/detour"
	"zinniapin/event"
	"zinniapin/link"
	"zinniapin/reach"
	"zinniapin/result"
	"zinniapin/roster"
	"zinniapin/target"
	"zinniapin/tunnel"
	"zinniapin/wire"
)

// targetLinks are this host's links to targets: its own, and the tunnels through other hosts that stand in for those
// that are lost. It implements detour.Hosts.
type targetLinks struct {
	n       *Node
	tunnels tunnel.Client // through other hosts
	carried tunnel.Server // for other hosts

	mu        sync.Mutex
	byAddress map[string]roster.Target
	byID      map[target.ID]roster.Target
	lost      map[string]bool // targets by address
	logged    int             // number of lost links in the log last
}

var _ detour.Hosts = (*targetLinks)(nil)

// newTargetLinks returns the links of a node and makes its pool of connections use them.
func newTargetLinks(n *Node) *targetLinks {
	l := &targetLinks{n: n, tunnels: tunnel.Client{Network: n.network, Handler: peerHandler{n}}}
	l.carried.Connect = l.connect
	n.pool.UseDetours(l, l.setLost)
	l.register(n.registry)
	return l
}

// register registers the metrics of the links.
func (l *targetLinks) register(r prometheus.Registerer) {
	r.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "zinnia_target_connections_total", Help: "Connections to targets over this host's own links."}, func() float64 {
			own, _ := l.n.pool.Opened()
			return float64(own)
		}),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "zinnia_tunnels_asked_total", Help: "Requests to other hosts for a tunnel to a target."}, func() float64 {
			_, asked := l.n.pool.Opened()
			return float64(asked)
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "zinnia_links_lost", Help: "Targets to which this host has lost its own links."}, func() float64 {
			l.mu.Lock()
			defer l.mu.Unlock()
			return float64(len(l.lost))
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "zinnia_tunnels_carried", Help: "Tunnels that this host carries for others."}, func() float64 {
			return float64(l.carried.Carried())
		}),
	)
}

// setTargets replaces the targets.
func (l *targetLinks) setTargets(all []roster.Target) {
	byAddress, byID := make(map[string]roster.Target, len(all)), make(map[target.ID]roster.Target, len(all))
	addresses := make([]string, 0, len(all))
	for _, t := range all {
		byAddress[t.Address], byID[t.ID] = t, t
		addresses = append(addresses, t.Address)
	}
	l.mu.Lock()
	l.byAddress, l.byID = byAddress, byID
	l.mu.Unlock()
	l.n.pool.SetTargets(addresses)
}

// Hosts implements detour.Hosts.
func (l *targetLinks) Hosts(address string) (all []reach.Host, ownZone, targetZone string) {
	l.mu.Lock()
	t := l.byAddress[address]
	l.mu.Unlock()
	for _, m := range l.n.mesh.LiveHosts(time.Now()) {
		all = append(all, reach.Host{Address: m.Address, Zone: m.Zone})
	}
	return all, string(l.n.settings.Zone), string(t.Zone)
}

// Open implements detour.Hosts.
func (l *targetLinks) Open(ctx context.Context, host, address string) (net.Conn, detour.Word) {
	l.mu.Lock()
	t, listed := l.byAddress[address]
	l.mu.Unlock()
	if !listed {
		return nil, detour.NoWay
	}
	conn, outcome, err := l.tunnels.Open(ctx, host, t.ID, t.StartedMillis)
	if err != nil {
		return nil, detour.NoAnswer
	}
	switch outcome {
	case wire.TunnelReply_CONNECTED:
		return conn, detour.Connected
	case wire.TunnelReply_NO_WAY:
		return nil, detour.NoWay
	case wire.TunnelReply_REFUSED:
		return nil, detour.Refused
	case wire.TunnelReply_UNANSWERED:
		return nil, detour.Unanswered
	default:
		return nil, detour.NoAnswer
	}
}

// connect connects to a target for another host, which may know an older or a newer start of it.
func (l *targetLinks) connect(ctx context.Context, id target.ID, startedMillis int64) (net.Conn, wire.TunnelReply_Outcome) {
	l.mu.Lock()
	t, listed := l.byID[id]
	l.mu.Unlock()
	if !listed || t.StartedMillis != startedMillis {
		return nil, wire.TunnelReply_NO_WAY
	}
	conn, word := l.n.pool.ConnectFor(ctx, t.Address)
	switch word {
	case detour.Connected:
		return conn, wire.TunnelReply_CONNECTED
	case detour.Refused:
		return nil, wire.TunnelReply_REFUSED
	case detour.Unanswered:
		return nil, wire.TunnelReply_UNANSWERED
	default:
		return nil, wire.TunnelReply_NO_WAY
	}
}

// setLost takes in the targets to which this host has lost its own links.
func (l *targetLinks) setLost(lost map[string]bool) {
	l.mu.Lock()
	first := len(l.lost) == 0
	l.lost = lost
	l.mu.Unlock()
	if first || len(lost) == 0 {
		l.logLost()
	}
	l.informPlanner()
}

// logLost logs how many links are lost if that has changed.
func (l *targetLinks) logLost() {
	l.mu.Lock()
	lost, targets := len(l.lost), len(l.byAddress)
	changed := lost != l.logged
	l.logged = lost
	l.mu.Unlock()
	switch {
	case changed && lost > 0:
		event.LinksLost.Log(l.n.log).Int("lost", lost).Int("targets", targets).Send()
	case changed:
		event.LinksBack.Log(l.n.log).Int("targets", targets).Send()
	}
}

// informPlanner tells the planner to which targets this host has lost its own links.
func (l *targetLinks) informPlanner() {
	l.mu.Lock()
	lost := make(map[target.ID]bool)
	for address := range l.lost {
		if t, listed := l.byAddress[address]; listed {
			lost[t.ID] = true
		}
	}
	l.mu.Unlock()
	l.n.handler.PlannerMu.Lock()
	l.n.handler.Planner.SetLostLinks(time.Now(), lost)
	l.n.handler.PlannerMu.Unlock()
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
	reply, serve := h.n.links.carried.Open(ctx, request.GetTunnelRequest())
	return reply, serve, nil
}

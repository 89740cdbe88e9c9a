// Package targetlink joins what a process needs to reach targets although its host has lost its own links to them: the
// dialer (package detour), tunnels through other hosts, and those that it carries for them (package tunnel).
package targetlink

import (
	"context"
	"errors"
	"net"
	"sync"
	"syscall"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"zinniapin/control"
	"zinniapin/detour"
	"zinniapin/event"
	"zinniapin/link"
	"zinniapin/reach"
	"zinniapin/target"
	"zinniapin/tunnel"
	"zinniapin/wire"
	"zinniapin/zone"
)

// Target is a target by what its links need.
type Target struct {
	ID      target.ID
	Address string
	Zone    zone.Name
	Service string // or the pool of an engine
	// StartedMillis tells starts of a target with the same id apart; 0 where that is not known.
	StartedMillis int64
}

// TargetsOf returns the targets of a view.
func TargetsOf(view []control.TargetState) []Target {
	all := make([]Target, 0, len(view))
	for _, s := range view {
		all = append(all, Target{ID: s.Target.ID, Address: s.Target.Address, Zone: s.Target.Zone, Service: s.Target.Pool})
	}
	return all
}

// Options configure Links.
type Options struct {
	Zone zone.Name // availability zone of this host
	// Link returns an open link to another host. If it is nil, Network opens links, over which Handler serves the other
	// host's calls.
	Link    func(host string) (link.Link, error)
	Network link.Network
	Handler link.Handler
	// MaxTunnels bounds the tunnels that are carried for other hosts; 0 stands for the default of tunnel.Server.
	MaxTunnels int
	// OnLost is called with the targets to which this host has lost its own links, by address and by id, whenever
	// these change; nil if nobody is told.
	OnLost func(addresses map[string]bool, ids map[target.ID]bool)
	Log    *zerolog.Logger
}

// Links are the links of a process to targets. They are safe for concurrent use.
type Links struct {
	*detour.Dialer
	options Options
	hosts   func() []reach.Host // nil if there are no others
	tunnels tunnel.Client       // through other hosts
	carried tunnel.Server       // for other hosts

	mu        sync.Mutex
	byAddress map[string]Target
	byID      map[target.ID]Target
	lost      map[string]bool
	logged    int // number of lost links in the log last
}

// New returns links that all work.
func New(o Options) *Links {
	l := &Links{options: o, tunnels: tunnel.Client{Link: o.Link, Network: o.Network, Handler: o.Handler}}
	l.carried.Max = o.MaxTunnels
	l.Dialer = detour.New(detour.Options{Hosts: l, OnChange: l.setLost})
	return l
}

// AskHosts sets the function that returns the other hosts that may carry tunnels. It must be called before the links are
// in use; without it no host is asked.
func (l *Links) AskHosts(hosts func() []reach.Host) { l.hosts = hosts }

// DialContext connects to the target at an address, for use by http.Transport.
func (l *Links) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	c, err := l.Dial(ctx, address)
	return c.Conn, err
}

// Register registers the metrics of the links.
func (l *Links) Register(r prometheus.Registerer) {
	r.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "zinnia_target_connections_total", Help: "Connections to targets over this host's own links."}, func() float64 { return float64(l.Opened.Load()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "zinnia_tunnels_asked_total", Help: "Requests to other hosts for a tunnel to a target."}, func() float64 { return float64(l.Asked.Load()) }),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "zinnia_links_lost", Help: "Targets to which this host has lost its own links."}, func() float64 {
			l.mu.Lock()
			defer l.mu.Unlock()
			return float64(len(l.lost))
		}),
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "zinnia_tunnels_carried", Help: "Tunnels that this host carries for others."}, func() float64 { return float64(l.carried.Carried()) }),
	)
}

// SetTargets replaces the targets.
func (l *Links) SetTargets(all []Target) {
	byAddress, byID := make(map[string]Target, len(all)), make(map[target.ID]Target, len(all))
	reached := make([]reach.Target, 0, len(all))
	for _, t := range all {
		byAddress[t.Address], byID[t.ID] = t, t
		reached = append(reached, reach.Target{Address: t.Address, Group: t.Service})
	}
	l.mu.Lock()
	l.byAddress, l.byID = byAddress, byID
	l.mu.Unlock()
	l.Dialer.SetTargets(reached)
}

// CheckSilent finds out whether the link to the target at an address, which has not begun to answer, is lost.
func (l *Links) CheckSilent(address string) { l.Check(address, detour.Drop) }

// Maintain closes unused tunnels and logs how many links are lost. It is to be called about once a second.
func (l *Links) Maintain() {
	l.tunnels.CloseIdle()
	l.logLost()
}

// ServeTunnel answers another host's request for a tunnel, as link.StreamHandler does. The target is connected to over
// this host's own links.
func (l *Links) ServeTunnel(ctx context.Context, request *wire.TunnelRequest) (*wire.Envelope, func(net.Conn), error) {
	reply, serve := l.carried.Open(ctx, request, l.connectFor)
	return reply, serve, nil
}

// ServeTunnelByAnyWay is ServeTunnel for a process that asks no other host, so that the target may be connected to through
// one.
func (l *Links) ServeTunnelByAnyWay(ctx context.Context, request *wire.TunnelRequest) (*wire.Envelope, func(net.Conn), error) {
	reply, serve := l.carried.Open(ctx, request, l.connectByAnyWay)
	return reply, serve, nil
}

// Leave grants no further tunnels, and Drain waits until those that are carried have ended or the context ends.
func (l *Links) Leave() { l.carried.Leave() }

// Drain is described at Leave.
func (l *Links) Drain(ctx context.Context) { l.carried.Drain(ctx) }

// Hosts implements detour.Hosts.
func (l *Links) Hosts(address string) (all []reach.Host, ownZone, targetZone string) {
	l.mu.Lock()
	t := l.byAddress[address]
	l.mu.Unlock()
	if l.hosts != nil {
		all = l.hosts()
	}
	return all, string(l.options.Zone), string(t.Zone)
}

// Open implements detour.Hosts.
func (l *Links) Open(ctx context.Context, host, address string) (net.Conn, detour.Outcome) {
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
	case wire.TunnelReply_NO_LINKS:
		return nil, detour.NoLinks
	case wire.TunnelReply_REFUSED:
		return nil, detour.Refused
	case wire.TunnelReply_UNANSWERED:
		return nil, detour.Unanswered
	default:
		return nil, detour.NoAnswer
	}
}

// find returns the target of a request, unless another start of it is known here.
func (l *Links) find(request *wire.TunnelRequest) (Target, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, listed := l.byID[target.ID(request.Target)]
	return t, listed && t.StartedMillis == request.Born
}

// connectFor connects to a target for another host.
func (l *Links) connectFor(ctx context.Context, request *wire.TunnelRequest) (net.Conn, wire.TunnelReply_Outcome) {
	t, listed := l.find(request)
	if !listed {
		return nil, wire.TunnelReply_NO_WAY
	}
	conn, outcome := l.ConnectFor(ctx, t.Address)
	switch outcome {
	case detour.Connected:
		return conn, wire.TunnelReply_CONNECTED
	case detour.Refused:
		return nil, wire.TunnelReply_REFUSED
	case detour.Unanswered:
		return nil, wire.TunnelReply_UNANSWERED
	case detour.NoLinks:
		return nil, wire.TunnelReply_NO_LINKS
	default:
		return nil, wire.TunnelReply_NO_WAY
	}
}

// connectByAnyWay connects to a target for another process, through a further host if necessary.
func (l *Links) connectByAnyWay(ctx context.Context, request *wire.TunnelRequest) (net.Conn, wire.TunnelReply_Outcome) {
	t, listed := l.find(request)
	if !listed {
		return nil, wire.TunnelReply_NO_WAY
	}
	c, err := l.Dial(ctx, t.Address)
	switch {
	case err == nil:
		return c.Conn, wire.TunnelReply_CONNECTED
	case !errors.Is(err, detour.ErrTargetDown):
		return nil, wire.TunnelReply_NO_WAY
	case errors.Is(err, syscall.ECONNREFUSED):
		return nil, wire.TunnelReply_REFUSED
	default:
		return nil, wire.TunnelReply_UNANSWERED
	}
}

// setLost takes in the targets to which this host has lost its own links.
func (l *Links) setLost(lost map[string]bool) {
	ids := make(map[target.ID]bool, len(lost))
	l.mu.Lock()
	first := len(l.lost) == 0
	l.lost = lost
	for address := range lost {
		if t, listed := l.byAddress[address]; listed {
			ids[t.ID] = true
		}
	}
	l.mu.Unlock()
	if first || len(lost) == 0 {
		l.logLost()
	}
	if l.options.OnLost != nil {
		l.options.OnLost(lost, ids)
	}
}

// logLost logs how many links are lost if that has changed.
func (l *Links) logLost() {
	l.mu.Lock()
	lost, targets := len(l.lost), len(l.byAddress)
	changed := lost != l.logged
	l.logged = lost
	l.mu.Unlock()
	switch {
	case changed && lost > 0:
		event.LinksLost.Log(l.options.Log).Int("lost", lost).Int("targets", targets).Send()
	case changed:
		event.LinksBack.Log(l.options.Log).Int("targets", targets).Send()
	}
}

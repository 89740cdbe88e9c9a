package uplink

import (
	"context"
	"time"

	"zinniapin/control"
	"zinniapin/wire"
)

// maxDemands bounds the organisations of one grant request.
const maxDemands = 4096

// askGrants asks for shares of the limits of the organisations that are
// active, first the own host's controller, then the other one.
func (u *Uplink) askGrants(ctx context.Context, g control.Gateway) {
	demands := g.Demands()
	if len(demands) == 0 {
		return
	}
	request := &wire.GrantRequest{Gateway: u.config.Self.ID(), Gateways: u.gateways()}
	for _, d := range demands[:min(len(demands), maxDemands)] {
		request.Demands = append(request.Demands, wire.FromDemand(d))
	}
	for _, up := range u.upstreams() {
		sent := time.Now()
		timed, cancel := context.WithTimeout(ctx, interval)
		reply, err := up.link.Call(timed, &wire.Envelope{Body: &wire.Envelope_GrantRequest{GrantRequest: request}})
		cancel()
		if err == nil && reply.GetGrantReply() != nil {
			tellGrants(g, sent, reply.GetGrantReply())
			return
		}
	}
}

// gateways returns the number of gateways that this one remembers.
func (u *Uplink) gateways() uint32 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return uint32(u.fleet.gateways)
}

// tellGrants hands grants to the gateway. A grant counts from the moment at
// which it was asked for.
func tellGrants(g control.Gateway, sent time.Time, reply *wire.GrantReply) {
	grants := make([]control.Grant, 0, len(reply.Grants))
	for _, granted := range reply.Grants {
		grants = append(grants, granted.ToGrant(sent))
	}
	if len(grants) > 0 {
		g.Grant(grants)
	}
}

// Leave tells the controllers that this gateway leaves.
func (u *Uplink) Leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.self.Leaving = true
	u.changed = true
}

// pushLoads tells a controller what the gateway saw of each pool. Loads are of
// the moment: one that is lost is not told again.
func (u *Uplink) pushLoads(ctx context.Context, g control.Gateway) {
	loads := g.PoolLoads()
	upstreams := u.upstreams()
	if len(loads) == 0 || len(upstreams) == 0 {
		return
	}
	push := &wire.LoadPush{}
	for _, l := range loads {
		push.Loads = append(push.Loads, wire.FromPoolLoad(l))
	}
	timed, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, _ = upstreams[0].link.Call(timed, &wire.Envelope{Body: &wire.Envelope_LoadPush{LoadPush: push}})
}

package uplink

import (
	"context"
	"time"

	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/grant"
	"zinniapin/wire"
)

// maxDemands bounds the organisations of one grant request.
const maxDemands = 4096

// askGrants asks for shares of the limits of the organisations that are due,
// first the own host's controller, then the other one.
func (u *Uplink) askGrants(ctx context.Context, g control.Gateway) {
	gateways := u.gateways()
	demands := u.asker.due(time.Now(), g.Demands(), int(gateways), u.limitsOf)
	if len(demands) == 0 {
		return
	}
	request := grantRequest(demands[:min(len(demands), maxDemands)], gateways)
	request.Gateway = u.config.Self.ID()
	for _, up := range u.upstreams() {
		sent := time.Now()
		timed, cancel := context.WithTimeout(ctx, interval)
		reply, err := up.link.Call(timed, &wire.Envelope{Body: &wire.Envelope_GrantRequest{GrantRequest: request}})
		cancel()
		if err == nil && reply.GetGrantReply() != nil {
			grants := grantsOf(sent, request, reply.GetGrantReply())
			u.asker.take(sent, grants)
			if len(grants) > 0 {
				g.SetGrants(grants)
			}
			return
		}
	}
}

// grantRequest returns a request for demands, in columns in a large fleet.
func grantRequest(demands []control.Demand, gateways uint32) *wire.GrantRequest {
	request := &wire.GrantRequest{Gateways: gateways}
	if gateways >= grant.LongTermMinGateways {
		request.Columns = wire.FromDemands(demands)
		return request
	}
	for _, d := range demands {
		request.Demands = append(request.Demands, wire.FromDemand(d))
	}
	return request
}

// limitsOf returns the limits of an organisation in the configuration in
// force, if it has any.
func (u *Uplink) limitsOf(organisation string) (contract.Limits, bool) {
	s := u.holder.Snapshot()
	if s == nil {
		return contract.Limits{}, false
	}
	k, ok := s.Contracts[organisation]
	if !ok {
		return contract.Limits{}, false
	}
	return k.Limits, true
}

// gateways returns the number of gateways that this one remembers.
func (u *Uplink) gateways() uint32 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return uint32(u.fleet.gateways)
}

// grantsOf returns the grants of a reply. A grant counts from the moment at
// which it was asked for.
func grantsOf(sent time.Time, request *wire.GrantRequest, reply *wire.GrantReply) []control.Grant {
	granted := append(reply.Grants, reply.Columns.ToGrants(request.Columns.GetOrganisations())...)
	grants := make([]control.Grant, 0, len(granted))
	for _, g := range granted {
		grants = append(grants, g.ToGrant(sent))
	}
	return grants
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

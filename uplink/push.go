package uplink

import (
	"context"
	"time"

	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/grant"
	"zinniapin/wire"
)

// maxDemands limits the number of organisations in one grant request.
const maxDemands = 4096

// requestGrants requests grants for the organisations that are due from the controller of the
// first slot, or from that of the second if the first does not answer.
func (u *Uplink) requestGrants(ctx context.Context, g control.Gateway) {
	gateways := u.gatewayCount()
	demands := u.selector.due(time.Now(), g.Demands(), int(gateways), u.limitsOf)
	if len(demands) == 0 {
		return
	}
	request := newGrantRequest(demands[:min(len(demands), maxDemands)], gateways)
	request.Gateway = u.config.Self.ID()
	for _, up := range u.upstreams() {
		sent := time.Now()
		timed, cancel := context.WithTimeout(ctx, interval)
		reply, err := up.link.Call(timed, &wire.Envelope{Body: &wire.Envelope_GrantRequest{GrantRequest: request}})
		cancel()
		if err == nil && reply.GetGrantReply() != nil {
			grants := grantsFromReply(sent, request, reply.GetGrantReply())
			u.selector.recordGrants(sent, grants)
			if len(grants) > 0 {
				g.SetGrants(grants)
			}
			return
		}
	}
}

// newGrantRequest returns a request with the given demands. In a large fleet it holds them in
// columns, which are smaller.
func newGrantRequest(demands []control.Demand, gateways uint32) *wire.GrantRequest {
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

// limitsOf returns the limits of an organisation in the configuration in force, and false if
// the organisation has no contract.
func (u *Uplink) limitsOf(organisation string) (contract.Limits, bool) {
	s := u.replica.Snapshot()
	if s == nil {
		return contract.Limits{}, false
	}
	c, ok := s.Contracts[organisation]
	if !ok {
		return contract.Limits{}, false
	}
	return c.Limits, true
}

// gatewayCount returns the number of live gateways on which guaranteed shares are based.
func (u *Uplink) gatewayCount() uint32 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return uint32(u.fleet.gateways)
}

// grantsFromReply returns the grants of a reply. Their terms count from when the request was
// sent.
func grantsFromReply(sent time.Time, request *wire.GrantRequest, reply *wire.GrantReply) []control.Grant {
	granted := append(reply.Grants, reply.Columns.ToGrants(request.Columns.GetOrganisations())...)
	grants := make([]control.Grant, 0, len(granted))
	for _, g := range granted {
		grants = append(grants, g.ToGrant(sent))
	}
	return grants
}

// Leave marks this gateway as leaving. The next heartbeats tell the controllers.
func (u *Uplink) Leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.self.Leaving = true
	u.selfChanged = true
}

// pushLoads sends the loads of the pools, as measured by the gateway, to one controller. Loads
// are valid only for a moment, so a push that fails is not sent again.
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

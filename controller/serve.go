package controller

import (
	"context"
	"time"

	"zinniapin/contract"
	"zinniapin/grant"
	"zinniapin/link"
	"zinniapin/machine"
	"zinniapin/membership"
	"zinniapin/result"
	"zinniapin/wire"
)

// serve answers the calls of gateways, other controllers and operators.
func (k *Controller) serve(ctx context.Context, from link.Link, envelope *wire.Envelope) (*wire.Envelope, error) {
	if !allowed(from.Peer().Role, envelope) {
		return nil, result.New(result.UnknownMessage, "a controller does not serve %T to a %s", envelope.Body, from.Peer().Role)
	}
	switch body := envelope.Body.(type) {
	case *wire.Envelope_Heartbeat:
		return k.serveHeartbeat(from, body.Heartbeat), nil
	case *wire.Envelope_ConfigRequest:
		reply := k.replica.Serve(body.ConfigRequest)
		return &wire.Envelope{Body: &wire.Envelope_ConfigReply{ConfigReply: reply}}, nil
	case *wire.Envelope_GrantRequest:
		reply := k.serveGrants(ctx, from, body.GrantRequest)
		return &wire.Envelope{Body: &wire.Envelope_GrantReply{GrantReply: reply}}, nil
	case *wire.Envelope_UsagePush:
		reply := k.serveUsage(ctx, from, body.UsagePush)
		return &wire.Envelope{Body: &wire.Envelope_UsageAck{UsageAck: reply}}, nil
	case *wire.Envelope_LoadPush:
		reply := k.serveLoads(from, body.LoadPush)
		return &wire.Envelope{Body: &wire.Envelope_LoadAck{LoadAck: reply}}, nil
	case *wire.Envelope_Cordon:
		return k.relayCordon(ctx, body.Cordon)
	case *wire.Envelope_StatusRequest:
		return k.serveStatus(ctx, from, body.StatusRequest)
	default:
		return nil, result.New(result.UnknownMessage, "a controller does not serve %T", envelope.Body)
	}
}

// allowed reports whether a process with a role may make a call.
func allowed(role machine.Role, envelope *wire.Envelope) bool {
	switch envelope.Body.(type) {
	case *wire.Envelope_Cordon:
		return role == machine.Controller
	case *wire.Envelope_Heartbeat, *wire.Envelope_GrantRequest, *wire.Envelope_ConfigRequest,
		*wire.Envelope_UsagePush, *wire.Envelope_LoadPush:
		return role == machine.Gateway || role == machine.Controller
	default:
		return true
	}
}

// serveHeartbeat answers a heartbeat with the changes since the versions in the
// request.
func (k *Controller) serveHeartbeat(from link.Link, request *wire.Heartbeat) *wire.Envelope {
	if contract.Revision(request.ConfigRevision) > k.replica.Revision() {
		go k.fetchNewer(from)
	}
	k.links.markFirstHeartbeat(from)
	reply := k.heartbeatBase()
	peer := from.Peer()
	now := time.Now()
	fromGateway := peer.Role == machine.Gateway
	k.mu.Lock()
	defer k.mu.Unlock()
	if fromGateway {
		k.mergeGatewayRecord(now, peer, request)
		k.addFleetSummary(now, request, reply)
		k.notifySuspectedGateway(now, peer, reply)
	}
	if peer.Role == machine.Controller {
		k.addMemberChanges(request, reply, peer)
	}
	reply.TargetsVersion = request.TargetsVersion
	if peer.Zone.Region == k.config.Self.Zone.Region {
		k.exchangeTargetChanges(now, request, reply, peer)
	}
	k.mergeCrashEvidence(now, request)
	k.addCrashEvidence(now, request, reply)
	k.metrics.countHeartbeatBytes(reply, request)
	return &wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: reply}}
}

// mergeGatewayRecord merges a gateway's own member record. The caller holds k.mu.
func (k *Controller) mergeGatewayRecord(now time.Time, peer machine.Process, request *wire.Heartbeat) {
	for _, m := range request.Members {
		if m.Incarnation == peer.Incarnation {
			k.members.Merge(now, peer.Incarnation, m)
		}
	}
}

// alternativeControllers is the number of controllers in the reply to a gateway's
// first heartbeat, among which it can choose its links.
const alternativeControllers = 8

// addFleetSummary adds to the reply for a gateway the numbers of live processes,
// the state of the store and, at first, controllers to link to. The caller holds
// k.mu.
func (k *Controller) addFleetSummary(now time.Time, request, reply *wire.Heartbeat) {
	members := k.members.Members(now)
	controllers := membership.Controllers(members, "")
	reply.LiveControllers = uint32(len(controllers))
	reply.LiveGateways = uint32(len(gatewaysOf(members)))
	age, down := k.members.StoreDown(now, k.expectedControllers())
	reply.StoreDownForMost, reply.StoreDownAgeMs = down, age.Milliseconds()
	if request.MembersVersion == 0 {
		regional := membership.Controllers(members, k.config.Self.Zone.Region)
		for _, m := range membership.Owners(regional, string(k.config.Self.Host), alternativeControllers) {
			reply.Members = append(reply.Members, m.ToWire())
		}
	}
}

// gatewaysOf returns the gateways among members.
func gatewaysOf(members []membership.Member) []membership.Member {
	var gateways []membership.Member
	for _, m := range members {
		if m.Process.Role == machine.Gateway {
			gateways = append(gateways, m)
		}
	}
	return gateways
}

// fleetSize returns the numbers of live and of known gateways.
func (k *Controller) fleetSize(now time.Time) grant.Fleet {
	k.mu.Lock()
	defer k.mu.Unlock()
	return grant.Fleet{
		Live:  len(gatewaysOf(k.members.Members(now))),
		Known: k.members.KnownHostCount(now, machine.Gateway),
	}
}

// limitsOf returns the limits of an organisation and the revision that they are
// from, or false when the organisation has no contract.
func (k *Controller) limitsOf(organisation string) (contract.Limits, contract.Revision, bool) {
	s := k.replica.Snapshot()
	if s == nil {
		return contract.Limits{}, 0, false
	}
	c, ok := s.Contracts[organisation]
	if !ok {
		return contract.Limits{}, 0, false
	}
	return c.Limits, s.Revision, true
}

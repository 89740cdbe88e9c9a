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

// serve answers the calls of peers and gateways.
func (k *Controller) serve(ctx context.Context, from link.Link, q *wire.Envelope) (*wire.Envelope, error) {
	if !allowed(from.Peer().Role, q) {
		return nil, result.New(result.UnknownMessage, "a controller does not serve %T to a %s", q.Body, from.Peer().Role)
	}
	switch body := q.Body.(type) {
	case *wire.Envelope_Heartbeat:
		return k.serveHeartbeat(from, body.Heartbeat), nil
	case *wire.Envelope_ConfigRequest:
		reply := k.holder.Serve(body.ConfigRequest)
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
		return nil, result.New(result.UnknownMessage, "a controller does not serve %T", q.Body)
	}
}

// allowed tells whether a process of a role may make a call.
func allowed(role machine.Role, q *wire.Envelope) bool {
	switch q.Body.(type) {
	case *wire.Envelope_Cordon:
		return role == machine.Controller
	case *wire.Envelope_Heartbeat, *wire.Envelope_GrantRequest, *wire.Envelope_ConfigRequest,
		*wire.Envelope_UsagePush, *wire.Envelope_LoadPush:
		return role == machine.Gateway || role == machine.Controller
	default:
		return true
	}
}

// serveHeartbeat answers a heartbeat with what changed since the versions
// that the asker has seen.
func (k *Controller) serveHeartbeat(from link.Link, q *wire.Heartbeat) *wire.Envelope {
	if contract.Revision(q.ConfigRevision) > k.holder.Revision() {
		go k.fetchNewer(from)
	}
	k.links.heardFirst(from)
	reply := k.heartbeatBase()
	peer := from.Peer()
	now := time.Now()
	gateway := peer.Role == machine.Gateway
	k.mu.Lock()
	defer k.mu.Unlock()
	if gateway {
		k.noteGateway(now, peer, q)
		k.fillGateway(now, q, reply)
		k.tellDoubt(now, peer, reply)
	}
	if peer.Role == machine.Controller {
		k.fillMembers(q, reply, peer)
	}
	reply.TargetsVersion = q.TargetsVersion
	if peer.Zone.Region == k.config.Self.Zone.Region {
		k.fillTargets(now, q, reply, peer)
	}
	k.metrics.exchanged(reply, q)
	return &wire.Envelope{Body: &wire.Envelope_Heartbeat{Heartbeat: reply}}
}

// noteGateway takes in a gateway's own record. The lock is held.
func (k *Controller) noteGateway(now time.Time, peer machine.Process, q *wire.Heartbeat) {
	for _, m := range q.Members {
		if m.Incarnation == peer.Incarnation {
			k.members.Merge(now, peer.Incarnation, m)
		}
	}
}

// alternatives is the number of other controllers that a gateway is told of.
const alternatives = 8

// fillGateway adds what a gateway is told of the fleet. The lock is held.
func (k *Controller) fillGateway(now time.Time, q, reply *wire.Heartbeat) {
	members := k.members.Members(now)
	controllers := membership.Controllers(members, "")
	reply.LiveControllers = uint32(len(controllers))
	reply.LiveGateways = uint32(len(gatewaysOf(members)))
	age, down := k.members.StoreDown(now, k.expectedControllers())
	reply.StoreDownForMost, reply.StoreDownAgeMs = down, age.Milliseconds()
	if q.MembersVersion == 0 {
		near := membership.Controllers(members, k.config.Self.Zone.Region)
		for _, m := range membership.Owners(near, string(k.config.Self.Host), alternatives) {
			reply.Members = append(reply.Members, m.ToWire())
		}
	}
}

// gatewaysOf returns the gateways among live processes.
func gatewaysOf(members []membership.Member) []membership.Member {
	var gateways []membership.Member
	for _, m := range members {
		if m.Process.Role == machine.Gateway {
			gateways = append(gateways, m)
		}
	}
	return gateways
}

// fleet returns what is known of the gateways.
func (k *Controller) fleet(now time.Time) grant.Fleet {
	k.mu.Lock()
	defer k.mu.Unlock()
	return grant.Fleet{
		Live:  len(gatewaysOf(k.members.Members(now))),
		Known: k.members.KnownHostCount(now, machine.Gateway),
	}
}

// limitsOf returns the limits of an organisation, and false when it has no
// contract.
func (k *Controller) limitsOf(organisation string) (contract.Limits, contract.Revision, bool) {
	s := k.holder.Snapshot()
	if s == nil {
		return contract.Limits{}, 0, false
	}
	c, ok := s.Contracts[organisation]
	if !ok {
		return contract.Limits{}, 0, false
	}
	return c.Limits, s.Revision, true
}

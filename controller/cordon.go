package controller

import (
	"context"
	"sort"
	"time"

	"golang.org/x/sync/errgroup"

	"zinniapin/event"
	"zinniapin/machine"
	"zinniapin/membership"
	"zinniapin/result"
	"zinniapin/target"
	"zinniapin/wire"
)

const (
	// cordonTimeout bounds the call to one gateway.
	cordonTimeout = 3 * time.Second
	// maxParallelCordons bounds the number of concurrent calls.
	maxParallelCordons = 16
)

// CordonEverywhere cordons a target at every live gateway of the region, so that
// they send it no new requests, or lifts the cordon. It returns the number of
// requests still running on the target and the ids of the gateways that did not
// answer: a planned change may go ahead only when none is running or missing. With
// equal epochs a lift wins over a cordon. The error is a result.StoreConflict when a
// cordon with a higher epoch is in force, or the error of ctx.
//
// A gateway that does not count as live is not called. It counts as missing for
// as long as it may still be running: one that is partitioned from the others
// may go on serving. After that time two things protect the target from requests
// of such a gateway: the target refuses requests while it changes, and its report
// is checked before the change.
func (k *Controller) CordonEverywhere(ctx context.Context, id target.ID, epoch uint64, lift bool) (running int, missing []string, err error) {
	k.mu.Lock()
	known := k.targets.Cordon(id, epoch, lift)
	k.mu.Unlock()
	if !known {
		return 0, nil, result.New(result.StoreConflict, "a cordon with a higher epoch is in force").At(string(id))
	}
	gateways := k.regionGateways()
	answers := make([]*wire.CordonAck, len(gateways))
	var group errgroup.Group
	group.SetLimit(maxParallelCordons)
	for i := range gateways {
		group.Go(func() error {
			answers[i] = k.cordonGateway(ctx, &gateways[i], &wire.Cordon{Target: string(id), Epoch: epoch, Lift: lift})
			return nil
		})
	}
	_ = group.Wait()
	if !lift {
		missing = k.unreachableGateways()
	}
	for i, ack := range answers {
		if ack == nil {
			missing = append(missing, gateways[i].Process.ID())
			continue
		}
		running += int(ack.Running)
	}
	sort.Strings(missing)
	event.CordonSpread.Log(k.config.Log).Str("target", string(id)).Uint64("epoch", epoch).Bool("lift", lift).
		Int("running", running).Strs("missing", missing).Send()
	return running, missing, ctx.Err()
}

// regionGateways returns the live gateways of the region.
func (k *Controller) regionGateways() []membership.Member {
	var gateways []membership.Member
	for _, m := range gatewaysOf(k.Members()) {
		if m.Process.Zone.Region == k.config.Self.Zone.Region {
			gateways = append(gateways, m)
		}
	}
	return gateways
}

// unreachableGateways returns the ids of the gateways of the region that no
// controller reaches but that may still be running.
func (k *Controller) unreachableGateways() []string {
	k.mu.Lock()
	unreachable := k.members.UnreachableMembers(time.Now(), machine.Gateway)
	k.mu.Unlock()
	var ids []string
	for _, m := range unreachable {
		if m.Process.Zone.Region == k.config.Self.Zone.Region {
			ids = append(ids, m.Process.ID())
		}
	}
	return ids
}

// cordonGateway sends a cordon to one gateway, directly or through another
// controller that is linked to it. It returns nil when none reaches the gateway.
func (k *Controller) cordonGateway(ctx context.Context, m *membership.Member, c *wire.Cordon) *wire.CordonAck {
	c.Gateway = m.Process.ID()
	if ack := k.cordonLinked(ctx, c); ack != nil {
		return ack
	}
	for _, address := range m.Via {
		if address == k.config.Self.Address {
			continue
		}
		if ack := k.cordonVia(ctx, address, c); ack != nil {
			return ack
		}
	}
	return nil
}

// cordonLinked sends a cordon to a gateway that is linked to this controller. It
// returns nil when there is no link or no valid answer.
func (k *Controller) cordonLinked(ctx context.Context, c *wire.Cordon) *wire.CordonAck {
	l := k.links.gateway(c.Gateway)
	if l == nil {
		return nil
	}
	callCtx, cancel := context.WithTimeout(ctx, cordonTimeout)
	defer cancel()
	reply, err := l.Call(callCtx, &wire.Envelope{Body: &wire.Envelope_Cordon{Cordon: c}})
	if err != nil {
		return nil
	}
	return checkedAck(reply, c)
}

// checkedAck returns the acknowledgement in a reply if it is for this target and
// epoch, or nil.
func checkedAck(reply *wire.Envelope, c *wire.Cordon) *wire.CordonAck {
	ack := reply.GetCordonAck()
	if ack == nil || ack.Target != c.Target || ack.Epoch != c.Epoch {
		return nil
	}
	return ack
}

// cordonVia sends a cordon to a gateway through the controller at an address.
func (k *Controller) cordonVia(ctx context.Context, address string, c *wire.Cordon) *wire.CordonAck {
	callCtx, cancel := context.WithTimeout(ctx, cordonTimeout)
	defer cancel()
	l, err := k.linkTo(callCtx, k.controllerAt(address))
	if err != nil {
		return nil
	}
	reply, err := l.Call(callCtx, &wire.Envelope{Body: &wire.Envelope_Cordon{Cordon: c}})
	if err != nil {
		return nil
	}
	return checkedAck(reply, c)
}

// controllerAt returns the live controller with this address. If none is known,
// only the address of the result is set.
func (k *Controller) controllerAt(address string) machine.Process {
	for _, m := range k.Members() {
		if m.Process.Address == address {
			return m.Process
		}
	}
	return machine.Process{Address: address}
}

// relayCordon forwards another controller's cordon to a gateway that is linked
// to this one, and records it in this controller's view of targets.
func (k *Controller) relayCordon(ctx context.Context, c *wire.Cordon) (*wire.Envelope, error) {
	ack := k.cordonLinked(ctx, c)
	if ack == nil {
		return nil, result.New(result.GatewayNotLinked, "the gateway did not acknowledge the cordon").At(c.Gateway)
	}
	k.mu.Lock()
	k.targets.Cordon(target.ID(c.Target), c.Epoch, c.Lift)
	k.mu.Unlock()
	return &wire.Envelope{Body: &wire.Envelope_CordonAck{CordonAck: ack}}, nil
}

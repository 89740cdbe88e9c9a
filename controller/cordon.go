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
	// cordonParallel bounds the calls under way at once.
	cordonParallel = 16
)

// CordonEverywhere stops new work to a target at every live gateway of the
// region, or lifts the stop. It returns the number of requests still on the
// target and the ids of the gateways that did not answer: a planned change may
// go ahead only when none is missing and none is running. With equal epochs a
// lift wins over a cordon. The error is a result.ShuttingDown or the end of
// ctx.
//
// A gateway that no longer passes for live is not asked, and is missing while
// it may still run unheard: one that is cut off from the others may serve on.
// After that the target's own refusal while it changes and its report before
// the change guard against what it sends.
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
	group.SetLimit(cordonParallel)
	for i := range gateways {
		group.Go(func() error {
			answers[i] = k.cordonGateway(ctx, &gateways[i], &wire.Cordon{Target: string(id), Epoch: epoch, Lift: lift})
			return nil
		})
	}
	_ = group.Wait()
	if !lift {
		missing = k.unheardGateways()
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

// unheardGateways returns the ids of the gateways of the region that may run
// although they are not heard.
func (k *Controller) unheardGateways() []string {
	k.mu.Lock()
	unheard := k.members.UnreachableMembers(time.Now(), machine.Gateway)
	k.mu.Unlock()
	var ids []string
	for _, m := range unheard {
		if m.Process.Zone.Region == k.config.Self.Zone.Region {
			ids = append(ids, m.Process.ID())
		}
	}
	return ids
}

// cordonGateway asks one gateway, through any controller that it is linked to.
// It returns nil when none reaches it.
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

// cordonLinked asks a gateway that is linked to this controller.
func (k *Controller) cordonLinked(ctx context.Context, c *wire.Cordon) *wire.CordonAck {
	l := k.links.gateway(c.Gateway)
	if l == nil {
		return nil
	}
	timed, cancel := context.WithTimeout(ctx, cordonTimeout)
	defer cancel()
	reply, err := l.Call(timed, &wire.Envelope{Body: &wire.Envelope_Cordon{Cordon: c}})
	if err != nil {
		return nil
	}
	return checkedAck(reply, c)
}

// checkedAck returns the acknowledgement of this very cordon, or nil.
func checkedAck(reply *wire.Envelope, c *wire.Cordon) *wire.CordonAck {
	ack := reply.GetCordonAck()
	if ack == nil || ack.Target != c.Target || ack.Epoch != c.Epoch {
		return nil
	}
	return ack
}

// cordonVia asks a gateway through another controller.
func (k *Controller) cordonVia(ctx context.Context, address string, c *wire.Cordon) *wire.CordonAck {
	timed, cancel := context.WithTimeout(ctx, cordonTimeout)
	defer cancel()
	l, err := k.direct(timed, k.controllerAt(address))
	if err != nil {
		return nil
	}
	reply, err := l.Call(timed, &wire.Envelope{Body: &wire.Envelope_Cordon{Cordon: c}})
	if err != nil {
		return nil
	}
	return checkedAck(reply, c)
}

// controllerAt returns the controller with this address as far as it is known.
func (k *Controller) controllerAt(address string) machine.Process {
	for _, m := range k.Members() {
		if m.Process.Address == address {
			return m.Process
		}
	}
	return machine.Process{Address: address}
}

// relayCordon passes another controller's cordon to a gateway that is linked
// to this one.
func (k *Controller) relayCordon(ctx context.Context, c *wire.Cordon) (*wire.Envelope, error) {
	ack := k.cordonLinked(ctx, c)
	if ack == nil {
		return nil, result.New(result.GatewayNotLinked, "no answer from the gateway").At(c.Gateway)
	}
	k.mu.Lock()
	k.targets.Cordon(target.ID(c.Target), c.Epoch, c.Lift)
	k.mu.Unlock()
	return &wire.Envelope{Body: &wire.Envelope_CordonAck{CordonAck: ack}}, nil
}

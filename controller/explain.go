package controller

import (
	"context"
	"strings"

	"zinniapin/link"
	"zinniapin/machine"
	"zinniapin/result"
	"zinniapin/wire"
)

// explain forwards a status request with TopicExplain to the gateway that it
// names, or to the controllers that the gateway is linked to. A request that
// another controller forwarded is not forwarded to a third controller.
func (k *Controller) explain(ctx context.Context, from link.Link, q *wire.StatusRequest) (*wire.Envelope, error) {
	gateway, _, ok := strings.Cut(q.Argument, " ")
	if !ok {
		return nil, result.New(result.BadUsage, "the argument must be the gateway's process id, a space and the request id")
	}
	request := &wire.Envelope{Body: &wire.Envelope_StatusRequest{StatusRequest: q}}
	if l := k.links.gateway(gateway); l != nil {
		return l.Call(ctx, request)
	}
	if from.Peer().Role == machine.Controller {
		return nil, result.New(result.GatewayNotLinked, "the gateway is not linked to this controller").At(gateway)
	}
	for _, m := range k.Members() {
		if m.Process.ID() == gateway {
			return k.explainVia(ctx, m.Via, request)
		}
	}
	return nil, result.New(result.GatewayNotLinked, "no live gateway has this process id").At(gateway)
}

// explainVia forwards the request to the first controller that can be reached at
// one of the addresses.
func (k *Controller) explainVia(ctx context.Context, via []string, request *wire.Envelope) (*wire.Envelope, error) {
	for _, address := range via {
		if address == k.config.Self.Address {
			continue
		}
		l, err := k.linkTo(ctx, k.controllerAt(address))
		if err != nil {
			continue
		}
		return l.Call(ctx, request)
	}
	return nil, result.New(result.GatewayNotLinked, "none of the controllers that the gateway is linked to can be reached")
}

package controller

import (
	"context"
	"strings"

	"zinniapin/link"
	"zinniapin/machine"
	"zinniapin/result"
	"zinniapin/wire"
)

// explain passes a question about a request to a gateway that is linked to
// this controller, or to the controllers that the gateway is linked to. A
// question that another controller passed on goes no further.
func (k *Controller) explain(ctx context.Context, from link.Link, q *wire.StatusRequest) (*wire.Envelope, error) {
	gateway, _, ok := strings.Cut(q.Argument, " ")
	if !ok {
		return nil, result.New(result.BadUsage, "want the gateway's process id, a space and the request id")
	}
	request := &wire.Envelope{Body: &wire.Envelope_StatusRequest{StatusRequest: q}}
	if l := k.links.gateway(gateway); l != nil {
		return l.Call(ctx, request)
	}
	if from.Peer().Role == machine.Controller {
		return nil, result.New(result.GatewayNotLinked, "the gateway is not linked here").At(gateway)
	}
	for _, m := range k.Members() {
		if m.Process.ID() == gateway {
			return k.explainVia(ctx, m.Via, request)
		}
	}
	return nil, result.New(result.GatewayNotLinked, "the gateway is not known").At(gateway)
}

// explainVia passes the question to the other controllers at some addresses.
func (k *Controller) explainVia(ctx context.Context, via []string, request *wire.Envelope) (*wire.Envelope, error) {
	for _, address := range via {
		if address == k.config.Self.Address {
			continue
		}
		l, err := k.direct(ctx, k.controllerAt(address))
		if err != nil {
			continue
		}
		return l.Call(ctx, request)
	}
	return nil, result.New(result.GatewayNotLinked, "no controller reaches the gateway")
}

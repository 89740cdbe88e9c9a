package controller

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"zinniapin/link"
	"zinniapin/link/memlink"
	"zinniapin/machine"
	"zinniapin/result"
	"zinniapin/targetlink"
	"zinniapin/wire"
)

// Controllers carry tunnels for gateways and other controllers, and for nobody else.
func TestTunnelsAreCarriedByRole(t *testing.T) {
	is := is.New(t)
	fabric := memlink.NewFabric()
	self := machine.Process{Host: "h", Role: machine.Controller, Address: "10.0.0.1:7000"}
	links := targetlink.New(targetlink.Options{Log: testLog()})
	k := New(Config{Self: self, Network: fabric.Network(self), Links: links, Log: testLog()})
	request := &wire.Envelope{Body: &wire.Envelope_TunnelRequest{TunnelRequest: &wire.TunnelRequest{Target: "unknown"}}}
	_, stop, err := fabric.Network(self).Listen(self.Address, streamHandler{k}, func(link.Link) {})
	is.NoErr(err)
	defer stop() //nolint:errcheck // a test
	for role, granted := range map[machine.Role]bool{machine.Gateway: true, machine.Controller: true, machine.Operator: false} {
		l, err := fabric.Network(machine.Process{Host: "o", Role: role}).Dial(context.Background(), self.Address, NoCalls)
		is.NoErr(err)
		reply, stream, err := l.Open(context.Background(), request)
		is.True(stream == nil)
		if !granted {
			is.Equal(result.CodeOf(err), result.UnknownMessage)
			continue
		}
		is.NoErr(err)
		is.Equal(reply.GetTunnelReply().Outcome, wire.TunnelReply_NO_WAY)
	}
	_, err = NoCalls(context.Background(), nil, request)
	is.Equal(result.CodeOf(err), result.UnknownMessage)
}

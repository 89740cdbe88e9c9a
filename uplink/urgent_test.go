package uplink

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"zinniapin/machine"
	"zinniapin/provider"
	"zinniapin/target"
	"zinniapin/zone"
)

// TestFirstHeartbeatListsLeavingTargets checks that the first heartbeat on a link lists the
// leaving targets that the gateway knows, since the controller may have been restarted, and
// that the next heartbeat does not list them again.
func TestFirstHeartbeatListsLeavingTargets(t *testing.T) {
	is := is.New(t)
	log := zerolog.Nop()
	u := New(Config{Self: machine.Process{Host: "host-1", Role: machine.Gateway, Incarnation: 7}, Log: &log})
	local := func(zone.Name) bool { return true }
	host := provider.Host{ID: "server", State: provider.Live, Zone: "zone",
		Target: &target.Target{ID: "engine", Kind: target.Engine, Zone: "zone", Pool: "pool"}}
	u.targets.ApplyList(time.Now(), []provider.Host{host}, local)
	host.State, host.LeavesAt = provider.Leaving, time.Now().Add(time.Minute)
	u.targets.ApplyList(time.Now(), []provider.Host{host}, local)
	up := &upstream{link: peerOnly{process: machine.Process{Host: "host-2", Role: machine.Controller, Incarnation: 8}}}
	request, urgent := u.heartbeatRequest(up)
	is.Equal(len(request.Targets), 1)
	is.Equal(request.Targets[0].State, string(provider.Leaving))
	up.urgentVersion = urgent
	request, _ = u.heartbeatRequest(up)
	is.Equal(len(request.Targets), 0)
}

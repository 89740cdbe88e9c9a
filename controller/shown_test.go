package controller

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"zinniapin/machine"
	"zinniapin/provider"
	"zinniapin/target"
)

// TestHostGoneAppliesListedTargets checks that hostGone applies the targets in the
// list of hosts that it reads. That may be the only read of the list that shows a
// target's notice that it leaves, so the notice must reach the view. Targets that
// the list lacks must not become gone.
func TestHostGoneAppliesListedTargets(t *testing.T) {
	is := is.New(t)
	log := zerolog.Nop()
	row := func(id target.ID, s provider.HostState) provider.Host {
		x := target.Target{ID: id, Kind: target.Engine, Pool: "pool", Zone: zones[0].Name}
		return provider.Host{ID: "host-of-" + string(id), State: s, Zone: zones[0].Name, Target: &x}
	}
	list := &fakeHosts{list: []provider.Host{row("engine-1", provider.Live), row("engine-2", provider.Live)}}
	self := machine.Process{Host: "host-1", Role: machine.Controller, Incarnation: 1, Zone: zones[0]}
	k := New(Config{Self: self, Hosts: list, Log: &log})
	proofs := &liveness{controller: k}
	is.True(!proofs.hostGone("host-2"))
	is.Equal(len(k.Targets()), 2)
	urgent := k.targets.UrgentVersion()

	leaving := row("engine-1", provider.Leaving)
	leaving.LeavesAt = time.Now().Add(time.Minute)
	list.list = []provider.Host{leaving, {ID: "host-2", State: provider.Gone, Zone: zones[0].Name}}
	is.True(proofs.hostGone("host-2"))
	states := k.Targets()
	is.Equal(len(states), 2)
	is.Equal(states[0].State, provider.Leaving)
	is.Equal(states[1].State, provider.Live)
	is.True(k.targets.UrgentVersion() > urgent)
	is.Equal(k.urgentAnnounced, k.targets.UrgentVersion())
}

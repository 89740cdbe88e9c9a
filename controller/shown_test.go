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

// TestLookForProofTakesNoticesIn lets the look at whether an author's host is
// gone be the only reading of the list that shows a notice: the view of targets
// has it, and what that list lacks does not pass for gone.
func TestLookForProofTakesNoticesIn(t *testing.T) {
	is := is.New(t)
	log := zerolog.Nop()
	row := func(id target.ID, s provider.HostState) provider.Host {
		x := target.Target{ID: id, Kind: target.Engine, Pool: "pool", Zone: zones[0].Name}
		return provider.Host{ID: "host-of-" + string(id), State: s, Zone: zones[0].Name, Target: &x}
	}
	list := &fakeHosts{list: []provider.Host{row("engine-1", provider.Live), row("engine-2", provider.Live)}}
	self := machine.Process{Host: "host-1", Role: machine.Controller, Incarnation: 1, Zone: zones[0]}
	k := New(Config{Self: self, Hosts: list, Log: &log})
	looking := &liveness{controller: k}
	is.True(!looking.hostGone("host-2"))
	is.Equal(len(k.Targets()), 2)
	urgent := k.targets.UrgentVersion()

	leaving := row("engine-1", provider.Leaving)
	leaving.LeavesAt = time.Now().Add(time.Minute)
	list.list = []provider.Host{leaving, {ID: "host-2", State: provider.Gone, Zone: zones[0].Name}}
	is.True(looking.hostGone("host-2"))
	states := k.Targets()
	is.Equal(len(states), 2)
	is.Equal(states[0].State, provider.Leaving)
	is.Equal(states[1].State, provider.Live)
	is.True(k.targets.UrgentVersion() > urgent)
	is.Equal(k.urgentTold, k.targets.UrgentVersion())
}

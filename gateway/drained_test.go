package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/provider"
	"zinniapin/routing"
	"zinniapin/target"
	"zinniapin/zone"
)

// TestDrainedTargetGetsNoNewWork checks that a target drained by the configuration gets no
// requests, even if a planner lifts its cordon, until the configuration ends the drain.
func TestDrainedTargetGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	home := zone.Zone{Name: "zone", Region: "region"}
	fleet := contract.Fleet{Zones: []zone.Zone{home}, Drained: []target.ID{"a"}}
	f := newFleet(routing.New(home, 1))
	f.configure(now, contract.NewSnapshot(1, fleet, nil))
	view := []control.TargetState{{
		State:  provider.Live,
		Target: target.Target{ID: "a", Kind: target.Service, Pool: "pool", Zone: "zone"},
	}}
	f.observe(now, view)
	query := routing.Request{Pool: "pool"}
	_, ok := f.choose(now, &query)
	is.True(!ok)
	f.setCordon(now, "a", 1, true) // lifting a cordon does not end a drain
	_, ok = f.choose(now, &query)
	is.True(!ok)
	fleet.Drained = nil
	f.configure(now, contract.NewSnapshot(2, fleet, nil))
	place, ok := f.choose(now, &query)
	is.True(ok)
	is.Equal(place.choice.Target.ID, target.ID("a"))
}

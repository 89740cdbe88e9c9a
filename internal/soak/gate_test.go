package soak

import (
	"testing"
	"testing/synctest"
	"time"

	"zinniapin/machine"
)

// TestSeedsFindTheOthers restarts all controllers whose addresses are in the settings. They know
// no other address, so they find the other controllers only by the links that those open.
func TestSeedsFindTheOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(Options{Seed: 1, Log: testLog()})
		sim.start()
		sim.operator.change(sim.operator.unchangedState)
		if !sim.waitUntilServing() {
			t.Error("not every gateway serves after the start")
		}
		sim.killHosts(0, 1, 2)
		sim.startHosts(0, 1, 2)
		time.Sleep(recoveryLimit)
		for _, p := range sim.controllers() {
			known := 0
			for _, m := range p.controller.Members() {
				if m.Process.Role == machine.Controller {
					known++
				}
			}
			if known != hostCount {
				t.Errorf("%s knows %d controllers %v after the restart of the seeds, want %d", p.id, known, recoveryLimit, hostCount)
			}
		}
		sim.shutDown()
	})
}

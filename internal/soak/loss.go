package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"zinniapin/provider"
	"zinniapin/target"
	"zinniapin/zone"
)

// losses replaces hosts and takes whole zones down, one after the other, until
// ctx ends. Its draws are its own, so that those of the other faults stay.
func (f *faults) losses(ctx context.Context) {
	rng := rand.New(rand.NewPCG(f.world.options.Seed, 5))
	for wait(ctx, seconds(rng, 10, 50)) {
		if rng.IntN(3) == 0 {
			f.loseZone(ctx, rng.IntN(len(zones)), seconds(rng, 10, 60))
		} else {
			f.replaceHost(ctx, rng.IntN(hostCount), seconds(rng, 0, 20))
		}
	}
}

// holdAll keeps other faults off things, once those under way have healed. It
// returns false when ctx ended first.
func (f *faults) holdAll(ctx context.Context, things []string) bool {
	for i, what := range things {
		for !f.hold(what) {
			if !wait(ctx, time.Second) {
				f.releaseAll(things[:i])
				return false
			}
		}
	}
	return true
}

// releaseAll lets faults cause harm to things again.
func (f *faults) releaseAll(things []string) {
	for _, what := range things {
		f.release(what)
	}
}

// processes names the processes of hosts as faults hold them.
func (f *faults) processes(hosts ...int) []string {
	var names []string
	for _, i := range hosts {
		names = append(names, "controller "+f.world.address(i), "gateway "+f.world.address(i))
	}
	return names
}

// replaceHost kills a host for good; another one with another name and address
// takes its place after some time.
func (f *faults) replaceHost(ctx context.Context, i int, span time.Duration) {
	w := f.world
	held := f.processes(i)
	if !f.holdAll(ctx, held) {
		return
	}
	defer f.releaseAll(held)
	w.report.fault("host replaced")
	w.report.event("%s: lost for good, replaced after %v", w.hostID(i), span)
	w.power(i)
	w.cloud.endEntry(string(w.hostID(i)))
	time.Sleep(span)
	w.mu.Lock()
	w.numbers[i] = w.machines
	w.machines++
	w.mu.Unlock()
	w.cloud.join(string(w.hostID(i)), zoneOf(i).Name)
	w.boot(i)
	w.report.event("%s: joined", w.hostID(i))
}

// loseZone kills all hosts of a zone together, and its targets for good. After
// some time the hosts start again, and new targets in place of the old ones.
func (f *faults) loseZone(ctx context.Context, z int, span time.Duration) {
	w := f.world
	var hosts []int
	for i := z; i < hostCount; i += len(zones) {
		hosts = append(hosts, i)
	}
	held := f.processes(hosts...)
	if !f.holdAll(ctx, held) {
		return
	}
	defer f.releaseAll(held)
	w.report.fault("zone lost")
	w.report.event("%s: lost for %v", zones[z].Name, span)
	services := w.cloud.loseZone(zones[z].Name)
	for _, id := range services {
		w.desk.lose(id)
	}
	w.power(hosts...)
	time.Sleep(span)
	w.cloud.restoreZone(zones[z].Name)
	w.boot(hosts...)
	w.report.event("%s: back", zones[z].Name)
}

// power ends all processes of hosts at one moment and waits until nothing of
// them runs.
func (w *world) power(hosts ...int) {
	var ends sync.WaitGroup
	for _, i := range hosts {
		w.mu.Lock()
		h := w.hosts[i]
		processes := []*process{h.controller, h.gateway}
		w.mu.Unlock()
		for _, p := range processes {
			p.gate.kill()
			ends.Go(func() { w.end(p) })
		}
	}
	ends.Wait()
}

// boot starts the processes of hosts.
func (w *world) boot(hosts ...int) {
	for _, i := range hosts {
		controller := w.startController(i)
		gateway := w.startGateway(i)
		w.mu.Lock()
		w.hosts[i].controller, w.hosts[i].gateway = controller, gateway
		w.mu.Unlock()
	}
}

// join lists an entry host.
func (c *cloud) join(id string, z zone.Name) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries = append(c.entries, provider.Host{ID: id, State: provider.Live, Zone: z})
}

// endEntry shows an entry host as gone.
func (c *cloud) endEntry(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i := range c.entries {
		if c.entries[i].ID == id {
			c.entries[i].State = provider.Gone
		}
	}
}

// loseZone ends all targets of a zone at once and returns the instances of the
// plain service among them.
func (c *cloud) loseZone(z zone.Name) []target.ID {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lost[z] = true
	var services []target.ID
	for _, h := range slices.Clone(c.hosts) {
		if h.Zone != z || h.State == provider.Gone {
			continue
		}
		x := *h.Target
		if x.Kind == target.Service {
			services = append(services, x.ID)
		}
		if h.State == provider.Live {
			c.returns[z] = append(c.returns[z], func() { c.returnAs(x) })
		}
		c.endTarget(x.ID)
	}
	return services
}

// endTarget ends a target without notice. The lock is held.
func (c *cloud) endTarget(id target.ID) {
	c.engines.Remove(string(id))
	for i := range c.hosts {
		if h := &c.hosts[i]; h.Target.ID == id {
			h.State = provider.Gone
		}
	}
}

// restoreZone starts new targets in place of those that went with a zone.
func (c *cloud) restoreZone(z zone.Name) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.lost, z)
	for _, start := range c.returns[z] {
		start()
	}
	delete(c.returns, z)
}

// returnAs starts a target in place of one that went with its zone. The lock
// is held.
func (c *cloud) returnAs(x target.Target) {
	if x.Kind == target.Engine {
		c.startAgain(x.Zone, x.Class)
		return
	}
	c.bought++
	x.ID += "-again"
	x.Address = string(x.ID)
	c.listService(x)
}

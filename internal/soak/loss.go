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

// injectLosses replaces hosts and takes down whole zones, one after the other, until ctx ends.
// It has its own random generator, so that the option Losses leaves the draws of the other
// faults unchanged.
func (f *faultInjector) injectLosses(ctx context.Context) {
	rng := rand.New(rand.NewPCG(f.sim.options.Seed, 5))
	for wait(ctx, randomDuration(rng, 10, 50)) {
		if rng.IntN(3) == 0 {
			f.loseZone(ctx, rng.IntN(len(zones)), randomDuration(rng, 10, 60))
		} else {
			f.replaceHost(ctx, rng.IntN(hostCount), randomDuration(rng, 0, 20))
		}
	}
}

// reserveAll reserves components, waiting until the faults that have them end. It returns false
// if ctx ends first.
func (f *faultInjector) reserveAll(ctx context.Context, components []string) bool {
	for i, component := range components {
		for !f.reserve(component) {
			if !wait(ctx, time.Second) {
				f.releaseAll(components[:i])
				return false
			}
		}
	}
	return true
}

func (f *faultInjector) releaseAll(components []string) {
	for _, component := range components {
		f.release(component)
	}
}

// processComponents returns the component names of the processes of hosts.
func (f *faultInjector) processComponents(hosts ...int) []string {
	var names []string
	for _, i := range hosts {
		names = append(names, "controller "+f.sim.address(i), "gateway "+f.sim.address(i))
	}
	return names
}

// replaceHost kills a host for good. After span a new host, with another name and address, takes
// its place.
func (f *faultInjector) replaceHost(ctx context.Context, i int, span time.Duration) {
	sim := f.sim
	reserved := f.processComponents(i)
	if !f.reserveAll(ctx, reserved) {
		return
	}
	defer f.releaseAll(reserved)
	sim.report.fault("host replaced")
	sim.report.event("%s: killed for good, replaced after %v", sim.hostID(i), span)
	sim.killHosts(i)
	sim.platform.markEntryHostGone(string(sim.hostID(i)))
	time.Sleep(span)
	sim.mu.Lock()
	sim.hostNumbers[i] = sim.nextHostNumber
	sim.nextHostNumber++
	sim.mu.Unlock()
	sim.platform.addEntryHost(string(sim.hostID(i)), zoneOf(i).Name)
	sim.startHosts(i)
	sim.report.event("%s: joined", sim.hostID(i))
}

// loseZone kills all hosts of a zone at once, and its targets for good. After span the hosts
// start again, and new targets in place of the old ones.
func (f *faultInjector) loseZone(ctx context.Context, z int, span time.Duration) {
	sim := f.sim
	var hosts []int
	for i := z; i < hostCount; i += len(zones) {
		hosts = append(hosts, i)
	}
	reserved := f.processComponents(hosts...)
	if !f.reserveAll(ctx, reserved) {
		return
	}
	defer f.releaseAll(reserved)
	sim.report.fault("zone lost")
	sim.report.event("%s: lost for %v", zones[z].Name, span)
	services := sim.platform.loseZone(zones[z].Name)
	for _, id := range services {
		sim.service.stopInstance(id)
	}
	sim.killHosts(hosts...)
	time.Sleep(span)
	sim.platform.restoreZone(zones[z].Name)
	sim.startHosts(hosts...)
	sim.report.event("%s: restored", zones[z].Name)
}

// killHosts kills all processes of hosts at once and waits until they have ended.
func (sim *simulation) killHosts(hosts ...int) {
	var ends sync.WaitGroup
	for _, i := range hosts {
		sim.mu.Lock()
		h := sim.hosts[i]
		processes := []*process{h.controller, h.gateway}
		sim.mu.Unlock()
		for _, p := range processes {
			p.gate.kill()
			ends.Go(func() { sim.killProcess(p) })
		}
	}
	ends.Wait()
}

// startHosts starts the controllers and gateways of hosts.
func (sim *simulation) startHosts(hosts ...int) {
	for _, i := range hosts {
		controller := sim.startController(i)
		gateway := sim.startGateway(i)
		sim.mu.Lock()
		sim.hosts[i].controller, sim.hosts[i].gateway = controller, gateway
		sim.mu.Unlock()
	}
}

// addEntryHost adds an entry host, which runs a gateway and a controller, to the list.
func (p *platform) addEntryHost(id string, z zone.Name) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.entryHosts = append(p.entryHosts, provider.Host{ID: id, State: provider.Live, Zone: z})
}

// markEntryHostGone lists an entry host as gone.
func (p *platform) markEntryHostGone(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.entryHosts {
		if p.entryHosts[i].ID == id {
			p.entryHosts[i].State = provider.Gone
		}
	}
}

// loseZone stops all targets of a zone at once and returns the instances of the plain service
// among them. Targets that were live get replacements when the zone is restored.
func (p *platform) loseZone(z zone.Name) []target.ID {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lostZones[z] = true
	var services []target.ID
	for _, h := range slices.Clone(p.targetHosts) {
		if h.Zone != z || h.State == provider.Gone {
			continue
		}
		x := *h.Target
		if x.Kind == target.Service {
			services = append(services, x.ID)
		}
		if h.State == provider.Live {
			p.zoneReplacements[z] = append(p.zoneReplacements[z], func() { p.replaceTarget(x) })
		}
		p.endTarget(x.ID)
	}
	return services
}

// endTarget stops a target without notice. The caller holds the lock.
func (p *platform) endTarget(id target.ID) {
	p.engines.Remove(string(id))
	for i := range p.targetHosts {
		if h := &p.targetHosts[i]; h.Target.ID == id {
			h.State = provider.Gone
		}
	}
}

// restoreZone starts replacements of the targets that were lost with a zone.
func (p *platform) restoreZone(z zone.Name) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.lostZones, z)
	for _, start := range p.zoneReplacements[z] {
		start()
	}
	delete(p.zoneReplacements, z)
}

// replaceTarget starts a target, an engine or an instance of the plain service, with a new id in
// place of one that was lost with its zone. The caller holds the lock.
func (p *platform) replaceTarget(x target.Target) {
	if x.Kind == target.Engine {
		p.replaceEngine(x.Zone, x.Class)
		return
	}
	p.startedCount++
	x.ID += "-again"
	x.Address = string(x.ID)
	p.listService(x)
}

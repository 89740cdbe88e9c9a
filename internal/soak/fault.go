package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"zinniapin/internal/standin/engine"
	"zinniapin/internal/standin/objects"
	"zinniapin/target"
)

// faultInjector causes faults one after the other; each heals by itself after its
// time, so that several overlap.
type faultInjector struct {
	sim      *simulation
	active   sync.WaitGroup
	mu       sync.Mutex
	reserved map[string]bool // what a fault is under way for
}

// faultKind is one kind of fault.
type faultKind struct {
	name   string
	weight int
	inject func(f *faultInjector, rng *rand.Rand) bool
}

// faultKinds are the faults of a run.
var faultKinds = []faultKind{
	{"controller killed", 4, (*faultInjector).killController},
	{"gateway killed", 3, (*faultInjector).killGateway},
	{"gateway stopped", 2, (*faultInjector).stopGateway},
	{"controller frozen", 4, (*faultInjector).freezeController},
	{"gateway frozen", 2, (*faultInjector).freezeGateway},
	{"pair cut", 3, (*faultInjector).cutPair},
	{"host cut", 2, (*faultInjector).cutHost},
	{"zone cut", 2, (*faultInjector).cutZone},
	{"replies lost", 2, (*faultInjector).losePairReplies},
	{"store outage", 2, (*faultInjector).storeOutage},
	{"store hang", 1, (*faultInjector).storeHang},
	{"store flaky", 4, (*faultInjector).storeFlaky},
	{"platform down", 1, (*faultInjector).platformDown},
	{"platform harsh", 3, (*faultInjector).platformFaulty},
	{"hosts stale", 1, (*faultInjector).staleHosts},
	{"engine crash", 3, (*faultInjector).crashEngine},
	{"engine faults", 8, (*faultInjector).engineFaults},
	{"service harsh", 4, (*faultInjector).serviceFaulty},
	{"zone reclaimed", 3, (*faultInjector).reclaimZone},
	{"operators race", 2, (*faultInjector).raceOperators},
	{"key issued", 3, (*faultInjector).issueKey},
	{"key withdrawn", 3, (*faultInjector).withdrawKey},
	{"target drained", 2, (*faultInjector).drain},
}

// run causes faults until ctx ends and waits until they have healed.
func (f *faultInjector) run(ctx context.Context) {
	total := 0
	for _, k := range faultKinds {
		total += k.weight
	}
	if f.sim.options.Losses {
		f.active.Go(func() { f.injectLosses(ctx) })
	}
	rng := f.sim.rng
	for wait(ctx, time.Duration(500+rng.IntN(5000))*time.Millisecond) {
		n := rng.IntN(total)
		for _, k := range faultKinds {
			if n -= k.weight; n < 0 {
				f.inject(k, rng)
				break
			}
		}
	}
	f.active.Wait()
}

// inject causes one fault unless one of its kind is under way, with draws of its own so that timing does not change
// the draws of later ones.
func (f *faultInjector) inject(k faultKind, rng *rand.Rand) {
	own := rand.New(rand.NewPCG(rng.Uint64(), 3))
	if k.inject(f, own) {
		f.sim.report.fault(k.name)
	}
}

// reserve keeps other faults off a thing, unless one is under way for it.
func (f *faultInjector) reserve(component string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	alreadyReserved := f.reserved[component]
	f.reserved[component] = true
	return !alreadyReserved
}

// release lets faults cause harm to a thing again.
func (f *faultInjector) release(component string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.reserved, component)
}

// injectFor makes a fault for some time, unless one is under way for the same
// thing.
func (f *faultInjector) injectFor(component string, begin func(), span time.Duration, end func()) bool {
	if !f.reserve(component) {
		return false
	}
	f.active.Go(func() {
		begin()
		f.sim.report.event("%s: begun for %v", component, span)
		time.Sleep(span)
		end()
		f.sim.report.event("%s: healed", component)
		f.release(component)
	})
	return true
}

// isolateFor makes a fault by which a gateway, or any if none is named, may not
// be heard.
func (f *faultInjector) isolateFor(gateway, component string, begin func(), span time.Duration, end func()) bool {
	var s *isolation
	return f.injectFor(component, func() { s = f.sim.beginIsolation(gateway); begin() }, span, func() { end(); f.sim.endIsolation(s) })
}

// randomDuration draws a span.
func randomDuration(rng *rand.Rand, from, to int) time.Duration {
	return time.Duration(from*1000+rng.IntN((to-from)*1000)) * time.Millisecond
}

// at returns a host.
func (f *faultInjector) host(i int) *host {
	f.sim.mu.Lock()
	defer f.sim.mu.Unlock()
	return f.sim.hosts[i]
}

func (f *faultInjector) killController(rng *rand.Rand) bool {
	sim, i := f.sim, rng.IntN(hostCount)
	h := f.host(i)
	return f.injectFor("controller "+f.sim.address(i), func() { sim.killProcess(h.controller) }, randomDuration(rng, 0, 12), func() {
		p := sim.startController(i)
		sim.mu.Lock()
		defer sim.mu.Unlock()
		h.controller = p
	})
}

func (f *faultInjector) killGateway(rng *rand.Rand) bool {
	sim, i := f.sim, rng.IntN(hostCount)
	h := f.host(i)
	return f.injectFor("gateway "+f.sim.address(i), func() { sim.killProcess(h.gateway) }, randomDuration(rng, 0, 12), func() { sim.replaceGateway(h) })
}

// replaceGateway starts the next incarnation of a gateway.
func (sim *simulation) replaceGateway(h *host) {
	p := sim.startGateway(h.index)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	h.gateway = p
}

func (f *faultInjector) stopGateway(rng *rand.Rand) bool {
	sim, i := f.sim, rng.IntN(hostCount)
	h := f.host(i)
	return f.injectFor("gateway "+f.sim.address(i), func() {
		p := h.gateway
		p.stop()
		<-p.ended
		sim.mu.Lock()
		p.stopped = true
		sim.mu.Unlock()
		if left := len(p.gateway.Usage()); left > 0 {
			sim.report.note("counters left at a stopped gateway", left)
			sim.mu.Lock()
			p.lostState = true
			sim.mu.Unlock()
			sim.recordLostUsage(p)
		}
		p.kill()
	}, randomDuration(rng, 0, 8), func() { sim.replaceGateway(h) })
}

func (f *faultInjector) freezeController(rng *rand.Rand) bool {
	i := rng.IntN(hostCount)
	h := f.host(i)
	return f.injectFor("controller "+f.sim.address(i), func() { h.controller.gate.freeze() }, randomDuration(rng, 3, 150), func() { h.controller.gate.wake() })
}

func (f *faultInjector) freezeGateway(rng *rand.Rand) bool {
	i := rng.IntN(hostCount)
	h := f.host(i)
	return f.isolateFor(h.gateway.id, "gateway "+f.sim.address(i), func() { h.gateway.gate.freeze() }, randomDuration(rng, 1, 30), func() { h.gateway.gate.wake() })
}

// cutOff cuts the hosts of a set off the others for some time.
func (f *faultInjector) cutOff(inSet func(host int) bool, span time.Duration) bool {
	return f.isolateFor("", "cut", func() { f.setCut(inSet, true) }, span, func() { f.setCut(inSet, false) })
}

func (f *faultInjector) setCut(inSet func(host int) bool, cut bool) {
	for a := range hostCount {
		for b := range a {
			if inSet(a) != inSet(b) {
				f.sim.fabric.SetCut(f.sim.hostID(a), f.sim.hostID(b), cut)
			}
		}
	}
}

func (f *faultInjector) cutPair(rng *rand.Rand) bool {
	a, b := rng.IntN(hostCount), rng.IntN(hostCount)
	set := func(cut bool) { f.sim.fabric.SetCut(f.sim.hostID(a), f.sim.hostID(b), cut && a != b) }
	return f.isolateFor("", fmt.Sprintf("cut %d from %d", a, b), func() { set(true) }, randomDuration(rng, 3, 60), func() { set(false) })
}

func (f *faultInjector) cutHost(rng *rand.Rand) bool {
	i := rng.IntN(hostCount)
	return f.cutOff(func(host int) bool { return host == i }, randomDuration(rng, 3, 60))
}

func (f *faultInjector) cutZone(rng *rand.Rand) bool {
	z := rng.IntN(len(zones))
	return f.cutOff(func(host int) bool { return host%len(zones) == z }, randomDuration(rng, 3, 60))
}

func (f *faultInjector) losePairReplies(rng *rand.Rand) bool {
	a, b := rng.IntN(hostCount), rng.IntN(hostCount)
	set := func(lossy bool) { f.sim.fabric.SetLossy(f.sim.hostID(a), f.sim.hostID(b), lossy && a != b) }
	return f.isolateFor("", "lossy", func() { set(true) }, randomDuration(rng, 2, 30), func() { set(false) })
}

// storeFault sets a fault of the object API for some time.
func (f *faultInjector) storeFault(disturbs bool, span time.Duration, fault objects.Fault) bool {
	sim := f.sim
	return f.injectFor("store", func() {
		sim.beginStoreFault(disturbs)
		sim.objects.SetFault(fault)
	}, span, func() {
		sim.objects.SetFault(nil)
		sim.objects.DeliverLate()
		sim.endStoreFault()
	})
}

func (f *faultInjector) storeOutage(rng *rand.Rand) bool {
	return f.storeFault(true, randomDuration(rng, 3, 90), func(objects.Operation, string) objects.Verdict { return objects.Refuse })
}

// hangTime is how long a call of a hanging store stays unanswered.
const hangTime = 2 * time.Second

func (f *faultInjector) storeHang(rng *rand.Rand) bool {
	return f.storeFault(true, randomDuration(rng, 3, 40), func(objects.Operation, string) objects.Verdict {
		time.Sleep(hangTime)
		return objects.LoseRequest
	})
}

func (f *faultInjector) storeFlaky(rng *rand.Rand) bool {
	verdicts := []objects.Verdict{objects.Refuse, objects.LoseAnswer, objects.LoseRequest, objects.Late}
	var mu sync.Mutex
	return f.storeFault(false, randomDuration(rng, 5, 60), func(objects.Operation, string) objects.Verdict {
		mu.Lock()
		defer mu.Unlock()
		if rng.IntN(5) != 0 {
			return objects.Pass
		}
		return verdicts[rng.IntN(len(verdicts))]
	})
}

func (f *faultInjector) platformDown(rng *rand.Rand) bool {
	p := f.sim.platform
	return f.injectFor("platform down", func() { p.set(func(p *platform) { p.down = true }) }, randomDuration(rng, 3, 60),
		func() { p.set(func(p *platform) { p.down = false }) })
}

func (f *faultInjector) platformFaulty(rng *rand.Rand) bool {
	p := f.sim.platform
	return f.injectFor("platform harsh", func() { p.set(func(p *platform) { p.faulty = true }) }, randomDuration(rng, 10, 120),
		func() { p.set(func(p *platform) { p.faulty = false }) })
}

func (f *faultInjector) staleHosts(rng *rand.Rand) bool {
	p := f.sim.platform
	return f.injectFor("hosts", func() { p.freezeHostList(true) }, randomDuration(rng, 5, 60), func() { p.freezeHostList(false) })
}

// randomEngine draws an engine.
func (f *faultInjector) randomEngine(rng *rand.Rand) *engine.Engine {
	hosts := f.sim.platform.listTargetHosts()
	engines := f.sim.platform.allEngines()
	for range 20 {
		if e := engines[hosts[rng.IntN(len(hosts))].Target.ID]; e != nil {
			return e
		}
	}
	return nil
}

func (f *faultInjector) crashEngine(rng *rand.Rand) bool {
	e := f.randomEngine(rng)
	if e == nil {
		return false
	}
	e.Crash()
	return true
}

func (f *faultInjector) engineFaults(rng *rand.Rand) bool {
	e := f.randomEngine(rng)
	if e == nil {
		return false
	}
	all := []engine.Faults{
		{BreakStreams: 1 + rng.IntN(4), BreakAfter: rng.IntN(6)}, {CrashAfter: 1 + rng.IntN(30)}, {CrashInChange: 1},
		{StrayChunks: 5 + rng.IntN(20), Duplicate: 5 + rng.IntN(20), LateChunks: 5 + rng.IntN(20)}, {LoseOrderAnswers: 2},
		{Refuse: 1 + rng.IntN(10)}, {DelayMillis: rng.IntN(8000)}, {ReportLagMillis: rng.IntN(3000), LoseCacheEvents: 20},
	}
	e.SetFaults(all[rng.IntN(len(all))])
	return true
}

func (f *faultInjector) serviceFaulty(rng *rand.Rand) bool {
	s := f.sim.service
	return f.injectFor("service", func() { s.setFaulty(true) }, randomDuration(rng, 5, 90), func() { s.setFaulty(false) })
}

func (f *faultInjector) reclaimZone(rng *rand.Rand) bool {
	n := f.sim.platform.reclaim(zones[rng.IntN(len(zones))].Name, randomDuration(rng, 5, 60))
	f.sim.report.note("targets reclaimed", n)
	return n > 0
}

func (f *faultInjector) raceOperators(*rand.Rand) bool {
	return f.injectFor("operator", f.sim.operator.raceChanges, 0, func() {})
}

func (f *faultInjector) issueKey(rng *rand.Rand) bool {
	name := organisations[rng.IntN(len(organisations))]
	return f.injectFor("operator", func() { f.sim.operator.issue(name) }, 0, func() {})
}

func (f *faultInjector) withdrawKey(*rand.Rand) bool {
	return f.injectFor("operator", f.sim.operator.withdraw, 0, func() {})
}

func (f *faultInjector) drain(rng *rand.Rand) bool {
	ids := []target.ID{"engine-0", "engine-1", "engine-2"}
	id := ids[rng.IntN(len(ids))]
	o := f.sim.operator
	return f.injectFor("operator", func() { o.drain(id) }, randomDuration(rng, 5, 60), func() { o.drain() })
}

// beginStoreFault notes the begin of a fault of the object API, which takes it down
// as a whole or fails single calls.
func (sim *simulation) beginStoreFault(down bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.storeFaults = append(sim.storeFaults, storeFaultInterval{from: time.Now(), down: down})
}

// endStoreFault notes its end.
func (sim *simulation) endStoreFault() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.storeFaults[len(sim.storeFaults)-1].to = time.Now()
}

// storeWasDown tells whether the object API was down at any time of a span.
func (sim *simulation) storeWasDown(from, to time.Time) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, s := range sim.storeFaults {
		if s.down && s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return true
		}
	}
	return false
}

// reportOldConfiguration judges that a gateway served by an older configuration than is due.
func (sim *simulation) reportOldConfiguration(at time.Time, format string, args ...any) {
	if sim.storeWasDown(at.Add(-configurationDelay), at) {
		sim.report.note("older configuration served while the object API was down", 1)
		return
	}
	sim.report.violation(format, args...)
}

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

// faultInjector injects random faults, one every few seconds. Most end by themselves after a
// random time, so that several overlap; clearFaults ends those of engines.
type faultInjector struct {
	sim      *simulation
	active   sync.WaitGroup
	mu       sync.Mutex
	reserved map[string]bool // components that have a fault
}

// faultKind is one kind of fault.
type faultKind struct {
	name   string
	weight int // in the random draw
	// inject injects the fault; false if it did not, because there is nothing to hit or the
	// component has a fault already.
	inject func(f *faultInjector, rng *rand.Rand) bool
}

// faultKinds are the faults of a run with the weights of their random draw.
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
	{"platform faulty", 3, (*faultInjector).platformFaulty},
	{"hosts stale", 1, (*faultInjector).staleHosts},
	{"engine crash", 3, (*faultInjector).crashEngine},
	{"engine faults", 8, (*faultInjector).engineFaults},
	{"service faulty", 4, (*faultInjector).serviceFaulty},
	{"zone reclaimed", 3, (*faultInjector).reclaimZone},
	{"operators race", 2, (*faultInjector).raceOperators},
	{"key issued", 3, (*faultInjector).issueKey},
	{"key withdrawn", 3, (*faultInjector).withdrawKey},
	{"target drained", 2, (*faultInjector).drain},
}

// run injects faults until ctx ends and waits until all of them have ended.
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

// inject injects one fault of kind k and counts it, unless its component has a fault already.
// The fault draws from a generator of its own, so that its draws do not change those of later
// faults.
func (f *faultInjector) inject(k faultKind, rng *rand.Rand) {
	own := rand.New(rand.NewPCG(rng.Uint64(), 3))
	if k.inject(f, own) {
		f.sim.report.fault(k.name)
	}
}

// reserve reserves a component for one fault. It returns false if another fault has reserved it.
func (f *faultInjector) reserve(component string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	alreadyReserved := f.reserved[component]
	f.reserved[component] = true
	return !alreadyReserved
}

// release ends the reservation of a component.
func (f *faultInjector) release(component string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.reserved, component)
}

// injectFor reserves a component and runs begin, and after span end, in the background. It
// returns false if the component is reserved already.
func (f *faultInjector) injectFor(component string, begin func(), span time.Duration, end func()) bool {
	if !f.reserve(component) {
		return false
	}
	f.active.Go(func() {
		begin()
		f.sim.report.event("%s: fault begins, lasts %v", component, span)
		time.Sleep(span)
		end()
		f.sim.report.event("%s: fault ends", component)
		f.release(component)
	})
	return true
}

// isolateFor is injectFor for a fault that may keep the heartbeats of a gateway from others, or
// of any gateway if the name is empty. It records the isolation.
func (f *faultInjector) isolateFor(gateway, component string, begin func(), span time.Duration, end func()) bool {
	var s *isolation
	return f.injectFor(component, func() { s = f.sim.beginIsolation(gateway); begin() }, span, func() { end(); f.sim.endIsolation(s) })
}

// randomDuration draws a duration of at least from and less than to seconds.
func randomDuration(rng *rand.Rand, from, to int) time.Duration {
	return time.Duration(from*1000+rng.IntN((to-from)*1000)) * time.Millisecond
}

func (f *faultInjector) host(i int) *host {
	f.sim.mu.Lock()
	defer f.sim.mu.Unlock()
	return f.sim.hosts[i]
}

// killController kills a controller and starts its next incarnation after a while.
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

// killGateway kills a gateway and starts its next incarnation after a while.
func (f *faultInjector) killGateway(rng *rand.Rand) bool {
	sim, i := f.sim, rng.IntN(hostCount)
	h := f.host(i)
	return f.injectFor("gateway "+f.sim.address(i), func() { sim.killProcess(h.gateway) }, randomDuration(rng, 0, 12), func() { sim.replaceGateway(h) })
}

// replaceGateway starts the next incarnation of a host's gateway.
func (sim *simulation) replaceGateway(h *host) {
	p := sim.startGateway(h.index)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	h.gateway = p
}

// stopGateway shuts a gateway down gracefully and starts its next incarnation after a while.
// Usage that the gateway has not handed over by then counts as lost.
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

// freezeController pauses a controller for up to 150 s.
func (f *faultInjector) freezeController(rng *rand.Rand) bool {
	i := rng.IntN(hostCount)
	h := f.host(i)
	return f.injectFor("controller "+f.sim.address(i), func() { h.controller.gate.freeze() }, randomDuration(rng, 3, 150), func() { h.controller.gate.wake() })
}

// freezeGateway pauses a gateway for up to 30 s.
func (f *faultInjector) freezeGateway(rng *rand.Rand) bool {
	i := rng.IntN(hostCount)
	h := f.host(i)
	return f.isolateFor(h.gateway.id, "gateway "+f.sim.address(i), func() { h.gateway.gate.freeze() }, randomDuration(rng, 1, 30), func() { h.gateway.gate.wake() })
}

// cutOff cuts the links between the hosts of a set and all others for some time.
func (f *faultInjector) cutOff(inSet func(host int) bool, span time.Duration) bool {
	return f.isolateFor("", "cut", func() { f.setCut(inSet, true) }, span, func() { f.setCut(inSet, false) })
}

// setCut cuts or restores the links between the hosts of a set and all others.
func (f *faultInjector) setCut(inSet func(host int) bool, cut bool) {
	for a := range hostCount {
		for b := range a {
			if inSet(a) != inSet(b) {
				f.sim.fabric.SetCut(f.sim.hostID(a), f.sim.hostID(b), cut)
			}
		}
	}
}

// cutPair cuts the links between two hosts for some time. It has no effect if it draws the same
// host twice.
func (f *faultInjector) cutPair(rng *rand.Rand) bool {
	a, b := rng.IntN(hostCount), rng.IntN(hostCount)
	set := func(cut bool) { f.sim.fabric.SetCut(f.sim.hostID(a), f.sim.hostID(b), cut && a != b) }
	return f.isolateFor("", fmt.Sprintf("cut %d from %d", a, b), func() { set(true) }, randomDuration(rng, 3, 60), func() { set(false) })
}

// cutHost cuts a host off from all others for 3 to 60 s.
func (f *faultInjector) cutHost(rng *rand.Rand) bool {
	i := rng.IntN(hostCount)
	return f.cutOff(func(host int) bool { return host == i }, randomDuration(rng, 3, 60))
}

// cutZone cuts the hosts of a zone off from all others for 3 to 60 s.
func (f *faultInjector) cutZone(rng *rand.Rand) bool {
	z := rng.IntN(len(zones))
	return f.cutOff(func(host int) bool { return host%len(zones) == z }, randomDuration(rng, 3, 60))
}

// losePairReplies loses replies between two hosts for some time. It has no effect if it draws
// the same host twice.
func (f *faultInjector) losePairReplies(rng *rand.Rand) bool {
	a, b := rng.IntN(hostCount), rng.IntN(hostCount)
	set := func(lossy bool) { f.sim.fabric.SetLossy(f.sim.hostID(a), f.sim.hostID(b), lossy && a != b) }
	return f.isolateFor("", "lossy", func() { set(true) }, randomDuration(rng, 2, 30), func() { set(false) })
}

// storeFault applies a fault to the calls of the object API for some time. down says whether the
// fault makes every call fail; it is only recorded, for storeWasDown. It returns false if another
// fault of the object API is in progress.
func (f *faultInjector) storeFault(down bool, span time.Duration, fault objects.Fault) bool {
	sim := f.sim
	return f.injectFor("store", func() {
		sim.beginStoreFault(down)
		sim.objects.SetFault(fault)
	}, span, func() {
		sim.objects.SetFault(nil)
		sim.objects.DeliverLate()
		sim.endStoreFault()
	})
}

// storeOutage makes the object API refuse every call for 3 to 90 s.
func (f *faultInjector) storeOutage(rng *rand.Rand) bool {
	return f.storeFault(true, randomDuration(rng, 3, 90), func(objects.Operation, string) objects.Verdict { return objects.Refuse })
}

// hangTime is how long a call to a hanging object API stays unanswered.
const hangTime = 2 * time.Second

// storeHang makes every call of the object API hang for hangTime and then fail, for 3 to 40 s.
func (f *faultInjector) storeHang(rng *rand.Rand) bool {
	return f.storeFault(true, randomDuration(rng, 3, 40), func(objects.Operation, string) objects.Verdict {
		time.Sleep(hangTime)
		return objects.LoseRequest
	})
}

// storeFlaky makes one of five calls of the object API fail on average, for 5 to 60 s: refused,
// delayed, or with its request or response lost.
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

// platformDown makes the platform refuse every call for 3 to 60 s. It returns false if this fault
// is in force already.
func (f *faultInjector) platformDown(rng *rand.Rand) bool {
	p := f.sim.platform
	return f.injectFor("platform down", func() { p.set(func(p *platform) { p.down = true }) }, randomDuration(rng, 3, 60),
		func() { p.set(func(p *platform) { p.down = false }) })
}

// platformFaulty makes the platform lose, delay and refuse calls for 10 to 120 s.
func (f *faultInjector) platformFaulty(rng *rand.Rand) bool {
	p := f.sim.platform
	return f.injectFor("platform faulty", func() { p.set(func(p *platform) { p.faulty = true }) }, randomDuration(rng, 10, 120),
		func() { p.set(func(p *platform) { p.faulty = false }) })
}

// staleHosts makes the platform return an old list of hosts for 5 to 60 s.
func (f *faultInjector) staleHosts(rng *rand.Rand) bool {
	p := f.sim.platform
	return f.injectFor("hosts", func() { p.freezeHostList(true) }, randomDuration(rng, 5, 60), func() { p.freezeHostList(false) })
}

// randomEngine draws an engine, or returns nil if it finds none in 20 draws.
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

// crashEngine crashes an engine, which restartCrashedEngines starts again.
func (f *faultInjector) crashEngine(rng *rand.Rand) bool {
	e := f.randomEngine(rng)
	if e == nil {
		return false
	}
	e.Crash()
	return true
}

// engineFaults sets one of several faults of an engine, such as broken streams or stray chunks.
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

// serviceFaulty makes the plain service lose, delay and refuse calls for 5 to 90 s.
func (f *faultInjector) serviceFaulty(rng *rand.Rand) bool {
	s := f.sim.service
	return f.injectFor("service", func() { s.setFaulty(true) }, randomDuration(rng, 5, 90), func() { s.setFaulty(false) })
}

// reclaimZone reclaims the reclaimable targets of a zone after a notice of 5 to 60 s.
func (f *faultInjector) reclaimZone(rng *rand.Rand) bool {
	n := f.sim.platform.reclaim(zones[rng.IntN(len(zones))].Name, randomDuration(rng, 5, 60))
	f.sim.report.note("targets reclaimed", n)
	return n > 0
}

// raceOperators makes two operators change the same revision.
func (f *faultInjector) raceOperators(*rand.Rand) bool {
	return f.injectFor("operator", f.sim.operator.raceChanges, 0, func() {})
}

func (f *faultInjector) issueKey(rng *rand.Rand) bool {
	name := organisations[rng.IntN(len(organisations))]
	return f.injectFor("operator", func() { f.sim.operator.issueKey(name) }, 0, func() {})
}

func (f *faultInjector) withdrawKey(*rand.Rand) bool {
	return f.injectFor("operator", f.sim.operator.withdrawKey, 0, func() {})
}

// drain drains an engine for 5 to 60 s.
func (f *faultInjector) drain(rng *rand.Rand) bool {
	ids := []target.ID{"engine-0", "engine-1", "engine-2"}
	id := ids[rng.IntN(len(ids))]
	o := f.sim.operator
	return f.injectFor("operator", func() { o.setDrained(id) }, randomDuration(rng, 5, 60), func() { o.setDrained() })
}

// beginStoreFault records the start of a fault of the object API. With down, every call fails;
// otherwise single calls do.
func (sim *simulation) beginStoreFault(down bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.storeFaults = append(sim.storeFaults, storeFaultInterval{from: time.Now(), down: down})
}

// endStoreFault records the end of the latest fault of the object API.
func (sim *simulation) endStoreFault() {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.storeFaults[len(sim.storeFaults)-1].to = time.Now()
}

// storeWasDown reports whether the object API was down at any time between from and to.
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

// reportOldConfiguration records that a gateway served a request by an older configuration than
// is allowed. It is a violation unless the object API was down at some time in the last
// configurationDelay, which excuses the gateway; then it is only counted.
func (sim *simulation) reportOldConfiguration(at time.Time, format string, args ...any) {
	if sim.storeWasDown(at.Add(-configurationDelay), at) {
		sim.report.note("older configuration served while the object API was down", 1)
		return
	}
	sim.report.violation(format, args...)
}

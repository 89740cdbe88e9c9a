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

// faults causes faults one after the other; each heals by itself after its
// time, so that several overlap.
type faults struct {
	world   *world
	healing sync.WaitGroup
	mu      sync.Mutex
	held    map[string]bool // what a fault is under way for
}

// kind is one kind of fault.
type kind struct {
	name   string
	weight int
	cause  func(f *faults, rng *rand.Rand) bool
}

// kinds are the faults of a run.
var kinds = []kind{
	{"controller killed", 4, (*faults).killController},
	{"gateway killed", 3, (*faults).killGateway},
	{"gateway stopped", 2, (*faults).stopGateway},
	{"controller frozen", 4, (*faults).freezeController},
	{"gateway frozen", 2, (*faults).freezeGateway},
	{"pair cut", 3, (*faults).cutPair},
	{"host cut", 2, (*faults).cutHost},
	{"zone cut", 2, (*faults).cutZone},
	{"replies lost", 2, (*faults).losePair},
	{"store outage", 2, (*faults).storeOutage},
	{"store hang", 1, (*faults).storeHang},
	{"store flaky", 4, (*faults).storeFlaky},
	{"platform down", 1, (*faults).platformDown},
	{"platform harsh", 3, (*faults).platformHarsh},
	{"hosts stale", 1, (*faults).staleHosts},
	{"engine crash", 3, (*faults).crashEngine},
	{"engine faults", 8, (*faults).engineFaults},
	{"service harsh", 4, (*faults).serviceHarsh},
	{"zone reclaimed", 3, (*faults).reclaimZone},
	{"operators race", 2, (*faults).race},
	{"key issued", 3, (*faults).issueKey},
	{"key withdrawn", 3, (*faults).withdrawKey},
	{"target drained", 2, (*faults).drain},
}

// run causes faults until ctx ends and waits until they have healed.
func (f *faults) run(ctx context.Context) {
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	if f.world.options.Losses {
		f.healing.Go(func() { f.losses(ctx) })
	}
	rng := f.world.rng
	for wait(ctx, time.Duration(500+rng.IntN(5000))*time.Millisecond) {
		n := rng.IntN(total)
		for _, k := range kinds {
			if n -= k.weight; n < 0 {
				f.cause(k, rng)
				break
			}
		}
	}
	f.healing.Wait()
}

// cause causes one fault unless one of its kind is under way, with draws of its own so that timing does not change
// the draws of later ones.
func (f *faults) cause(k kind, rng *rand.Rand) {
	own := rand.New(rand.NewPCG(rng.Uint64(), 3))
	if k.cause(f, own) {
		f.world.report.fault(k.name)
	}
}

// hold keeps other faults off a thing, unless one is under way for it.
func (f *faults) hold(what string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	taken := f.held[what]
	f.held[what] = true
	return !taken
}

// release lets faults cause harm to a thing again.
func (f *faults) release(what string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.held, what)
}

// during makes a fault for some time, unless one is under way for the same
// thing.
func (f *faults) during(what string, begin func(), span time.Duration, end func()) bool {
	if !f.hold(what) {
		return false
	}
	f.healing.Go(func() {
		begin()
		f.world.report.event("%s: begun for %v", what, span)
		time.Sleep(span)
		end()
		f.world.report.event("%s: healed", what)
		f.release(what)
	})
	return true
}

// unheard makes a fault by which a gateway, or any if none is named, may not
// be heard.
func (f *faults) unheard(gateway, what string, begin func(), span time.Duration, end func()) bool {
	var s *silence
	return f.during(what, func() { s = f.world.silent(gateway); begin() }, span, func() { end(); f.world.heard(s) })
}

// seconds draws a span.
func seconds(rng *rand.Rand, from, to int) time.Duration {
	return time.Duration(from*1000+rng.IntN((to-from)*1000)) * time.Millisecond
}

// at returns a host.
func (f *faults) at(i int) *host {
	f.world.mu.Lock()
	defer f.world.mu.Unlock()
	return f.world.hosts[i]
}

func (f *faults) killController(rng *rand.Rand) bool {
	w, i := f.world, rng.IntN(hostCount)
	h := f.at(i)
	return f.during("controller "+f.world.address(i), func() { w.end(h.controller) }, seconds(rng, 0, 12), func() {
		p := w.startController(i)
		w.mu.Lock()
		defer w.mu.Unlock()
		h.controller = p
	})
}

func (f *faults) killGateway(rng *rand.Rand) bool {
	w, i := f.world, rng.IntN(hostCount)
	h := f.at(i)
	return f.during("gateway "+f.world.address(i), func() { w.end(h.gateway) }, seconds(rng, 0, 12), func() { w.replaceGateway(h) })
}

// replaceGateway starts the next incarnation of a gateway.
func (w *world) replaceGateway(h *host) {
	p := w.startGateway(h.index)
	w.mu.Lock()
	defer w.mu.Unlock()
	h.gateway = p
}

func (f *faults) stopGateway(rng *rand.Rand) bool {
	w, i := f.world, rng.IntN(hostCount)
	h := f.at(i)
	return f.during("gateway "+f.world.address(i), func() {
		p := h.gateway
		p.stop()
		<-p.ended
		w.mu.Lock()
		p.stopped = true
		w.mu.Unlock()
		if left := len(p.serving.Usage()); left > 0 {
			w.report.note("counters left at a stopped gateway", left)
			w.mu.Lock()
			p.killed = true
			w.mu.Unlock()
			w.forgotten(p)
		}
		p.kill()
	}, seconds(rng, 0, 8), func() { w.replaceGateway(h) })
}

func (f *faults) freezeController(rng *rand.Rand) bool {
	i := rng.IntN(hostCount)
	h := f.at(i)
	return f.during("controller "+f.world.address(i), func() { h.controller.gate.freeze() }, seconds(rng, 3, 150), func() { h.controller.gate.wake() })
}

func (f *faults) freezeGateway(rng *rand.Rand) bool {
	i := rng.IntN(hostCount)
	h := f.at(i)
	return f.unheard(h.gateway.id, "gateway "+f.world.address(i), func() { h.gateway.gate.freeze() }, seconds(rng, 1, 30), func() { h.gateway.gate.wake() })
}

// cutOff cuts the hosts of a set off the others for some time.
func (f *faults) cutOff(inside func(host int) bool, span time.Duration) bool {
	return f.unheard("", "cut", func() { f.setCut(inside, true) }, span, func() { f.setCut(inside, false) })
}

func (f *faults) setCut(inside func(host int) bool, cut bool) {
	for a := range hostCount {
		for b := range a {
			if inside(a) != inside(b) {
				f.world.fabric.SetCut(f.world.hostID(a), f.world.hostID(b), cut)
			}
		}
	}
}

func (f *faults) cutPair(rng *rand.Rand) bool {
	a, b := rng.IntN(hostCount), rng.IntN(hostCount)
	set := func(cut bool) { f.world.fabric.SetCut(f.world.hostID(a), f.world.hostID(b), cut && a != b) }
	return f.unheard("", fmt.Sprintf("cut %d from %d", a, b), func() { set(true) }, seconds(rng, 3, 60), func() { set(false) })
}

func (f *faults) cutHost(rng *rand.Rand) bool {
	i := rng.IntN(hostCount)
	return f.cutOff(func(host int) bool { return host == i }, seconds(rng, 3, 60))
}

func (f *faults) cutZone(rng *rand.Rand) bool {
	z := rng.IntN(len(zones))
	return f.cutOff(func(host int) bool { return host%len(zones) == z }, seconds(rng, 3, 60))
}

func (f *faults) losePair(rng *rand.Rand) bool {
	a, b := rng.IntN(hostCount), rng.IntN(hostCount)
	set := func(lossy bool) { f.world.fabric.SetLossy(f.world.hostID(a), f.world.hostID(b), lossy && a != b) }
	return f.unheard("", "lossy", func() { set(true) }, seconds(rng, 2, 30), func() { set(false) })
}

// storeFault sets a fault of the object API for some time.
func (f *faults) storeFault(disturbs bool, span time.Duration, fault objects.Fault) bool {
	w := f.world
	return f.during("store", func() {
		w.disturb(disturbs)
		w.objects.SetFault(fault)
	}, span, func() {
		w.objects.SetFault(nil)
		w.objects.DeliverLate()
		w.calm()
	})
}

func (f *faults) storeOutage(rng *rand.Rand) bool {
	return f.storeFault(true, seconds(rng, 3, 90), func(objects.Operation, string) objects.Verdict { return objects.Refuse })
}

// hangTime is how long a call of a hanging store stays unanswered.
const hangTime = 2 * time.Second

func (f *faults) storeHang(rng *rand.Rand) bool {
	return f.storeFault(true, seconds(rng, 3, 40), func(objects.Operation, string) objects.Verdict {
		time.Sleep(hangTime)
		return objects.LoseRequest
	})
}

func (f *faults) storeFlaky(rng *rand.Rand) bool {
	verdicts := []objects.Verdict{objects.Refuse, objects.LoseAnswer, objects.LoseRequest, objects.Late}
	var mu sync.Mutex
	return f.storeFault(false, seconds(rng, 5, 60), func(objects.Operation, string) objects.Verdict {
		mu.Lock()
		defer mu.Unlock()
		if rng.IntN(5) != 0 {
			return objects.Pass
		}
		return verdicts[rng.IntN(len(verdicts))]
	})
}

func (f *faults) platformDown(rng *rand.Rand) bool {
	c := f.world.cloud
	return f.during("platform down", func() { c.set(func(c *cloud) { c.down = true }) }, seconds(rng, 3, 60),
		func() { c.set(func(c *cloud) { c.down = false }) })
}

func (f *faults) platformHarsh(rng *rand.Rand) bool {
	c := f.world.cloud
	return f.during("platform harsh", func() { c.set(func(c *cloud) { c.harsh = true }) }, seconds(rng, 10, 120),
		func() { c.set(func(c *cloud) { c.harsh = false }) })
}

func (f *faults) staleHosts(rng *rand.Rand) bool {
	c := f.world.cloud
	return f.during("hosts", func() { c.freeze(true) }, seconds(rng, 5, 60), func() { c.freeze(false) })
}

// engine draws an engine.
func (f *faults) engine(rng *rand.Rand) *engine.Engine {
	hosts := f.world.cloud.listed()
	made := f.world.cloud.all()
	for range 20 {
		if e := made[hosts[rng.IntN(len(hosts))].Target.ID]; e != nil {
			return e
		}
	}
	return nil
}

func (f *faults) crashEngine(rng *rand.Rand) bool {
	e := f.engine(rng)
	if e == nil {
		return false
	}
	e.Crash()
	return true
}

func (f *faults) engineFaults(rng *rand.Rand) bool {
	e := f.engine(rng)
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

func (f *faults) serviceHarsh(rng *rand.Rand) bool {
	d := f.world.desk
	return f.during("service", func() { d.setHarsh(true) }, seconds(rng, 5, 90), func() { d.setHarsh(false) })
}

func (f *faults) reclaimZone(rng *rand.Rand) bool {
	n := f.world.cloud.reclaim(zones[rng.IntN(len(zones))].Name, seconds(rng, 5, 60))
	f.world.report.note("targets reclaimed", n)
	return n > 0
}

func (f *faults) race(*rand.Rand) bool {
	return f.during("operator", f.world.operator.race, 0, func() {})
}

func (f *faults) issueKey(rng *rand.Rand) bool {
	name := organisations[rng.IntN(len(organisations))]
	return f.during("operator", func() { f.world.operator.issue(name) }, 0, func() {})
}

func (f *faults) withdrawKey(*rand.Rand) bool {
	return f.during("operator", f.world.operator.withdraw, 0, func() {})
}

func (f *faults) drain(rng *rand.Rand) bool {
	ids := []target.ID{"engine-0", "engine-1", "engine-2"}
	id := ids[rng.IntN(len(ids))]
	o := f.world.operator
	return f.during("operator", func() { o.drain(id) }, seconds(rng, 5, 60), func() { o.drain() })
}

// disturb notes the begin of a fault of the object API, which takes it down
// as a whole or fails single calls.
func (w *world) disturb(down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.disturbed = append(w.disturbed, span{from: time.Now(), down: down})
}

// calm notes its end.
func (w *world) calm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.disturbed[len(w.disturbed)-1].to = time.Now()
}

// storeDown tells whether the object API was down at any time of a span.
func (w *world) storeDown(from, to time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, s := range w.disturbed {
		if s.down && s.from.Before(to) && (s.to.IsZero() || s.to.After(from)) {
			return true
		}
	}
	return false
}

// older judges that a gateway served by an older configuration than is due.
func (w *world) older(at time.Time, format string, args ...any) {
	if w.storeDown(at.Add(-inForce), at) {
		w.report.note("older configuration served while the object API was down", 1)
		return
	}
	w.report.violation(format, args...)
}

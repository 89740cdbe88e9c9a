package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"zinniapin/internal/standin/engine"
	"zinniapin/provider"
	"zinniapin/target"
	"zinniapin/usage"
	"zinniapin/zone"
)

// reportKey identifies the usage report of an organisation for one window.
type reportKey struct {
	organisation string
	window       int64 // start of the window, Unix seconds
}

// platform simulates the platform except the object API: orders of targets, usage reports and
// the list of hosts. It checks that two authors never have calls for the same unit in progress,
// that fencing tokens never decrease and that a reported figure never changes. A unit is a pool in
// one zone for orders, and an organisation for usage reports.
type platform struct {
	engines *engine.Direct

	mu                sync.Mutex
	rng               *rand.Rand
	down              bool                    // refuses every call
	faulty            bool                    // loses, delays and refuses calls
	frozenHosts       []provider.Host         // what List returns while the list is frozen, else nil
	targetHosts       []provider.Host         // hosts of targets
	entryHosts        []provider.Host         // hosts of gateways and controllers
	lostZones         map[zone.Name]bool      // zones whose targets loseZone stopped, until they are restored
	zoneReplacements  map[zone.Name][]func()  // starts the replacements of a lost zone's targets when it is restored
	firstShownLeaving map[target.ID]time.Time // when List first returned a target as leaving or gone
	startedEngines    map[target.ID]*engine.Engine
	orders            map[string]provider.TargetOrderResult // by order id
	highestFences     map[string]uint64                     // highest fencing token by unit
	activeCalls       map[string]string                     // order id or report author of the call in progress, by unit
	reports           map[reportKey]provider.UsageReport
	reportFences      map[reportKey]uint64 // highest fencing token of the reports
	startedCount      int                  // targets started by orders and as replacements
	ordersApplied     int                  // distinct orders executed
	reportsReceived   int
	problems          []string
}

// newPlatform returns a platform without hosts or faults.
func newPlatform(seed uint64, engines *engine.Direct) *platform {
	return &platform{
		engines:           engines,
		rng:               rand.New(rand.NewPCG(seed, 7)),
		lostZones:         map[zone.Name]bool{},
		zoneReplacements:  map[zone.Name][]func(){},
		firstShownLeaving: map[target.ID]time.Time{},
		startedEngines:    map[target.ID]*engine.Engine{},
		orders:            map[string]provider.TargetOrderResult{},
		highestFences:     map[string]uint64{},
		activeCalls:       map[string]string{},
		reports:           map[reportKey]provider.UsageReport{},
		reportFences:      map[reportKey]uint64{},
	}
}

// set runs change with the lock held, to turn faults on or off.
func (p *platform) set(change func(*platform)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

// addProblem records a violated invariant. The caller holds the lock.
func (p *platform) addProblem(format string, args ...any) {
	p.problems = append(p.problems, fmt.Sprintf(format, args...))
}

// startEngine starts an engine and adds its host to the list. fenced makes the engine check
// fencing numbers. The caller holds the lock.
func (p *platform) startEngine(id target.ID, class target.Class, z zone.Name, fenced bool, seed uint64) {
	e := p.engines.Add(string(id), engine.Options{
		ID: id, Seed: seed, Models: []string{modelName}, ChecksFence: fenced,
		PrefillRate: 20_000, DecodeRate: 80, RoleChangeTime: 3 * time.Second, CrashOn: fatalMarker,
	})
	p.startedEngines[id] = e
	x := target.Target{ID: id, Kind: target.Engine, Class: class, Pool: poolName, Zone: z, Address: string(id), ChecksFence: fenced}
	p.targetHosts = append(p.targetHosts, provider.Host{ID: "host-of-" + string(id), State: provider.Live, Zone: z, Target: &x})
}

// drawFault returns the fault and the delay of the next call, and whether the platform is down.
// Without faults an order or report takes 5 ms. With them it takes up to 3 s, and 3 of 10 fail on
// average; of the calls of Lookup and List 1 of 10 fails.
func (p *platform) drawFault() (fault int, delay time.Duration, down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.faulty {
		return faultNone, 5 * time.Millisecond, p.down
	}
	return p.rng.IntN(10), time.Duration(p.rng.IntN(3000)) * time.Millisecond, p.down
}

// beginCall records that a call of author for unit is in progress. It reports a problem if a
// call of another author is, or if the fencing token is lower than one seen before.
func (p *platform) beginCall(unit, author string, fence uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if other := p.activeCalls[unit]; other != "" && other != author {
		p.addProblem("%s: a call of %s arrived while one of %s was in progress", unit, author, other)
	}
	p.activeCalls[unit] = author
	if fence < p.highestFences[unit] {
		p.addProblem("%s: a call of %s has fence %d, lower than %d before", unit, author, fence, p.highestFences[unit])
	}
	p.highestFences[unit] = max(p.highestFences[unit], fence)
}

// endCall records that no call for unit is in progress.
func (p *platform) endCall(unit string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.activeCalls, unit)
}

// callWithFaults runs apply as one call of author for unit, subject to the drawn fault: the call
// may be refused, or its request or response lost.
func (p *platform) callWithFaults(ctx context.Context, unit, author string, fence uint64, apply func()) error {
	fault, delay, down := p.drawFault()
	if down || fault == faultRefused {
		return target.ErrNotSent
	}
	if fault == faultRequestLost {
		return target.ErrIncomplete
	}
	p.beginCall(unit, author, fence)
	defer p.endCall(unit)
	answered := wait(ctx, delay)
	p.mu.Lock()
	apply()
	p.mu.Unlock()
	if !answered || fault == faultResponseLost {
		return target.ErrIncomplete
	}
	return nil
}

// Order implements provider.Targets.
func (p *platform) Order(ctx context.Context, o provider.TargetOrder) (provider.TargetOrderResult, error) {
	var result provider.TargetOrderResult
	unit := fmt.Sprintf("%s/%s", o.Pool, o.Zone)
	err := p.callWithFaults(ctx, unit, o.ID, o.Fence, func() { result = p.applyOrder(o) })
	return result, err
}

// applyOrder executes an order, or returns the earlier result if it was executed before. The
// caller holds the lock.
func (p *platform) applyOrder(o provider.TargetOrder) provider.TargetOrderResult {
	if known, ok := p.orders[o.ID]; ok {
		return known
	}
	p.ordersApplied++
	result := provider.TargetOrderResult{Accepted: 1}
	if o.Release != "" {
		p.beginLeaving(o.Release, 0)
	} else if p.lostZones[o.Zone] {
		result = provider.TargetOrderResult{Reason: "the zone is lost"}
	} else {
		result.Accepted = o.Count
		for range o.Count {
			p.startedCount++
			p.startEngine(target.ID(fmt.Sprintf("bought-%d", p.startedCount)), o.Class, o.Zone, p.startedCount%2 == 0, uint64(1000+p.startedCount))
		}
	}
	p.orders[o.ID] = result
	return result
}

// beginLeaving marks a target as leaving and removes it after notice. The caller holds the lock.
func (p *platform) beginLeaving(id target.ID, notice time.Duration) {
	for i := range p.targetHosts {
		h := &p.targetHosts[i]
		if h.Target == nil || h.Target.ID != id || h.State != provider.Live {
			continue
		}
		h.State = provider.Leaving
		h.LeavesAt = time.Now().Add(notice)
		time.AfterFunc(notice, func() { p.removeTarget(id) })
	}
}

// replacementDelay is the time from the removal of a reclaimed target to the start of its
// replacement, which has another id.
const replacementDelay = 15 * time.Second

// replaceReclaimed starts a reclaimable engine in place of a reclaimed one; if the zone is lost,
// when the zone is restored.
func (p *platform) replaceReclaimed(z zone.Name) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lostZones[z] {
		p.zoneReplacements[z] = append(p.zoneReplacements[z], func() { p.replaceEngine(z, target.Reclaimable) })
		return
	}
	p.replaceEngine(z, target.Reclaimable)
}

// replaceEngine starts an engine with a new id in place of one that is gone. The caller holds
// the lock.
func (p *platform) replaceEngine(z zone.Name, class target.Class) {
	p.startedCount++
	p.startEngine(target.ID(fmt.Sprintf("back-%d", p.startedCount)), class, z, p.startedCount%2 == 0, uint64(2000+p.startedCount))
}

// removeTarget stops a target and lists its host as gone.
func (p *platform) removeTarget(id target.ID) {
	p.engines.Remove(string(id))
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range p.targetHosts {
		if h := &p.targetHosts[i]; h.Target != nil && h.Target.ID == id {
			h.State = provider.Gone
		}
	}
}

// reclaim makes all live reclaimable targets of a zone leave after notice, schedules their
// replacements and returns their number.
func (p *platform) reclaim(z zone.Name, notice time.Duration) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, h := range slices.Clone(p.targetHosts) {
		if h.Zone == z && h.State == provider.Live && h.Target.Class == target.Reclaimable {
			p.beginLeaving(h.Target.ID, notice)
			time.AfterFunc(notice+replacementDelay, func() { p.replaceReclaimed(z) })
			n++
		}
	}
	return n
}

// Lookup implements provider.Targets.
func (p *platform) Lookup(_ context.Context, id string) (provider.TargetOrderResult, bool, error) {
	fault, _, down := p.drawFault()
	if down || fault == faultRefused {
		return provider.TargetOrderResult{}, false, target.ErrNotSent
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	result, ok := p.orders[id]
	return result, ok, nil
}

// Report implements provider.Usage. All reports of one organisation count as one unit: they must
// not come from two authors at once, nor with a lower fencing token than before.
func (p *platform) Report(ctx context.Context, author string, fence uint64, reports []provider.UsageReport) error {
	unit := "usage/" + reports[0].Organisation
	return p.callWithFaults(ctx, unit, author, fence, func() {
		for _, r := range reports {
			p.applyReport(author, fence, r)
		}
	})
}

// applyReport stores a report and checks that it repeats the figures of earlier reports of its
// window. The caller holds the lock.
func (p *platform) applyReport(author string, fence uint64, r provider.UsageReport) {
	key := reportKey{r.Organisation, r.Window.Unix()}
	if old, known := p.reports[key]; known && old != r {
		p.addProblem("%s reported %v, which differs from the earlier %v", author, r, old)
	}
	if fence < p.reportFences[key] {
		p.addProblem("%s reported %v with fence %d, lower than %d before", author, key, fence, p.reportFences[key])
	}
	p.reportFences[key] = max(p.reportFences[key], fence)
	p.reports[key] = r
	p.reportsReceived++
}

// List implements provider.Hosts.
func (p *platform) List(context.Context) ([]provider.Host, error) {
	fault, _, down := p.drawFault()
	if down || fault == faultRefused {
		return nil, target.ErrNotSent
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.frozenHosts != nil {
		return p.frozenHosts, nil
	}
	shown := slices.Clone(p.entryHosts)
	for _, h := range p.targetHosts {
		x := *h.Target
		h.Target = &x
		shown = append(shown, h)
		if _, known := p.firstShownLeaving[x.ID]; h.State != provider.Live && !known {
			p.firstShownLeaving[x.ID] = time.Now()
		}
	}
	return shown, nil
}

// freezeHostList makes List return the present hosts until it is called with false.
func (p *platform) freezeHostList(frozen bool) {
	list := p.listTargetHosts()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozenHosts = nil
	if frozen {
		p.frozenHosts = append(list, p.entryHosts...)
	}
}

// listTargetHosts returns a copy of the hosts of targets, without the faults of List.
func (p *platform) listTargetHosts() []provider.Host {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.targetHosts)
}

// reportedUsage returns the sum of the usage reported for an organisation.
func (p *platform) reportedUsage(organisation string) usage.Amount {
	p.mu.Lock()
	defer p.mu.Unlock()
	var sum usage.Amount
	for key, r := range p.reports {
		if key.organisation == organisation {
			sum = sum.Add(usage.Amount{Requests: r.Requests, PromptTokens: r.PromptTokens, OutputTokens: r.OutputTokens, Calls: r.Calls})
		}
	}
	return sum
}

// allEngines returns every engine ever started.
func (p *platform) allEngines() map[target.ID]*engine.Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	engines := make(map[target.ID]*engine.Engine, len(p.startedEngines))
	for id, e := range p.startedEngines {
		engines[id] = e
	}
	return engines
}

// listService adds the host of an instance of the plain service to the list. The caller holds
// the lock.
func (p *platform) listService(x target.Target) {
	p.targetHosts = append(p.targetHosts, provider.Host{ID: "host-of-" + string(x.ID), State: provider.Live, Zone: x.Zone, Target: &x})
}

package policybench

import (
	"fmt"
	"time"

	"zinniapin/control"
	"zinniapin/invariant"
	"zinniapin/placement"
	"zinniapin/provider"
	"zinniapin/spending"
	"zinniapin/target"
	"zinniapin/zone"
)

// Intervals and delays of the simulation.
const (
	reportInterval = 500 * time.Millisecond // between load reports of an engine
	reportDelay    = 250 * time.Millisecond // from an engine's report to its arrival at gateways
	planInterval   = time.Second            // between planning rounds
	hostListDelay  = time.Second            // until the platform's host list shows a change
	reclaimNotice  = 5 * time.Second        // between the notice to a reclaimable target and its end
	purchaseDelay  = 45 * time.Second       // until a purchased target serves
	drainTime      = 60 * time.Second       // after the end of the trace, for requests to finish
)

// epoch is the virtual time at which a run starts.
var epoch = time.Unix(1_000_000_000, 0)

// simulation is one run of a policy over a trace with a simulated fleet.
type simulation struct {
	deployment  *deployment
	scenario    *scenario
	policy      *Policy
	requests    []*request
	nextRequest int
	engines     []*engine
	byID        map[target.ID]*engine
	reports     [][]sentReport // by engine, oldest first
	gateways    []*gateway
	pickers     []picker // of the gateways; a single one if the policy is exact
	planner     *placement.Planner
	spender     *spending.Planner
	thresholds  thresholdPlanner

	inDelivery  []purchase // bought, but not delivered yet
	bought      int        // targets that the platform granted
	roleChanges int
	unfinished  int // requests that have not ended, those yet to arrive included
}

// purchase is a bought target before its delivery.
type purchase struct {
	arrivesAt int64 // nanoseconds
	zone      zone.Name
	class     target.Class
}

// sentReport is a load report with the time at which the engine sent it.
type sentReport struct {
	sentAt int64 // nanoseconds
	report target.Report
}

// newSimulation prepares a run. The trace depends on the seed, but not on the
// policy.
func newSimulation(d *deployment, s *scenario, p *Policy, seed uint64) *simulation {
	sim := &simulation{
		deployment: d, scenario: s, policy: p, requests: generateTrace(d, s, seed), byID: map[target.ID]*engine{},
		planner: placement.New(placement.DefaultSettings()),
		spender: spending.New(spending.DefaultSettings()),
	}
	sim.unfinished = len(sim.requests)
	sim.addFleet()
	for i := range s.gateways {
		if i == 0 || !p.exact {
			home := zone.Zone{Name: d.zones[i%len(d.zones)], Region: "region"}
			sim.pickers = append(sim.pickers, p.newPicker(home, seed*1000+uint64(i)))
		}
		sim.gateways = append(sim.gateways, newGateway(sim.pickers[len(sim.pickers)-1], d))
	}
	return sim
}

// addFleet adds the initial engines and the instances of the plain service, evenly
// over the zones. The engines in the prefill role are spread evenly among the others.
func (sim *simulation) addFleet() {
	prefill := 0
	total := sim.deployment.reserved + sim.deployment.reclaimable
	for i := range total {
		class := target.Reserved
		if i >= sim.deployment.reserved {
			class = target.Reclaimable
		}
		role := target.Decode
		if prefill*total < sim.deployment.prefill*(i+1) {
			role = target.Prefill
			prefill++
		}
		if sim.policy.roles == allMixed {
			role = target.Mixed
		}
		sim.addEngine(0, sim.deployment.zones[i%len(sim.deployment.zones)], class, role)
	}
	for i := range sim.deployment.serviceInstances {
		sim.add(0, target.Target{
			ID: target.ID(fmt.Sprintf("%s-%d", sim.deployment.servicePool, i)), Kind: target.Service, Class: target.Reserved,
			Pool: sim.deployment.servicePool, Zone: sim.deployment.zones[i%len(sim.deployment.zones)],
		}, "")
	}
}

// addEngine adds an engine to the pool.
func (sim *simulation) addEngine(now int64, z zone.Name, c target.Class, r target.Role) {
	sim.add(now, target.Target{
		ID: target.ID(fmt.Sprintf("engine-%d", len(sim.engines))), Kind: target.Engine, Class: c,
		Pool: sim.deployment.pool.Name, Zone: z,
	}, r)
}

// add adds a target to the fleet.
func (sim *simulation) add(now int64, t target.Target, r target.Role) {
	e := &engine{target: t, rate: sim.scenario.prefillRate(), role: r, boot: uint64(len(sim.engines) + 1), cache: map[uint64]int64{}, joinedAt: now}
	sim.engines = append(sim.engines, e)
	sim.byID[t.ID] = e
	sim.reports = append(sim.reports, nil)
}

// run simulates the trace until all requests have ended, or until drainTime
// after its end.
func (sim *simulation) run() {
	end := int64((sim.scenario.length)*float64(time.Second)) + int64(drainTime)
	for now := int64(0); now < end && (sim.unfinished > 0 || sim.nextRequest < len(sim.requests)); now += int64(tick) {
		sim.terminateReclaimed(now)
		sim.deliverReports(now)
		if now%int64(planInterval) == 0 && now > 0 {
			sim.plan(now)
		}
		for sim.nextRequest < len(sim.requests) && sim.requests[sim.nextRequest].at <= now {
			r := sim.requests[sim.nextRequest]
			sim.gateways[r.gateway].receive(now, sim, r)
			sim.nextRequest++
		}
		for _, g := range sim.gateways {
			g.dispatch(now, sim)
		}
		for _, e := range sim.engines {
			e.step(now, sim)
		}
	}
}

// timeAt converts nanoseconds from the start of the run to a virtual time.
func timeAt(now int64) time.Time {
	return epoch.Add(time.Duration(now))
}

// terminateReclaimed gives notice to the reclaimable targets of a zone when the
// scenario says so, ends targets whose notice has run out, and removes released
// targets once they are idle and gateways have seen that they leave.
func (sim *simulation) terminateReclaimed(now int64) {
	if sim.scenario.reclaimAt > 0 && now == int64(sim.scenario.reclaimAt*float64(time.Second)) {
		lostZone := sim.deployment.zones[sim.zoneWithMostReclaimable()]
		for _, e := range sim.engines {
			if isReclaimable(e) && !e.ended && e.target.Zone == lostZone {
				e.noticeAt, e.terminatesAt = now, now+int64(reclaimNotice)
			}
		}
	}
	for _, e := range sim.engines {
		if e.terminatesAt > 0 && !e.ended && now >= e.terminatesAt {
			sim.terminate(now, e)
		}
		if e.releasing && !e.ended && e.idle() && now >= e.noticeAt+2*int64(hostListDelay) {
			e.ended, e.endedAt = true, now
		}
	}
}

// zoneWithMostReclaimable returns the index of the zone with the most
// reclaimable targets.
func (sim *simulation) zoneWithMostReclaimable() int {
	counts := make([]int, len(sim.deployment.zones))
	most := 0
	for i, z := range sim.deployment.zones {
		for _, e := range sim.engines {
			if isReclaimable(e) && !e.ended && e.target.Zone == z {
				counts[i]++
			}
		}
		if counts[i] > counts[most] {
			most = i
		}
	}
	return most
}

// terminate ends a target. Its requests are retried on other targets.
func (sim *simulation) terminate(now int64, e *engine) {
	e.ended, e.endedAt = true, now
	for _, jobs := range [][]*job{e.waiting, e.prefills, e.running} {
		for _, j := range jobs {
			sim.retryElsewhere(now, j.r)
		}
	}
	e.waiting, e.prefills, e.running = nil, nil, nil
}

// retryElsewhere retries a request that lost its target, or abandons it when no
// other target is available.
func (sim *simulation) retryElsewhere(now int64, r *request) {
	r.interrupted = true
	if r.prefill != nil && r.engine != nil {
		r.engine.pendingDecodes--
	}
	r.prefill = nil
	g := sim.gateways[r.gateway]
	g.picker.done(timeAt(now), &r.choice, true)
	if !sim.send(now, g, r) {
		g.finishTicket(now, r)
		sim.abandon(now, r)
	}
}

// send chooses targets for a request and sends it. It returns false when no
// target is eligible or no attempt is left.
func (sim *simulation) send(now int64, g *gateway, r *request) bool {
	q := sim.deployment.routingRequest(r)
	for r.attempts < maxAttempts {
		c, ok := g.picker.choose(timeAt(now), &q)
		if !ok {
			return false
		}
		r.attempts++
		if sim.placeOn(now, r, &c) {
			r.choice, r.sent, r.sentAt = c, true, now
			return true
		}
		g.picker.done(timeAt(now), &c, true)
	}
	return false
}

// placeOn sends an attempt to the chosen targets. It returns false when one of
// them has ended. After a first token the attempt also prefills the tokens that
// were already generated.
func (sim *simulation) placeOn(now int64, r *request, c *choice) bool {
	decode := sim.byID[c.Target.ID]
	prefill := decode
	if c.Prefill != nil {
		prefill = sim.byID[c.Prefill.ID]
	}
	if decode.ended || prefill.ended {
		return false
	}
	r.engine, r.prefill = decode, nil
	r.ranReclaimable = r.ranReclaimable || isReclaimable(decode) || isReclaimable(prefill)
	j := &job{r: r, prefill: float64(r.prompt)}
	if r.firstAt > 0 {
		j.prefill += float64(r.output) - r.left
	}
	if prefill != decode {
		j.decodeEngine, r.prefill = decode, prefill
		decode.pendingDecodes++
	}
	prefill.enqueue(now, j)
	return true
}

// startDecode moves a request whose prefill has ended to its decode engine, or
// retries it if that engine has ended.
func (sim *simulation) startDecode(now int64, j *job) {
	r := j.r
	r.prefill = nil
	sim.gateways[r.gateway].picker.prefilled(timeAt(now), &r.choice)
	j.decodeEngine.pendingDecodes--
	if j.decodeEngine.ended {
		sim.retryElsewhere(now, r)
		return
	}
	arrives := now + int64(transferTime) + int64(r.prompt)*int64(transferPerToken)
	j.decodeEngine.waiting = append(j.decodeEngine.waiting, &job{r: r, kvPieces: j.kvPieces, readyAt: arrives})
}

// firstToken records a request's first token and reports it to admission.
func (sim *simulation) firstToken(now int64, r *request) {
	if r.firstAt > 0 {
		return
	}
	r.firstAt = now
	r.left = max(0, r.left-1)
	if !r.service {
		sim.gateways[r.gateway].admission.FirstToken(timeAt(now), r.ticket)
	}
}

// finished records that a request has ended with all its tokens.
func (sim *simulation) finished(now int64, r *request) {
	r.doneAt = now
	sim.unfinished--
	g := sim.gateways[r.gateway]
	g.picker.done(timeAt(now), &r.choice, false)
	g.finishTicket(now, r)
}

// refuse records that a request is refused without having been sent.
func (sim *simulation) refuse(_ int64, r *request) {
	invariant.Check(!r.sent, "bench_refusal_true", "a request that was sent is refused as not run")
	r.refused = true
	sim.unfinished--
}

// abandon records that a request that was sent has failed.
func (sim *simulation) abandon(_ int64, _ *request) {
	sim.unfinished--
}

// state returns the state of a target in the platform's host list, which shows
// changes after hostListDelay.
func (e *engine) state(now int64) provider.HostState {
	lag := int64(hostListDelay)
	switch {
	case e.ended && now >= e.endedAt+lag:
		return provider.Gone
	case e.noticeAt > 0 && now >= e.noticeAt+lag:
		return provider.Leaving
	default:
		return provider.Live
	}
}

// targetState returns a target's entry in a gateway's view, with the given
// report.
func (e *engine) targetState(now int64, report target.Report) control.TargetState {
	return control.TargetState{
		Target: e.target, State: e.state(now), Cordoned: e.changingTo != "", Report: report,
	}
}

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

// Constants of the world's delays.
const (
	reportEvery = 500 * time.Millisecond // an engine's load is read this often
	reportLag   = 250 * time.Millisecond // from the reading to a gateway
	planEvery   = time.Second
	hostListLag = time.Second      // of the platform's list
	notice      = 5 * time.Second  // before a reclaimable target goes
	purchase    = 45 * time.Second // until a bought target serves
	runOut      = 60 * time.Second // after the last arrival
)

// epoch is the virtual time at the start of a run.
var epoch = time.Unix(1_000_000_000, 0)

// world is one run: a trace, a policy and the fake fleet.
type world struct {
	d        *deployment
	s        *scenario
	policy   *Policy
	requests []*request
	next     int
	engines  []*engine
	byID     map[target.ID]*engine
	reports  [][]stamped // by engine, oldest first
	gateways []*gateway
	pickers  []picker
	planner  *placement.Planner
	spender  *spending.Planner
	simple   threshold

	arriving    []arriving
	bought      int
	roleChanges int
	open        int // requests not ended
}

// arriving is a bought target on its way.
type arriving struct {
	at    int64
	zone  zone.Name
	class target.Class
}

// stamped is a report on its way.
type stamped struct {
	at     int64
	report target.Report
}

// newWorld sets a run up.
func newWorld(d *deployment, s *scenario, p *Policy, seed uint64) *world {
	w := &world{
		d: d, s: s, policy: p, requests: trace(d, s, seed), byID: map[target.ID]*engine{},
		planner: placement.New(placement.DefaultSettings()),
		spender: spending.New(spending.DefaultSettings()),
	}
	w.open = len(w.requests)
	w.addFleet()
	for i := range s.gateways {
		if i == 0 || !p.exact {
			home := zone.Zone{Name: d.zones[i%len(d.zones)], Region: "region"}
			w.pickers = append(w.pickers, p.pick(home, seed*1000+uint64(i)))
		}
		w.gateways = append(w.gateways, newGateway(w.pickers[len(w.pickers)-1], d))
	}
	return w
}

// addFleet adds the targets of the start, spread over the zones.
func (w *world) addFleet() {
	prefill := 0
	total := w.d.reserved + w.d.cheap
	for i := range total {
		class := target.Reserved
		if i >= w.d.reserved {
			class = target.Reclaimable
		}
		role := target.Decode
		if prefill*total < w.d.prefill*(i+1) {
			role = target.Prefill
			prefill++
		}
		if w.policy.roles == allMixed {
			role = target.Mixed
		}
		w.addEngine(0, w.d.zones[i%len(w.d.zones)], class, role)
	}
	for i := range w.d.services {
		w.add(0, target.Target{
			ID: target.ID(fmt.Sprintf("%s-%d", w.d.service, i)), Kind: target.Service, Class: target.Reserved,
			Pool: w.d.service, Zone: w.d.zones[i%len(w.d.zones)],
		}, "")
	}
}

// addEngine adds an engine of the pool.
func (w *world) addEngine(now int64, z zone.Name, c target.Class, r target.Role) {
	w.add(now, target.Target{
		ID: target.ID(fmt.Sprintf("engine-%d", len(w.engines))), Kind: target.Engine, Class: c,
		Pool: w.d.pool.Name, Zone: z,
	}, r)
}

// add adds a target.
func (w *world) add(now int64, t target.Target, r target.Role) {
	e := &engine{target: t, rate: w.s.prefillRate(), role: r, boot: uint64(len(w.engines) + 1), cache: map[uint64]int64{}, joinedAt: now}
	w.engines = append(w.engines, e)
	w.byID[t.ID] = e
	w.reports = append(w.reports, nil)
}

// run runs the trace to its end.
func (w *world) run() {
	end := int64((w.s.length)*float64(time.Second)) + int64(runOut)
	for now := int64(0); now < end && (w.open > 0 || w.next < len(w.requests)); now += int64(tick) {
		w.fleet(now)
		w.observe(now)
		if now%int64(planEvery) == 0 && now > 0 {
			w.plan(now)
		}
		for w.next < len(w.requests) && w.requests[w.next].at <= now {
			r := w.requests[w.next]
			w.gateways[r.gateway].arrive(now, w, r)
			w.next++
		}
		for _, g := range w.gateways {
			g.dispatch(now, w)
		}
		for _, e := range w.engines {
			e.step(now, w)
		}
	}
}

// at converts a virtual time.
func at(now int64) time.Time {
	return epoch.Add(time.Duration(now))
}

// fleet takes reclaimable targets away.
func (w *world) fleet(now int64) {
	if w.s.reclaim > 0 && now == int64(w.s.reclaim*float64(time.Second)) {
		lost := w.d.zones[w.worstZone()]
		for _, e := range w.engines {
			if cheapTarget(e) && !e.dead && e.target.Zone == lost {
				e.noticedAt, e.leavesAt = now, now+int64(notice)
			}
		}
	}
	for _, e := range w.engines {
		if e.leavesAt > 0 && !e.dead && now >= e.leavesAt {
			w.kill(now, e)
		}
		if e.releasing && !e.dead && e.empty() && now >= e.noticedAt+2*int64(hostListLag) {
			e.dead, e.leftAt = true, now
		}
	}
}

// worstZone is the zone with the most reclaimable targets.
func (w *world) worstZone() int {
	counts := make([]int, len(w.d.zones))
	best := 0
	for i, z := range w.d.zones {
		for _, e := range w.engines {
			if cheapTarget(e) && !e.dead && e.target.Zone == z {
				counts[i]++
			}
		}
		if counts[i] > counts[best] {
			best = i
		}
	}
	return best
}

// kill ends a target; what it had begun goes on elsewhere.
func (w *world) kill(now int64, e *engine) {
	e.dead, e.leftAt = true, now
	for _, jobs := range [][]*job{e.waiting, e.prefills, e.running} {
		for _, j := range jobs {
			w.cut(now, j.r)
		}
	}
	e.waiting, e.prefills, e.running = nil, nil, nil
}

// cut sends a request that lost its target on elsewhere.
func (w *world) cut(now int64, r *request) {
	r.harmed = true
	if r.prefill != nil && r.engine != nil {
		r.engine.promised--
	}
	r.prefill = nil
	g := w.gateways[r.gateway]
	g.picker.done(at(now), &r.choice, true)
	if !w.send(now, g, r) {
		g.leave(now, r)
		w.abandon(now, r)
	}
}

// send chooses targets for a request and sends it. It returns false when no
// target comes into question.
func (w *world) send(now int64, g *gateway, r *request) bool {
	q := w.d.request(r)
	for r.attempts < maxAttempts {
		c, ok := g.picker.choose(at(now), &q)
		if !ok {
			return false
		}
		r.attempts++
		if w.place(now, r, &c) {
			r.choice, r.sent, r.sentAt = c, true, now
			return true
		}
		g.picker.done(at(now), &c, true)
	}
	return false
}

// place puts a request on its targets; one that is gone refuses it.
func (w *world) place(now int64, r *request, c *choice) bool {
	decode := w.byID[c.Target.ID]
	first := decode
	if c.Prefill != nil {
		first = w.byID[c.Prefill.ID]
	}
	if decode.dead || first.dead {
		return false
	}
	r.engine, r.prefill = decode, nil
	r.cheap = r.cheap || cheapTarget(decode) || cheapTarget(first)
	j := &job{r: r, prefill: float64(r.prompt)}
	if r.firstAt > 0 {
		j.prefill += float64(r.output) - r.left
	}
	if first != decode {
		j.handsTo, r.prefill = decode, first
		decode.promised++
	}
	first.accept(now, j)
	return true
}

// handOver moves a request to its decode engine.
func (w *world) handOver(now int64, j *job) {
	r := j.r
	r.prefill = nil
	w.gateways[r.gateway].picker.prefilled(at(now), &r.choice)
	j.handsTo.promised--
	if j.handsTo.dead {
		w.cut(now, r)
		return
	}
	arrives := now + int64(transferTime) + int64(r.prompt)*int64(transferPerToken)
	j.handsTo.waiting = append(j.handsTo.waiting, &job{r: r, pieces: j.pieces, ready: arrives})
}

// firstToken notes a request's first token.
func (w *world) firstToken(now int64, r *request) {
	if r.firstAt > 0 {
		return
	}
	r.firstAt = now
	r.left = max(0, r.left-1)
	if !r.service {
		w.gateways[r.gateway].admission.FirstToken(at(now), r.ticket)
	}
}

// finished notes the end of a request.
func (w *world) finished(now int64, r *request) {
	r.doneAt = now
	w.open--
	g := w.gateways[r.gateway]
	g.picker.done(at(now), &r.choice, false)
	g.leave(now, r)
}

// refuse refuses a request unrun.
func (w *world) refuse(_ int64, r *request) {
	invariant.Check(!r.sent, "bench_refusal_true", "a request that was sent is refused as not run")
	r.refused = true
	w.open--
}

// abandon gives up on a request that was sent.
func (w *world) abandon(_ int64, _ *request) {
	w.open--
}

// state is what the platform's list says of a target.
func (e *engine) state(now int64) provider.HostState {
	lag := int64(hostListLag)
	switch {
	case e.dead && now >= e.leftAt+lag:
		return provider.Gone
	case e.noticedAt > 0 && now >= e.noticedAt+lag:
		return provider.Leaving
	default:
		return provider.Live
	}
}

// row is what a gateway sees of a target, with the given report.
func (e *engine) row(now int64, r target.Report) control.TargetState {
	return control.TargetState{
		Target: e.target, State: e.state(now), Cordoned: e.changingTo != "", Report: r,
	}
}

// Package routing chooses the targets of requests by load, KV cache affinity and distance. It
// does no I/O: callers pass in the time and a seed, and report what was sent and how it ended.
package routing

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"zinniapin/control"
	"zinniapin/invariant"
	"zinniapin/target"
	"zinniapin/zone"
)

// Request describes a request to be routed.
type Request struct {
	Pool         string // pool of engines, or name of the plain service
	Model        string // empty for plain services
	Affinity     uint64 // hash of organisation, model and leading prompt pieces; 0 for none
	PromptTokens int
	OutputTokens int // expected
	Priority     int
	StableOnly   bool        // use no reclaimable targets
	Exclude      []target.ID // targets already tried
}

// Reason says why a target was chosen.
type Reason string

// Reasons for a choice.
const (
	ReasonAffinity Reason = "affinity" // the KV cache is likely to hold the prefix
	ReasonLoad     Reason = "load"     // lowest cost
	ReasonOnly     Reason = "only"     // no other candidate
	ReasonProbe    Reason = "probe"    // the target has failed and not succeeded since
)

// Choice is where a request goes. Every choice must be given back to Done.
type Choice struct {
	// Target runs the request, or its decode phase when Prefill is set.
	Target target.Target
	// Prefill runs the prefill phase on another engine. It is nil if Target runs the whole
	// request.
	Prefill *target.Target
	// Expected is the expected time to the first token.
	Expected   time.Duration
	Reason     Reason
	Candidates int // number of eligible targets, or the size of the group if it was sampled
	// Batch is the estimated number of requests at the target. BatchLimit is the number up to
	// which output tokens come in time, 0 if unknown.
	Batch, BatchLimit int
	// ReportAge is the age of the load report of the target, 0 if it has none.
	ReportAge time.Duration
	// RunnerUpExpected is the expected time to the first token at the other target of the
	// final comparison, 0 if there was none.
	RunnerUpExpected time.Duration

	engine  *engine // nil once the choice has been given back
	prefill *engine // nil once the prefill phase has ended
	sentAt  int64   // Unix time, nanoseconds
	cost    float64 // seconds
}

// Router chooses targets for one gateway. It is not safe for concurrent use.
type Router struct {
	home    zone.Zone
	random  *rand.Rand
	engines map[target.ID]*engine
	pools   map[string]*pool
	hasView bool // a view with targets was observed
}

// New returns a router for a gateway in the home zone. The seed makes its random draws
// reproducible.
func New(home zone.Zone, seed uint64) *Router {
	return &Router{
		home:    home,
		random:  rand.New(rand.NewPCG(seed, xxhash.Sum64String(string(home.Name)))),
		engines: map[target.ID]*engine{},
		pools:   map[string]*pool{},
	}
}

// Observe replaces the view of targets. The function zones looks up the region of a zone.
// Targets that are missing from the view are kept until their requests have ended.
func (r *Router) Observe(now time.Time, view []control.TargetState, zones func(zone.Name) (zone.Zone, bool)) {
	for _, e := range r.engines {
		e.inView = false
	}
	for _, p := range r.pools {
		p.reset()
	}
	for i := range view {
		e := r.engine(now, &view[i], zones)
		e.update(&view[i])
		e.inView = true
		r.pool(view[i].Target.Pool).add(e)
	}
	for id, e := range r.engines {
		if !e.inView && e.inflight == 0 {
			delete(r.engines, id)
		}
	}
	for name, p := range r.pools {
		if len(p.engines) == 0 {
			delete(r.pools, name)
			continue
		}
		p.index()
	}
	r.hasView = r.hasView || len(view) > 0
}

// engine returns the state of a target, which it creates if needed. A target that appears
// after the first view is subject to slow start.
func (r *Router) engine(now time.Time, s *control.TargetState, zones func(zone.Name) (zone.Zone, bool)) *engine {
	e := r.engines[s.Target.ID]
	if e == nil {
		e = newEngine(s.Target.ID)
		if r.hasView {
			e.joinedAt = now.UnixNano()
		}
		r.engines[s.Target.ID] = e
	}
	e.distance = r.distance(s.Target.Zone, zones)
	return e
}

// distance returns the distance of a zone from the home zone. An unknown zone counts as one in
// another region.
func (r *Router) distance(name zone.Name, zones func(zone.Name) (zone.Zone, bool)) zone.Distance {
	if name == r.home.Name {
		return zone.SameZone
	}
	if zones != nil {
		if z, ok := zones(name); ok {
			return zone.Between(r.home, z)
		}
	}
	return zone.OtherRegion
}

// pool returns the index of a pool, which it creates if needed.
func (r *Router) pool(name string) *pool {
	p := r.pools[name]
	if p == nil {
		p = &pool{models: map[string]uint64{}}
		r.pools[name] = p
	}
	return p
}

// Choose chooses the targets of a request and counts it as in progress there. It returns false
// if the pool has no candidate.
func (r *Router) Choose(now time.Time, q *Request) (Choice, bool) {
	p := r.pools[q.Pool]
	if p == nil {
		return Choice{}, false
	}
	at := now.UnixNano()
	for _, need := range requirementTiers {
		if c, ok := p.choose(at, q, need, r.random); ok {
			c.countSent(q)
			return c, true
		}
	}
	return Choice{}, false
}

// countSent counts the request as in progress at the chosen targets.
func (c *Choice) countSent(q *Request) {
	e := c.engine
	if e.failures > 0 {
		e.probing = true
		c.Reason = ReasonProbe
	}
	if c.prefill == nil {
		e.countSent(c.sentAt, q.PromptTokens)
		return
	}
	e.countSent(c.sentAt, 0)
	c.prefill.countSent(c.sentAt, q.PromptTokens)
}

// PrefillDone records that the prefill phase of a choice has succeeded. It does nothing if
// there was none.
func (r *Router) PrefillDone(now time.Time, c *Choice) {
	if c.prefill == nil {
		return
	}
	c.prefill.countEnded(c.sentAt)
	c.prefill.recordSuccess(now.UnixNano() - c.sentAt)
	c.prefill = nil
}

// Done records that a choice has ended and whether its target failed. A failure before
// PrefillDone counts against the prefill engine only.
func (r *Router) Done(now time.Time, c *Choice, failed bool) {
	e := c.engine
	if e == nil {
		return
	}
	if e.inflight <= 0 {
		invariant.Check(false, "routing_inflight", "target %s: more requests ended than were sent", e.target.ID)
		return
	}
	c.engine = nil
	e.countEnded(c.sentAt)
	e.probing = false
	if c.prefill != nil {
		c.prefill.countEnded(c.sentAt)
		c.prefill.probing = false
		if failed {
			c.prefill.recordFailure(now.UnixNano())
		}
		c.prefill = nil
		return
	}
	if failed {
		e.recordFailure(now.UnixNano())
		return
	}
	e.recordSuccess(now.UnixNano() - c.sentAt)
}

// InFlight returns the number of this gateway's requests in progress at a target.
func (r *Router) InFlight(id target.ID) int {
	if e := r.engines[id]; e != nil {
		return e.inflight
	}
	return 0
}

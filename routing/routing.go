// Package routing chooses the targets of requests. It does no I/O: time and
// seed come in, and the caller tells it what was sent and what came back.
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

// Request is what routing needs to know of a request.
type Request struct {
	Pool         string // pool of engines, or name of the service
	Model        string // empty for plain services
	Affinity     uint64 // hash of organisation, model and leading prompt pieces
	PromptTokens int
	OutputTokens int // expected
	Priority     int
	StableOnly   bool        // keep off reclaimable targets
	Exclude      []target.ID // targets already tried
}

// Reason says why a target was chosen.
type Reason string

// Reasons of choices.
const (
	ReasonAffinity Reason = "affinity" // the prefix's own target
	ReasonLoad     Reason = "load"     // the least expected wait
	ReasonOnly     Reason = "only"     // no other candidate
	ReasonProbe    Reason = "probe"    // a target coming back from failures
)

// Choice is where a request goes. It must be given back to Done.
type Choice struct {
	// Target runs the request, or its decode phase when Prefill is set.
	Target target.Target
	// Prefill runs the prefill phase on another engine; nil for PhaseWhole.
	Prefill *target.Target
	// Expected is the expected time to the first token.
	Expected   time.Duration
	Reason     Reason
	Candidates int // number of targets that came into question
	// Batch and BatchLimit are the estimated requests at the target and the
	// number up to which tokens come in time.
	Batch, BatchLimit int
	// ReportAge is the age of the target's report, 0 when it has none.
	ReportAge time.Duration
	// Runner-up: the expected time to the first token of the other target
	// that was compared, 0 when there was none.
	RunnerUpExpected time.Duration

	engine  *engine
	prefill *engine // nil once the prefill phase is over
	sentAt  int64   // Unix time, nanoseconds
	cost    float64 // seconds
}

// Router chooses targets for one gateway. It is not safe for concurrent use.
type Router struct {
	home    zone.Zone
	random  *rand.Rand
	engines map[target.ID]*engine
	pools   map[string]*pool
	started bool
}

// New returns a router for a gateway in the home zone. The seed breaks ties.
func New(home zone.Zone, seed uint64) *Router {
	return &Router{
		home:    home,
		random:  rand.New(rand.NewPCG(seed, xxhash.Sum64String(string(home.Name)))),
		engines: map[target.ID]*engine{},
		pools:   map[string]*pool{},
	}
}

// Observe replaces the view of targets. The zones map tells regions.
func (r *Router) Observe(now time.Time, view []control.TargetState, zones func(zone.Name) (zone.Zone, bool)) {
	for _, e := range r.engines {
		e.listed = false
	}
	for _, p := range r.pools {
		p.reset()
	}
	for i := range view {
		e := r.engine(now, &view[i], zones)
		e.observe(&view[i])
		e.listed = true
		r.pool(view[i].Target.Pool).add(e)
	}
	for id, e := range r.engines {
		if !e.listed && e.inflight == 0 {
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
	r.started = r.started || len(view) > 0
}

// engine returns the record of a target. One that joins a running fleet
// starts slowly.
func (r *Router) engine(now time.Time, s *control.TargetState, zones func(zone.Name) (zone.Zone, bool)) *engine {
	e := r.engines[s.Target.ID]
	if e == nil {
		e = newEngine(s.Target.ID)
		if r.started {
			e.joined = now.UnixNano()
		}
		r.engines[s.Target.ID] = e
	}
	e.distance = r.distance(s.Target.Zone, zones)
	return e
}

// distance returns how far a zone is from home.
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

// pool returns the index of a pool.
func (r *Router) pool(name string) *pool {
	p := r.pools[name]
	if p == nil {
		p = &pool{models: map[string]uint64{}}
		r.pools[name] = p
	}
	return p
}

// Choose picks the targets of a request and counts it as in flight there. It
// returns false when no target comes into question.
func (r *Router) Choose(now time.Time, q *Request) (Choice, bool) {
	p := r.pools[q.Pool]
	if p == nil {
		return Choice{}, false
	}
	at := now.UnixNano()
	for _, need := range tiers {
		if c, ok := p.choose(at, q, need, r.random); ok {
			c.start(q)
			return c, true
		}
	}
	return Choice{}, false
}

// start counts the choice as in flight.
func (c *Choice) start(q *Request) {
	e := c.engine
	if e.failures > 0 {
		e.probing = true
		c.Reason = ReasonProbe
	}
	if c.prefill == nil {
		e.sent(c.sentAt, q.PromptTokens)
		return
	}
	e.sent(c.sentAt, 0)
	c.prefill.sent(c.sentAt, q.PromptTokens)
}

// PrefillDone tells that the prefill phase of a choice is over.
func (r *Router) PrefillDone(now time.Time, c *Choice) {
	if c.prefill == nil {
		return
	}
	c.prefill.ended(c.sentAt)
	c.prefill.succeeded(now.UnixNano() - c.sentAt)
	c.prefill = nil
}

// Done tells that a choice has ended, and whether its target failed it. When
// the prefill phase is not over, a failure is the prefill engine's.
func (r *Router) Done(now time.Time, c *Choice, failed bool) {
	e := c.engine
	if e == nil {
		return
	}
	if e.inflight <= 0 {
		invariant.Check(false, "routing_inflight", "target %s: more requests ended than began", e.target.ID)
		return
	}
	c.engine = nil
	e.ended(c.sentAt)
	e.probing = false
	if c.prefill != nil {
		c.prefill.ended(c.sentAt)
		c.prefill.probing = false
		if failed {
			c.prefill.failed(now.UnixNano())
		}
		c.prefill = nil
		return
	}
	if failed {
		e.failed(now.UnixNano())
		return
	}
	e.succeeded(now.UnixNano() - c.sentAt)
}

// InFlight returns the number of this gateway's requests on a target.
func (r *Router) InFlight(id target.ID) int {
	if e := r.engines[id]; e != nil {
		return e.inflight
	}
	return 0
}

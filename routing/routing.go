// Package routing chooses the targets of requests. It does no I/O: time and
// seed come in, and the caller tells it what was sent and what came back.
package routing

import (
	"time"

	"zinniapin/control"
	"zinniapin/platform"
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

	promptTokens int
}

// Router chooses targets for one gateway. It is not safe for concurrent use.
type Router struct {
	home     zone.Zone
	view     []control.TargetState
	inflight map[target.ID]int
}

// New returns a router for a gateway in the home zone. The seed breaks ties.
func New(home zone.Zone, seed uint64) *Router {
	_ = seed
	return &Router{home: home, inflight: map[target.ID]int{}}
}

// Observe replaces the view of targets. The zones map tells regions.
func (r *Router) Observe(now time.Time, view []control.TargetState, zones func(zone.Name) (zone.Zone, bool)) {
	_, _ = now, zones
	r.view = view
}

// Choose picks the targets of a request and counts it as in flight there. It
// returns false when no target comes into question.
func (r *Router) Choose(now time.Time, q *Request) (Choice, bool) {
	_ = now
	best := -1
	for i := range r.view {
		if !r.eligible(&r.view[i], q) {
			continue
		}
		if best < 0 || r.load(i) < r.load(best) {
			best = i
		}
	}
	if best < 0 {
		return Choice{}, false
	}
	t := r.view[best].Target
	r.inflight[t.ID]++
	return Choice{Target: t, Reason: ReasonLoad, Candidates: len(r.view), promptTokens: q.PromptTokens}, true
}

// Prefilled tells that the prefill phase of a choice is over.
func (r *Router) Prefilled(now time.Time, c *Choice) {
	_, _ = now, c
}

// Done tells that a choice has ended, and whether its target failed it.
func (r *Router) Done(now time.Time, c *Choice, failed bool) {
	_, _ = now, failed
	r.inflight[c.Target.ID]--
}

// load is the number of requests at a target.
func (r *Router) load(i int) int {
	s := &r.view[i]
	return s.Report.Running + s.Report.Waiting + r.inflight[s.Target.ID]
}

// eligible tells whether a target comes into question.
func (r *Router) eligible(s *control.TargetState, q *Request) bool {
	if s.State != platform.Live || s.Cordoned || s.Target.Pool != q.Pool {
		return false
	}
	for _, id := range q.Exclude {
		if id == s.Target.ID {
			return false
		}
	}
	return !q.StableOnly || s.Target.Class != target.Reclaimable
}

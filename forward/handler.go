// Package forward takes the requests of callers to targets. It decides with
// packages route, dispatch and retrybudget, sends with package upstream, and
// computes from what was sent what is known of a request that fails: "not run"
// is never set by hand.
package forward

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"zinniapin/dispatch"
	"zinniapin/ingress"
	"zinniapin/result"
	"zinniapin/retrybudget"
	"zinniapin/roster"
	"zinniapin/route"
	"zinniapin/target"
	"zinniapin/upstream"
)

// View is what a node knows when a request comes.
type View struct {
	Table *route.Table
	// Revision is that of the list of targets.
	Revision uint64
	// Hosts is the number of hosts that may be running, this one included: they
	// share the bound of repeats, also those that are cut off.
	Hosts int
}

// Handler forwards requests. Its fields must not change once it is in use.
type Handler struct {
	Protocol Protocol
	// View returns what is known now; Table is nil before the first
	// configuration and list of targets.
	View func() View
	Pool *upstream.Pool
	// RetryBounds are the bounds of repeats.
	RetryBounds retrybudget.Bounds
	// OnRequestStarted is called when a target began a request of an organisation.
	OnRequestStarted func(organisation string)
	// OnMisdirected is called when another target answers at a target's address.
	OnMisdirected func(id target.ID)
	Metrics       *Metrics
	Log           *zerolog.Logger

	// PlannerMu guards the planner, which the node feeds as well.
	PlannerMu sync.Mutex
	Planner   *dispatch.Planner

	mu      sync.Mutex
	budgets map[string]*retrybudget.Budget
	// patience is the longest deadline of each route's callers: those with less
	// have spent some of it on an earlier attempt.
	patience map[string]time.Duration
	demand   map[string]*Demand
	started  time.Time
}

// Demand is what callers asked of a service since the last look.
type Demand struct {
	Tokens   float64
	Requests int
	Refused  int
}

// New returns a handler with its own state set up.
func New(h *Handler) *Handler {
	h.budgets = make(map[string]*retrybudget.Budget)
	h.patience = make(map[string]time.Duration)
	h.demand = make(map[string]*Demand)
	h.started = time.Now()
	return h
}

var _ ingress.Handler = (*Handler)(nil)

// request is one request of a caller on its way.
type request struct {
	h       *Handler
	in      *ingress.Request
	out     *ingress.Writer
	call    RequestInfo
	view    View
	route   *route.Route
	service *route.Service
	holder  *route.Organisation
	job     dispatch.Job
	end     time.Time // when a final answer is due

	// execution is what is known: it is Unknown from the moment that bytes of
	// an attempt were written until its target says that it did not run.
	execution result.Execution
	sent      int // arrivals at targets
	// paid is set when the next repeat was taken from the budget already.
	paid      bool
	unreached int // targets that could not be connected to
	exclude   map[target.ID]bool
	began     bool
	trail     trail
}

const (
	// notReadyRetryAfter is when to come back to a node that knows nothing yet.
	notReadyRetryAfter = 300 * time.Millisecond
	// refusedRetryAfter is when to come back after targets refused.
	refusedRetryAfter = 250 * time.Millisecond
	// answerMargin is kept for the way of an answer to its caller.
	answerMargin = 20 * time.Millisecond
	// maxUnreached bounds the targets that are tried without a connection.
	maxUnreached = 4
	// returnedShare is the share of a route's usual deadline below which a
	// caller counts as one that came back.
	returnedShare = 0.97
)

// Serve implements ingress.Handler.
func (h *Handler) Serve(ctx context.Context, in *ingress.Request, out *ingress.Writer) {
	r := &request{h: h, in: in, out: out, view: h.View(), exclude: make(map[target.ID]bool)}
	if r.admit() {
		ctx, cancel := context.WithDeadline(ctx, r.end)
		if r.job.PromptTokens > 0 && r.service.Engine != nil {
			r.generate(ctx)
		} else {
			r.forward(ctx)
		}
		cancel()
	}
	r.finish()
}

// admit reads the request and finds its route, key and service.
func (r *request) admit() bool {
	call, err := r.h.Protocol.ParseRequest(r.in.Header)
	r.call = call
	table := r.view.Table
	if table == nil {
		r.refuse(result.NodeNotReady, notReadyRetryAfter)
		return false
	}
	if r.route = table.Match(r.in.Host, r.in.Path); r.route == nil {
		r.refuse(result.NoRoute, 0)
		return false
	}
	if !r.route.Open && table.RequiresKeys() {
		if r.holder = table.OrganisationByKey(call.Key); r.holder == nil {
			r.refuse(result.NoKey, 0)
			return false
		}
	}
	if err != nil {
		r.refuse(result.BadHeader, 0)
		return false
	}
	r.service = table.SelectService(r.route, call.ID)
	r.schedule()
	return true
}

// schedule works out the times of the request and what it asks for.
func (r *request) schedule() {
	left := r.call.Deadline
	timeout := time.Duration(r.route.TimeoutMillis) * time.Millisecond
	if left == 0 || timeout > 0 && timeout < left {
		left = timeout
	}
	if left == 0 {
		left = time.Minute // neither caller nor operator says
	}
	r.end = r.in.Arrived.Add(left)
	r.job = dispatch.Job{
		Service: r.service.Name, PromptTokens: r.call.PromptTokens, Parts: r.call.PromptParts, Bytes: len(r.in.Body),
		Objective: r.objective(), TimeLeft: left, RefusedBefore: r.h.returning(r.route.Name, r.call.Deadline),
		Priority: route.Priority(r.route, r.holder), MaxEventGap: time.Duration(r.route.GapMillis) * time.Millisecond,
	}
	r.h.PlannerMu.Lock()
	r.job.Weight = r.h.Planner.PromptWeight(r.route.Name, r.call.PromptTokens)
	r.h.PlannerMu.Unlock()
	r.h.request(r.service.Name, r.call.PromptTokens)
}

// returning tells whether a caller has spent some of its usual deadline.
func (h *Handler) returning(name string, deadline time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	usual := h.patience[name]
	if deadline > usual {
		h.patience[name] = deadline
		return false
	}
	return float64(deadline) < returnedShare*float64(usual)
}

// request counts a request for a service.
func (h *Handler) request(service string, tokens int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.budget(service).CountRequest(time.Now())
	d := h.demand[service]
	if d == nil {
		d = &Demand{}
		h.demand[service] = d
	}
	d.Tokens += float64(tokens)
	d.Requests++
}

// budget returns the budget of a service. The caller holds mu.
func (h *Handler) budget(service string) *retrybudget.Budget {
	b := h.budgets[service]
	if b == nil {
		b = retrybudget.New(h.RetryBounds, h.started)
		h.budgets[service] = b
	}
	return b
}

// TakeDemand returns what callers asked for since the last call.
func (h *Handler) TakeDemand() map[string]*Demand {
	h.mu.Lock()
	defer h.mu.Unlock()
	taken := h.demand
	h.demand = make(map[string]*Demand, len(taken))
	return taken
}

// mayRepeat takes one repeat of the budget where attempts and time are left.
func (r *request) mayRepeat() bool {
	if r.sent >= max(r.route.Attempts, 1) || time.Until(r.end) < answerMargin {
		return false
	}
	if !r.authorised() {
		return false
	}
	if r.paid {
		r.paid = false
		return true
	}
	return r.h.spend(r.service.Name, r.view.Hosts)
}

// spend takes one repeat of a service from the budget where it allows one.
func (h *Handler) spend(service string, hosts int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.budget(service).Spend(time.Now(), hosts) {
		return true
	}
	h.Metrics.budgetEmpty.WithLabelValues(service).Inc()
	return false
}

// objective returns that of the request's route.
func (r *request) objective() time.Duration {
	return time.Duration(r.route.ObjectiveMillis) * time.Millisecond
}

// authorised tells whether the key still holds in the configuration in force.
func (r *request) authorised() bool {
	if r.holder == nil {
		return true
	}
	table := r.h.View().Table
	held := table.OrganisationByKey(r.call.Key)
	return held != nil && held.Name == r.holder.Name
}

// refuse answers a request that did not run, or of which no more is known.
func (r *request) refuse(code result.Code, retryAfter time.Duration) {
	r.trail.code = code
	r.trail.status = code.Definition().Status
	if r.out.Started() {
		r.out.Abort()
		return
	}
	r.out.Refuse(r.trail.status, r.h.Protocol.RefusalHeaders(r.call.ID, retryAfter))
}

// fail answers a request that no target answered, by what is known of it.
func (r *request) fail(ctx context.Context) {
	switch {
	case r.out.Started():
		r.trail.code = result.StreamCut
		r.out.Abort()
	case errors.Is(ctx.Err(), context.Canceled):
		r.trail.code = result.CallerLeft
		r.out.Abort()
	case r.execution != result.NotRun && ctx.Err() != nil:
		r.refuse(result.OutOfTime, 0)
	case r.execution != result.NotRun:
		r.refuse(result.OutcomeUnknown, 0)
	case ctx.Err() != nil:
		r.refuse(result.OutOfTimeNotRun, refusedRetryAfter)
	default:
		r.refuse(result.TargetsRefused, refusedRetryAfter)
	}
}

// plan decides where the request goes next.
func (r *request) plan() dispatch.Decision {
	r.job.TimeLeft = time.Until(r.end)
	// What failed once may have failed by its source.
	r.job.AllowFetch = len(r.trail.targets) == 0
	r.job.Objective = r.objective() - time.Since(r.in.Arrived)
	r.h.PlannerMu.Lock()
	defer r.h.PlannerMu.Unlock()
	d := r.h.Planner.Plan(time.Now(), r.job, r.exclude)
	r.trail.decision = d
	return d
}

// refuseFor answers a request that the planner refused.
func (r *request) refuseFor(ctx context.Context, d dispatch.Decision) {
	if r.execution != result.NotRun || r.sent > 0 {
		r.fail(ctx)
		return
	}
	r.h.mu.Lock()
	if demand := r.h.demand[r.service.Name]; demand != nil {
		demand.Refused++
	}
	r.h.mu.Unlock()
	code := result.TargetsBusy
	if d.Reason == dispatch.NoTarget {
		code = result.TargetsAway
	}
	r.refuse(code, d.RetryAfter)
}

// begin counts an attempt at a target.
func (r *request) begin(t roster.Target, unread int) dispatch.Ticket {
	r.trail.targets = append(r.trail.targets, string(t.ID))
	r.h.PlannerMu.Lock()
	defer r.h.PlannerMu.Unlock()
	return r.h.Planner.Begin(time.Now(), t.ID, r.job, unread)
}

// read notes that a target has processed the prompt.
func (r *request) read(t dispatch.Ticket) {
	r.h.PlannerMu.Lock()
	r.h.Planner.PrefillDone(time.Now(), t)
	r.h.PlannerMu.Unlock()
}

// ended counts the end of an attempt.
func (r *request) ended(t dispatch.Ticket, id target.ID, o dispatch.Outcome, latency time.Duration) {
	r.h.PlannerMu.Lock()
	r.h.Planner.End(t)
	r.h.Planner.Observe(time.Now(), id, o, latency)
	r.h.PlannerMu.Unlock()
}

// countBegin counts the request once for its organisation.
func (r *request) countBegin() {
	if r.began {
		return
	}
	r.began = true
	if r.holder != nil {
		r.h.OnRequestStarted(r.holder.Name)
	}
}

// outbound returns the request for a target.
func (r *request) outbound(t roster.Target, o AttemptInfo) *upstream.Request {
	o.Deadline = time.Until(r.end)
	o.TargetID = t.ID
	if r.holder != nil {
		o.Organisation = r.holder.Name
	}
	if o.LastEventID == "" {
		o.LastEventID = r.call.LastEventID
	}
	out := &upstream.Request{
		Method: r.in.Method, Target: r.in.Target, Host: r.in.Host, Body: r.in.Body,
		Header:  r.h.Protocol.AttemptHeaders(r.in.Header, o),
		HasBody: r.in.Method != http.MethodGet && r.in.Method != http.MethodHead,
	}
	if !r.route.Repeatable() {
		out.MaxIdle = freshConnection
	}
	return out
}

// freshConnection is the idle time up to which a connection carries a request
// that must not run twice: targets close connections after a second or more.
const freshConnection = 400 * time.Millisecond

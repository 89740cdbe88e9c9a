// Package forward forwards the requests of callers to targets. Packages route, dispatch and
// retrybudget decide where a request goes and whether it is retried; package upstream sends it.
// Whether a failed request may have run is always derived from what was sent and from the
// responses of the targets, so that "not run" is never reported without proof.
package forward

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"zinniapin/dispatch"
	"zinniapin/ingress"
	"zinniapin/invariant"
	"zinniapin/poison"
	"zinniapin/result"
	"zinniapin/retrybudget"
	"zinniapin/roster"
	"zinniapin/route"
	"zinniapin/target"
	"zinniapin/upstream"
)

// View is the state of the node that a request is handled with.
type View struct {
	// Table is the newest configuration that the node has; nil until it has one and a list of targets.
	Table *route.Table
	// Outdated is set while the node must not admit requests by the Table, as other hosts have a newer
	// configuration. Requests that were admitted go on.
	Outdated bool
	// Revision is the revision of the list of targets.
	Revision uint64
	// Hosts is the number of hosts that may be running, including this one and those that
	// cannot be reached. They share the retry budget.
	Hosts int
}

// Handler forwards requests. Its fields must not change once it is in use.
type Handler struct {
	Protocol Protocol
	// View returns the current state.
	View func() View
	Pool *upstream.Pool
	// Versions records and finds the software versions that began streams.
	Versions StreamVersions
	// RetryBounds are the bounds of the retry budget of each service.
	RetryBounds retrybudget.Bounds
	// OnRequestStarted is called once for a request of an organisation, when a target has started
	// to run it.
	OnRequestStarted func(organisation string)
	// OnMisdirected is called when another target responds at the address of the target id.
	OnMisdirected func(id target.ID)
	// Limits admits the requests of organisations with a limit; nil means that there are no limits.
	Limits Limits
	// Crashes keeps requests from targets that would crash them.
	Crashes *CrashGuard
	Metrics *Metrics
	Log     *zerolog.Logger

	// PlannerMu guards Planner, which the node updates as well.
	PlannerMu sync.Mutex
	Planner   *dispatch.Planner

	moves moveRegistry

	stop      atomic.Pointer[stopTimes] // nil unless a stop is planned
	stopped   context.Context           // ends with errHostStops at the end of a planned stop
	cancelAll context.CancelCauseFunc   // of stopped

	mu      sync.Mutex                     // guards the fields below
	budgets map[string]*retrybudget.Budget // by service
	// longestDeadlines holds the longest deadline of any caller by route. A caller with a shorter
	// one has probably spent time on an earlier attempt.
	longestDeadlines map[string]time.Duration
	demand           map[string]*Demand // by service
	started          time.Time          // when the handler was created
}

// Demand counts the requests for a service since the last call of TakeDemand.
type Demand struct {
	Tokens   float64 // prompt tokens
	Requests int
	Refused  int // requests that the planner refused
}

// New initialises the internal state of h and returns h.
func New(h *Handler) *Handler {
	h.budgets = make(map[string]*retrybudget.Budget)
	h.longestDeadlines = make(map[string]time.Duration)
	h.demand = make(map[string]*Demand)
	h.started = time.Now()
	h.stopped, h.cancelAll = context.WithCancelCause(context.Background())
	if h.Crashes == nil {
		h.Crashes = NewCrashGuard(h.Pool, time.Now, h.Log)
	}
	return h
}

var _ ingress.Handler = (*Handler)(nil)

// request is the state of one caller's request.
type request struct {
	h            *Handler
	in           *ingress.Request
	out          *ingress.Writer
	info         RequestInfo
	view         View
	route        *route.Route
	service      *route.Service
	organisation *route.Organisation
	job          dispatch.Job
	sharedParts  []poison.Part // of the prompt
	wholePart    poison.Part   // as by requestPart; 0 until it is needed
	deadline     time.Time     // when the final response is due

	tickets         []dispatch.Ticket  // of the attempts in progress; PlannerMu guards them
	sent            arrivals           // at targets
	connectFailures int                // targets that could not be connected to
	excluded        map[target.ID]bool // targets that failed and get no further attempt
	attemptWrites   int                // of events of the latest attempt to the caller
	lastEventID     string             // of the last event that the caller has
	held            *heldResponse      // the first error response of a plain service; nil if there is none
	// processed is the attempt to make once another target has processed the prompt in place of a silent one.
	processed *streamAttempt
	// stream and plain are the attempt that has begun to answer in place of a silent target.
	stream       *stream
	plain        *plainAttempt
	movesRefused map[target.ID]bool // targets that did not take the stream with the memory of its run
	moves        int                // number of attempts to hand the stream to another engine
	searching    bool               // an attempt in place of a silent target is being made
	startCounted bool               // OnRequestStarted was called
	counted      bool               // countRequest was called
	// unused are units that were taken for attempts which were not made or did not run.
	unused          []Reservation
	freshConnection bool // the next attempts use no kept connection, since one was stale
	summary         requestSummary
}

const (
	// notReadyRetryAfter is the Retry-After of a node without a configuration or list of targets.
	notReadyRetryAfter = 300 * time.Millisecond
	// refusedRetryAfter is the Retry-After when no target that was tried ran the request.
	refusedRetryAfter = 250 * time.Millisecond
	// responseMargin is the time that must be left for a retry, so that its response can still
	// reach the caller.
	responseMargin = 20 * time.Millisecond
	// maxConnectFailures bounds the failed connects of a request. They do not use up its attempts.
	maxConnectFailures = 4
	// returningShare is the share of the longest deadline of a route below which a deadline shows
	// that the caller is retrying a request.
	returningShare = 0.97
)

// Serve implements ingress.Handler.
func (h *Handler) Serve(ctx context.Context, in *ingress.Request, out *ingress.Writer) {
	r := &request{h: h, in: in, out: out, excluded: make(map[target.ID]bool)}
	defer invariant.Contain("request", r.abandon)
	r.view = h.View()
	if r.admit() {
		r.forward(ctx)
		r.refundUnits()
		if r.summary.denied == nil {
			r.count()
		}
	}
	r.logAndCount()
}

// forward forwards an admitted request and answers it.
func (r *request) forward(ctx context.Context) {
	ctx, release := r.h.withStop(ctx)
	defer release()
	ctx, cancel := context.WithDeadline(ctx, r.deadline)
	defer cancel()
	if r.job.PromptTokens > 0 && r.service.Engine != nil {
		r.forwardToEngine(ctx)
	} else {
		r.forwardToService(ctx)
	}
}

// abandon ends a request whose handling has panicked, after its attempts were cancelled. Its state may be
// inconsistent, so that the caller is told nothing of whether it ran.
func (r *request) abandon() {
	defer invariant.Contain("abandoned request", nil)
	r.endTickets()
	r.summary.code = result.Internal
	r.summary.status = r.summary.code.Definition().Status
	if r.out.Started() {
		r.out.Abort()
	} else {
		r.out.Refuse(r.summary.status, r.h.Protocol.RefusalHeaders(r.info.ID, 0))
	}
	r.logAndCount()
}

// admit decodes the request and finds its route, organisation and service. If it returns false, it
// has refused the request.
func (r *request) admit() bool {
	info, err := r.h.Protocol.ParseRequest(r.in.Header)
	r.info, r.sharedParts, r.lastEventID = info, sharedPartIDs(info.PromptParts), info.LastEventID
	table := r.view.Table
	if table == nil || r.view.Outdated {
		r.refuse(result.NodeNotReady, notReadyRetryAfter)
		return false
	}
	if r.route = table.Match(r.in.Host, r.in.Path); r.route == nil {
		r.refuse(result.NoRoute, 0)
		return false
	}
	if !r.route.Open && table.RequiresKeys() {
		if r.organisation = table.OrganisationByKey(info.Key); r.organisation == nil {
			r.refuse(result.NoKey, 0)
			return false
		}
	}
	if err != nil {
		r.refuse(result.BadHeader, 0)
		return false
	}
	origin := info.ID
	if info.LastEventID != "" && info.Resumes != "" {
		origin = info.Resumes // the stream goes on at the service that began it
	}
	r.service = table.SelectService(r.route, origin)
	r.setDeadline()
	if !r.boundByStop() {
		return false
	}
	r.prepareJob()
	return true
}

// setDeadline sets the deadline of the request.
func (r *request) setDeadline() {
	left := r.info.Deadline
	timeout := time.Duration(r.route.TimeoutMillis) * time.Millisecond
	if left == 0 || timeout > 0 && timeout < left {
		left = timeout
	}
	if left == 0 {
		left = time.Minute // neither the caller nor the route has a deadline
	}
	r.deadline = r.in.Arrived.Add(left)
}

// prepareJob sets the job that the planner places.
func (r *request) prepareJob() {
	r.job = dispatch.Job{
		Service: r.service.Name, PromptTokens: r.info.PromptTokens, Parts: r.info.PromptParts, Bytes: len(r.in.Body),
		Objective: r.objective(), TimeLeft: r.deadline.Sub(r.in.Arrived), RefusedBefore: r.h.isReturning(r.route.Name, r.info.Deadline),
		Priority: route.Priority(r.route, r.organisation), MaxEventGap: time.Duration(r.route.GapMillis) * time.Millisecond,
	}
	r.job.OutputTokens, r.job.CarefulOutputTokens = outputLength(r.info)
	r.h.withPlanner(func(p *dispatch.Planner) { r.job.Weight = p.PromptWeight(r.route.Name, r.info.PromptTokens) })
	if !r.h.limited(r.organisation) {
		r.count()
	}
}

// count counts the request for the retry budget and the demand of its service. A request that is refused for the
// limit of its organisation is not counted, since more targets would not serve it.
func (r *request) count() {
	if !r.counted {
		r.counted = true
		r.h.countRequest(r.service.Name, r.info.PromptTokens)
	}
}

// isReturning tells whether a caller seems to be retrying a request: its deadline is below
// returningShare of the longest deadline on the route, since a retry has less time left.
func (h *Handler) isReturning(routeName string, deadline time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	longest := h.longestDeadlines[routeName]
	if deadline > longest {
		h.longestDeadlines[routeName] = deadline
		return false
	}
	return float64(deadline) < returningShare*float64(longest)
}

// longestDeadline returns the longest time for which callers on a route have said that they wait.
func (h *Handler) longestDeadline(routeName string) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.longestDeadlines[routeName]
}

// countRequest counts a request for the retry budget and the demand of a service.
func (h *Handler) countRequest(service string, tokens int) {
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

// budget returns the retry budget of a service. The caller holds h.mu.
func (h *Handler) budget(service string) *retrybudget.Budget {
	b := h.budgets[service]
	if b == nil {
		b = retrybudget.New(h.RetryBounds, h.started)
		h.budgets[service] = b
	}
	return b
}

// TakeDemand returns the demand by service since the last call and resets it.
func (h *Handler) TakeDemand() map[string]*Demand {
	h.mu.Lock()
	defer h.mu.Unlock()
	taken := h.demand
	h.demand = make(map[string]*Demand, len(taken))
	return taken
}

// objective returns the latency objective of the request's route.
func (r *request) objective() time.Duration {
	return time.Duration(r.route.ObjectiveMillis) * time.Millisecond
}

// keyStillValid tells whether the current configuration still gives the key of the request to the
// same organisation.
func (r *request) keyStillValid() bool {
	return r.organisation == nil || r.currentOrganisation() != nil
}

// currentOrganisation returns the organisation of the request as the newest configuration of the node has it, nil if
// that no longer gives it the key.
func (r *request) currentOrganisation() *route.Organisation {
	table := r.h.View().Table
	if table == nil {
		table = r.view.Table // by which the request was admitted
	}
	if current := table.OrganisationByKey(r.info.Key); current != nil && current.Name == r.organisation.Name {
		return current
	}
	return nil
}

// countStart reports the start of the request to OnRequestStarted, once for each request.
func (r *request) countStart() {
	if r.startCounted {
		return
	}
	r.startCounted = true
	if r.organisation != nil {
		r.h.OnRequestStarted(r.organisation.Name)
	}
}

// targetRequest returns the request to send to a target.
func (r *request) targetRequest(t roster.Target, o AttemptInfo) *upstream.Request {
	o.Deadline = time.Until(r.deadline)
	o.TargetID = t.ID
	if r.organisation != nil {
		o.Organisation = r.organisation.Name
	}
	if o.LastEventID == "" {
		o.LastEventID = r.info.LastEventID
	}
	out := &upstream.Request{
		Method: r.in.Method, Target: r.in.Target, Host: r.in.Host, Body: r.in.Body,
		Header:  r.h.Protocol.AttemptHeaders(r.in.Header, o),
		Fresh:   r.freshConnection,
		HasBody: r.in.Method != http.MethodGet && r.in.Method != http.MethodHead,
	}
	if !r.route.Repeatable() {
		out.MaxIdle = unrepeatableMaxIdle
	}
	return out
}

// unrepeatableMaxIdle is the idle time up to which a pooled connection is used for a request that
// must not run twice. Targets close idle connections after 1 s at the earliest, and a request that
// is written to a connection as it closes has an unknown outcome.
const unrepeatableMaxIdle = 400 * time.Millisecond

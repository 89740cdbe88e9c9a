// Package admission is the admission control of a gateway. For each request it decides whether
// to dispatch it at once, to queue it or to refuse it. It enforces each organisation's rate,
// token and concurrency limits and shares the targets of a pool between organisations by
// weighted fair queueing.
//
// The package does no I/O: callers pass in the time and carry out the decisions. Its cost does
// not depend on the number of organisations under contract, since it keeps state only for the
// active ones.
package admission

import (
	"math"
	"time"

	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/grant"
	"zinniapin/invariant"
	"zinniapin/ratelimit"
	"zinniapin/result"
)

// Limits and time constants.
const (
	// maxRetryAfter is the upper bound of the retry-after time that a caller is given.
	maxRetryAfter = 60 * time.Second
	// minRetryAfter is the lower bound of the retry-after time that a caller is given.
	minRetryAfter = time.Second
	// shortRateSpan is the time constant of the short moving averages of demand.
	shortRateSpan = 10 * time.Second
	// idleSpan is how long an organisation's state is kept after its last request, and the
	// time constant of the long moving averages of demand.
	idleSpan = 60 * time.Second
	// firstGrantWait is how long an organisation that becomes active at this gateway may use
	// more than its guaranteed share while its first grant is on the way. Gateways ask for
	// grants every second.
	firstGrantWait = 1500 * time.Millisecond
	// defaultServiceTime is the service time assumed for a pool that has not finished a
	// request yet.
	defaultServiceTime = time.Second
	// serviceSmoothing is the weight of a new sample in the moving average of service times.
	serviceSmoothing = 0.1
	// waitMargin is the safety factor on the expected wait: a request is refused when
	// waitMargin times the expected wait exceeds the time left until its deadline, since
	// requests that arrive later may be served first.
	waitMargin = 1.25
	// secondsPerMinute converts token limits, which contracts state per minute.
	secondsPerMinute = 60
)

// Request describes a request to be admitted.
type Request struct {
	Organisation string
	Contract     *contract.Contract
	Pool         string
	// Cost is the request's expected work, in tokens. Values below 1 count as 1.
	Cost float64
	// PromptTokens is charged against the token limit when the request is admitted.
	PromptTokens int
	// Deadline is the time by which the request must be dispatched.
	Deadline time.Time
}

// state is the stage of a ticket.
type state int

// Stages of a ticket.
const (
	waiting  state = iota // queued
	running               // dispatched
	finished              // given back to Done
)

// Ticket is an admitted request. Every ticket must be given back to Done.
type Ticket struct {
	// Ready is for the caller, which closes it when Dispatch has returned the ticket. Admit
	// only creates it.
	Ready            chan struct{}
	request          Request
	state            state
	virtualArrival   float64 // virtual time of the fair queue at admission
	virtualStart     float64 // virtual start time in the fair queue
	sequence         uint64  // order of admission, breaks ties in the fair queue
	dispatchedAt     time.Time
	awaitsFirstToken bool // dispatched, counted in the pool's prompt window
}

// organisation is the state of an active organisation at this gateway.
type organisation struct {
	requestBucket   ratelimit.Bucket
	tokenBucket     ratelimit.Bucket
	inProgress      int // admitted requests, queued ones included
	grant           *control.Grant
	shortRates      rates     // over shortRateSpan
	longRates       rates     // over idleSpan
	peakConcurrency int       // highest concurrency asked for since the last Demands
	activeSince     time.Time // first request; zero if a grant created the state
	lastSeen        time.Time // last request or end of one
	lastLimits      limits    // limits in force at the last request
}

// pool is the state of a pool of targets.
type pool struct {
	capacity           int // requests that may be dispatched at once
	running            int // dispatched requests that have not ended
	queue              fairQueue
	arrivals           ratelimit.Average // requests to admit, over shortRateSpan
	meanServiceSeconds float64           // moving average from dispatch to end; 0 while unknown
	window             PromptWindow      // nil if only the capacity bounds the pool
	slots              slotInterval      // intervals at which slots open while the pool is full
}

// Scheduler admits, queues and dispatches the requests of one gateway. It is not safe for
// concurrent use.
type Scheduler struct {
	queueLength         int       // longest queue of a pool, in tickets
	gateways            int       // live gateways of the fleet
	controllerReachedAt time.Time // when this gateway last had a link to a controller
	organisations       map[string]*organisation
	pools               map[string]*pool
	sequence            uint64 // of the last ticket
}

// New returns a scheduler whose queues hold up to queueLength tickets per pool.
func New(queueLength int) *Scheduler {
	return &Scheduler{
		queueLength:   queueLength,
		gateways:      1,
		organisations: map[string]*organisation{},
		pools:         map[string]*pool{},
	}
}

// chargeTokens takes tokens from the token bucket if the contract limits tokens.
func (o *organisation) chargeTokens(tokens float64) {
	if o.lastLimits.tokens > 0 {
		o.tokenBucket.Level -= tokens
	}
}

// SetGateways sets the number of live gateways, among which the limits of organisations
// without a grant are divided.
func (s *Scheduler) SetGateways(n int) {
	s.gateways = max(1, n)
}

// ControllerReached records that the gateway had a link to a controller at the given time.
// Until this is longer ago than the longest term of a grant, other gateways may hold grants.
func (s *Scheduler) ControllerReached(now time.Time) {
	s.controllerReachedAt = now
}

// othersMayHoldGrants reports whether this gateway may use only its guaranteed share of the
// organisation's limits because other gateways may hold grants.
func (s *Scheduler) othersMayHoldGrants(now time.Time, o *organisation) bool {
	awaitsFirstGrant := o.grant == nil && now.Sub(o.activeSince) < firstGrantWait
	return s.gateways > 1 && !awaitsFirstGrant && now.Sub(s.controllerReachedAt) <= grant.MaxTerm(s.gateways)+grant.Margin
}

// SetCapacity sets how many requests may be dispatched to a pool at the same time.
func (s *Scheduler) SetCapacity(name string, n int) {
	s.pool(name).capacity = n
}

// pool returns the state of a pool, which it creates if needed.
func (s *Scheduler) pool(name string) *pool {
	p := s.pools[name]
	if p == nil {
		p = &pool{queue: fairQueue{flows: map[string]*flow{}}}
		s.pools[name] = p
	}
	return p
}

// organisation returns the state of an organisation, which it creates if needed.
func (s *Scheduler) organisation(name string) *organisation {
	o := s.organisations[name]
	if o == nil {
		o = &organisation{}
		s.organisations[name] = o
	}
	return o
}

// SetGrants replaces the grants of the organisations named in grants.
func (s *Scheduler) SetGrants(now time.Time, grants []control.Grant) {
	for i := range grants {
		g := grants[i]
		o := s.organisation(g.Organisation)
		o.grant = &g
		if o.lastSeen.IsZero() {
			o.lastSeen = now
		}
	}
}

// limits is the part of a contract's limits that a gateway may use.
type limits struct {
	rate        float64 // requests per second
	burst       float64
	concurrency int
	tokens      float64 // tokens per second; 0 means no limit
}

// effectiveLimits returns what an organisation may use at this gateway: its grant while that
// is in force, never more than the contract, and otherwise its guaranteed share, which the
// grantor reserves for every gateway. The rates of all gateways, and likewise their token
// rates, therefore add up to at most the contract, except in the cases that package grant
// lists.
//
// In two cases a gateway among n uses 1/n of the contract instead of its guaranteed share:
// when it has had no link to a controller for as long as grants last, and for firstGrantWait
// after an organisation becomes active here, so that a burst of callers is not refused for
// want of a first grant. With m of n gateways in these cases, rates and tokens may exceed the
// contract by the fraction (1-grant.GuaranteedFraction)*m/n. For gateways that are cut off
// this lasts until the other gateways consider them failed; if all n are cut off there is no
// excess.
//
// Concurrency and burst are rounded up to 1, so that every gateway can serve every
// organisation. Each gateway may therefore run one request too many; evenConcurrency keeps a
// gateway that uses 1/n of the contract within that. Running requests are never ended when a
// limit falls.
func (s *Scheduler) effectiveLimits(now time.Time, o *organisation, k *contract.Contract) limits {
	full := k.Limits
	tokens := float64(full.TokensPerMinute) / secondsPerMinute
	burst := float64(full.Burst)
	if burst == 0 {
		burst = math.Max(1, full.RequestsPerSecond)
	}
	if o.grant != nil && now.Before(o.grant.Expires) {
		part := math.Min(1, o.grant.RequestsPerSecond/full.RequestsPerSecond)
		return limits{
			rate:        math.Min(o.grant.RequestsPerSecond, full.RequestsPerSecond),
			burst:       math.Max(1, burst*part),
			concurrency: min(max(1, o.grant.Concurrency), full.Concurrency),
			tokens:      math.Min(o.grant.TokensPerMinute/secondsPerMinute, tokens),
		}
	}
	part := 1 / float64(s.gateways)
	concurrency := evenConcurrency(full.Concurrency, s.gateways)
	if s.othersMayHoldGrants(now, o) {
		guaranteed := grant.GuaranteedShare(full, s.gateways)
		part *= grant.GuaranteedFraction
		concurrency = guaranteed.Concurrency
	}
	return limits{
		rate:        full.RequestsPerSecond * part,
		burst:       math.Max(1, burst*part),
		concurrency: concurrency,
		tokens:      tokens * part,
	}
}

// evenConcurrency returns 1/n of a concurrency limit in whole requests, rounded up where that
// exceeds what the grantor reserves for the gateway by at most one request more than the
// unreserved fraction of the share. The grantor rounds the reserved part down, so rounding up
// in all cases would exceed the bound of effectiveLimits.
func evenConcurrency(limit, gateways int) int {
	share := float64(limit) / float64(gateways)
	reserved := math.Floor(grant.GuaranteedFraction * share)
	return int(min(math.Ceil(share), reserved+math.Floor((1-grant.GuaranteedFraction)*share+1)))
}

// Admit queues a request and returns its ticket, or refuses it with an error that says when to
// retry. An admitted request runs once Dispatch returns its ticket.
func (s *Scheduler) Admit(now time.Time, r Request) (*Ticket, error) {
	o := s.organisation(r.Organisation)
	if o.lastSeen.IsZero() {
		o.activeSince = now
	}
	o.lastSeen = now
	o.countDemand(now, 1, float64(r.PromptTokens))
	o.peakConcurrency = max(o.peakConcurrency, o.inProgress+1)
	l := s.effectiveLimits(now, o, r.Contract)
	if err := s.checkLimits(now, o, l, r.Contract); err != nil {
		return nil, err
	}
	if err := s.checkDeadline(now, r); err != nil {
		return nil, err
	}
	o.requestBucket.Level--
	o.chargeTokens(float64(r.PromptTokens))
	o.inProgress++
	s.sequence++
	r.Cost = math.Max(1, r.Cost)
	t := &Ticket{Ready: make(chan struct{}), request: r, sequence: s.sequence}
	s.pool(r.Pool).queue.add(t, weight(r.Contract))
	return t, nil
}

// weight returns an organisation's weight in the fair queue, which is 1 if the contract sets
// none.
func weight(k *contract.Contract) float64 {
	if k.Weight <= 0 {
		return 1
	}
	return k.Weight
}

// checkLimits refuses a request that exceeds the organisation's rate, token or concurrency
// limit. It refills the buckets first.
func (s *Scheduler) checkLimits(now time.Time, o *organisation, l limits, k *contract.Contract) error {
	tokensPerMinute := l.tokens * secondsPerMinute
	o.requestBucket.Refill(now, l.rate, l.burst)
	o.tokenBucket.Refill(now, l.tokens, tokensPerMinute)
	o.lastLimits = l
	if o.requestBucket.Level < 1 {
		wait := o.requestBucket.TimeUntil(1, l.rate, maxRetryAfter)
		return result.New(result.RateLimited, "the rate limit is %g requests per second", k.Limits.RequestsPerSecond).Retry(clampRetryAfter(wait))
	}
	if k.Limits.TokensPerMinute > 0 && o.tokenBucket.Level <= 0 {
		wait := o.tokenBucket.TimeUntil(1, l.tokens, maxRetryAfter)
		return result.New(result.TokenLimited, "the token limit is %d tokens per minute", k.Limits.TokensPerMinute).Retry(clampRetryAfter(wait))
	}
	if o.inProgress >= l.concurrency {
		return result.New(result.ConcurrencyLimited, "the concurrency limit is %d requests in progress", k.Limits.Concurrency).Retry(minRetryAfter)
	}
	return nil
}

// clampRetryAfter limits a wait to the range of retry-after times that callers are given.
func clampRetryAfter(wait time.Duration) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, wait))
}

// checkDeadline refuses a request when the queue of its pool is full, the pool has no
// capacity, or the request is not expected to be dispatched by its deadline.
func (s *Scheduler) checkDeadline(now time.Time, r Request) error {
	p := s.pool(r.Pool)
	p.arrivals.Add(now, 1, shortRateSpan)
	wait := p.expectedWait(now, r.Organisation, weight(r.Contract))
	if p.queue.length >= s.queueLength {
		return result.New(result.QueueFull, "the queue is full with %d requests", p.queue.length).Retry(clampRetryAfter(wait))
	}
	if p.capacity <= 0 {
		return result.New(result.NoTarget, "the pool has no live target").Retry(minRetryAfter)
	}
	slack := r.Deadline.Sub(now)
	if time.Duration(waitMargin*float64(wait)) > slack {
		return result.New(result.DeadlineNotReachable, "the expected wait of %s is too long for the deadline", wait.Round(time.Millisecond)).Retry(clampRetryAfter(wait - slack))
	}
	return nil
}

// Dispatch removes the tickets that may run from the queue of a pool and returns them in
// order.
func (s *Scheduler) Dispatch(now time.Time, name string) []*Ticket {
	p := s.pool(name)
	var ready []*Ticket
	for p.hasRoom() {
		t := p.queue.next()
		if t == nil {
			break
		}
		t.state = running
		t.dispatchedAt = now
		p.running++
		p.addToWindow(t)
		ready = append(ready, t)
	}
	p.observeDispatch(now, len(ready))
	return ready
}

// Done ends a ticket, whether it was dispatched or is still queued. Further calls for the same
// ticket have no effect.
//
// The output tokens are charged here because they are not known earlier. An organisation may
// thus exceed its token limit by the output of its requests in progress; its next request is
// admitted only after the bucket has refilled.
func (s *Scheduler) Done(now time.Time, t *Ticket, outputTokens int) {
	if t.state == finished {
		return
	}
	o, p := s.organisation(t.request.Organisation), s.pool(t.request.Pool)
	o.inProgress--
	o.lastSeen = now
	o.chargeTokens(float64(outputTokens))
	o.countDemand(now, 0, float64(outputTokens))
	if t.state == waiting {
		p.queue.remove(t)
	} else {
		p.running--
		p.removeFromWindow(t)
		p.observeServiceTime(now.Sub(t.dispatchedAt).Seconds())
	}
	t.state = finished
	p.observeFreedSlot(now)
	invariant.Check(o.inProgress >= 0, "admission_organisation_running", "%d", o.inProgress)
	invariant.Check(p.running >= 0, "admission_pool_running", "%d", p.running)
}

// observeServiceTime adds a sample to the moving average of service times.
func (p *pool) observeServiceTime(seconds float64) {
	if p.meanServiceSeconds == 0 {
		p.meanServiceSeconds = seconds
		return
	}
	p.meanServiceSeconds += serviceSmoothing * (seconds - p.meanServiceSeconds)
}

// Queued returns the number of tickets in the queue of a pool.
func (s *Scheduler) Queued(name string) int {
	return s.pool(name).queue.length
}

// ActiveOrganisations returns the number of organisations that have state.
func (s *Scheduler) ActiveOrganisations() int {
	return len(s.organisations)
}

// Package admission decides whether a request may run now, must wait or is
// refused. It does no I/O: time comes in, and the caller acts on the answer.
// It is cheap at any number of organisations, since it keeps state only for
// those that are active.
package admission

import (
	"math"
	"time"

	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/grant"
	"zinniapin/invariant"
	"zinniapin/result"
)

// Bounds and spans.
const (
	// maxRetryAfter bounds what a caller is told to wait.
	maxRetryAfter = 60 * time.Second
	// minRetryAfter is the least that a caller is told to wait.
	minRetryAfter = time.Second
	// averageSpan is the time constant of moving averages.
	averageSpan = 10 * time.Second
	// idleSpan is how long an organisation's state outlives its last request.
	idleSpan = 60 * time.Second
	// freshSpan is how long an organisation that becomes active here uses more
	// than its safe share: until its first grant comes, which is asked for each
	// second.
	freshSpan = 1500 * time.Millisecond
	// firstServiceTime is the presumed time of a request at a pool that has
	// finished none yet.
	firstServiceTime = time.Second
	// serviceSmoothing is the weight of a new service time in the average.
	serviceSmoothing = 0.1
	// waitMargin is by how much an expected wait must fall below the time that
	// is left: others that come later may still be served before.
	waitMargin = 1.25
	// secondsPerMinute converts limits of tokens.
	secondsPerMinute = 60
)

// Request is what admission needs to know of a request.
type Request struct {
	Organisation string
	Contract     *contract.Contract
	Pool         string
	// Cost is the request's expected work, in tokens; at least 1.
	Cost float64
	// PromptTokens is charged at once against the limit of tokens.
	PromptTokens int
	// Deadline is when the request must have been dispatched.
	Deadline time.Time
}

// state is where a ticket stands.
type state int

// States of tickets.
const (
	waiting state = iota
	running
	left
)

// Ticket is an admitted request. It must be given back to Leave.
type Ticket struct {
	// Ready is for the caller: Dispatch returns the ticket once it may run.
	Ready    chan struct{}
	request  Request
	state    state
	start    float64 // virtual start time in the queue
	sequence uint64
	began    time.Time
	starting bool // counted in the pool's window
}

// organisation is the state of an active organisation.
type organisation struct {
	requests bucket
	tokens   bucket
	running  int // waiting ones included
	grant    *control.Grant
	recently rates     // over averageSpan
	lately   rates     // over idleSpan
	wanted   int       // highest concurrency asked for since the last Demands
	first    time.Time // the request that made it active here; zero if a grant did
	lastSeen time.Time
	last     limits // as of the last request
}

// pool is the state of a pool of targets.
type pool struct {
	capacity int
	running  int
	queue    fairQueue
	service  float64 // average seconds from dispatch to end
	window   Window  // nil when the capacity alone bounds the pool
	pace     pace
}

// Core is the admission of one gateway. It is not safe for concurrent use.
type Core struct {
	queueLength   int
	gateways      int
	reached       time.Time // when a controller was last linked
	organisations map[string]*organisation
	pools         map[string]*pool
	sequence      uint64
}

// New returns a core whose queues hold up to queueLength tickets a pool.
func New(queueLength int) *Core {
	return &Core{
		queueLength:   queueLength,
		gateways:      1,
		organisations: map[string]*organisation{},
		pools:         map[string]*pool{},
	}
}

// charge takes tokens from the organisation's limit, if it has one.
func (o *organisation) charge(tokens float64) {
	if o.last.tokens > 0 {
		o.tokens.level -= tokens
	}
}

// SetGateways sets the number of live gateways, which divides the limits of
// organisations without a grant.
func (c *Core) SetGateways(n int) {
	c.gateways = max(1, n)
}

// Reached notes that a controller was linked at a time. While it is not much
// longer ago than a grant lasts, other gateways may hold grants.
func (c *Core) Reached(now time.Time) {
	c.reached = now
}

// othersMayHold tells whether grants of other gateways are likely to be in
// force that leave this one no more than its safe share.
func (c *Core) othersMayHold(now time.Time, o *organisation) bool {
	fresh := o.grant == nil && now.Sub(o.first) < freshSpan
	return c.gateways > 1 && !fresh && now.Sub(c.reached) <= grant.LongestTerm(c.gateways)+grant.Margin
}

// SetCapacity sets how many requests may be dispatched to a pool at once.
func (c *Core) SetCapacity(name string, n int) {
	c.pool(name).capacity = n
}

// pool returns the state of a pool.
func (c *Core) pool(name string) *pool {
	p := c.pools[name]
	if p == nil {
		p = &pool{queue: fairQueue{flows: map[string]*flow{}}}
		c.pools[name] = p
	}
	return p
}

// organisation returns the state of an organisation.
func (c *Core) organisation(name string) *organisation {
	o := c.organisations[name]
	if o == nil {
		o = &organisation{}
		c.organisations[name] = o
	}
	return o
}

// Grant replaces grants.
func (c *Core) Grant(now time.Time, grants []control.Grant) {
	for i := range grants {
		g := grants[i]
		o := c.organisation(g.Organisation)
		o.grant = &g
		if o.lastSeen.IsZero() {
			o.lastSeen = now
		}
	}
}

// limits is a gateway's share of a contract.
type limits struct {
	rate        float64 // requests a second
	burst       float64
	concurrency int
	tokens      float64 // a second; 0 means no limit
}

// share returns what an organisation may use here: its grant while that
// lasts, never above the contract; else its safe share, which the grantor
// leaves to every gateway. So the rates, and likewise the tokens, of all
// gateways sum to the contract at most, but for the cases that package grant
// names. A gateway uses an nth of the contract instead when it has reached no
// controller for as long as grants last, and for freshSpan when the organisation
// becomes active here, so that a burst of callers is not refused for want of a
// first grant. With m of n gateways in these cases, rates and tokens may exceed
// the contract by the part (1-grant.SafePart)*m/n of it: for gateways that are
// cut off until the others take them for dead, and by nothing when all n are.
//
// Concurrency and burst are rounded up to 1, so that every gateway can serve
// every organisation: each gateway may run one request too many, and one that
// uses an nth of the contract up to one more, since that is rounded up. A request that runs is never ended when a share falls.
func (c *Core) share(now time.Time, o *organisation, k *contract.Contract) limits {
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
	part := 1 / float64(c.gateways)
	concurrency := int(math.Ceil(float64(full.Concurrency) * part))
	if c.othersMayHold(now, o) {
		safe := grant.SafeShare(full, c.gateways)
		part *= grant.SafePart
		concurrency = safe.Concurrency
	}
	return limits{
		rate:        full.RequestsPerSecond * part,
		burst:       math.Max(1, burst*part),
		concurrency: concurrency,
		tokens:      tokens * part,
	}
}

// Arrive admits a request or refuses it at once. A refused request is never
// held back. An admitted one runs when Dispatch returns its ticket.
func (c *Core) Arrive(now time.Time, r Request) (*Ticket, error) {
	o := c.organisation(r.Organisation)
	if o.lastSeen.IsZero() {
		o.first = now
	}
	o.lastSeen = now
	o.count(now, 1, float64(r.PromptTokens))
	o.wanted = max(o.wanted, o.running+1)
	l := c.share(now, o, r.Contract)
	if err := c.withinLimits(now, o, l, r.Contract); err != nil {
		return nil, err
	}
	if err := c.inTime(now, r); err != nil {
		return nil, err
	}
	o.requests.level--
	o.charge(float64(r.PromptTokens))
	o.running++
	c.sequence++
	r.Cost = math.Max(1, r.Cost)
	t := &Ticket{Ready: make(chan struct{}), request: r, sequence: c.sequence}
	c.pool(r.Pool).queue.add(t, weight(r.Contract))
	return t, nil
}

// weight returns an organisation's share of scarce targets.
func weight(k *contract.Contract) float64 {
	if k.Weight <= 0 {
		return 1
	}
	return k.Weight
}

// withinLimits checks the organisation's share.
func (c *Core) withinLimits(now time.Time, o *organisation, l limits, k *contract.Contract) error {
	minute := l.tokens * secondsPerMinute
	o.requests.refill(now, l.rate, l.burst)
	o.tokens.refill(now, l.tokens, minute)
	o.last = l
	if o.requests.level < 1 {
		wait := o.requests.until(1, l.rate)
		return result.New(result.RateLimited, "the rate is %g requests a second", k.Limits.RequestsPerSecond).Retry(atLeast(wait))
	}
	if k.Limits.TokensPerMinute > 0 && o.tokens.level <= 0 {
		wait := o.tokens.until(1, l.tokens)
		return result.New(result.TokenLimited, "the limit is %d tokens a minute", k.Limits.TokensPerMinute).Retry(atLeast(wait))
	}
	if o.running >= l.concurrency {
		return result.New(result.ConcurrencyLimited, "the limit is %d requests in progress", k.Limits.Concurrency).Retry(minRetryAfter)
	}
	return nil
}

// atLeast rounds a wait up to what a caller may be told.
func atLeast(wait time.Duration) time.Duration {
	return min(maxRetryAfter, max(minRetryAfter, wait))
}

// inTime refuses a request that cannot be dispatched by its deadline.
func (c *Core) inTime(now time.Time, r Request) error {
	p := c.pool(r.Pool)
	wait := p.wait(now, r.Organisation, weight(r.Contract))
	if p.queue.length >= c.queueLength {
		return result.New(result.QueueFull, "%d requests wait", p.queue.length).Retry(atLeast(wait))
	}
	if p.capacity <= 0 {
		return result.New(result.NoTarget, "no live target").Retry(minRetryAfter)
	}
	slack := r.Deadline.Sub(now)
	if time.Duration(waitMargin*float64(wait)) > slack {
		return result.New(result.DeadlineNotReachable, "the expected wait is %s", wait.Round(time.Millisecond)).Retry(atLeast(wait - slack))
	}
	return nil
}

// Dispatch returns the tickets of a pool that run from now on, in order.
func (c *Core) Dispatch(now time.Time, name string) []*Ticket {
	p := c.pool(name)
	var ready []*Ticket
	for p.open() {
		t := p.queue.next()
		if t == nil {
			break
		}
		t.state = running
		t.began = now
		p.running++
		p.sent(t)
		ready = append(ready, t)
	}
	p.dispatched(now, len(ready))
	return ready
}

// Leave ends a ticket, whether it ran or still waits. The tokens are those of
// its output; they are charged now, so an organisation may exceed its limit
// of tokens by the output of the requests that it has in progress, and pays
// the debt back before its next one is admitted.
func (c *Core) Leave(now time.Time, t *Ticket, outputTokens int) {
	if t.state == left {
		return
	}
	o, p := c.organisation(t.request.Organisation), c.pool(t.request.Pool)
	o.running--
	o.lastSeen = now
	o.charge(float64(outputTokens))
	o.count(now, 0, float64(outputTokens))
	if t.state == waiting {
		p.queue.remove(t)
	} else {
		p.running--
		p.ended(t)
		p.observe(now.Sub(t.began).Seconds())
	}
	t.state = left
	p.freed(now)
	invariant.Check(o.running >= 0, "admission_organisation_running", "%d", o.running)
	invariant.Check(p.running >= 0, "admission_pool_running", "%d", p.running)
}

// observe averages a service time.
func (p *pool) observe(seconds float64) {
	if p.service == 0 {
		p.service = seconds
		return
	}
	p.service += serviceSmoothing * (seconds - p.service)
}

// Queued returns the number of tickets that wait for a pool.
func (c *Core) Queued(name string) int {
	return c.pool(name).queue.length
}

// Active returns the number of organisations with state.
func (c *Core) Active() int {
	return len(c.organisations)
}

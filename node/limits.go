package node

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"zinniapin/forward"
	"zinniapin/peers"
	"zinniapin/quota"
	"zinniapin/result"
	"zinniapin/truetime"
	"zinniapin/wire"
)

const (
	// maxLimitWait is how long a request waits for units of another host.
	maxLimitWait = 60 * time.Millisecond
	// limitInterval is the interval at which due asks are sent, and waitingLimitInterval that while requests wait.
	limitInterval        = 50 * time.Millisecond
	waitingLimitInterval = 5 * time.Millisecond
)

// limitCore is the protocol by which hosts share limits; see quota.Member.
type limitCore interface {
	SetPeers(now quota.Instant, ranked []quota.Peer)
	SetFleetHint(now quota.Instant, hosts int)
	FleetSize(now quota.Instant) (hosts int, settled bool)
	SilentRetryAfter(now quota.Instant) time.Duration
	SetLimits(now quota.Instant, limits map[string]quota.Limit)
	Admit(now quota.Instant, organisation string, units int64) quota.Verdict
	Expired(now quota.Instant, organisation string, admitted quota.Instant) bool
	Refund(now quota.Instant, organisation string, units int64, admitted quota.Instant)
	Tick(now quota.Instant) []quota.Outgoing
	HandleAsk(now quota.Instant, from string, a quota.Ask) quota.Reply
	HandleReply(now quota.Instant, from string, r quota.Reply)
	Status(now quota.Instant) []quota.OrganisationStatus
}

// limitMesh sends messages about limits to other hosts.
type limitMesh interface {
	SendLimitAsk(ask *wire.LimitAsk, to string) error
	SendLimitReply(reply *wire.LimitReply, to string) error
}

// organisationLimits keeps the limits of organisations that hosts share. It adds locking, time, datagrams and
// waiting requests to a limitCore.
type organisationLimits struct {
	mesh     limitMesh
	log      *zerolog.Logger
	now      func() quota.Instant
	leaving  func() bool // whether this host is about to stop
	messages limitMessageCounts
	// limits are those in force by organisation.
	limits atomic.Pointer[map[string]quota.Limit]
	// intervalChanged tells run that ticks are due at another interval than before.
	intervalChanged chan struct{}
	// limited is closed when the first limits come into force.
	limited     chan struct{}
	limitedOnce sync.Once

	mu      sync.Mutex
	core    limitCore
	waiters []*limitWaiter // in the order in which they began to wait
	stopped bool
	// refusals are counts since the start by organisation and reason.
	refusals map[string]map[quota.Reason]int64
	// logged bounds the lines about refusals, by organisation.
	logged map[string]*refusalLog
	// lentTo is the host to which the base share was lent as of the last observeShare; hasLent tells whether it was
	// ever lent.
	lentTo  string
	hasLent bool
}

// limitWaiter is a request that waits for units.
type limitWaiter struct {
	organisation string
	units        int64
	settled      chan limitOutcome // with room for one
	// retryAfter is when a grantor would have the units, as by its newest reply since the request waits; 0 if there
	// is none, or if too few hosts lend to that grantor, which does not mean that the limit is reached.
	retryAfter time.Duration
}

// limitOutcome is a verdict other than quota.Wait and its time.
type limitOutcome struct {
	verdict quota.Verdict
	at      quota.Instant
}

var _ forward.Limits = (*organisationLimits)(nil)

// newOrganisationLimits returns limits without any in force.
func newOrganisationLimits(core limitCore, mesh limitMesh, leaving func() bool, log *zerolog.Logger) *organisationLimits {
	l := &organisationLimits{
		mesh: mesh, log: log, now: limitClock, leaving: leaving, core: core, intervalChanged: make(chan struct{}, 1), limited: make(chan struct{}),
		refusals: make(map[string]map[quota.Reason]int64), logged: make(map[string]*refusalLog),
	}
	l.limits.Store(&map[string]quota.Limit{})
	return l
}

// limitClock returns the time by which terms and grants end. It goes on while the host is suspended.
func limitClock() quota.Instant { return quota.Instant(truetime.SinceBoot()) }

// active reports whether any organisation has a limit.
func (l *organisationLimits) active() bool { return len(*l.limits.Load()) > 0 }

// Limited implements forward.Limits.
func (l *organisationLimits) Limited(organisation string) bool {
	_, limited := (*l.limits.Load())[organisation]
	return limited
}

// Admit implements forward.Limits.
func (l *organisationLimits) Admit(ctx context.Context, organisation string, units int64) (forward.Reservation, *forward.LimitRefusal) {
	at, refusal := l.take(ctx, organisation, units)
	if refusal != nil {
		return nil, refusal
	}
	return &limitReservation{limits: l, organisation: organisation, units: units, admitted: at, held: true}, nil
}

// take takes units, waiting for them if they will be there within maxLimitWait. It returns when they were taken, or a
// refusal.
func (l *organisationLimits) take(ctx context.Context, organisation string, units int64) (quota.Instant, *forward.LimitRefusal) {
	deadline := time.Now().Add(maxLimitWait)
	o := l.tryTake(ctx, organisation, units, deadline)
	// A time to try again that is soon over is waited for here: the caller would need a new connection for it.
	for o.verdict.Outcome == quota.Refused && o.verdict.Reason == quota.Reached && sleepWithin(ctx, o.verdict.RetryAfter, deadline) {
		o = l.tryTake(ctx, organisation, units, deadline)
	}
	if o.verdict.Outcome == quota.Allowed {
		return o.at, nil
	}
	code := result.LimitReached
	if o.verdict.Reason == quota.NoGrantor {
		code = result.LimitUnknown
	}
	if ctx.Err() == nil {
		l.recordRefusal(organisation, units, o)
	}
	return 0, &forward.LimitRefusal{Code: code, RetryAfter: o.verdict.RetryAfter}
}

// tryTake takes units, waiting for a reply of a grantor until the deadline at most.
func (l *organisationLimits) tryTake(ctx context.Context, organisation string, units int64, deadline time.Time) limitOutcome {
	l.mu.Lock()
	o := limitOutcome{at: l.now()}
	if !l.Limited(organisation) {
		l.mu.Unlock()
		return o // the limit was removed after the request was handed to this
	}
	o.verdict = l.core.Admit(o.at, organisation, units)
	if o.verdict.Outcome != quota.Wait {
		l.mu.Unlock()
		return o
	}
	w := l.enqueue(organisation, units)
	l.mu.Unlock()
	return l.await(ctx, w, deadline)
}

// sleepWithin sleeps for a time and returns true, or returns false at once if that ends after the deadline.
func sleepWithin(ctx context.Context, d time.Duration, deadline time.Time) bool {
	if !time.Now().Add(d).Before(deadline) {
		return false
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// enqueue adds a request that waits. The first one's ask is sent at once; those of requests that begin to wait
// meanwhile go together with the next tick. The caller holds mu.
func (l *organisationLimits) enqueue(organisation string, units int64) *limitWaiter {
	w := &limitWaiter{organisation: organisation, units: units, settled: make(chan limitOutcome, 1)}
	if l.stopped {
		w.settled <- l.silentOutcome(l.now())
		return w
	}
	l.waiters = append(l.waiters, w)
	if len(l.waiters) == 1 {
		l.sendDue()
		l.signalInterval()
	}
	return w
}

// silentOutcome refuses a request for which no host has granted units in time. The caller holds mu.
func (l *organisationLimits) silentOutcome(now quota.Instant) limitOutcome {
	return limitOutcome{quota.Verdict{Outcome: quota.Refused, Reason: quota.NoGrantor, RetryAfter: l.core.SilentRetryAfter(now)}, now}
}

// await waits for the outcome of a request until the deadline at most.
func (l *organisationLimits) await(ctx context.Context, w *limitWaiter, deadline time.Time) limitOutcome {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case o := <-w.settled:
		return o
	case <-timer.C:
	case <-ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case o := <-w.settled:
		return o // settled before the lock was taken
	default:
	}
	l.waiters = slices.DeleteFunc(l.waiters, func(other *limitWaiter) bool { return other == w })
	o := l.silentOutcome(l.now())
	if w.retryAfter > 0 {
		o.verdict.Reason, o.verdict.RetryAfter = quota.Reached, w.retryAfter // a host answered and had too few units
	}
	return o
}

// retry tries again the waiting requests of organisations, in the order in which they began to wait. The caller
// holds mu.
func (l *organisationLimits) retry(now quota.Instant, concerned func(organisation string) bool) {
	l.waiters = slices.DeleteFunc(l.waiters, func(w *limitWaiter) bool {
		if !concerned(w.organisation) {
			return false
		}
		var v quota.Verdict // allowed, if the limit was removed
		if l.Limited(w.organisation) {
			v = l.core.Admit(now, w.organisation, w.units)
		}
		if v.Outcome == quota.Wait {
			return false
		}
		w.settled <- limitOutcome{v, now}
		return true
	})
}

// setLimits puts limits in force; organisations without an entry have none.
func (l *organisationLimits) setLimits(limits map[string]quota.Limit) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(limits) == 0 && !l.active() {
		return
	}
	now := l.now()
	l.core.SetLimits(now, limits)
	l.limits.Store(&limits)
	l.limitedOnce.Do(func() { close(l.limited) })
	for organisation := range l.refusals {
		if !l.Limited(organisation) {
			delete(l.refusals, organisation)
		}
	}
	for organisation := range l.logged {
		if !l.Limited(organisation) {
			delete(l.logged, organisation)
		}
	}
	l.retry(now, func(string) bool { return true })
	l.signalInterval()
}

// setPeers takes in the live hosts in order, this one included. It is called also while no organisation has a
// limit, since a host has to remember those that it is cut off from when the first limit comes into force.
func (l *organisationLimits) setPeers(self string, ranked []peers.RankedHost) {
	all := make([]quota.Peer, len(ranked))
	for i, h := range ranked {
		all[i] = quota.Peer{Address: h.Address, Leaving: h.Leaving || h.Address == self && l.leaving()}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.SetPeers(l.now(), all)
}

// fleetSize returns the number of hosts among which limits are divided, and whether this host is settled.
func (l *organisationLimits) fleetSize() (hosts int, settled bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.core.FleetSize(l.now())
}

// setFleetHint sets a lower bound of the number of hosts; one below 1 counts as none.
func (l *organisationLimits) setFleetHint(hosts int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.core.SetFleetHint(l.now(), hosts)
}

// signalInterval makes run compute the time of the next tick anew.
func (l *organisationLimits) signalInterval() {
	select {
	case l.intervalChanged <- struct{}{}:
	default: // run has yet to take an earlier signal
	}
}

// interval returns the interval of the ticks, 0 while none are needed.
func (l *organisationLimits) interval() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !l.active():
		return 0
	case len(l.waiters) > 0:
		return waitingLimitInterval
	}
	return limitInterval
}

// run sends due asks until the context ends. Then it refuses the requests that wait.
func (l *organisationLimits) run(ctx context.Context) {
	timer := time.NewTimer(limitInterval)
	defer timer.Stop()
	last := time.Now()
	for {
		var due <-chan time.Time
		if interval := l.interval(); interval > 0 {
			timer.Reset(time.Until(last.Add(interval)))
			due = timer.C
		}
		select {
		case <-ctx.Done():
			l.stop()
			return
		case <-l.intervalChanged:
		case <-due:
			last = time.Now()
			l.mu.Lock()
			l.sendDue()
			l.mu.Unlock()
		}
	}
}

// stop refuses the requests that wait, and those that would have to from now on.
func (l *organisationLimits) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	for _, w := range l.waiters {
		w.settled <- l.silentOutcome(l.now())
	}
	l.waiters = nil
}

// sendDue sends due asks. The caller holds mu, so that asks leave in the order of their sequence numbers; a grantor
// ignores older ones.
func (l *organisationLimits) sendDue() {
	for _, o := range l.core.Tick(l.now()) {
		ask := askToWire(o.Ask)
		l.messages.sent.add(&wire.HostDigest{LimitAsk: ask})
		if err := l.mesh.SendLimitAsk(ask, o.To); err != nil {
			l.log.Error().Err(err).Msg("could not send an ask for units of limits")
		}
	}
}

// handleAsk answers the ask of another host. A host without limits answers that it may not grant, so that the other
// one asks the next host at once. One that is about to stop does too: hosts of other zones of a large fleet do not
// get its digests.
func (l *organisationLimits) handleAsk(from string, message *wire.LimitAsk) {
	l.messages.received.add(&wire.HostDigest{LimitAsk: message})
	ask, ok := askFromWire(message)
	if !ok {
		l.messages.malformed.Add(1)
		return
	}
	leaving := l.leaving()
	if leaving {
		ask.Lends, ask.Entries = false, nil
	}
	l.mu.Lock()
	r := l.core.HandleAsk(l.now(), from, ask)
	l.mu.Unlock()
	r.Settled = r.Settled && !leaving
	reply := replyToWire(r)
	l.messages.sent.add(&wire.HostDigest{LimitReply: reply})
	if err := l.mesh.SendLimitReply(reply, from); err != nil {
		l.log.Error().Err(err).Msg("could not send a reply about limits")
	}
}

// handleReply takes in a reply and tries the waiting requests of the organisations that it names again.
func (l *organisationLimits) handleReply(from string, message *wire.LimitReply) {
	l.messages.received.add(&wire.HostDigest{LimitReply: message})
	reply, ok := replyFromWire(message)
	if !ok {
		l.messages.malformed.Add(1)
		return
	}
	named := make(map[uint64]time.Duration, len(reply.Entries))
	for _, e := range reply.Entries {
		named[e.Organisation] = max(e.RetryAfter, time.Millisecond)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.active() {
		return
	}
	now := l.now()
	l.core.HandleReply(now, from, reply)
	for _, w := range l.waiters {
		if after := named[quota.OrganisationKey(w.organisation)]; after > 0 && !reply.Minority() {
			w.retryAfter = after
		}
	}
	l.retry(now, func(organisation string) bool { return named[quota.OrganisationKey(organisation)] > 0 })
}

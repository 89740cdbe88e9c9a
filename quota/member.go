package quota

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"zinniapin/ratelimit"
)

const (
	// jitter is the largest share by which a told Retry-After exceeds the computed one, so that refused callers do not
	// come back at once together.
	jitter = 0.2
	// waitMemory is how long a request counts as waiting; callers wait 60 ms.
	waitMemory = 80 * time.Millisecond
	// promiseMemory is how long a host relies on a time that a grantor told, which may have got a larger share since.
	promiseMemory = 500 * time.Millisecond
	// silentRetryAfter is told if no grantor answers. By then the next host in order was asked. A host that will be
	// settled sooner tells that time, but at least leastSilentRetryAfter.
	silentRetryAfter      = time.Second
	leastSilentRetryAfter = 100 * time.Millisecond
	// smallShareRetryAfter is the longest time told if too few hosts lend to the grantor, which lasts for a term at most
	// unless the fleet is partitioned. With jitter it stays below a second.
	smallShareRetryAfter = 800 * time.Millisecond
)

// Member is one host's side of the protocol, which also grants to others when it is asked.
type Member struct {
	id     Identity
	bounds Bounds
	random *rand.Rand
	now    Instant // the newest time that was passed in

	fleet   fleet
	loan    loan
	grantor grantor
	asking  asking

	organisations map[string]*organisation
	byKey         map[uint64]*organisation
	active        []*organisation // with demand or grants, by the time since when
}

// organisation is the state of a limited organisation at this host.
type organisation struct {
	name     string
	key      uint64
	limit    Limit
	terms    terms
	own      ratelimit.Bucket // of the base share; valid while that is in use
	balance  balance
	demand   demand
	used     counter
	refused  int64
	isActive bool

	// waiting are the units of requests that wait, first those of the first one; waitedAt is when the last one came.
	waiting, first int64
	waitedAt       Instant
	askedAt        Instant // when units were last asked for
	// A request that lacks retryNeed gets it at retryAt, as by the newest reply, which answered ask answered.
	retryAt   Instant
	retryNeed int64
	promised  Instant // when that reply came
	answered  uint64
	aheadAt   Instant // when units are asked for ahead of need again
}

// NewMember returns one host's side of the protocol.
func NewMember(now Instant, id Identity, b Bounds) *Member {
	return &Member{
		id: id, bounds: b, now: now, random: rand.New(rand.NewPCG(id.Host, id.Incarnation)),
		fleet: newFleet(now, id.HasSeeds), loan: loan{startedAt: now}, grantor: newGrantor(b), asking: newAsking(now),
		organisations: make(map[string]*organisation), byKey: make(map[uint64]*organisation),
	}
}

// SetPeers sets the live hosts in the order in which they are asked to grant, with this one at its place in that
// order. Without it, this host comes last. Hosts that were live before are remembered, also while there are no limits.
func (m *Member) SetPeers(now Instant, ranked []Peer) {
	now = m.advance(now)
	m.fleet.update(now, m.id.Address, ranked)
	m.asking.setCandidates(m.id.Address, ranked)
	m.advance(now)
}

// SetFleetHint sets a lower bound of the number of hosts for 10 min. With it, a host that has heard from another one is
// settled at once.
func (m *Member) SetFleetHint(now Instant, hosts int) {
	now = m.advance(now)
	m.fleet.setHint(now, hosts)
	m.advance(now)
}

// FleetSize returns the number of hosts among which limits are divided, and whether this host is settled.
func (m *Member) FleetSize(now Instant) (hosts int, settled bool) {
	now = m.advance(now)
	return m.fleet.size(), m.fleet.settled(now)
}

// SilentRetryAfter returns when a request is to be tried again that no host has granted units for in time.
func (m *Member) SilentRetryAfter(now Instant) time.Duration {
	left, known := m.fleet.untilSettled(max(m.now, now))
	if !known {
		return silentRetryAfter
	}
	return min(max(left, leastSilentRetryAfter), silentRetryAfter)
}

// SetLimits sets the limits by name of the organisation. One without an entry, or with rate 0, has no limit. Levels
// above a lower limit are cut at once.
func (m *Member) SetLimits(now Instant, limits map[string]Limit) {
	now = m.advance(now)
	for name, o := range m.organisations {
		if limits[name].Rate <= 0 {
			delete(m.organisations, name)
			delete(m.byKey, o.key)
			delete(m.grantor.queues, o.key)
		}
	}
	m.active = slices.DeleteFunc(m.active, func(o *organisation) bool { return m.organisations[o.name] != o })
	for name, l := range limits {
		if l.Rate > 0 {
			m.setLimit(now, name, l)
		}
	}
}

// setLimit sets the limit of one organisation.
func (m *Member) setLimit(now Instant, name string, l Limit) {
	o := m.organisations[name]
	if o == nil {
		o = &organisation{name: name, key: OrganisationKey(name), limit: l, own: ratelimit.Empty(now.time())}
		m.organisations[name], m.byKey[o.key] = o, o
	}
	m.refillOwn(now, o) // by the old limit
	o.limit, o.terms = l, termsOf(l, m.bounds)
	m.refillOwn(now, o)
	o.balance.cut(l.Burst)
	m.grantor.setLimit(now, o.key, l, o.terms)
}

// Limited tells whether an organisation has a limit.
func (m *Member) Limited(organisation string) bool { return m.organisations[organisation] != nil }

// Admit takes the units of a request. After Wait it is to be called again when a reply has arrived.
func (m *Member) Admit(now Instant, organisation string, units int64) Verdict {
	o := m.organisations[organisation]
	if o == nil {
		return Verdict{Outcome: Allowed}
	}
	now = m.advance(now)
	m.activate(o)
	units = max(0, units)
	if float64(units) > o.limit.Burst+o.terms.debt {
		return m.refuse(o, TooLarge, longestRetryAfter)
	}
	if v, ok := m.take(now, o, units); ok {
		return v
	}
	lacks := units - o.balance.units
	if m.asking.current == m.id.Address {
		if !m.mayGrant(now) {
			return m.refuse(o, NoGrantor, m.SilentRetryAfter(now))
		}
		r := m.grantor.serve(now, m.id.Host, AskEntry{Organisation: o.key, Want: lacks, Least: lacks})
		o.balance.add(grant{r.Granted, now, m.id.Address})
		if v, ok := m.take(now, o, units); ok {
			return v
		}
		return m.refuseForNow(o, lacks, r.RetryAfter)
	}
	if m.asking.silent(now, m.fleet.size()) {
		return m.refuse(o, NoGrantor, m.ownRetryAfter(now, o, lacks))
	}
	if left := o.promisedAt(now, o.waiting+lacks).since(now); left > 0 {
		return m.refuseForNow(o, lacks, left)
	}
	if o.waiting == 0 {
		o.first = units
	}
	o.waiting = min(maxUnits, o.waiting+units)
	o.waitedAt = now
	return Verdict{Outcome: Wait, Balance: o.balance.units}
}

// promisedAt returns when a request that lacks units will get them, as by the newest reply; a time that has passed if
// that is not known.
func (o *organisation) promisedAt(now Instant, lacks int64) Instant {
	if o.promised == 0 || now.since(o.promised) > promiseMemory {
		return now
	}
	more := float64(lacks-o.retryNeed) / o.limit.Rate
	more = min(max(more, -longestRetryAfter.Seconds()), longestRetryAfter.Seconds())
	return o.retryAt.add(time.Duration(more * float64(time.Second)))
}

// take takes units from the balance and, while it is in use, from the base share.
func (m *Member) take(now Instant, o *organisation, units int64) (Verdict, bool) {
	o.balance.expire(now, o.terms.ttl)
	m.refillOwn(now, o)
	available := float64(o.balance.units)
	if m.loan.inUse {
		available += o.own.Level
	}
	if available < float64(units) {
		return Verdict{}, false
	}
	granted := min(units, o.balance.units)
	oldest := o.balance.take(granted)
	o.own.Level -= float64(units - granted)
	o.demand.add(now, units)
	o.used.add(now, m.bounds.Window, units)
	v := Verdict{Outcome: Allowed, Source: oldest.source, Balance: o.balance.units}
	if granted > 0 {
		v.GrantAge = now.since(oldest.at)
	}
	return v, true
}

// refuse counts a refusal. The time told is jittered upward.
func (m *Member) refuse(o *organisation, reason Reason, after time.Duration) Verdict {
	o.refused++
	if reason != TooLarge {
		after += time.Duration(jitter * m.random.Float64() * float64(after))
	}
	v := Verdict{Outcome: Refused, Reason: reason, RetryAfter: min(after, longestRetryAfter), Balance: o.balance.units}
	if len(o.balance.grants) > 0 {
		oldest := o.balance.grants[0]
		v.GrantAge, v.Source = m.now.since(oldest.at), oldest.source
	}
	return v
}

// refuseForNow refuses a request that lacks units which the grantor does not have yet.
func (m *Member) refuseForNow(o *organisation, lacks int64, after time.Duration) Verdict {
	if part, known := m.lentTo(m.asking.current); known {
		most := math.Min(1, part+o.terms.tolerance)*o.limit.Burst + o.terms.debt
		if part <= 0.5 || float64(lacks) > most {
			return m.refuse(o, NoGrantor, min(after, smallShareRetryAfter))
		}
	}
	return m.refuse(o, Reached, after)
}

// ownRetryAfter returns when a request that lacks units is to be tried again if no grantor answers.
func (m *Member) ownRetryAfter(now Instant, o *organisation, lacks int64) time.Duration {
	n := float64(m.fleet.size())
	if !m.loan.inUse || float64(lacks) > o.limit.Burst/n {
		return m.SilentRetryAfter(now)
	}
	return o.own.TimeUntil(float64(lacks), o.limit.Rate/n, longestRetryAfter)
}

// refillOwn refills the bucket of the base share.
func (m *Member) refillOwn(now Instant, o *organisation) {
	n := float64(m.fleet.size())
	o.own.Refill(now.time(), o.limit.Rate/n, o.limit.Burst/n)
}

// Expired tells whether units that were admitted are too old for an attempt to be sent.
func (m *Member) Expired(now Instant, organisation string, admitted Instant) bool {
	o := m.organisations[organisation]
	return o != nil && now.since(admitted) > o.terms.ttl
}

// Refund gives back units of a request that did not run.
func (m *Member) Refund(now Instant, organisation string, units int64, admitted Instant) {
	o := m.organisations[organisation]
	if o == nil || units <= 0 {
		return
	}
	now = m.advance(now)
	o.used.add(now, m.bounds.Window, -units)
	if now.since(admitted) <= o.terms.ttl {
		o.balance.add(grant{units, admitted, ""})
		m.activate(o)
	}
}

// advance brings what depends on time alone up to now, and returns it. Time does not go back.
func (m *Member) advance(now Instant) Instant {
	m.now = max(m.now, now)
	now = m.now
	m.grantor.refresh(now, m.fleet.size())
	if m.loan.refresh(now, m.fleet.owns(now), lendTerm(m.fleet.size())) {
		for _, o := range m.organisations {
			o.own = ratelimit.Empty(now.time())
		}
	}
	return now
}

// mayGrant tells whether this host may grant.
func (m *Member) mayGrant(now Instant) bool { return len(m.organisations) > 0 && m.fleet.settled(now) }

// activate notes that an organisation has demand or grants.
func (m *Member) activate(o *organisation) {
	if !o.isActive {
		o.isActive = true
		m.active = append(m.active, o)
	}
}

// Status returns the state of the limits by name of the organisation.
func (m *Member) Status(now Instant) []OrganisationStatus {
	now = m.advance(now)
	all := make([]OrganisationStatus, 0, len(m.organisations))
	for _, o := range m.organisations {
		o.balance.expire(now, o.terms.ttl)
		s := OrganisationStatus{
			Organisation: o.name, Limit: o.limit, Used: o.used.sum(now, m.bounds.Window), Balance: o.balance.units,
			Granted: m.grantor.queues[o.key].granted.sum(now, m.bounds.Window), Refused: o.refused,
		}
		if m.loan.lent(now) {
			s.LentTo = m.loan.to
		}
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b OrganisationStatus) int { return strings.Compare(a.Organisation, b.Organisation) })
	return all
}

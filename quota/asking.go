package quota

import (
	"slices"
	"time"
)

const (
	// maxEntries is the largest number of organisations in one ask that is answered.
	maxEntries = 100
	// maxEntryBytes bounds the entries of an ask, and those of its reply, on the wire: with the other fields, which take
	// up to 100 bytes, a datagram stays below 1,400 bytes and is not fragmented.
	maxEntryBytes = 1250
	// returnInterval is the least time between asks that give units back. What is kept ahead of need shrinks all the
	// time, and with each 5 ms a few units of 200 organisations took 238 kB/s.
	returnInterval = 50 * time.Millisecond
	// retransmission is the time after which units are asked for again.
	retransmission = 20 * time.Millisecond
	// answerTime is how long an answer may take. Then the next host in order is asked.
	answerTime = 300 * time.Millisecond
	// roundTrip is more than an answer takes, with the interval at which due asks are sent.
	roundTrip = 150 * time.Millisecond
	// changeTime is how long a better ranked host must have answered before it is asked for grants.
	changeTime = 2 * time.Second
	// maxProbed bounds the better ranked hosts that are asked whether they would grant.
	maxProbed = 3
	// maxSent is the number of asks whose replies are awaited at most, more than a busy host sends within answerTime
	// and askGap: a grantor that has failed is noticed by asks that are older.
	maxSent = 1024
	// askGap is the least time between two asks without answer that show a failure: datagrams that are sent
	// close together are lost together.
	askGap = 50 * time.Millisecond
	// maxTickGap is the longest time between calls of Tick of a host that runs. It is called every 50 ms at least.
	maxTickGap = 150 * time.Millisecond
	// minShareGain is by how much the share of another grantor must be larger if neither has a majority, so that hosts
	// do not change to and fro while shares grow.
	minShareGain = 0.1
	// avoidTime is how long a host that was left for one with a larger share is not preferred by rank.
	avoidTime = 30 * time.Second
)

// asking is how a host chooses its grantor, and what it has asked and heard.
type asking struct {
	candidates []string // in order, this host included
	current    string   // address of the grantor
	sequence   uint64
	sent       []sentAsk // without a reply, the oldest first
	heard      map[string]*hearing
	askedAt    Instant // when the grantor was last asked
	asked      uint64  // sequence of that ask
	returnedAt Instant // when units were last given back
	probedAt   Instant
	tickedAt   Instant
	runsSince  Instant // asks from before show nothing, since this host did not run afterwards
	changedAt  Instant // when the grantor was changed
	// Until heldUntil a grantor that was preferred by rank is kept although others have larger shares: all hosts change
	// to it within that time.
	heldUntil  Instant
	avoided    map[string]Instant // by address, until when
	grantingAt Instant            // when a host was last known to grant
}

// sentAsk is an ask without a reply.
type sentAsk struct {
	sequence uint64
	to       string
	at       Instant
	entries  []AskEntry
}

// hearing is what was heard from another host that was asked.
type hearing struct {
	incarnation uint64
	clock       Instant // SentAt of the newest reply
	at          Instant // when the newest answer arrived that came in time
	answered    uint64  // sequence of the newest ask that was answered in time
	settled     bool
	since       Instant // since when it answers in time and is settled
	lent        float64 // Reply.Lent
	lentKnown   bool
}

// newAsking returns the state of a process that starts at now.
func newAsking(now Instant) asking {
	return asking{heard: make(map[string]*hearing), avoided: make(map[string]Instant), grantingAt: now}
}

// setCandidates sets the hosts that may grant, in order.
func (a *asking) setCandidates(self string, ranked []Peer) {
	a.candidates = a.candidates[:0]
	for _, p := range ranked {
		if !p.Leaving {
			a.candidates = append(a.candidates, p.Address)
		}
	}
	if !slices.ContainsFunc(ranked, func(p Peer) bool { return p.Address == self }) {
		a.candidates = append(a.candidates, self)
	}
	for address := range a.heard {
		if !slices.Contains(a.candidates, address) {
			delete(a.heard, address)
		}
	}
	for address := range a.avoided {
		if !slices.Contains(a.candidates, address) {
			delete(a.avoided, address)
		}
	}
}

// silent tells whether no host of n is known to grant: for answerTime and the interval of renewals, in which a host
// is not asked.
func (a *asking) silent(now Instant, n int) bool {
	return now.since(a.grantingAt) > answerTime+renewal(n)
}

// answers tells whether a host of n has answered lately and may grant.
func (a *asking) answers(now Instant, address string, n int) bool {
	h := a.heard[address]
	return h != nil && h.settled && now.since(h.at) <= answerAge(n)
}

// answerAge returns the age up to which an answer shows that a host answers. With more than 200 hosts renewals are
// further apart than answerTime; by that alone no host would count as one that answers when its loan is due.
func answerAge(n int) time.Duration { return max(answerTime, renewal(n)+roundTrip) }

// failed tells whether the grantor may not grant, or has not answered two asks, sent askGap apart, in time while this
// host ran. A single lost datagram, or a time in which this host had no processor, is no failure of the grantor.
func (a *asking) failed(now Instant) bool {
	if h := a.heard[a.current]; h != nil && !h.settled {
		return true
	}
	var answered uint64
	if h := a.heard[a.current]; h != nil {
		answered = h.answered
	}
	first := Instant(-1)
	for _, s := range a.sent {
		if s.to != a.current || s.sequence <= answered || s.at < a.runsSince || now.since(s.at) <= answerTime {
			continue
		}
		if first < 0 {
			first = s.at
		}
		if s.at.since(first) >= askGap {
			return true
		}
	}
	return false
}

// tick notes that this host runs.
func (a *asking) tick(now Instant) {
	if now.since(a.tickedAt) > maxTickGap {
		a.runsSince = now
	}
	a.tickedAt = now
}

// due tells whether the loan is to be renewed, or was in an ask that is likely lost.
func (a *asking) due(now Instant, n int) bool {
	age := now.since(a.askedAt)
	if age < min(roundTrip, renewal(n)) {
		return false
	}
	h := a.heard[a.current]
	return age >= renewal(n) || h == nil || h.answered < a.asked
}

// use makes a host the grantor.
func (a *asking) use(now Instant, address string) {
	if a.current == address {
		return
	}
	a.current, a.askedAt, a.probedAt, a.changedAt, a.heldUntil = address, 0, 0, now, 0
	a.sent = slices.DeleteFunc(a.sent, func(s sentAsk) bool { return s.to == address })
	if h := a.heard[address]; h != nil && !h.settled {
		delete(a.heard, address) // it may have settled since
	}
}

// lentTo returns the share of the fleet that lends to a host, as far as that is known.
func (m *Member) lentTo(address string) (part float64, known bool) {
	if address == m.id.Address {
		return m.grantor.share.part(), true
	}
	if h := m.asking.heard[address]; h != nil {
		return h.lent, h.lentKnown
	}
	return 0, false
}

// largerShare returns the host with the largest share of the fleet among those that have answered since the last
// change; empty if the grantor has a majority itself or no other one has one or clearly more.
func (m *Member) largerShare(now Instant) (best string) {
	a := &m.asking
	current, known := m.lentTo(a.current)
	if now < a.heldUntil || known && current > 0.5 {
		return ""
	}
	var most float64
	consider := func(address string, part float64) {
		larger := part > most || part == most && address < best
		if address != a.current && larger && (part > 0.5 || known && part >= current+minShareGain) {
			best, most = address, part
		}
	}
	if m.mayGrant(now) {
		consider(m.id.Address, m.grantor.share.part())
	}
	for address, h := range a.heard {
		if h.lentKnown && h.at > a.changedAt && a.answers(now, address, m.fleet.size()) {
			consider(address, h.lent)
		}
	}
	return best
}

// chooseGrantor changes the grantor if another host has a larger share, if it fails, or if a better ranked host has
// answered for changeTime. What the one before promised does not count any more.
func (m *Member) chooseGrantor(now Instant) {
	before := m.asking.current
	m.updateGrantor(now)
	if m.asking.current == before {
		return
	}
	for _, o := range m.active {
		o.promised, o.aheadAt, o.askedAt = 0, 0, 0
	}
}

// updateGrantor changes the grantor if that is due.
func (m *Member) updateGrantor(now Instant) {
	a := &m.asking
	if len(a.candidates) == 0 {
		a.candidates = append(a.candidates, m.id.Address)
	}
	at := slices.Index(a.candidates, a.current)
	if at < 0 {
		a.use(now, a.candidates[0])
		return
	}
	if to := m.largerShare(now); to != "" {
		a.avoided[a.current] = now.add(avoidTime)
		a.use(now, to)
		return
	}
	for _, better := range a.candidates[:at] {
		if m.steady(now, better) && now >= a.avoided[better] {
			a.use(now, better)
			a.heldUntil = now.add(changeTime)
			return
		}
	}
	own := a.current == m.id.Address
	if own && !m.mayGrant(now) || !own && a.failed(now) {
		if own {
			at = -1 // a host that knew no other at first begins with the best ranked one
		}
		next := a.candidates[(at+1)%len(a.candidates)]
		if next == m.id.Address && !m.mayGrant(now) {
			next = a.candidates[(at+2)%len(a.candidates)]
		}
		a.use(now, next)
	}
}

// steady tells whether a host has been able to grant for changeTime. A host that was settled by a hint does not wait so
// long in its first settleTime: when all hosts restart, they are settled one after the other, and would ask as many
// different grantors.
func (m *Member) steady(now Instant, address string) bool {
	wait := changeTime
	if m.fleet.hint > 0 && now.since(m.fleet.startedAt) < settleTime {
		wait = 0
	}
	if address == m.id.Address {
		since, settled := m.fleet.settledSince(now)
		return settled && now.since(since) >= wait
	}
	return m.asking.answers(now, address, m.fleet.size()) && now.since(m.asking.heard[address].since) >= wait
}

// HandleAsk answers the ask of another host.
func (m *Member) HandleAsk(now Instant, _ string, a Ask) Reply {
	now = m.advance(now)
	r := Reply{
		Host: m.id.Host, Incarnation: m.id.Incarnation, AskedIncarnation: a.Incarnation, Sequence: a.Sequence,
		SentAt: now, Settled: m.mayGrant(now), Lent: m.grantor.share.part(), LentKnown: true,
	}
	if len(m.organisations) == 0 || a.Host == m.id.Host || !m.grantor.hear(now, a) {
		return r
	}
	if a.Lends && a.HeardIncarnation == m.id.Incarnation && a.HeardAt <= now {
		m.grantor.lend(a.Host, a.HeardAt.add(min(a.Term, maxTerm)))
		m.grantor.refresh(now, m.fleet.size())
		r.Lent = m.grantor.share.part()
	}
	if !r.Settled {
		return r
	}
	for _, e := range a.Entries[:min(len(a.Entries), maxEntries)] {
		if granted := m.grantor.serve(now, a.Host, e); e.Want > 0 {
			r.Entries = append(r.Entries, granted)
		}
	}
	return r
}

// HandleReply takes in the answer to an ask. One that took longer than answerTime does not count as an answer.
func (m *Member) HandleReply(now Instant, from string, r Reply) {
	a := &m.asking
	i := slices.IndexFunc(a.sent, func(s sentAsk) bool { return s.sequence == r.Sequence && s.to == from })
	if r.AskedIncarnation != m.id.Incarnation || i < 0 {
		return
	}
	now = m.advance(now)
	sent := a.sent[i]
	inTime := now.since(sent.at) <= answerTime
	a.sent = slices.Delete(a.sent, i, i+1)
	a.hear(now, inTime, from, r, m.fleet.size())
	for _, e := range r.Entries {
		if o := m.byKey[e.Organisation]; o != nil {
			m.receive(now, o, sent, from, e)
		}
	}
}

// hear notes when and in which state a host of n answered.
func (a *asking) hear(now Instant, inTime bool, from string, r Reply, n int) {
	h := a.heard[from]
	if h == nil || h.incarnation != r.Incarnation {
		h = &hearing{incarnation: r.Incarnation, since: now}
		a.heard[from] = h
	}
	if r.SentAt >= h.clock {
		h.clock, h.lent, h.lentKnown = r.SentAt, r.Lent, r.LentKnown
	}
	if !inTime {
		return
	}
	if !r.Settled || !h.settled || now.since(h.at) > answerAge(n) {
		h.since = now
	}
	h.at, h.answered, h.settled = now, max(h.answered, r.Sequence), r.Settled
	if r.Settled && from == a.current {
		a.grantingAt = now
	}
}

// receive takes in what a grantor says of an organisation.
func (m *Member) receive(now Instant, o *organisation, sent sentAsk, from string, e ReplyEntry) {
	if now.since(sent.at) <= o.terms.ttl {
		o.balance.add(grant{max(0, e.Granted), sent.at, from})
		m.activate(o)
	}
	o.waiting, o.first = 0, 0 // requests that still wait call Admit again
	if sent.sequence < o.answered {
		return
	}
	o.answered = sent.sequence
	var asked AskEntry
	if i := slices.IndexFunc(sent.entries, func(a AskEntry) bool { return a.Organisation == e.Organisation }); i >= 0 {
		asked = sent.entries[i]
	}
	if asked.Least == 0 {
		// Units ahead of need are granted in part while others want some too; this says nothing about a request.
		o.aheadAt = now.add(min(e.RetryAfter, aheadTime))
		return
	}
	o.promised = 0
	if e.RetryAfter > 0 {
		o.promised, o.retryAt, o.retryNeed = now, now.add(min(e.RetryAfter, longestRetryAfter)), asked.Least
	} else if e.Granted < asked.Want {
		o.askedAt = 0 // the rest is there
	}
}

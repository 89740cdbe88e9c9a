package quota

import (
	"math/bits"
	"slices"
	"time"
)

// Tick returns the asks that are due. It is to be called every 5 ms while Admit waits, else every 50 ms.
func (m *Member) Tick(now Instant) []Outgoing {
	if len(m.organisations) == 0 {
		return nil
	}
	now = m.advance(now)
	m.asking.tick(now)
	m.retire(now)
	m.chooseGrantor(now)
	out := m.probes(now)
	if m.asking.current == m.id.Address {
		m.serveSelf(now)
		return out
	}
	urgent := slices.ContainsFunc(m.active, func(o *organisation) bool { return o.needsUnits(now) })
	if urgent || m.asking.due(now, m.fleet.size()) {
		out = append(out, m.ask(now))
	}
	return out
}

// retire drops what is no longer needed of organisations, and of asks whose replies would be void.
func (m *Member) retire(now Instant) {
	m.active = slices.DeleteFunc(m.active, func(o *organisation) bool {
		o.balance.expire(now, o.terms.ttl)
		if o.waiting > 0 && now.since(o.waitedAt) > waitMemory {
			o.waiting, o.first = 0, 0
		}
		o.isActive = o.balance.units > 0 || o.waiting > 0 || !o.demand.idle(now)
		return !o.isActive
	})
	m.asking.sent = slices.DeleteFunc(m.asking.sent, func(s sentAsk) bool { return now.since(s.at) > time.Second })
}

// serveSelf lends the base share to this host's own granting side and gives back units that it does not need.
func (m *Member) serveSelf(now Instant) {
	m.asking.grantingAt = now
	term := lendTerm(m.fleet.size())
	if m.fleet.owns(now) && m.loan.mayLend(now, m.id.Address, term) {
		m.loan.lend(now, m.id.Address, term)
		m.asking.sequence++
		own := Ask{Host: m.id.Host, Incarnation: m.id.Incarnation, Sequence: m.asking.sequence, Fleet: m.fleet.size()}
		if m.grantor.hear(now, own) {
			m.grantor.lend(m.id.Host, m.loan.until)
			m.grantor.refresh(now, m.fleet.size())
		}
	}
	for _, o := range m.active {
		if units := o.balance.units; units > 0 {
			o.balance.take(units)
			m.grantor.serve(now, m.id.Host, AskEntry{Organisation: o.key, Returned: units})
		}
	}
}

// probes returns asks without contents for better ranked hosts than the grantor, and for the next ones in order while
// the grantor has no majority: one of these may have it.
func (m *Member) probes(now Instant) []Outgoing {
	a := &m.asking
	at := slices.Index(a.candidates, a.current)
	part, known := m.lentTo(a.current)
	minority := known && part <= 0.5
	if at < 0 || at == 0 && !minority || now.since(a.probedAt) < renewal(m.fleet.size()) {
		return nil
	}
	a.probedAt = now
	var out []Outgoing
	probed := slices.Clone(a.candidates[:min(at, maxProbed)])
	if minority {
		probed = append(probed, a.candidates[at+1:min(at+1+maxProbed, len(a.candidates))]...)
	}
	for _, address := range probed {
		if address != m.id.Address {
			out = append(out, m.outgoing(now, address, nil))
		}
	}
	return out
}

// needsUnits tells whether units are to be asked for now.
func (o *organisation) needsUnits(now Instant) bool {
	if o.askedAt > 0 && now.since(o.askedAt) < retransmission {
		return false
	}
	if o.waiting > 0 {
		return now >= o.promisedAt(now, o.first-o.balance.units)
	}
	ahead := o.demand.ahead(now, o.terms.ttl)
	return now >= o.aheadAt && float64(o.balance.units) < ahead/2
}

// entry returns what an ask says of the organisation. Units that are given back, if that is due, leave the balance.
func (o *organisation) entry(now Instant, returns bool) (AskEntry, bool) {
	e := AskEntry{Organisation: o.key}
	ahead := int64(o.demand.ahead(now, o.terms.ttl))
	if o.needsUnits(now) {
		e.Least = max(0, o.first-o.balance.units)
		e.Waiting = max(e.Least, o.waiting-o.balance.units)
		most := max(int64(o.limit.Burst), e.Least)
		e.Want = min(most, max(e.Least, o.waiting+ahead-o.balance.units))
		e.Waiting = min(e.Waiting, e.Want)
		o.askedAt = now
	} else if surplus := o.balance.units - ahead; returns && surplus > 0 && o.waiting == 0 {
		o.balance.take(surplus)
		e.Returned = surplus
	}
	return e, e.Want > 0 || e.Returned > 0
}

// largestEntryBytes is the most that an entry takes on the wire, or that of its reply: a key, and up to three numbers
// of up to maxUnits.
const largestEntryBytes = 2 + 9 + 3*(1+6)

// bytes returns at least the size of the entry and of the one that answers it on the wire.
func (e AskEntry) bytes() int {
	number := func(n int64) int {
		if n == 0 {
			return 0
		}
		return 1 + (bits.Len64(uint64(n))+6)/7
	}
	want := number(e.Want)
	ask := want + number(e.Least) + number(e.Waiting) + number(e.Returned)
	reply := want + number(longestRetryAfter.Milliseconds())
	return 2 + 9 + max(ask, reply)
}

// ask returns an ask to the grantor, which lends the base share if it may.
func (m *Member) ask(now Instant) Outgoing {
	var entries []AskEntry
	var bytes int
	returns := now.since(m.asking.returnedAt) >= returnInterval
	for i, o := range m.active {
		if len(entries) == maxEntries || bytes+largestEntryBytes > maxEntryBytes {
			// The others come first in the next ask.
			m.active = append(slices.Clone(m.active[i:]), m.active[:i]...)
			break
		}
		if e, ok := o.entry(now, returns); ok {
			entries = append(entries, e)
			bytes += e.bytes()
			if e.Returned > 0 {
				m.asking.returnedAt = now
			}
		}
	}
	a := &m.asking
	out := m.outgoing(now, a.current, entries)
	a.askedAt, a.asked = now, out.Ask.Sequence
	term := lendTerm(m.fleet.size())
	if m.fleet.owns(now) && a.answers(now, a.current, m.fleet.size()) && m.loan.mayLend(now, a.current, term) {
		m.loan.lend(now, a.current, term)
		out.Ask.Lends, out.Ask.Term = true, term
	}
	return out
}

// outgoing returns an ask with the given entries and notes it as sent.
func (m *Member) outgoing(now Instant, to string, entries []AskEntry) Outgoing {
	a := &m.asking
	a.sequence++
	a.sent = append(a.sent, sentAsk{sequence: a.sequence, to: to, at: now, entries: entries})
	if len(a.sent) > maxSent {
		a.sent = a.sent[1:]
	}
	ask := Ask{
		Host: m.id.Host, Incarnation: m.id.Incarnation, Sequence: a.sequence, Fleet: m.fleet.size(),
		Settled: m.fleet.settled(now), Entries: entries,
	}
	if h := a.heard[to]; h != nil {
		ask.HeardAt, ask.HeardIncarnation = h.clock, h.incarnation
	}
	return Outgoing{To: to, Ask: ask}
}

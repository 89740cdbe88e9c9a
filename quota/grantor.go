package quota

import (
	"math"
	"time"

	"zinniapin/ratelimit"
)

const (
	// maxTerm bounds the term that a grantor accepts.
	maxTerm = 10 * time.Second
	// askerMemory is how long an asker is remembered after its last ask and the end of its loan.
	askerMemory = 2 * time.Second
	// wantMemory is how long a host counts as one that wants units of an organisation.
	wantMemory = 2 * time.Second
	// A place in the queue is kept for placeGrace and a fifth, the jitter of Retry-After, beyond the promised time, but
	// no longer than wantMemory: a host that has demand asks again within promiseMemory.
	placeGrace = 100 * time.Millisecond
	// maxUnits bounds the units of an entry, so that sums of them do not overflow.
	maxUnits = 1 << 40
)

// asker is what a grantor knows of a host that asks, itself included.
type asker struct {
	incarnation, sequence uint64
	askedAt               Instant
	lentUntil             Instant // end of the loan, by this host's clock
	fleet                 int
	counted               bool // as a lender in the grantor's share
}

// grantor is the side of a host that grants to others and to itself.
type grantor struct {
	askers map[uint64]*asker
	share  share
	queues map[uint64]*queue // by organisation
	served uint64            // number of the last place in a queue
	bounds Bounds
	// The share is computed anew if changed is set, if this host remembers another number of hosts than ownFleet, or from
	// changesAt on, when the next loan ends or the next asker is forgotten.
	changed   bool
	changesAt Instant
	ownFleet  int
}

// share is what part of each limit was lent to a grantor.
type share struct {
	lenders, fleet int
}

// majority tells whether the share is more than half of the fleet.
func (s share) majority() bool { return 2*s.lenders > s.fleet }

// part returns the share of the fleet that lends.
func (s share) part() float64 { return float64(s.lenders) / float64(s.fleet) }

// of returns the share of a limit with a tolerance.
func (s share) of(tolerance float64) float64 {
	if s.lenders == 0 {
		return 0
	}
	part := s.part()
	if s.majority() {
		part = math.Min(1, part+tolerance)
	}
	return part
}

// queue is what a grantor knows of an organisation.
type queue struct {
	limit   Limit
	terms   terms
	bucket  ratelimit.Bucket
	wanters map[uint64]*wanter // by host
	granted counter
	placed  int     // wanters with a place
	sweepAt Instant // none of them lapses or is dropped before
}

// wanter is a host that lately wanted units of an organisation.
type wanter struct {
	wantedAt Instant
	typical  float64 // units of a large request of this host; decays with each request
	granted  ratelimit.Average
	// place and need are set while the host waits for units that it was promised; the promise lapses at lapseAt.
	place   uint64
	need    float64
	lapseAt Instant
}

// newGrantor returns the granting side of a process.
func newGrantor(b Bounds) grantor {
	return grantor{askers: make(map[uint64]*asker), queues: make(map[uint64]*queue), bounds: b, share: share{fleet: 1}}
}

// setLimit sets the limit of an organisation. A level above the new burst is cut at once.
func (g *grantor) setLimit(now Instant, organisation uint64, l Limit, t terms) {
	q := g.queues[organisation]
	if q == nil {
		q = &queue{limit: l, terms: t, bucket: ratelimit.Empty(now.time()), wanters: make(map[uint64]*wanter)}
		g.queues[organisation] = q
	}
	rate, _ := q.scaled(g.share)
	q.limit, q.terms = l, t
	newRate, burst := q.scaled(g.share)
	q.bucket.Refill(now.time(), math.Min(rate, newRate), burst)
}

// scaled returns the rate and the burst of the bucket of an organisation.
func (q *queue) scaled(s share) (rate, burst float64) {
	part := s.of(q.terms.tolerance)
	return part * q.limit.Rate, part * q.limit.Burst
}

// refresh computes the share anew; ownFleet is the number of hosts that this host remembers. Buckets are refilled by
// the smaller one of the old and the new share, since the old one may have ended at any time since.
func (g *grantor) refresh(now Instant, ownFleet int) {
	if !g.changed && ownFleet == g.ownFleet && now < g.changesAt {
		return // it is called for each message, and a walk over 300 askers took more time than the rest of it
	}
	g.changed, g.ownFleet, g.changesAt = false, ownFleet, math.MaxInt64
	s := share{fleet: ownFleet}
	for host, a := range g.askers {
		a.counted = now < a.lentUntil
		end := a.lentUntil
		if a.counted {
			s.lenders++
			s.fleet = max(s.fleet, a.fleet)
		} else if end = a.askedAt.add(askerMemory) + 1; now >= end {
			delete(g.askers, host)
			continue
		}
		g.changesAt = min(g.changesAt, end)
	}
	s.fleet = max(s.fleet, s.lenders)
	if s == g.share {
		return
	}
	for _, q := range g.queues {
		oldRate, _ := q.scaled(g.share)
		rate, burst := q.scaled(s)
		q.bucket.Refill(now.time(), math.Min(oldRate, rate), burst)
	}
	g.share = s
}

// hear notes an ask; it returns false if a newer one of the host was heard.
func (g *grantor) hear(now Instant, a Ask) bool {
	known := g.askers[a.Host]
	if known == nil {
		known = &asker{}
		g.askers[a.Host] = known
		g.changesAt = min(g.changesAt, now.add(askerMemory)+1)
	}
	if a.Incarnation < known.incarnation || a.Incarnation == known.incarnation && a.Sequence <= known.sequence {
		return false
	}
	g.changed = g.changed || known.counted && known.fleet != a.Fleet
	known.incarnation, known.sequence, known.askedAt, known.fleet = a.Incarnation, a.Sequence, now, a.Fleet
	return true
}

// lend notes that a host lends its base share until the given time by this host's clock.
func (g *grantor) lend(host uint64, until Instant) {
	a := g.askers[host]
	a.lentUntil = max(a.lentUntil, until)
	g.changed = g.changed || !a.counted
}

// serve grants units of an organisation to a host. least is what its first waiting request lacks. A host that did not
// get all is told when it will get that, and has a place in the queue until then.
func (g *grantor) serve(now Instant, host uint64, e AskEntry) ReplyEntry {
	r := ReplyEntry{Organisation: e.Organisation}
	want := min(max(0, e.Want), maxUnits)
	q := g.queues[e.Organisation]
	if q == nil {
		r.Granted = want // no limit here
		return r
	}
	rate, burst := q.scaled(g.share)
	q.bucket.Level += float64(min(max(0, e.Returned), maxUnits))
	q.bucket.Refill(now.time(), rate, burst)
	w := q.wanter(now, host, want)
	if w == nil {
		return r
	}
	least := float64(min(max(0, e.Least), want))
	if least > 0 {
		w.typical = math.Max(least, 0.98*w.typical)
	}
	level := q.bucket.Level - q.reserved(now, host, w, rate, burst)
	waiting := float64(min(max(0, e.Waiting), want))
	granted := q.grantable(g.share, level, float64(want), least, waiting, burst)
	if least > 0 && granted == 0 {
		q.enqueue(g, now, w, least, level, rate, burst, &r)
		return r
	}
	if least > 0 {
		q.setNeed(w, 0)
	}
	q.bucket.Level -= granted
	w.granted.Add(now.time(), granted, wantMemory)
	r.Granted = int64(granted)
	q.granted.add(now, g.bounds.Window, r.Granted)
	if rest := float64(want) - granted; rest > 0 {
		next := rest
		if least > 0 {
			next = math.Min(rest, least)
		}
		if level-granted < next {
			r.RetryAfter = max(time.Millisecond, timeUntil(next-(level-granted), rate))
		}
	}
	return r
}

// grantable returns what of the wanted units may be granted from a level: a fair part, or what the first waiting
// request lacks, or all of them if the level covers that.
func (q *queue) grantable(s share, level, want, least, waiting, burst float64) float64 {
	if least > burst {
		// More than a full bucket: the bucket is full but for rounding, and goes below zero by the debt at most.
		if s.majority() && level >= burst*(1-1e-9) && level-least >= -q.terms.debt {
			return least
		}
		return 0
	}
	if level < least {
		return 0
	}
	most := math.Max(least, level/float64(len(q.wanters)))
	if waiting <= level {
		most = math.Max(most, waiting)
	}
	return math.Floor(math.Max(0, math.Min(want, most)))
}

// setNeed sets what a wanter with a place waits for, or takes its place away.
func (q *queue) setNeed(w *wanter, need float64) {
	if w.need > 0 {
		q.placed--
	}
	if need > 0 {
		q.placed++
	}
	w.need = need
}

// enqueue gives a host a place in the queue, if the share allows its request at all, and sets when to ask again.
func (q *queue) enqueue(g *grantor, now Instant, w *wanter, least, level, rate, burst float64, r *ReplyEntry) {
	if rate <= 0 {
		r.RetryAfter = minLendTerm // hosts may lend by then
		return
	}
	if least > burst && (!g.share.majority() || burst-least < -q.terms.debt) {
		r.RetryAfter = minLendTerm // more hosts may lend by then
		if least > q.limit.Burst+q.terms.debt {
			r.RetryAfter = longestRetryAfter
		}
		return
	}
	if w.need == 0 {
		g.served++
		w.place = g.served
	}
	q.setNeed(w, math.Min(least, burst))
	r.RetryAfter = max(time.Millisecond, timeUntil(w.need-level, rate))
	w.lapseAt = now.add(min(r.RetryAfter+r.RetryAfter/5+placeGrace, wantMemory))
	q.sweepAt = min(q.sweepAt, w.lapseAt)
}

// wanter notes that a host wants units, drops those that did not lately, and returns the host's entry; nil if it
// wants none.
func (q *queue) wanter(now Instant, host uint64, want int64) *wanter {
	if now > q.sweepAt {
		q.sweep(now)
	}
	if want == 0 {
		return nil
	}
	w := q.wanters[host]
	if w == nil {
		w = &wanter{}
		q.wanters[host] = w
		q.sweepAt = min(q.sweepAt, now.add(wantMemory))
	}
	w.wantedAt = now
	return w
}

// sweep lets places lapse and drops hosts that did not want units lately.
func (q *queue) sweep(now Instant) {
	q.sweepAt = math.MaxInt64
	for h, w := range q.wanters {
		if w.need > 0 && now > w.lapseAt {
			q.setNeed(w, 0)
		}
		end := w.wantedAt.add(wantMemory)
		if w.need > 0 {
			end = w.lapseAt
		} else if now > end {
			delete(q.wanters, h)
			continue
		}
		q.sweepAt = min(q.sweepAt, end)
	}
}

// reserved returns the units that are kept for other hosts: those with an earlier place, and, if this host was granted
// more than a fair part of the rate lately, those with less, and one request of such a host that does not wait.
func (q *queue) reserved(now Instant, host uint64, w *wanter, rate, burst float64) float64 {
	fair := rate / float64(len(q.wanters))
	over := w.granted.RateAt(now.time(), wantMemory) > fair
	if !over && (q.placed == 0 || q.placed == 1 && w.need > 0) {
		return 0
	}
	var waiting, next float64
	for h, other := range q.wanters {
		if h == host {
			continue
		}
		under := over && other.granted.RateAt(now.time(), wantMemory) < fair
		switch {
		case other.need > 0 && (under || w.need == 0 || other.place < w.place):
			waiting += other.need
		case under:
			next = math.Max(next, other.typical)
		}
	}
	return waiting + math.Min(next, burst/4)
}

// timeUntil returns how long units take to accrue, at most longestRetryAfter.
func timeUntil(units, rate float64) time.Duration {
	var b ratelimit.Bucket
	return b.TimeUntil(units, rate, longestRetryAfter)
}

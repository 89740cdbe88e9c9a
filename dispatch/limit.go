package dispatch

import (
	"time"

	"zinniapin/roster"
	"zinniapin/target"
)

// An overloaded target names in its answers how many requests a second it takes from all hosts together. A
// share for each of hundreds of hosts would be less than a request a minute, with a burst of one each. So a
// few hosts are entitled to the target at a time, about one for each request a second; all hosts choose the
// same ones by rendezvous hashing, and others after a while. Hosts tell each other what targets have named,
// since a host that is not entitled gets no answers.

const (
	// entitlementTime is how long the same hosts are entitled to a target.
	entitlementTime = 10 * time.Second
	// probeRate is the number of requests a second, of all hosts together, with which a target is tried that
	// takes fewer: nobody would learn otherwise that it takes more again.
	probeRate = 0.2
	// limitNewsTime is how long hosts tell each other that a target names no limit any more.
	limitNewsTime = 20 * time.Second
)

// limit is what a target names, and this host's part of it. A nil limit is none.
type limit struct {
	perSecond float64
	fleet     *fleet
	key       uint32  // of the target
	allowance float64 // requests that this host may send now; negative after several at once
	filledAt  time.Time
	epoch     int64 // entitled is that of the epoch
	entitled  bool
}

// hosts returns the number of hosts that are entitled at a time.
func (l *limit) hosts() int {
	live := l.fleet.size()
	if l.perSecond >= float64(live) {
		return live
	}
	return min(1+int(l.perSecond), live)
}

// fill adds to the allowance what has become due since the last call.
func (l *limit) fill(now time.Time) {
	epoch := now.Add(l.fleet.offset).UnixNano() / int64(entitlementTime)
	if epoch != l.epoch {
		entitled := l.isEntitled(epoch)
		if entitled && !l.entitled {
			l.allowance = min(l.allowance, 0) // what others have used meanwhile isn't known
		}
		l.epoch, l.entitled = epoch, entitled
	}
	if !l.fleet.settled(now) {
		l.allowance = min(l.allowance, 0)
	} else if l.entitled {
		rate := max(l.perSecond, probeRate) / float64(l.hosts())
		l.allowance = min(l.allowance+rate*now.Sub(l.filledAt).Seconds(), 1)
	}
	l.filledAt = now
}

// isEntitled tells whether this host is among those with the highest weights in an epoch.
func (l *limit) isEntitled(epoch int64) bool {
	seed := mix(uint64(l.key)<<32 | uint64(uint32(epoch)))
	own, above := mix(seed^l.fleet.self), 0
	for _, other := range l.fleet.others {
		if mix(seed^other) > own {
			above++
		}
	}
	return above < l.hosts()
}

// allows tells whether this host may send the target a request now.
func (l *limit) allows(now time.Time) bool {
	if l == nil {
		return true
	}
	l.fill(now)
	return l.entitled && l.allowance >= 1
}

// use counts a request that is sent to the target.
func (l *limit) use(now time.Time) {
	if l != nil {
		l.fill(now)
		l.allowance--
	}
}

// opensAt returns when a host may send the target a request again: this one if it is entitled, else another.
func (l *limit) opensAt(now time.Time) time.Time {
	if l.allows(now) {
		return now
	}
	rate := max(l.perSecond, probeRate)
	if !l.fleet.settled(now) {
		return l.fleet.grownAt.Add(settleTime)
	}
	if !l.entitled {
		return now.Add(time.Duration(float64(time.Second) / rate))
	}
	return now.Add(time.Duration((1 - l.allowance) * float64(l.hosts()) / rate * float64(time.Second)))
}

// SetLimit records the limit that a target named in an answer, or that it named none. It returns whether
// that changes what is known.
func (p *Planner) SetLimit(now time.Time, t roster.Target, perSecond float64, named bool) bool {
	return p.setLimit(now, now.Add(p.fleet.offset), t.ID, t.StartedMillis, perSecond, named)
}

// setLimit is SetLimit for an answer that a host got at a time by the shared clock. Older ones are ignored.
func (p *Planner) setLimit(now, answered time.Time, id target.ID, startedMillis int64, perSecond float64, named bool) bool {
	known := p.notices[id]
	if !named && (known == nil || known.limitedAt.IsZero()) {
		return false
	}
	n := p.noticeOf(now, id, startedMillis)
	if n == nil || !answered.After(n.limitedAt) {
		return false
	}
	before := n.limit
	n.limitedAt, n.at = answered, now
	changed := named != (before != nil) || named && before.perSecond != perSecond
	if changed {
		n.limitChangedAt = now
	}
	switch {
	case !named:
		n.limit = nil
	case before == nil:
		n.limit = &limit{perSecond: perSecond, fleet: &p.fleet, key: KeyOf(id), filledAt: now}
	default:
		before.fill(now)
		before.perSecond = perSecond
	}
	return changed
}

// LimitNews is what a target named last, as hosts tell each other.
type LimitNews struct {
	Target        uint32 // as by KeyOf
	StartedMillis int64
	PerSecond     float64
	Limited       bool
	AnsweredAt    time.Time // by the clock that all hosts share
}

// LimitNews returns news of at most n targets that have changed what they name within an age, others each
// time.
func (p *Planner) LimitNews(now time.Time, n int, maxAge time.Duration) []LimitNews {
	var all []LimitNews
	for id, known := range p.notices { // in random order
		ended := known.limit == nil && now.Add(p.fleet.offset).Sub(known.limitedAt) > limitNewsTime
		if known.limitedAt.IsZero() || ended || now.Sub(known.limitChangedAt) > maxAge || len(all) == n {
			continue
		}
		news := LimitNews{Target: KeyOf(id), StartedMillis: known.startedMillis, Limited: known.limit != nil, AnsweredAt: known.limitedAt}
		if known.limit != nil {
			news.PerSecond = known.limit.perSecond
		}
		all = append(all, news)
	}
	return all
}

// ApplyLimit takes a peer's news of a target into account, and returns whether that changes what is known.
func (p *Planner) ApplyLimit(now time.Time, news LimitNews) bool {
	s := p.byKey[news.Target]
	if s == nil || news.AnsweredAt.After(now.Add(p.fleet.offset+maxClockError)) {
		return false
	}
	if !news.Limited && (s.notice == nil || s.notice.limitedAt.IsZero()) {
		return false
	}
	return p.setLimit(now, news.AnsweredAt, s.target.ID, news.StartedMillis, news.PerSecond, news.Limited)
}

// maxClockError is how far the shared clocks of two hosts may differ.
const maxClockError = 500 * time.Millisecond

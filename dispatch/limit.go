package dispatch

import (
	"time"

	"zinniapin/roster"
	"zinniapin/target"
)

// An overloaded target names in its answers how many requests a second it takes from all hosts together. Few
// hosts divide it in shares. For each of hundreds of hosts a share would be less than a request a minute, with a
// burst of one each; there they take turns. Hosts tell each other what targets have named, since a host that may
// not send there gets no answers.

const (
	// probeRate is the number of requests a second, of all hosts together, with which a target is tried that
	// takes fewer: nobody would learn otherwise that it takes more again.
	probeRate = 0.2
	// hostsPerRequest is the number of hosts for each request a second up to which they have shares.
	hostsPerRequest = 2
	// limitNewsTime is how long hosts tell each other that a target names no limit any more.
	limitNewsTime = 20 * time.Second
)

// limit is what a target names, and this host's part of it. A nil limit is none.
type limit struct {
	perSecond float64
	fleet     *fleet
	shared    bool    // hosts have shares, else turns
	allowance float64 // of a share: requests that this host may send now; negative after several at once
	filledAt  time.Time
	turns     turns
}

// newLimit returns the limit that a target names.
func newLimit(now time.Time, n *notice, f *fleet, key uint32, perSecond float64) *limit {
	return &limit{perSecond: perSecond, fleet: f, filledAt: now, turns: turns{key: key, notice: n}}
}

// rate returns the requests a second that all hosts together send at most.
func (l *limit) rate() float64 { return max(l.perSecond, probeRate) }

// update adds what has become due since the last call.
func (l *limit) update(now time.Time) {
	before := l.shared
	l.shared = l.fleet.size() == 1 || float64(l.fleet.size()) <= hostsPerRequest*l.perSecond
	switch {
	case !l.fleet.settled(now):
		l.allowance = min(l.allowance, 0)
	case !l.shared:
		l.turns.update(now, l.fleet, l.rate()*turnShare)
	case !before:
		l.allowance = min(l.allowance, 0) // what others have used meanwhile isn't known
	default:
		l.allowance = min(l.allowance+l.rate()/float64(l.fleet.size())*now.Sub(l.filledAt).Seconds(), 1)
	}
	l.filledAt = now
}

// allows tells whether this host may send the target a request now.
func (l *limit) allows(now time.Time) bool {
	if l == nil {
		return true
	}
	l.update(now)
	if !l.shared {
		return l.fleet.settled(now) && l.turns.has()
	}
	return l.allowance >= 1
}

// use counts a request that is sent to the target.
func (l *limit) use(now time.Time) {
	if l == nil {
		return
	}
	l.update(now)
	if l.shared {
		l.allowance--
	} else {
		l.turns.use(now)
	}
}

// opensAt returns when a host may send the target a request again: this one if it has a share, else another.
func (l *limit) opensAt(now time.Time) time.Time {
	if l.allows(now) {
		return now
	}
	wait := 1 / l.rate()
	if !l.fleet.settled(now) {
		return l.fleet.grownAt.Add(settleTime)
	}
	if l.shared {
		wait *= (1 - l.allowance) * float64(l.fleet.size())
	}
	return now.Add(time.Duration(wait * float64(time.Second)))
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
		n.limit = newLimit(now, n, &p.fleet, KeyOf(id), perSecond)
	default:
		before.update(now)
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

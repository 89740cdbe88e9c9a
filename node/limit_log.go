package node

import (
	"time"

	"zinniapin/event"
	"zinniapin/quota"
)

// refusalLinesPerSecond bounds the lines about refusals of one organisation.
const refusalLinesPerSecond = 2

// refusalLog counts the lines of an organisation in a second, and the refusals without a line.
type refusalLog struct {
	since          quota.Instant
	lines, leftOut int
}

// recordRefusal counts a refusal and logs it, unless its organisation has had its lines of this second.
func (l *organisationLimits) recordRefusal(organisation string, units int64, o limitOutcome) {
	l.mu.Lock()
	limit, limited := (*l.limits.Load())[organisation]
	if !limited {
		l.mu.Unlock()
		return
	}
	reasons := l.refusals[organisation]
	if reasons == nil {
		reasons = make(map[quota.Reason]int64)
		l.refusals[organisation] = reasons
	}
	reasons[o.verdict.Reason]++
	lines := l.logged[organisation]
	if lines == nil {
		lines = &refusalLog{since: o.at}
		l.logged[organisation] = lines
	}
	if time.Duration(o.at-lines.since) >= time.Second {
		lines.since, lines.lines = o.at, 0
	}
	if lines.lines >= refusalLinesPerSecond {
		lines.leftOut++
		l.mu.Unlock()
		return
	}
	lines.lines++
	leftOut := lines.leftOut
	lines.leftOut = 0
	l.mu.Unlock()
	v := o.verdict
	event.LimitRefused.Log(l.log).Str("organisation", organisation).Str("reason", string(v.Reason)).Float64("rate_per_s", limit.Rate).Float64("burst", limit.Burst).
		Int64("wanted", units).Int64("balance", v.Balance).Str("source", v.Source).Float64("grant_age_ms", float64(v.GrantAge)/float64(time.Millisecond)).
		Float64("retry_after_s", v.RetryAfter.Seconds()).Int("left_out", leftOut).Send()
}

// observeShare logs changes of the host to which the own base share is lent. It is called once a second.
func (l *organisationLimits) observeShare() {
	if !l.active() {
		return
	}
	l.mu.Lock()
	before, now := l.lentTo, lentTo(l.core.Status(l.now()))
	ended := before == "" && l.hasLent
	l.lentTo, l.hasLent = now, l.hasLent || now != ""
	l.mu.Unlock()
	if now == before {
		return
	}
	event.LimitGrantor.Log(l.log).Str("grantor", now).Str("before", before).Send()
	// A host that has just started lends its share for the first time, which is no return to normal.
	if now == "" || ended {
		event.LimitShareUsed.Log(l.log).Bool("lent", now != "").Send()
	}
}

// lentTo returns the host to which the base share of all limits is lent, empty if it is not.
func lentTo(all []quota.OrganisationStatus) string {
	for _, s := range all {
		if s.LentTo != "" {
			return s.LentTo
		}
	}
	return ""
}

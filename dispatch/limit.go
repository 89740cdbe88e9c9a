package dispatch

import (
	"time"

	"zinniapin/roster"
)

// limit is the number of requests that a target takes in a second from all hosts together, as it names it
// in its answers.
type limit struct {
	perSecond float64
}

// SetLimit records the limit that a target named in an answer, or that it named none. It returns whether
// that changes what is known.
func (p *Planner) SetLimit(now time.Time, t roster.Target, perSecond float64, named bool) bool {
	known := p.notices[t.ID]
	if !named && (known == nil || known.limit == nil) {
		return false
	}
	n := p.noticeOf(now, t.ID, t.StartedMillis)
	if n == nil || named && n.limit != nil && n.limit.perSecond == perSecond {
		return false
	}
	n.at, n.limit = now, nil
	if named {
		n.limit = &limit{perSecond: perSecond}
	}
	return true
}

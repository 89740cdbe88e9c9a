package nodesoak

import (
	"fmt"
	"slices"
	"time"

	"zinniapin/internal/standin/prepared"
)

// limitSpan is a time in which a target names a limit.
type limitSpan struct {
	target    *prepared.Target
	perSecond float64
	from, to  time.Time
}

// limitTarget makes a target name a limit for some seconds, unless it leaves or names one.
func (d *deployment) limitTarget(s *prepared.Target) {
	_, leaves := d.leftAt[s.ID]
	if leaves || slices.ContainsFunc(d.limits, func(l limitSpan) bool { return l.target == s && l.to.After(time.Now()) }) {
		return
	}
	l := limitSpan{target: s, perSecond: 0.5 + 4*d.random.Float64(), from: time.Now()}
	l.to = l.from.Add(time.Duration(4+d.random.IntN(8)) * time.Second)
	d.limits = append(d.limits, l)
	s.SetHeader(fmt.Sprintf("Server-Limit: %.1f\r\n", l.perSecond))
	time.AfterFunc(time.Until(l.to), func() { s.SetHeaderUnless("Server-Leaving", "") })
}

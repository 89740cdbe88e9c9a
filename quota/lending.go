package quota

import "time"

const (
	minLendTerm     = 500 * time.Millisecond
	lendTermPerHost = 5 * time.Millisecond
	renewalShare    = 0.3 // of the term
)

// lendTerm returns for how long a base share is lent in a fleet of n hosts.
func lendTerm(n int) time.Duration { return max(minLendTerm, time.Duration(n)*lendTermPerHost) }

// renewal returns the interval at which a loan is renewed.
func renewal(n int) time.Duration {
	return time.Duration(renewalShare * float64(lendTerm(n)))
}

// loan says what became of this host's base share.
type loan struct {
	startedAt Instant // of the process; the one before it may have lent the share for a term
	to        string  // address of the host to which the share was lent last
	until     Instant // end of that term, by this host's clock
	inUse     bool    // this host uses the share itself
}

// lent tells whether the share is lent.
func (l *loan) lent(now Instant) bool { return now < l.until }

// mayLend tells whether a host that owns its share may lend it to a grantor.
func (l *loan) mayLend(now Instant, to string, term time.Duration) bool {
	return now.since(l.startedAt) >= term && (!l.lent(now) || l.to == to)
}

// lend lends the share for a term from now.
func (l *loan) lend(now Instant, to string, term time.Duration) {
	l.to, l.until, l.inUse = to, max(l.until, now.add(term)), false
}

// refresh notes whether the share is in use by a host that owns it or not. It returns true if the host has just got
// it back; its buckets are then empty.
func (l *loan) refresh(now Instant, owns bool, term time.Duration) (returned bool) {
	used := l.inUse
	l.inUse = owns && now.since(l.startedAt) >= term && !l.lent(now)
	return l.inUse && !used
}

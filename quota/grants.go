package quota

import "time"

// grant is a number of units that may be used until they are older than the organisation's grantTTL.
type grant struct {
	units  int64
	at     Instant // when the ask was sent
	source string  // address of the grantor; empty for units of the base share that were refunded
}

// balance holds the grants of an organisation, the oldest first.
type balance struct {
	grants []grant
	units  int64 // sum of grants
}

// add adds a grant in order of age.
func (b *balance) add(g grant) {
	if g.units <= 0 {
		return
	}
	b.units += g.units
	i := len(b.grants)
	for i > 0 && b.grants[i-1].at > g.at {
		i--
	}
	b.grants = append(b.grants, grant{})
	copy(b.grants[i+1:], b.grants[i:])
	b.grants[i] = g
}

// expire drops grants older than ttl.
func (b *balance) expire(now Instant, ttl time.Duration) {
	for len(b.grants) > 0 && now.since(b.grants[0].at) > ttl {
		b.units -= b.grants[0].units
		b.grants = b.grants[1:]
	}
}

// take removes units, at most those that are there, and returns the oldest grant they came from.
func (b *balance) take(units int64) (oldest grant) {
	units = min(units, b.units)
	if units > 0 {
		oldest = b.grants[0]
	}
	b.units -= units
	for units > 0 {
		g := &b.grants[0]
		n := min(units, g.units)
		g.units -= n
		units -= n
		if g.units == 0 {
			b.grants = b.grants[1:]
		}
	}
	return oldest
}

// cut removes what exceeds most.
func (b *balance) cut(most float64) {
	if excess := b.units - int64(most); excess > 0 {
		b.take(excess)
	}
}

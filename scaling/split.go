package scaling

import (
	"math"
	"time"
)

// Order is the number of targets to order in a zone, by kind.
type Order struct {
	Reserved, Reclaimable int
}

// NextOrder turns a wish into the orders that lead to it without a gap: targets
// that cannot be reclaimed are given back only once reclaimable ones serve, and
// stand in for them, as far as there is a shortage, while none are to be had.
// Most is the bound of both kinds together.
func NextOrder(most int, w DesiredCounts, have Zone, dry bool, shortage int) Order {
	if dry {
		missing := min(max(w.Reclaimable-have.Reclaimable, 0), max(shortage, 0))
		reserved := max(w.Reserved+missing, min(have.Reserved, w.Reserved+w.Reclaimable))
		return Order{min(reserved, max(most-have.Reclaimable, w.Reserved)), min(w.Reclaimable, max(most-have.Reserved, 0))}
	}
	// Half of the bound is left to reclaimable targets, so that there is room to
	// begin with.
	kept := max(min(have.Reserved, most-min(w.Reclaimable, (most+1)/2)), w.Reserved)
	o := Order{w.Reserved, min(w.Reclaimable, most-kept)}
	if have.Reclaimable < o.Reclaimable {
		o.Reserved = kept
	}
	return o
}

// Shortage returns how many targets are missing, in all zones, of what covers
// the peak of the demand.
func (p *Planner) Shortage(now time.Time, zones []Zone) int {
	if p.begun.IsZero() || now.Sub(p.begun) < p.policy.WarmUp {
		return 0
	}
	serving := 0
	for _, z := range zones {
		serving += z.Reserved + z.Reclaimable
	}
	return max(int(math.Ceil(p.peak()*p.policy.FallbackHeadroom/p.policy.TargetSpeed))-serving, 0)
}

package scaling

import (
	"math"
	"time"
)

// Order is the number of targets to order in a zone, by kind. The platform starts or
// stops targets until it has as many.
type Order struct {
	Reserved, Reclaimable int
}

// NextOrder returns the next order on the way from the current to the desired targets of
// a zone, so that capacity never drops in between. Reserved targets are released only once
// reclaimable ones serve. While reclaimable ones are unavailable, reserved ones replace
// them, but no more than the shortage. maxTargets bounds both kinds together.
func NextOrder(maxTargets int, desired DesiredCounts, current Zone, unavailable bool, shortage int) Order {
	if unavailable {
		missing := min(max(desired.Reclaimable-current.Reclaimable, 0), max(shortage, 0))
		reserved := max(desired.Reserved+missing, min(current.Reserved, desired.Reserved+desired.Reclaimable))
		return Order{min(reserved, max(maxTargets-current.Reclaimable, desired.Reserved)), min(desired.Reclaimable, max(maxTargets-current.Reserved, 0))}
	}
	// Up to half of maxTargets is left to reclaimable targets, so that some can
	// start before reserved ones are released.
	keptReserved := max(min(current.Reserved, maxTargets-min(desired.Reclaimable, (maxTargets+1)/2)), desired.Reserved)
	o := Order{desired.Reserved, min(desired.Reclaimable, maxTargets-keptReserved)}
	if current.Reclaimable < o.Reclaimable {
		o.Reserved = keptReserved
	}
	return o
}

// Shortage returns how many targets all zones together lack to serve the peak demand with
// Policy.FallbackHeadroom. It is 0 until the demand is known.
func (p *Planner) Shortage(now time.Time, zones []Zone) int {
	if p.firstDemand.IsZero() || now.Sub(p.firstDemand) < p.policy.WarmUp {
		return 0
	}
	serving := 0
	for _, z := range zones {
		serving += z.Reserved + z.Reclaimable
	}
	return max(int(math.Ceil(p.peakDemand()*p.policy.FallbackHeadroom/p.policy.TargetSpeed))-serving, 0)
}

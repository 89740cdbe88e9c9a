// Package scaling decides how many targets of a service to order in each
// availability zone. Demand may swing within seconds, while a new target takes seconds
// to start. So the number of targets follows the peak demand of a window that is longer
// than the swings. Cheap targets are ordered first.
package scaling

import (
	"math"
	"sort"
	"time"

	"zinniapin/route"
)

// Policy holds the parameters of the decisions.
type Policy struct {
	// Headroom is the capacity to order, as a multiple of the peak demand.
	Headroom float64
	// FallbackHeadroom is the capacity, as a multiple of the peak demand, up to which
	// reserved targets replace reclaimable ones that are unavailable.
	FallbackHeadroom float64
	// TargetSpeed is the number of prompt tokens per second that one target is
	// assumed to process.
	TargetSpeed float64
	// ReservedPerZone is the number of targets to order in each zone that the platform
	// cannot reclaim.
	ReservedPerZone int
	// PeakWindow is the window over which the peak demand is taken.
	PeakWindow time.Duration
	// WarmUp is the time from the first demand until its peak counts as known. Until
	// then a fleet without reclaimable targets, that is, one that was never scaled,
	// grows by the factor WarmUpGrowth.
	WarmUp       time.Duration
	WarmUpGrowth float64
}

// DefaultPolicy returns the default policy.
func DefaultPolicy() Policy {
	return Policy{Headroom: 5, FallbackHeadroom: 1.7, TargetSpeed: 45_000, ReservedPerZone: 1, PeakWindow: 12 * time.Second, WarmUp: 6 * time.Second, WarmUpGrowth: 2}
}

// Zone is the state of a service in one availability zone.
type Zone struct {
	Name string
	// Reserved and Reclaimable are the numbers of targets that serve there, by kind.
	Reserved, Reclaimable int
}

// DesiredCounts is the desired number of targets in a zone, by kind.
type DesiredCounts struct {
	Zone                  string
	Reserved, Reclaimable int
}

// sample is the demand at a point in time.
type sample struct {
	at     time.Time
	tokens float64 // prompt tokens per second
}

// Planner decides on the targets of one service. It is not safe for concurrent use.
type Planner struct {
	policy  Policy
	samples []sample
	// warmUpTargets is the number of targets to have until the demand is known;
	// firstDemand is when there was demand for the first time.
	warmUpTargets int
	firstDemand   time.Time
}

// New returns a planner for one service.
func New(p Policy) *Planner { return &Planner{policy: p} }

// RecordDemand records the present demand, in prompt tokens per second.
func (p *Planner) RecordDemand(now time.Time, tokens float64) {
	if p.firstDemand.IsZero() && tokens > 0 {
		p.firstDemand = now
	}
	p.samples = append(p.samples, sample{now, tokens})
	for len(p.samples) > 0 && now.Sub(p.samples[0].at) > p.policy.PeakWindow {
		p.samples = p.samples[1:]
	}
}

// peakDemand returns the highest demand of the last PeakWindow.
func (p *Planner) peakDemand() float64 {
	peak := 0.0
	for _, s := range p.samples {
		peak = math.Max(peak, s.tokens)
	}
	return peak
}

// warmUpMinimum returns the least number of targets to have until the demand is known,
// and 0 after that. A fleet that has reclaimable targets was scaled before and is kept as
// it is. Another may be too small for the demand to come and is enlarged.
func (p *Planner) warmUpMinimum(now time.Time, zones []Zone) int {
	if !p.firstDemand.IsZero() && now.Sub(p.firstDemand) >= p.policy.WarmUp {
		return 0
	}
	total, reclaimable := 0, 0
	for _, z := range zones {
		total += z.Reserved + z.Reclaimable
		reclaimable += z.Reclaimable
	}
	if reclaimable == 0 {
		total = int(float64(total) * p.policy.WarmUpGrowth)
	}
	p.warmUpTargets = max(p.warmUpTargets, total)
	return p.warmUpTargets
}

// Desired returns the desired number of targets in each zone, cheapest zone first. Each
// zone has some that cannot be reclaimed. The others are reclaimable if the service has
// such targets. They are spread evenly over the zones, so that the loss of a zone leaves
// the others, with any remainder in the cheapest zones.
func (p *Planner) Desired(now time.Time, s *route.Scaling, zones []Zone) []DesiredCounts {
	if s == nil || len(zones) == 0 {
		return nil
	}
	needed := max(int(math.Ceil(p.peakDemand()*p.policy.Headroom/p.policy.TargetSpeed)), p.warmUpMinimum(now, zones))
	reserved := min(max(p.policy.ReservedPerZone, s.Min), s.Max)
	desired := make([]DesiredCounts, len(zones))
	byPrice := append([]Zone(nil), zones...)
	sort.Slice(byPrice, func(i, j int) bool {
		a, b := s.ZonePrices[byPrice[i].Name], s.ZonePrices[byPrice[j].Name]
		if a != b {
			return a < b
		}
		return byPrice[i].Name < byPrice[j].Name
	})
	for i, z := range byPrice {
		desired[i] = DesiredCounts{Zone: z.Name, Reserved: reserved}
		needed -= reserved
	}
	for placed := true; needed > 0 && placed; {
		placed = false
		for i := range desired {
			if needed <= 0 || desired[i].Reserved+desired[i].Reclaimable >= s.Max {
				continue
			}
			if s.ReclaimablePrice > 0 {
				desired[i].Reclaimable++
			} else {
				desired[i].Reserved++
			}
			needed--
			placed = true
		}
	}
	return desired
}

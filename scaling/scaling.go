// Package scaling decides how many targets of a service to order in each
// availability zone. It answers loads whose prompts swing within seconds while
// a new target takes seconds to start: the number follows the peak of a span
// longer than the swings, cheap targets first.
package scaling

import (
	"math"
	"sort"
	"time"

	"zinniapin/route"
)

// Policy are the weights of the decision.
type Policy struct {
	// Headroom is the capacity ordered, in relation to the peak of the demand.
	Headroom float64
	// Cover is the same for what dear targets stand in for.
	FallbackHeadroom float64
	// TargetSpeed is the prompt tokens a second that one target is taken to
	// process.
	TargetSpeed float64
	// Keep is the number of targets in each zone that cannot be reclaimed.
	ReservedPerZone int
	// Peak is the span whose peak demand counts.
	PeakWindow time.Duration
	// Settle is how long callers must have asked before the demand is taken for
	// known; before that an untouched fleet grows by Growth.
	WarmUp       time.Duration
	WarmUpGrowth float64
}

// DefaultPolicy returns the policy that is used where settings say nothing.
func DefaultPolicy() Policy {
	return Policy{Headroom: 5, FallbackHeadroom: 1.7, TargetSpeed: 45_000, ReservedPerZone: 1, PeakWindow: 12 * time.Second, WarmUp: 6 * time.Second, WarmUpGrowth: 2}
}

// Zone is what is known of a service in one availability zone.
type Zone struct {
	Name string
	// Reserved and Reclaimable are the targets that serve there, by kind.
	Reserved, Reclaimable int
}

// DesiredCounts is the number of targets ordered in a zone, by kind.
type DesiredCounts struct {
	Zone                  string
	Reserved, Reclaimable int
}

// sample is the demand at a time.
type sample struct {
	at     time.Time
	tokens float64
}

// Planner decides for one service. It is not safe for concurrent use.
type Planner struct {
	policy  Policy
	samples []sample
	// found is the most targets that were wished for before the demand is known,
	// begun the time of the first demand.
	found int
	begun time.Time
}

// New returns a planner.
func New(p Policy) *Planner { return &Planner{policy: p} }

// RecordDemand notes the prompt tokens a second that callers ask for.
func (p *Planner) RecordDemand(now time.Time, tokens float64) {
	if p.begun.IsZero() && tokens > 0 {
		p.begun = now
	}
	p.samples = append(p.samples, sample{now, tokens})
	for len(p.samples) > 0 && now.Sub(p.samples[0].at) > p.policy.PeakWindow {
		p.samples = p.samples[1:]
	}
}

// peak returns the highest demand of the span.
func (p *Planner) peak() float64 {
	peak := 0.0
	for _, s := range p.samples {
		peak = math.Max(peak, s.tokens)
	}
	return peak
}

// least returns the number of targets before the demand is known. A fleet that
// was ordered already is kept; one that was not may be too small for what comes.
func (p *Planner) least(now time.Time, zones []Zone) int {
	if !p.begun.IsZero() && now.Sub(p.begun) >= p.policy.WarmUp {
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
	p.found = max(p.found, total)
	return p.found
}

// Desired returns how many targets to order in each zone. Each zone keeps some
// that cannot be reclaimed; the rest are reclaimable, most in the zones where
// they are cheap, yet spread so that the loss of one zone leaves the others.
func (p *Planner) Desired(now time.Time, s *route.Scaling, zones []Zone) []DesiredCounts {
	if s == nil || len(zones) == 0 {
		return nil
	}
	needed := max(int(math.Ceil(p.peak()*p.policy.Headroom/p.policy.TargetSpeed)), p.least(now, zones))
	keep := min(max(p.policy.ReservedPerZone, s.Min), s.Max)
	wishes := make([]DesiredCounts, len(zones))
	order := append([]Zone(nil), zones...)
	sort.Slice(order, func(i, j int) bool {
		a, b := s.ZonePrices[order[i].Name], s.ZonePrices[order[j].Name]
		if a != b {
			return a < b
		}
		return order[i].Name < order[j].Name
	})
	for i, z := range order {
		wishes[i] = DesiredCounts{Zone: z.Name, Reserved: keep}
		needed -= keep
	}
	for placed := true; needed > 0 && placed; {
		placed = false
		for i := range wishes {
			if needed <= 0 || wishes[i].Reserved+wishes[i].Reclaimable >= s.Max {
				continue
			}
			if s.ReclaimablePrice > 0 {
				wishes[i].Reclaimable++
			} else {
				wishes[i].Reserved++
			}
			needed--
			placed = true
		}
	}
	return wishes
}

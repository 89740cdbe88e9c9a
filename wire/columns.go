package wire

import (
	"math"
	"time"

	"zinniapin/control"
)

// FromDemands returns the columns of demands.
func FromDemands(demands []control.Demand) *DemandColumns {
	c := &DemandColumns{}
	for _, d := range demands {
		c.Organisations = append(c.Organisations, d.Organisation)
		c.RequestsPerSecond = append(c.RequestsPerSecond, float32(d.RequestsPerSecond))
		c.Concurrency = append(c.Concurrency, uint32(max(0, d.Concurrency)))
		c.TokensPerMinute = append(c.TokensPerMinute, float32(d.TokensPerMinute))
	}
	return c
}

// ColumnsOf returns the columns of demands that are messages.
func ColumnsOf(demands []*Demand) *DemandColumns {
	plain := make([]control.Demand, len(demands))
	for i, d := range demands {
		plain[i] = d.ToDemand()
	}
	return FromDemands(plain)
}

// ToDemands returns the demands of columns; a row that lacks a figure has 0
// there.
func (x *DemandColumns) ToDemands() []*Demand {
	demands := make([]*Demand, len(x.GetOrganisations()))
	for i := range demands {
		demands[i] = &Demand{
			Organisation:      x.Organisations[i],
			RequestsPerSecond: float64(at(x.RequestsPerSecond, i)),
			Concurrency:       int32(min(at(x.Concurrency, i), math.MaxInt32)),
			TokensPerMinute:   float64(at(x.TokensPerMinute, i)),
		}
	}
	return demands
}

// at returns an element, or zero beyond the end.
func at[T any](values []T, i int) T {
	if i < len(values) {
		return values[i]
	}
	var zero T
	return zero
}

// FromGrants returns the columns of grants in the order of the organisations;
// those without a grant have a term of 0.
func FromGrants(organisations []string, grants []*Grant) *GrantColumns {
	byName := make(map[string]*Grant, len(grants))
	for _, g := range grants {
		byName[g.Organisation] = g
	}
	c := &GrantColumns{}
	for _, name := range organisations {
		g := byName[name]
		if g == nil {
			g = &Grant{}
		}
		c.ConfigRevision = max(c.ConfigRevision, g.ConfigRevision)
		c.RequestsPerSecond = append(c.RequestsPerSecond, down(g.RequestsPerSecond))
		c.Concurrency = append(c.Concurrency, uint32(max(0, g.Concurrency)))
		c.TokensPerMinute = append(c.TokensPerMinute, down(g.TokensPerMinute))
		c.TermS = append(c.TermS, uint32(max(0, g.TermMs)/time.Second.Milliseconds()))
	}
	return c
}

// down rounds down, so that a sum of shares does not grow.
func down(x float64) float32 {
	rounded := float32(x)
	if float64(rounded) > x {
		return math.Nextafter32(rounded, 0)
	}
	return rounded
}

// ToGrants returns the grants of columns that answer a request for the
// organisations.
func (x *GrantColumns) ToGrants(organisations []string) []*Grant {
	var grants []*Grant
	for i, term := range x.GetTermS() {
		if term == 0 || i >= len(organisations) {
			continue
		}
		grants = append(grants, &Grant{
			Organisation:      organisations[i],
			ConfigRevision:    x.ConfigRevision,
			RequestsPerSecond: float64(at(x.RequestsPerSecond, i)),
			Concurrency:       int32(min(at(x.Concurrency, i), math.MaxInt32)),
			TokensPerMinute:   float64(at(x.TokensPerMinute, i)),
			TermMs:            int64(term) * time.Second.Milliseconds(),
		})
	}
	return grants
}

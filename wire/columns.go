package wire

import (
	"math"
	"time"

	"zinniapin/control"
)

// FromDemands encodes demands in columns, one row per demand.
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

// ColumnsOf encodes demand messages in columns.
func ColumnsOf(demands []*Demand) *DemandColumns {
	plain := make([]control.Demand, len(demands))
	for i, d := range demands {
		plain[i] = d.ToDemand()
	}
	return FromDemands(plain)
}

// ToDemands decodes the columns, one demand per organisation. A column that is
// shorter than that of the organisations counts as 0 in the missing rows.
func (x *DemandColumns) ToDemands() []*Demand {
	demands := make([]*Demand, len(x.GetOrganisations()))
	for i := range demands {
		demands[i] = &Demand{
			Organisation:      x.Organisations[i],
			RequestsPerSecond: float64(valueAt(x.RequestsPerSecond, i)),
			Concurrency:       int32(min(valueAt(x.Concurrency, i), math.MaxInt32)),
			TokensPerMinute:   float64(valueAt(x.TokensPerMinute, i)),
		}
	}
	return demands
}

// valueAt returns values[i], or the zero value if the slice is too short.
func valueAt[T any](values []T, i int) T {
	if i < len(values) {
		return values[i]
	}
	var zero T
	return zero
}

// FromGrants encodes grants in columns, one row per organisation in the given
// order. An organisation without a grant has a term of 0.
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
		c.RequestsPerSecond = append(c.RequestsPerSecond, roundDown(g.RequestsPerSecond))
		c.Concurrency = append(c.Concurrency, uint32(max(0, g.Concurrency)))
		c.TokensPerMinute = append(c.TokensPerMinute, roundDown(g.TokensPerMinute))
		c.TermS = append(c.TermS, uint32(max(0, g.TermMs)/time.Second.Milliseconds()))
	}
	return c
}

// roundDown converts to float32, rounding towards zero, so that the grants of an
// organisation together do not exceed its limits. x is not negative.
func roundDown(x float64) float32 {
	rounded := float32(x)
	if float64(rounded) > x {
		return math.Nextafter32(rounded, 0)
	}
	return rounded
}

// ToGrants decodes the columns. The organisations are those of the request that
// the columns answer, in its order; those without a grant are left out.
func (x *GrantColumns) ToGrants(organisations []string) []*Grant {
	var grants []*Grant
	for i, term := range x.GetTermS() {
		if term == 0 || i >= len(organisations) {
			continue
		}
		grants = append(grants, &Grant{
			Organisation:      organisations[i],
			ConfigRevision:    x.ConfigRevision,
			RequestsPerSecond: float64(valueAt(x.RequestsPerSecond, i)),
			Concurrency:       int32(min(valueAt(x.Concurrency, i), math.MaxInt32)),
			TokensPerMinute:   float64(valueAt(x.TokensPerMinute, i)),
			TermMs:            int64(term) * time.Second.Milliseconds(),
		})
	}
	return grants
}

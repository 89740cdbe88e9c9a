package scaling_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/route"
	"zinniapin/scaling"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// bounds are those of a service in two zones.
func bounds() *route.Scaling {
	return &route.Scaling{Min: 1, Max: 6, ReclaimablePrice: 0.2, ZonePrices: map[string]float64{"cheap": 0.8, "dear": 1.2}}
}

// untouched is a fleet as it was found.
func untouched() []scaling.Zone {
	return []scaling.Zone{{Name: "cheap", Reserved: 3}, {Name: "dear", Reserved: 3}}
}

// total returns the targets wished for.
func total(wishes []scaling.DesiredCounts) (reserved, reclaimable int) {
	for _, w := range wishes {
		reserved += w.Reserved
		reclaimable += w.Reclaimable
	}
	return reserved, reclaimable
}

// Before any caller has asked, the demand of 0 is no reason to give targets
// back: traffic may begin at any moment and targets take seconds to start.
func TestQuietStartKeepsTheFleet(t *testing.T) {
	is := is.New(t)
	p := scaling.New(scaling.DefaultPolicy())
	for i := range 20 {
		now := start.Add(time.Duration(i) * time.Second)
		p.RecordDemand(now, 0)
		reserved, reclaimable := total(p.Desired(now, bounds(), untouched()))
		is.True(reserved+reclaimable >= 6)
	}
}

// A swing that is shorter than the start of a target changes nothing.
func TestSwingsDoNotShrinkTheFleet(t *testing.T) {
	is := is.New(t)
	p := scaling.New(scaling.DefaultPolicy())
	least, most := 100, 0
	for i := range 60 {
		now := start.Add(time.Duration(i) * time.Second)
		demand := 80_000.0
		if i%6 < 3 {
			demand = 20_000
		}
		p.RecordDemand(now, demand)
		reserved, reclaimable := total(p.Desired(now, bounds(), untouched()))
		if i > 12 {
			least, most = min(least, reserved+reclaimable), max(most, reserved+reclaimable)
		}
	}
	is.Equal(least, most)
}

func TestBoundsHold(t *testing.T) {
	is := is.New(t)
	p := scaling.New(scaling.DefaultPolicy())
	p.RecordDemand(start, 1e9)
	for _, w := range p.Desired(start, bounds(), untouched()) {
		is.True(w.Reserved >= 1)
		is.Equal(w.Reserved+w.Reclaimable, 6)
	}
	none := bounds()
	none.ReclaimablePrice = 0
	for _, w := range p.Desired(start, none, untouched()) {
		is.Equal(w.Reclaimable, 0) // there are none of that kind
		is.Equal(w.Reserved, 6)
	}
}

// Cheap targets are spread, so that the loss of a zone leaves others, and the
// odd one goes where it costs least.
func TestCheapTargetsAreSpread(t *testing.T) {
	is := is.New(t)
	policy := scaling.DefaultPolicy()
	p := scaling.New(policy)
	for i := range 20 {
		p.RecordDemand(start.Add(time.Duration(i)*time.Second), 5*policy.TargetSpeed/policy.Headroom)
	}
	wishes := p.Desired(start.Add(20*time.Second), bounds(), untouched())
	is.Equal(wishes[0].Zone, "cheap")
	is.Equal(wishes[0].Reclaimable, 2)
	is.Equal(wishes[1].Reclaimable, 1)
}

func TestDemandThatFallsShrinksTheFleet(t *testing.T) {
	is := is.New(t)
	p := scaling.New(scaling.DefaultPolicy())
	for i := range 40 {
		demand := 1e6
		if i > 10 {
			demand = 1000
		}
		p.RecordDemand(start.Add(time.Duration(i)*time.Second), demand)
	}
	reserved, reclaimable := total(p.Desired(start.Add(40*time.Second), bounds(), untouched()))
	is.Equal(reserved, 2)
	is.Equal(reclaimable, 0)
}

// A fleet as it was found goes over to cheap targets without a moment with
// fewer than it had.
func TestChangeToCheapTargetsLeavesNoGap(t *testing.T) {
	is := is.New(t)
	w := scaling.DesiredCounts{Zone: "z", Reserved: 1, Reclaimable: 5}
	is.Equal(scaling.NextOrder(6, w, scaling.Zone{Reserved: 3}, false, 0), scaling.Order{Reserved: 3, Reclaimable: 3})
	is.Equal(scaling.NextOrder(6, w, scaling.Zone{Reserved: 3, Reclaimable: 3}, false, 0), scaling.Order{Reserved: 1, Reclaimable: 3})
	is.Equal(scaling.NextOrder(6, w, scaling.Zone{Reserved: 1, Reclaimable: 3}, false, 0), scaling.Order{Reserved: 1, Reclaimable: 5})
	is.Equal(scaling.NextOrder(6, w, scaling.Zone{Reserved: 1, Reclaimable: 5}, false, 0), scaling.Order{Reserved: 1, Reclaimable: 5})
}

// While a zone is reclaimed and no cheap targets are to be had, others stand in
// for them, but no more than there is a shortage; afterwards it goes back.
func TestDearTargetsStandInForReclaimedOnes(t *testing.T) {
	is := is.New(t)
	w := scaling.DesiredCounts{Zone: "z", Reserved: 1, Reclaimable: 5}
	is.Equal(scaling.NextOrder(6, w, scaling.Zone{Reserved: 1}, true, 3).Reserved, 4)
	is.Equal(scaling.NextOrder(6, w, scaling.Zone{Reserved: 1}, true, 0).Reserved, 1)
	is.Equal(scaling.NextOrder(6, w, scaling.Zone{Reserved: 1}, true, 50).Reserved, 6)
	is.Equal(scaling.NextOrder(6, w, scaling.Zone{Reserved: 4}, true, 0).Reserved, 4) // no reason to give back in between
	is.Equal(scaling.NextOrder(6, w, scaling.Zone{Reserved: 6}, false, 0), scaling.Order{Reserved: 3, Reclaimable: 3})
}

func TestOrdersStayWithinTheBound(t *testing.T) {
	is := is.New(t)
	for reserved := range 7 {
		for reclaimable := range 7 {
			for _, dry := range []bool{false, true} {
				o := scaling.NextOrder(6, scaling.DesiredCounts{Reserved: 1, Reclaimable: 5}, scaling.Zone{Reserved: reserved, Reclaimable: reclaimable}, dry, 9)
				is.True(o.Reserved >= 1 && o.Reserved <= 6)
				is.True(o.Reclaimable >= 0 && o.Reclaimable <= 5)
			}
		}
	}
}

// The loss of a zone is a shortage only as far as the others do not cover the
// demand.
func TestShortage(t *testing.T) {
	is := is.New(t)
	policy := scaling.DefaultPolicy()
	p := scaling.New(policy)
	for i := range 10 {
		p.RecordDemand(start.Add(time.Duration(i)*time.Second), 9.9*policy.TargetSpeed/policy.FallbackHeadroom)
	}
	now := start.Add(10 * time.Second)
	is.Equal(p.Shortage(now, []scaling.Zone{{Reserved: 1, Reclaimable: 5}}), 4)
	is.Equal(p.Shortage(now, []scaling.Zone{{Reserved: 10, Reclaimable: 50}}), 0)
}

package uplink

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/grant"
)

// largeFleet is a number of gateways at which rounds have the maximum length.
const largeFleet = 390

// sameLimits returns the same limits for every organisation. Their guaranteed share among
// largeFleet gateways is 0.0032 requests a second and one concurrent request.
func sameLimits(string) (contract.Limits, bool) {
	return contract.Limits{RequestsPerSecond: 5, Concurrency: 16}, true
}

// secondsDue calls the selector for n seconds with the same demand and returns the seconds in
// which the demand is due, that is, selected for the gateway's grant request. After each second
// it calls grantAt, which may record a grant.
func secondsDue(s *demandSelector, n, gateways int, d control.Demand, grantAt func(second int, now time.Time)) []int {
	var seconds []int
	s.lastSecond = 9_999
	for i := range n {
		now := time.Unix(10_000+int64(i), 0)
		if len(s.due(now, []control.Demand{d}, gateways, sameLimits)) > 0 {
			seconds = append(seconds, i)
		}
		grantAt(i, now)
	}
	return seconds
}

// recordNoGrant records no grant.
func recordNoGrant(int, time.Time) {}

// TestAllDemandsAreDueEverySecondInSmallFleets checks that, with fewer live gateways than long
// grants need, a grant is requested every second for every demand, even an empty one, which the
// gateway's guaranteed share of the organisation's limits covers without a grant.
func TestAllDemandsAreDueEverySecondInSmallFleets(t *testing.T) {
	is := is.New(t)
	seconds := secondsDue(newDemandSelector("g"), 10, grant.LongTermMinGateways-1, control.Demand{Organisation: "svetki"}, recordNoGrant)
	is.Equal(len(seconds), 10)
}

// TestGrantsAreRequestedWhereNeeded covers, in a large fleet, demands within the guaranteed share,
// small demands, which wait for the turn of their shard, large ones, which do not, and grants that
// cover the demand, are too small for it, expire soon or have the short term.
func TestGrantsAreRequestedWhereNeeded(t *testing.T) {
	is := is.New(t)
	small := control.Demand{Organisation: "svetki", RequestsPerSecond: 0.02, Concurrency: 1}
	large := control.Demand{Organisation: "svetki", RequestsPerSecond: 2, Concurrency: 4}
	grantIn := func(s *demandSelector, at int, rate float64, concurrency int, term time.Duration) func(int, time.Time) {
		return func(second int, now time.Time) {
			if second == at {
				s.recordGrants(now, []control.Grant{{Organisation: "svetki", RequestsPerSecond: rate, Concurrency: concurrency, Expires: now.Add(term)}})
			}
		}
	}
	withinShare := control.Demand{Organisation: "svetki", RequestsPerSecond: 0.003, Concurrency: 1}
	is.Equal(len(secondsDue(newDemandSelector("g"), 60, largeFleet, withinShare, recordNoGrant)), 0)
	is.Equal(len(secondsDue(newDemandSelector("g"), 3*int(roundSeconds(largeFleet)), largeFleet, small, recordNoGrant)), 3)
	is.Equal(len(secondsDue(newDemandSelector("g"), 10, largeFleet, large, recordNoGrant)), 10)

	s := newDemandSelector("g")
	seconds := secondsDue(s, 60, largeFleet, large, grantIn(s, 0, 3, 5, grant.LongTerm))
	is.True(len(seconds) == 2 || len(seconds) == 3) // at first, and in turn before the grant expires
	is.Equal(seconds[0], 0)
	is.True(seconds[1] >= 60-maxRoundSeconds-int(renewMargin/time.Second))
	s = newDemandSelector("g")
	is.Equal(len(secondsDue(s, 10, largeFleet, large, grantIn(s, 0, 1, 5, grant.LongTerm))), 10) // the grant is too small
	s = newDemandSelector("g")
	is.Equal(len(secondsDue(s, 10, largeFleet, small, grantIn(s, 0, 1, 5, 20*time.Second))), turnCount(10)) // the grant expires soon
	s = newDemandSelector("g")
	s.recordGrants(time.Unix(9_999, 0), []control.Grant{{Organisation: "svetki", RequestsPerSecond: 1, Concurrency: 5, Expires: time.Unix(10_002, 0)}})
	is.Equal(secondsDue(s, 2, largeFleet, small, recordNoGrant), []int{0, 1}) // a grant with the short term is renewed every second
}

// turnCount returns how many turns the shard of the test organisation has in n seconds.
func turnCount(n int) int {
	return len(secondsDue(newDemandSelector("g"), n, largeFleet, control.Demand{Organisation: "svetki", RequestsPerSecond: 0.02}, recordNoGrant))
}

// TestRoundsBatchByShard checks that in a round every organisation is due once, together with
// the others of its shard, and that the shards are spread over the seconds of the round.
func TestRoundsBatchByShard(t *testing.T) {
	is := is.New(t)
	s := newDemandSelector("g")
	var demands []control.Demand
	for i := range 1_000 {
		demands = append(demands, control.Demand{Organisation: fmt.Sprint("o", i), RequestsPerSecond: 0.02})
	}
	dueCounts, most := map[string]int{}, 0
	s.lastSecond = 9_999
	for i := range int64(maxRoundSeconds) {
		due := s.due(time.Unix(10_000+i, 0), demands, largeFleet+maxRoundSeconds, sameLimits)
		most = max(most, len(due))
		for _, d := range due {
			dueCounts[d.Organisation]++
		}
	}
	is.Equal(len(dueCounts), len(demands))
	for _, n := range dueCounts {
		is.Equal(n, 1)
	}
	is.True(most < len(demands)/maxRoundSeconds*2)
	afterPause := s.due(time.Unix(11_000, 0), demands, largeFleet, sameLimits)
	is.Equal(len(afterPause), len(demands)) // no turn is lost by a pause
}

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

// askerFleet is a number of gateways at which rounds are as long as they get.
const askerFleet = 390

// limitsOfAll returns limits whose safe share at askerFleet gateways is 0.0032
// requests a second and one at once.
func limitsOfAll(string) (contract.Limits, bool) {
	return contract.Limits{RequestsPerSecond: 5, Concurrency: 16}, true
}

// asks returns the seconds, of n, in which the asker asks for a demand that
// does not change; told hands it a grant in the second that it names.
func asks(a *asker, n, gateways int, d control.Demand, told func(second int, now time.Time)) []int {
	var seconds []int
	a.last = 9_999
	for i := range n {
		now := time.Unix(10_000+int64(i), 0)
		if len(a.due(now, []control.Demand{d}, gateways, limitsOfAll)) > 0 {
			seconds = append(seconds, i)
		}
		told(i, now)
	}
	return seconds
}

// nothing is told.
func nothing(int, time.Time) {}

// TestSmallFleetsAskForAllEverySecond asks even for what the safe share covers.
func TestSmallFleetsAskForAllEverySecond(t *testing.T) {
	is := is.New(t)
	seconds := asks(newAsker("g"), 10, grant.LongTermMinGateways-1, control.Demand{Organisation: "svetki"}, nothing)
	is.Equal(len(seconds), 10)
}

// TestAsksOnlyWhereNeeded covers demands within the safe share, single
// requests, which wait for their turn, many, which do not, and grants that cover
// the demand, fall short of it, end or have the short term.
func TestAsksOnlyWhereNeeded(t *testing.T) {
	is := is.New(t)
	few := control.Demand{Organisation: "svetki", RequestsPerSecond: 0.02, Concurrency: 1}
	many := control.Demand{Organisation: "svetki", RequestsPerSecond: 2, Concurrency: 4}
	tell := func(a *asker, at int, rate float64, concurrency int, term time.Duration) func(int, time.Time) {
		return func(second int, now time.Time) {
			if second == at {
				a.take(now, []control.Grant{{Organisation: "svetki", RequestsPerSecond: rate, Concurrency: concurrency, Expires: now.Add(term)}})
			}
		}
	}
	safe := control.Demand{Organisation: "svetki", RequestsPerSecond: 0.003, Concurrency: 1}
	is.Equal(len(asks(newAsker("g"), 60, askerFleet, safe, nothing)), 0)
	is.Equal(len(asks(newAsker("g"), 3*int(round(askerFleet)), askerFleet, few, nothing)), 3)
	is.Equal(len(asks(newAsker("g"), 10, askerFleet, many, nothing)), 10)

	a := newAsker("g")
	seconds := asks(a, 60, askerFleet, many, tell(a, 0, 3, 5, grant.LongTerm))
	is.True(len(seconds) == 2 || len(seconds) == 3) // the first, and in turn before the end
	is.Equal(seconds[0], 0)
	is.True(seconds[1] >= 60-longestRound-int(renewMargin/time.Second))
	a = newAsker("g")
	is.Equal(len(asks(a, 10, askerFleet, many, tell(a, 0, 1, 5, grant.LongTerm))), 10) // falls short
	a = newAsker("g")
	is.Equal(len(asks(a, 10, askerFleet, few, tell(a, 0, 1, 5, 20*time.Second))), turns(10)) // it covers, but ends soon
	a = newAsker("g")
	a.take(time.Unix(9_999, 0), []control.Grant{{Organisation: "svetki", RequestsPerSecond: 1, Concurrency: 5, Expires: time.Unix(10_002, 0)}})
	is.Equal(asks(a, 2, askerFleet, few, nothing), []int{0, 1}) // the short term is renewed every second
}

// turns returns how often the organisation's shard has its turn in n seconds.
func turns(n int) int {
	return len(asks(newAsker("g"), n, askerFleet, control.Demand{Organisation: "svetki", RequestsPerSecond: 0.02}, nothing))
}

// TestRoundsBatchByShard checks that a round asks once for each organisation,
// those of a shard together, and spreads over its seconds.
func TestRoundsBatchByShard(t *testing.T) {
	is := is.New(t)
	a := newAsker("g")
	var demands []control.Demand
	for i := range 1_000 {
		demands = append(demands, control.Demand{Organisation: fmt.Sprint("o", i), RequestsPerSecond: 0.02})
	}
	seen, most := map[string]int{}, 0
	a.last = 9_999
	for i := range int64(longestRound) {
		due := a.due(time.Unix(10_000+i, 0), demands, askerFleet+longestRound, limitsOfAll)
		most = max(most, len(due))
		for _, d := range due {
			seen[d.Organisation]++
		}
	}
	is.Equal(len(seen), len(demands))
	for _, n := range seen {
		is.Equal(n, 1)
	}
	is.True(most < len(demands)/longestRound*2)
	late := a.due(time.Unix(11_000, 0), demands, askerFleet, limitsOfAll)
	is.Equal(len(late), len(demands)) // no turn is lost by a pause
}

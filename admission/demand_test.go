package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/grant"
)

// TestGrantWithoutWholeRequestRunsOne checks that a gateway whose grant has concurrency 0, as
// rounding down may give, runs one request at a time and not two.
func TestGrantWithoutWholeRequestRunsOne(t *testing.T) {
	is := is.New(t)
	c := New(10)
	c.SetCapacity("p", 10)
	c.SetGateways(grant.LongTermMinGateways)
	terms := &contract.Contract{Organisation: "a", Limits: contract.Limits{RequestsPerSecond: 100, Concurrency: 16}}
	c.SetGrants(start, []control.Grant{{Organisation: "a", RequestsPerSecond: 5, Expires: start.Add(time.Minute)}})
	_, err := c.Admit(start, request(terms, start, 1))
	is.NoErr(err)
	_, err = c.Admit(start.Add(time.Second), request(terms, start.Add(time.Second), 1))
	is.True(err != nil)
}

// TestDemandOfLargeFleet checks that a single request counts as one per idleSpan in a large
// fleet and as one per shortRateSpan in a small one, and that many requests count at the short
// rate in both.
func TestDemandOfLargeFleet(t *testing.T) {
	is := is.New(t)
	terms := &contract.Contract{Organisation: "a", Limits: contract.Limits{RequestsPerSecond: 100, Concurrency: 1000}}
	reportedRate := func(gateways, requests int) float64 {
		c := New(1000)
		c.SetCapacity("p", 1000)
		c.SetGateways(gateways)
		for range requests {
			_, _ = c.Admit(start, request(terms, start, 1)) // refused requests count as well
		}
		return c.Demands(start)[0].RequestsPerSecond
	}
	is.Equal(reportedRate(grant.LongTermMinGateways-1, 1), 1/shortRateSpan.Seconds())
	is.Equal(reportedRate(grant.LongTermMinGateways, 1), 1/idleSpan.Seconds())
	is.True(reportedRate(grant.LongTermMinGateways, 20) > 1.99)
}

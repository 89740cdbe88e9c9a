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
	s := New(10)
	s.SetCapacity("p", 10)
	s.SetGateways(grant.LongTermMinGateways)
	k := &contract.Contract{Organisation: "a", Limits: contract.Limits{RequestsPerSecond: 100, Concurrency: 16}}
	s.SetGrants(start, []control.Grant{{Organisation: "a", RequestsPerSecond: 5, Expires: start.Add(time.Minute)}})
	_, err := s.Admit(start, request(k, start, 1))
	is.NoErr(err)
	_, err = s.Admit(start.Add(time.Second), request(k, start.Add(time.Second), 1))
	is.True(err != nil)
}

// TestDemandOfLargeFleet checks that a single request counts as one per idleSpan in a large
// fleet and as one per shortRateSpan in a small one, and that many requests count at the short
// rate in both.
func TestDemandOfLargeFleet(t *testing.T) {
	is := is.New(t)
	k := &contract.Contract{Organisation: "a", Limits: contract.Limits{RequestsPerSecond: 100, Concurrency: 1000}}
	reportedRate := func(gateways, requests int) float64 {
		s := New(1000)
		s.SetCapacity("p", 1000)
		s.SetGateways(gateways)
		for range requests {
			_, _ = s.Admit(start, request(k, start, 1)) // refused requests count as well
		}
		return s.Demands(start)[0].RequestsPerSecond
	}
	is.Equal(reportedRate(grant.LongTermMinGateways-1, 1), 1/shortRateSpan.Seconds())
	is.Equal(reportedRate(grant.LongTermMinGateways, 1), 1/idleSpan.Seconds())
	is.True(reportedRate(grant.LongTermMinGateways, 20) > 1.99)
}

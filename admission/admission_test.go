package admission

import (
	"flag"
	"fmt"
	"math"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"zinniapin/contract"
	"zinniapin/control"
	_ "zinniapin/internal/fixedseed"
	"zinniapin/result"
)

// TestMain sets the seed of the randomised tests to 1, so that every run checks the same
// cases. The flag -rapid.seed sets another one.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	os.Exit(m.Run())
}

var start = time.Unix(1_000_000, 0)

// contractOf returns a contract whose limits no test reaches.
func contractOf(name string, weight float64) *contract.Contract {
	return &contract.Contract{Organisation: name, Weight: weight,
		Limits: contract.Limits{RequestsPerSecond: 1e6, Concurrency: 1e6}}
}

// request returns a request of an organisation that may wait for an hour.
func request(k *contract.Contract, now time.Time, cost float64) Request {
	return Request{Organisation: k.Organisation, Contract: k, Pool: "p", Cost: cost, Deadline: now.Add(time.Hour)}
}

// TestFairShares checks the bound of fair queueing: while organisations always have tickets
// queued, their served cost divided by weight differs by at most one request each.
func TestFairShares(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := New(1_000_000)
		s.SetCapacity("p", 1)
		n := rapid.IntRange(2, 6).Draw(rt, "organisations")
		contracts := make([]*contract.Contract, n)
		served := make([]float64, n)
		cost := make([]float64, n)
		place := map[*Ticket]int{}
		for i := range n {
			contracts[i] = contractOf(fmt.Sprint(i), float64(rapid.IntRange(1, 5).Draw(rt, "weight")))
			cost[i] = float64(rapid.IntRange(1, 50).Draw(rt, "cost"))
			burst := rapid.IntRange(200, 400).Draw(rt, "burst")
			for range burst {
				ticket, err := s.Admit(start, request(contracts[i], start, cost[i]))
				if err != nil {
					rt.Fatal(err)
				}
				place[ticket] = i
			}
		}
		for range 150 {
			for _, ticket := range s.Dispatch(start, "p") {
				i := place[ticket]
				served[i] += cost[i] / contracts[i].Weight
				s.Done(start, ticket, 0)
			}
			for i := range n {
				for j := range n {
					bound := cost[i]/contracts[i].Weight + cost[j]/contracts[j].Weight
					if math.Abs(served[i]-served[j]) > bound+1e-9 {
						rt.Fatalf("organisations %d and %d are served unevenly: %v", i, j, served)
					}
				}
			}
		}
	})
}

// TestSequentialRequestsGetTheirShare checks that an organisation which sends one request at a
// time gets exactly its share beside one that fills the queue. It would get more if its flow
// were deleted as soon as it is empty.
func TestSequentialRequestsGetTheirShare(t *testing.T) {
	is := is.New(t)
	s := New(1_000_000)
	s.SetCapacity("p", 1)
	flood, single := contractOf("flood", 3), contractOf("single", 1)
	for range 1000 {
		_, err := s.Admit(start, request(flood, start, 10))
		is.NoErr(err)
	}
	counts := map[string]int{}
	_, err := s.Admit(start, request(single, start, 10))
	is.NoErr(err)
	for range 400 {
		for _, ticket := range s.Dispatch(start, "p") {
			counts[ticket.request.Organisation]++
			s.Done(start, ticket, 0)
			if ticket.request.Organisation == "single" {
				_, err := s.Admit(start, request(single, start, 10))
				is.NoErr(err)
			}
		}
	}
	is.True(counts["single"] >= 99 && counts["single"] <= 101)
}

// TestLimitsHold checks over random arrivals that no organisation exceeds its rate, burst and
// concurrency, with and without grants, and that every refusal carries a retry-after time.
func TestLimitsHold(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		k := contractOf("a", 1)
		k.Limits = contract.Limits{RequestsPerSecond: 10, Burst: 5, Concurrency: 4}
		gateways := rapid.IntRange(1, 3).Draw(rt, "gateways")
		s := New(100)
		s.SetCapacity("p", 100)
		s.SetGateways(gateways)
		now, admitted := start, 0
		var running []*Ticket
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(rt, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(rt, "grant") {
				s.SetGrants(now, []control.Grant{{Organisation: "a", RequestsPerSecond: 4, Concurrency: 2, Expires: now.Add(time.Second)}})
			}
			if len(running) > 0 && rapid.Bool().Draw(rt, "leave") {
				s.Done(now, running[0], 1)
				running = running[1:]
			}
			ticket, err := s.Admit(now, request(k, now, 1))
			if err == nil {
				admitted++
				running = append(running, ticket)
				s.Dispatch(now, "p")
			} else if result.Of(err).RetryAfter < minRetryAfter {
				rt.Fatalf("refusal without a retry-after time: %v", err)
			}
			if len(running) > 4 {
				rt.Fatalf("%d requests in progress exceed the limit", len(running))
			}
			if allowed := 5 + 10*now.Sub(start).Seconds(); float64(admitted) > allowed+1e-6 {
				rt.Fatalf("%d admitted, %g allowed", admitted, allowed)
			}
		}
	})
}

// TestOutputTokensOverdrawTheBucket checks that output tokens may take the token bucket below
// zero and that the next request is then refused until it has refilled.
func TestOutputTokensOverdrawTheBucket(t *testing.T) {
	is := is.New(t)
	k := contractOf("a", 1)
	k.Limits.TokensPerMinute = 600
	s := New(10)
	s.SetCapacity("p", 10)
	r := request(k, start, 1)
	r.PromptTokens = 500
	ticket, err := s.Admit(start, r)
	is.NoErr(err)
	s.Dispatch(start, "p")
	s.Done(start, ticket, 300) // the bucket is 200 tokens below zero
	_, err = s.Admit(start, r)
	is.Equal(result.CodeOf(err), result.TokenLimited)
	is.True(result.Of(err).RetryAfter > 20*time.Second)
	_, err = s.Admit(start.Add(21*time.Second), r)
	is.NoErr(err)
}

// TestUnreachableDeadlineIsRefusedAtOnce checks that a request whose expected wait exceeds its
// deadline is refused at once, with a retry-after time that follows from the queue.
func TestUnreachableDeadlineIsRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	s := New(1000)
	s.SetCapacity("p", 2)
	k := contractOf("a", 1)
	first, err := s.Admit(start, request(k, start, 1))
	is.NoErr(err)
	s.Dispatch(start, "p")
	s.Done(start.Add(4*time.Second), first, 0) // a request takes 4 s
	now := start.Add(4 * time.Second)
	for range 10 {
		_, err := s.Admit(now, request(k, now, 1))
		is.NoErr(err)
		s.Dispatch(now, "p")
	}
	urgent := request(k, now, 1)
	urgent.Deadline = now.Add(5 * time.Second)
	_, err = s.Admit(now, urgent)
	is.Equal(result.CodeOf(err), result.DeadlineNotReachable)
	is.Equal(result.Of(err).RetryAfter, 13*time.Second) // the 9th in the queue, 2 per 4 s: 18 s, less 5 s
	light := request(contractOf("b", 8), now, 1)        // a higher weight, so its turn comes sooner
	light.Deadline = now.Add(5 * time.Second)
	_, err = s.Admit(now, light)
	is.NoErr(err)
	s.SetCapacity("p", 0)
	_, err = s.Admit(now, request(k, now, 1))
	is.Equal(result.CodeOf(err), result.NoTarget)
}

// TestQueueIsBounded checks the bound of the queue and that a ticket that ends frees its
// place, once only.
func TestQueueIsBounded(t *testing.T) {
	is := is.New(t)
	s := New(3)
	s.SetCapacity("p", 1)
	var tickets []*Ticket
	for range 4 {
		ticket, err := s.Admit(start, request(contractOf("a", 1), start, 1))
		is.NoErr(err)
		tickets = append(tickets, ticket)
		s.Dispatch(start, "p")
	}
	_, err := s.Admit(start, request(contractOf("b", 1), start, 1))
	is.Equal(result.CodeOf(err), result.QueueFull)
	s.Done(start, tickets[2], 0)
	s.Done(start, tickets[2], 0) // the second call has no effect
	_, err = s.Admit(start, request(contractOf("b", 1), start, 1))
	is.NoErr(err)
	is.Equal(s.Queued("p"), 3)
}

// TestIdleStateIsDropped checks that idle state is kept until its buckets are full, since a
// new state would come with a full burst, and that an idle organisation reports no demand.
func TestIdleStateIsDropped(t *testing.T) {
	is := is.New(t)
	s := New(10)
	s.SetCapacity("p", 10)
	k := contractOf("slow", 1)
	k.Limits = contract.Limits{RequestsPerSecond: 0.01, Burst: 2, Concurrency: 5}
	for range 2 {
		ticket, err := s.Admit(start, request(k, start, 1))
		is.NoErr(err)
		s.Dispatch(start, "p")
		s.Done(start, ticket, 0)
	}
	d := s.Demands(start)
	is.Equal(len(d), 1)
	is.True(d[0].RequestsPerSecond > 0.15)
	s.Sweep(start.Add(2 * time.Minute))
	is.Equal(s.ActiveOrganisations(), 1) // the request bucket holds 1.2 of 2
	is.Equal(len(s.Demands(start.Add(2*time.Minute))), 0)
	s.Sweep(start.Add(4 * time.Minute))
	is.Equal(s.ActiveOrganisations(), 0)
}

// BenchmarkArrive16000 measures one request with 16,000 active organisations and an empty
// queue.
func BenchmarkArrive16000(b *testing.B) {
	const organisations = 16_000
	s := New(2048)
	s.SetCapacity("p", 64)
	contracts := make([]*contract.Contract, organisations)
	for i := range contracts {
		contracts[i] = contractOf(fmt.Sprintf("organisation-%d", i), 1)
	}
	now := start
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Microsecond)
		_, err := s.Admit(now, request(contracts[i%organisations], now, 100))
		if err != nil {
			b.Fatal(err)
		}
		for _, ticket := range s.Dispatch(now, "p") {
			s.Done(now, ticket, 1)
		}
	}
}

// BenchmarkArriveQueued16000 measures one request with 16,000 organisations and 2,000 queued
// tickets.
func BenchmarkArriveQueued16000(b *testing.B) {
	const organisations = 16_000
	s := New(2048)
	s.SetCapacity("p", 1)
	contracts := make([]*contract.Contract, organisations)
	for i := range contracts {
		contracts[i] = contractOf(fmt.Sprintf("organisation-%d", i), 1)
	}
	now := start
	for i := range 2000 {
		if _, err := s.Admit(now, request(contracts[i], now, 100)); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Microsecond)
		_, err := s.Admit(now, request(contracts[i%organisations], now, 100))
		if err != nil {
			b.Fatal(err)
		}
		for _, ticket := range s.Dispatch(now, "p") {
			s.Done(now, ticket, 1)
		}
	}
}

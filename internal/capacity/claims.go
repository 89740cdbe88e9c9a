package main

import (
	"context"
	"crypto/sha256"
	"fmt"
	"time"

	"zinniapin/claim"
	"zinniapin/internal/standin/objects"
	"zinniapin/store"
)

// claimSizes are the numbers of claims under way at once.
var claimSizes = []int{1_000, 4_000, 16_000}

// measureClaims measures the memory, store calls and processor time of claims,
// which protect requests that must not run twice.
func measureClaims(r *report) error {
	var heaps, calls, processor []point
	for _, n := range claimSizes {
		s := objects.New()
		registry := claim.NewStoreRegistry(s, claim.Options{})
		tickets := make([]claim.Ticket, 0, n)
		var err error
		spent := time.Duration(0)
		heap := retainedHeap(func() any {
			before := processorTime()
			tickets, err = beginAll(registry, tickets, n)
			spent = processorTime() - before
			return registry
		})
		if err != nil {
			return err
		}
		stored := storedBytes(s)
		beginCalls := s.Calls()[store.PurposeClaim]
		before := processorTime()
		for _, t := range tickets {
			if err := registry.Finish(context.Background(), t, claim.Answer{Status: 201, ContentType: "application/json", Body: []byte(`{"deposit":"taken"}`)}); err != nil {
				return err
			}
		}
		spent += processorTime() - before
		size := float64(n)
		heaps = append(heaps, point{size, (heap - stored) / 1e3})
		calls = append(calls, point{size, float64(s.Calls()[store.PurposeClaim])})
		processor = append(processor, point{size, float64(spent.Microseconds())})
		r.printf("%d requests: %d store calls to claim, %d to keep the answer\n", n, beginCalls, s.Calls()[store.PurposeClaim]-beginCalls)
	}
	r.slope("claims under way: heap (less the values stored)", "kB", "claim", heaps)
	r.slope("claims: store calls, begin to end", "calls", "request", calls)
	r.slope("claims: processor time without the HTTP call", "us", "request", processor)
	return nil
}

// beginAll begins claims for n requests and appends their tickets to tickets.
func beginAll(registry *claim.StoreRegistry, tickets []claim.Ticket, n int) ([]claim.Ticket, error) {
	for i := range n {
		id := claim.ID{Organisation: organisationName(i % 100), IdempotencyKey: fmt.Sprint("deposit-", i)}
		outcome, err := registry.Begin(context.Background(), id, sha256.Sum256([]byte(id.IdempotencyKey)))
		if err != nil || outcome.Ticket == nil {
			return nil, fmt.Errorf("claim %d: %w", i, err)
		}
		tickets = append(tickets, *outcome.Ticket)
	}
	return tickets, nil
}

// storedBytes returns the number of bytes of all keys and values in a store, or
// 0 if it can't be listed.
func storedBytes(s store.Store) float64 {
	all, err := s.List(context.Background(), store.PurposeStatus, "")
	if err != nil {
		return 0
	}
	sum := 0
	for _, o := range all {
		sum += len(o.Key) + len(o.Value)
	}
	return float64(sum)
}

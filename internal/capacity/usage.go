package main

import (
	"context"
	"time"

	"zinniapin/internal/standin/objects"
	"zinniapin/store"
	"zinniapin/usage"
)

// shardSizes are the numbers of counters that one shard has in a window.
var shardSizes = []int{500, 2_000, 7_000}

const (
	// measuredCommits is the number of commits that an average is taken over.
	measuredCommits = 5
	// changedCounters is the number of counters that one commit changes.
	changedCounters = 250
)

// measureUsage measures the cost of committing the usage counters of one shard
// to the store.
func measureUsage(r *report) error {
	var spent, bytes, heap, calls []point
	for _, n := range shardSizes {
		s := objects.New()
		w := usage.NewWindows(s, usage.Options{Shards: 1, Length: time.Hour, CommitEvery: time.Nanosecond})
		counters := shardCounters(n)
		var err error
		held := retainedHeap(func() any { _, err = w.Push(context.Background(), counters); return w })
		if err != nil {
			return err
		}
		before, started := s.Calls()[store.PurposeUsage], processorTime()
		for range measuredCommits {
			part := counters[:min(n, changedCounters)]
			for i := range part {
				part[i].Amount.Requests++
			}
			if _, err := w.Push(context.Background(), part); err != nil {
				return err
			}
		}
		size := float64(n)
		spent = append(spent, point{size, float64((processorTime() - started).Microseconds()) / measuredCommits / 1e3})
		calls = append(calls, point{size, float64(s.Calls()[store.PurposeUsage]-before) / measuredCommits})
		bytes = append(bytes, point{size, storedBytes(s) / 1e3})
		heap = append(heap, point{size, held/1e3 - storedBytes(s)/1e3})
	}
	r.slope("usage: processor time of a commit", "ms", "counter in the window", spent)
	r.slope("usage: bytes written by a commit", "kB", "counter in the window", bytes)
	r.slope("usage: store calls of a commit", "calls", "counter in the window", calls)
	r.slope("usage: heap of an owner", "kB", "counter in the window", heap)
	return nil
}

// shardCounters returns n counters of one window. Each organisation has 27, from
// different gateways.
func shardCounters(n int) []usage.Counter {
	counters := make([]usage.Counter, n)
	window := time.Now().Truncate(time.Hour).UTC()
	for i := range counters {
		counters[i] = usage.Counter{Gateway: gatewayOf(i%designHosts, 1).ID(), Organisation: organisationName(i / 27), Window: window,
			Amount: usage.Amount{Requests: 3, PromptTokens: 2_400, OutputTokens: 700}}
	}
	return counters
}

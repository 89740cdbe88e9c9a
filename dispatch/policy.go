package dispatch

import "time"

// Policy holds the weights and limits of the planner's decisions.
type Policy struct {
	// PrefillSpeed and DecodeSpeed are the initial estimates of how fast a target
	// of the role processes prompts, in tokens per millisecond. Observations
	// replace them.
	PrefillSpeed, DecodeSpeed float64
	// The costs below are relative to the value of an answer that is in time, 1.

	// LateCost is the cost of a late answer.
	LateCost float64
	// RecomputeCost is the cost of processing 1,000 tokens that another target has
	// cached or should cache.
	RecomputeCost float64
	// TransferCost is the cost of transferring 1 GB of KV cache.
	TransferCost float64
	// ZoneCost is the cost of sending 1 KiB to another availability zone.
	ZoneCost float64
	// StallCost is the cost of each stream whose gap between events exceeds the
	// allowed one because its target processes a prompt meanwhile.
	StallCost float64
	// StaleLoadCost is the cost of using a target in another zone whose load is
	// reported too rarely to be relied on; see SetRemoteLoadsStale.
	StaleLoadCost float64
	// StepTime and ChunkTokens describe how an engine generates output: the time of
	// a decode step without prompt processing, and the number of prompt tokens that
	// it processes between two decode steps.
	StepTime    time.Duration
	ChunkTokens int
	// CacheTTL is how long a target is assumed to cache a part of a prompt after
	// its last use.
	CacheTTL time.Duration
	// WaitShare is the share of its objective that a request may wait before its
	// prompt is processed, while there is no lasting overload.
	WaitShare float64
	// RetryWaitShare is the same for a caller that was refused before. It may
	// exceed 1.
	RetryWaitShare float64
	// MinWaitShare is the share to which both fall under a lasting overload.
	MinWaitShare float64
}

// DefaultPolicy returns the default policy. docs/POLICY.md has the measurements
// behind it.
func DefaultPolicy() Policy {
	return Policy{
		PrefillSpeed:   80,
		DecodeSpeed:    36,
		LateCost:       1.4,
		RecomputeCost:  0.2,
		TransferCost:   0.2,
		ZoneCost:       0.004,
		StallCost:      0.5,
		StaleLoadCost:  0.1,
		StepTime:       4 * time.Millisecond,
		ChunkTokens:    512,
		CacheTTL:       10 * time.Second,
		WaitShare:      0.7,
		RetryWaitShare: 3,
		MinWaitShare:   0.12,
	}
}

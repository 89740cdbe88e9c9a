package dispatch

import "time"

// Policy are the weights and bounds of the decisions.
type Policy struct {
	// PrefillSpeed and DecodeSpeed are the first estimates of how fast a target
	// of the role processes prompts, in tokens a millisecond. Observation
	// replaces them.
	PrefillSpeed, DecodeSpeed float64
	// The costs are in parts of an answer that is on time.

	// LateCost is that of an answer that is late.
	LateCost float64
	// RereadCost is that of processing 1,000 tokens that another target keeps.
	RecomputeCost float64
	// MoveCost is that of moving a GB of KV cache.
	TransferCost float64
	// ZoneCost is that of a kilobyte sent to another availability zone.
	ZoneCost float64
	// StallCost is that of a stream whose events are held up beyond their
	// longest pause by the processing of a prompt beside it.
	StallCost float64
	// BlindCost is that of a target whose load is told too seldom to go by.
	StaleLoadCost float64
	// StepTime and ChunkTokens describe how an engine produces output: the time
	// of a step without prompts, and the prompt tokens that it processes between
	// two tokens of others.
	StepTime    time.Duration
	ChunkTokens int
	// CacheLife is how long a target is taken to keep a part of a prompt after
	// its last use.
	CacheTTL time.Duration
	// WaitShare is the share of the objective that a request may wait before
	// its own prompt is processed, while queues are those of a burst.
	WaitShare float64
	// ReturnWaitShare is the same for a caller that was refused before.
	RetryWaitShare float64
	// LeastWaitShare is the same for both under a lasting overload.
	MinWaitShare float64
}

// DefaultPolicy returns the policy that is used where settings say nothing.
// docs/POLICY.md has the figures behind it.
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

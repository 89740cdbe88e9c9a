// Package usage counts what each organisation uses and reports it to the platform,
// without storing anything on disk. Gateways count in a Ledger: grow-only counters
// by organisation and window of time, of which copies are merged by maximum. They
// push them to controllers, which keep them in a RelayBuffer until Windows has merged
// them into one object per shard and window in the object API. After a grace period
// a window is frozen by a conditional update, and only frozen windows are reported.
package usage

import "time"

// Amount is how much was used.
type Amount struct {
	Requests     uint64
	PromptTokens uint64
	OutputTokens uint64
	Calls        uint64 // calls of plain services
}

// Add returns the sum of two amounts, field by field.
func (a Amount) Add(b Amount) Amount {
	return Amount{
		Requests:     a.Requests + b.Requests,
		PromptTokens: a.PromptTokens + b.PromptTokens,
		OutputTokens: a.OutputTokens + b.OutputTokens,
		Calls:        a.Calls + b.Calls,
	}
}

// Max returns the larger of two amounts, field by field.
func (a Amount) Max(b Amount) Amount {
	return Amount{
		Requests:     max(a.Requests, b.Requests),
		PromptTokens: max(a.PromptTokens, b.PromptTokens),
		OutputTokens: max(a.OutputTokens, b.OutputTokens),
		Calls:        max(a.Calls, b.Calls),
	}
}

// Counter is a grow-only counter of one gateway process, organisation and window. Two
// copies are merged by Amount.Max.
type Counter struct {
	Gateway      string // machine.Process.ID of the gateway
	Organisation string
	Window       time.Time // start of the window, UTC
	Amount       Amount
}

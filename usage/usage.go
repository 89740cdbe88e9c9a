// Package usage keeps what each organisation used, without disks: grow-only
// counters merged by maximum, windows frozen by conditional update, and
// reports of frozen figures only.
package usage

import "time"

// Amount is a quantity of use.
type Amount struct {
	Requests     uint64
	PromptTokens uint64
	OutputTokens uint64
	Calls        uint64 // calls of plain services
}

// Add returns the sum of two amounts.
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

// Counter is a grow-only counter of one gateway incarnation, organisation
// and window. Two copies merge by Amount.Max.
type Counter struct {
	Gateway      string // machine.Process.ID of the gateway
	Organisation string
	Window       time.Time // start of the window, UTC
	Amount       Amount
}

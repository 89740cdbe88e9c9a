package wire

import (
	"cmp"
	"slices"
	"time"

	"zinniapin/usage"
)

// FromCounter returns the message of a usage counter.
func FromCounter(c usage.Counter) *UsageCounter {
	return &UsageCounter{
		Gateway:      c.Gateway,
		Organisation: c.Organisation,
		WindowMs:     c.Window.UnixMilli(),
		Requests:     c.Amount.Requests,
		PromptTokens: c.Amount.PromptTokens,
		OutputTokens: c.Amount.OutputTokens,
		Calls:        c.Amount.Calls,
	}
}

// ToCounter returns the usage counter of a message that names its gateway.
func (x *UsageCounter) ToCounter() usage.Counter {
	return usage.Counter{
		Gateway:      x.Gateway,
		Organisation: x.Organisation,
		Window:       time.UnixMilli(x.WindowMs).UTC(),
		Amount: usage.Amount{
			Requests:     x.Requests,
			PromptTokens: x.PromptTokens,
			OutputTokens: x.OutputTokens,
			Calls:        x.Calls,
		},
	}
}

// SortCounters puts counters of one gateway and window next to each other.
func SortCounters(counters []usage.Counter) {
	slices.SortFunc(counters, func(a, b usage.Counter) int {
		return cmp.Or(cmp.Compare(a.Gateway, b.Gateway), a.Window.Compare(b.Window), cmp.Compare(a.Organisation, b.Organisation))
	})
}

// FromCounters returns the messages of counters in their order. With short
// set, a counter of the same gateway and window as the one before leaves both
// out, which only receivers that answer by index understand.
func FromCounters(counters []usage.Counter, short bool) []*UsageCounter {
	messages := make([]*UsageCounter, len(counters))
	for i, c := range counters {
		messages[i] = FromCounter(c)
		if short && i > 0 && c.Gateway == counters[i-1].Gateway && c.Window.Equal(counters[i-1].Window) {
			messages[i].Gateway, messages[i].WindowMs = "", 0
		}
	}
	return messages
}

// ToCounters returns the counters of a push in their order.
func (x *UsagePush) ToCounters() []usage.Counter {
	counters := make([]usage.Counter, len(x.Counters))
	for i, m := range x.Counters {
		counters[i] = m.ToCounter()
		if m.Gateway == "" && i > 0 {
			counters[i].Gateway, counters[i].Window = counters[i-1].Gateway, counters[i-1].Window
		}
	}
	return counters
}

// StoredOf returns which of the pushed counters the object API holds.
func (x *UsageAck) StoredOf(pushed []usage.Counter) []usage.Counter {
	var stored []usage.Counter
	for _, c := range x.GetStored() {
		stored = append(stored, c.ToCounter())
	}
	for _, i := range x.GetStoredAt() {
		if int(i) < len(pushed) {
			stored = append(stored, pushed[i])
		}
	}
	return stored
}

// HeldOf returns which of the pushed counters the receiver holds or knows to
// be stored. A receiver that does not answer by index does not say.
func (x *UsageAck) HeldOf(pushed []usage.Counter) []usage.Counter {
	if !x.GetIndexed() {
		return nil
	}
	refused := make(map[uint32]bool, len(x.RefusedAt))
	for _, i := range x.RefusedAt {
		refused[i] = true
	}
	var held []usage.Counter
	for i, c := range pushed {
		if !refused[uint32(i)] {
			held = append(held, c)
		}
	}
	return held
}

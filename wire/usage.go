package wire

import (
	"cmp"
	"slices"
	"time"

	"zinniapin/usage"
)

// FromCounter converts a usage counter to its message.
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

// ToCounter converts the message to a usage counter. The message must name its
// gateway and window; ToCounters also decodes messages that omit them.
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

// SortCounters sorts counters by gateway, window and organisation, so that
// FromCounters can omit repeated gateways and windows.
func SortCounters(counters []usage.Counter) {
	slices.SortFunc(counters, func(a, b usage.Counter) int {
		return cmp.Or(cmp.Compare(a.Gateway, b.Gateway), a.Window.Compare(b.Window), cmp.Compare(a.Organisation, b.Organisation))
	})
}

// FromCounters converts counters to messages in the same order. With omitRepeated,
// a message omits gateway and window if they are those of the message before it.
// Only receivers that acknowledge counters by index understand that.
func FromCounters(counters []usage.Counter, omitRepeated bool) []*UsageCounter {
	messages := make([]*UsageCounter, len(counters))
	for i, c := range counters {
		messages[i] = FromCounter(c)
		if omitRepeated && i > 0 && c.Gateway == counters[i-1].Gateway && c.Window.Equal(counters[i-1].Window) {
			messages[i].Gateway, messages[i].WindowMs = "", 0
		}
	}
	return messages
}

// ToCounters decodes the counters of the push in their order. A message without
// a gateway has the gateway and window of the one before it.
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

// StoredOf returns the counters that the acknowledgement reports as stored in the
// object API. pushed must be the counters of the push, in its order.
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

// HeldOf returns the pushed counters that the receiver has buffered or knows to be
// stored: all but those that it refused. It returns none if the receiver does not
// acknowledge counters by index, since it then does not report what it buffers.
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

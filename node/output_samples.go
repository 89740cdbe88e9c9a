package node

import (
	"math"

	"zinniapin/dispatch"
	"zinniapin/wire"
)

// composeOutputSamples returns the messages of output samples.
func composeOutputSamples(all []dispatch.OutputSample) []*wire.OutputSample {
	var messages []*wire.OutputSample
	for _, o := range all {
		messages = append(messages, &wire.OutputSample{
			Tokens: uint32(o.Tokens), Ms: uint32(math.Round(o.Millis)), RunningTenths: uint32(math.Round(10 * o.Running)),
		})
	}
	return messages
}

// outputSamplesOf returns the output samples of messages.
func outputSamplesOf(messages []*wire.OutputSample) []dispatch.OutputSample {
	var all []dispatch.OutputSample
	for _, m := range messages {
		all = append(all, dispatch.OutputSample{Tokens: int(m.Tokens), Millis: float64(m.Ms), Running: float64(m.RunningTenths) / 10})
	}
	return all
}

package forward

import (
	"time"

	"zinniapin/dispatch"
	"zinniapin/roster"
)

const (
	// carefulLengthFactor is by how much the output is assumed to exceed its expected length at most.
	carefulLengthFactor = 2
	// maxOutputTokens bounds the limit that a caller names. No model generates as many.
	maxOutputTokens = 10_000_000
	// maxWriteTime is the longest write to a caller after which the next event counts as read when it
	// came. After a longer one the output was held up by the caller.
	maxWriteTime = 50 * time.Millisecond
)

// outputLength returns the expected number of output tokens of a request, and the number that counts
// for its deadline; 0 if nothing is known.
func outputLength(info RequestInfo) (expected, careful int) {
	limit := min(max(info.MaxOutputTokens, 0), maxOutputTokens)
	expected = info.LengthHint
	if expected == 0 {
		expected = (limit + 1) / 2
	}
	careful = carefulLengthFactor * expected
	if limit > 0 {
		expected, careful = min(expected, limit), min(careful, limit)
	}
	return expected, careful
}

// planDecode chooses the target that generates the output of a prompt which another one has processed.
func (r *request) planDecode(prefilled roster.Target) (roster.Target, bool) {
	r.updateTimes()
	r.h.PlannerMu.Lock()
	defer r.h.PlannerMu.Unlock()
	return r.h.Planner.PlanDecode(time.Now(), r.job, prefilled, r.excluded)
}

// outputMeter measures the output of a stream for the planner.
type outputMeter struct {
	meter  dispatch.OutputMeter
	readAt time.Time // when the latest events were read
	events int       // of the stream that the meter knows
}

// measureOutput tells the planner of the events that were read last.
func (r *request) measureOutput(s *stream) {
	o := &s.output
	events := s.splitter.count - o.events
	o.events = s.splitter.count
	if events <= 0 || r.service.Engine == nil || r.service.Engine.EventTokens <= 0 {
		return
	}
	r.h.withPlanner(func(p *dispatch.Planner) {
		p.OutputReceived(o.readAt, s.ticket, &o.meter, events*r.service.Engine.EventTokens)
	})
}

// outputWritten notes that the events that were read last have been written to the caller.
func (o *outputMeter) outputWritten() {
	if time.Since(o.readAt) > maxWriteTime {
		o.meter.Discard()
	}
}

// endOutput tells the planner that no more events will be read.
func (r *request) endOutput(s *stream) {
	r.h.withPlanner(func(p *dispatch.Planner) { p.OutputEnded(s.ticket, &s.output.meter) })
}

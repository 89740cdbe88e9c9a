package soak

import (
	"zinniapin/internal/standin/engine"
	"zinniapin/target"
	"zinniapin/usage"
)

// engineOutput is what engines sent to a gateway for one request.
type engineOutput struct {
	prompt string
	begin  int  // offset of the first output token requested
	end    int  // offset behind the last token received without a gap
	done   bool // the last chunk arrived, and its token count matches end
}

// recordGenerate records an attempt that a gateway sends to an engine.
func (r *recorder) recordGenerate(q *target.GenerateRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	id := q.Attempt[:min(len(q.Attempt), requestIDBytes)]
	a := r.outputs[id]
	if a == nil {
		r.outputs[id] = &engineOutput{prompt: q.Prompt, begin: q.Offset, end: q.Offset}
		return
	}
	a.begin = min(a.begin, q.Offset)
}

// recordChunk records a chunk that an engine sent for an attempt.
func (r *recorder) recordChunk(q *target.GenerateRequest, c target.Chunk) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.outputs[q.Attempt[:min(len(q.Attempt), requestIDBytes)]]
	if c.Attempt != q.Attempt || c.Offset > a.end {
		return // of another attempt, or behind a gap: the gateway must not count it
	}
	a.end = max(a.end, c.Offset+c.Tokens)
	a.done = a.done || c.Done && c.OutputTokens == a.end
}

// engineOutputs returns what engines sent, by request id.
func (r *recorder) engineOutputs() map[string]engineOutput {
	r.mu.Lock()
	defer r.mu.Unlock()
	outputs := make(map[string]engineOutput, len(r.outputs))
	for id, a := range r.outputs {
		outputs[id] = *a
	}
	return outputs
}

// estimateSlack is by how many tokens a gateway's estimate of a prompt may exceed the engine's
// count. The gateway uses the estimate while it has no count from an engine.
const estimateSlack = 1

// maxAmount returns the most usage that a request may be counted for. The prompt of a resumed
// request is counted with the attempt that was interrupted.
func (a engineOutput) maxAmount() usage.Amount {
	m := usage.Amount{OutputTokens: uint64(a.end - a.begin)}
	if a.begin == 0 {
		m.PromptTokens = uint64(engine.PromptTokens(a.prompt))
	}
	if a.begin == 0 && !a.done {
		m.PromptTokens += estimateSlack
	}
	return m
}

// checkTokens compares the reported tokens with those that engines sent. Reports must not exceed
// them, and must include the tokens of all complete answers except what ended gateways held in
// memory.
func (sim *simulation) checkTokens(engines map[string]engineRequest) {
	outputs := sim.recorder.engineOutputs()
	attempts, _ := sim.recorder.snapshot()
	for _, name := range organisations {
		var most, least usage.Amount
		for id, s := range engines {
			if s.organisation == name {
				most = most.Add(outputs[id].maxAmount())
			}
		}
		for _, a := range attempts {
			if a.organisation != name || !a.complete || !outputs[a.requestID].done {
				continue
			}
			m := outputs[a.requestID].maxAmount()
			if a.resumed {
				m.PromptTokens = 0
			}
			least = least.Add(m)
		}
		sim.mu.Lock()
		lost := sim.lostUsage[name]
		sim.mu.Unlock()
		reported := sim.platform.reportedUsage(name)
		sim.report.note("reported prompt tokens of "+name, int(reported.PromptTokens))
		sim.report.note("reported output tokens of "+name, int(reported.OutputTokens))
		sim.report.note("output tokens that ended gateways held of "+name, int(lost.OutputTokens))
		sim.report.note("output tokens of complete answers to "+name, int(least.OutputTokens))
		sim.report.note("output tokens that engines sent for "+name, int(most.OutputTokens))
		if reported.PromptTokens > most.PromptTokens || reported.OutputTokens > most.OutputTokens {
			sim.report.violation("usage of %s: reported %d prompt and %d output tokens, engines sent %d and %d", name, reported.PromptTokens, reported.OutputTokens, most.PromptTokens, most.OutputTokens)
		}
		if reported.PromptTokens+lost.PromptTokens < least.PromptTokens || reported.OutputTokens+lost.OutputTokens < least.OutputTokens {
			sim.report.knownFault(usageUnreported, "usage of %s: reported %d prompt and %d output tokens, engines sent %d and %d for complete answers, of which ended gateways held %d and %d",
				name, reported.PromptTokens, reported.OutputTokens, least.PromptTokens, least.OutputTokens, lost.PromptTokens, lost.OutputTokens)
		}
	}
}

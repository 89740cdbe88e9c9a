package soak

import (
	"zinniapin/internal/standin/engine"
	"zinniapin/target"
	"zinniapin/usage"
)

// engineOutput is what engines told a gateway of one request.
type engineOutput struct {
	prompt string
	begin  int  // the first output token asked for
	end    int  // behind the last one that came without a gap
	done   bool // the end of the answer came, with the engine's counts
}

// recordGenerate notes an attempt that goes out.
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

// told notes what an engine answered to an attempt.
func (r *recorder) recordChunk(q *target.GenerateRequest, c target.Chunk) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.outputs[q.Attempt[:min(len(q.Attempt), requestIDBytes)]]
	if c.Attempt != q.Attempt || c.Offset > a.end {
		return // crossed, or behind a gap: the gateway must not count it
	}
	a.end = max(a.end, c.Offset+c.Tokens)
	a.done = a.done || c.Done && c.OutputTokens == a.end
}

// engineOutputs returns the tokens that engines told of, by request.
func (r *recorder) engineOutputs() map[string]engineOutput {
	r.mu.Lock()
	defer r.mu.Unlock()
	outputs := make(map[string]engineOutput, len(r.outputs))
	for id, a := range r.outputs {
		outputs[id] = *a
	}
	return outputs
}

// estimateSlack is by how many tokens the gateway's estimate of a prompt, by
// which it counts while no engine has, may exceed the engine's count.
const estimateSlack = 1

// maxAmount returns the most that a request may be counted for. The prompt of a
// request that was resumed is counted where it was cut.
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

// checkTokens compares the tokens reported with those that the engines'
// answers told of: never more, and no less than those of the whole answers but
// for what ended gateways still held in memory.
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
		sim.report.note("output tokens of whole answers to "+name, int(least.OutputTokens))
		sim.report.note("output tokens that answers told of for "+name, int(most.OutputTokens))
		if reported.PromptTokens > most.PromptTokens || reported.OutputTokens > most.OutputTokens {
			sim.report.violation("usage of %s: reported %d prompt and %d output tokens, answers told of %d and %d", name, reported.PromptTokens, reported.OutputTokens, most.PromptTokens, most.OutputTokens)
		}
		if reported.PromptTokens+lost.PromptTokens < least.PromptTokens || reported.OutputTokens+lost.OutputTokens < least.OutputTokens {
			sim.report.tagged(usageUnreported, "usage of %s: reported %d prompt and %d output tokens, whole answers told of %d and %d, of which ended gateways held %d and %d",
				name, reported.PromptTokens, reported.OutputTokens, least.PromptTokens, least.OutputTokens, lost.PromptTokens, lost.OutputTokens)
		}
	}
}

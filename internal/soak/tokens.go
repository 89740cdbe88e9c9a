package soak

import (
	"zinniapin/internal/standin/engine"
	"zinniapin/target"
	"zinniapin/usage"
)

// answered is what engines told a gateway of one request.
type answered struct {
	prompt string
	begin  int  // the first output token asked for
	end    int  // behind the last one that came without a gap
	done   bool // the end of the answer came, with the engine's counts
}

// asked notes an attempt that goes out.
func (l *ledger) asked(q *target.GenerateRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	id := q.Attempt[:min(len(q.Attempt), requestIDBytes)]
	a := l.answers[id]
	if a == nil {
		l.answers[id] = &answered{prompt: q.Prompt, begin: q.Offset, end: q.Offset}
		return
	}
	a.begin = min(a.begin, q.Offset)
}

// told notes what an engine answered to an attempt.
func (l *ledger) told(q *target.GenerateRequest, c target.Chunk) {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.answers[q.Attempt[:min(len(q.Attempt), requestIDBytes)]]
	if c.Attempt != q.Attempt || c.Offset > a.end {
		return // crossed, or behind a gap: the gateway must not count it
	}
	a.end = max(a.end, c.Offset+c.Tokens)
	a.done = a.done || c.Done && c.OutputTokens == a.end
}

// used returns the tokens that engines told of, by request.
func (l *ledger) used() map[string]answered {
	l.mu.Lock()
	defer l.mu.Unlock()
	used := make(map[string]answered, len(l.answers))
	for id, a := range l.answers {
		used[id] = *a
	}
	return used
}

// estimateSlack is by how many tokens the gateway's estimate of a prompt, by
// which it counts while no engine has, may exceed the engine's count.
const estimateSlack = 1

// amount returns the most that a request may be counted for. The prompt of a
// request that was resumed is counted where it was cut.
func (a answered) amount() usage.Amount {
	m := usage.Amount{OutputTokens: uint64(a.end - a.begin)}
	if a.begin == 0 {
		m.PromptTokens = uint64(engine.PromptTokens(a.prompt))
	}
	if a.begin == 0 && !a.done {
		m.PromptTokens += estimateSlack
	}
	return m
}

// judgeTokens compares the tokens reported with those that the engines'
// answers told of: never more, and no less than those of the whole answers but
// for what ended gateways still held in memory.
func (w *world) judgeTokens(engines map[string]seen) {
	used := w.ledger.used()
	attempts, _ := w.ledger.all()
	for _, name := range organisations {
		var most, least usage.Amount
		for id, s := range engines {
			if s.organisation == name {
				most = most.Add(used[id].amount())
			}
		}
		for _, a := range attempts {
			if a.organisation != name || !a.whole || !used[a.request].done {
				continue
			}
			m := used[a.request].amount()
			if a.resumed {
				m.PromptTokens = 0
			}
			least = least.Add(m)
		}
		w.mu.Lock()
		forgone := w.forgone[name]
		w.mu.Unlock()
		got := w.cloud.total(name)
		w.report.note("reported prompt tokens of "+name, int(got.PromptTokens))
		w.report.note("reported output tokens of "+name, int(got.OutputTokens))
		w.report.note("output tokens that ended gateways held of "+name, int(forgone.OutputTokens))
		w.report.note("output tokens of whole answers to "+name, int(least.OutputTokens))
		w.report.note("output tokens that answers told of for "+name, int(most.OutputTokens))
		if got.PromptTokens > most.PromptTokens || got.OutputTokens > most.OutputTokens {
			w.report.violation("usage of %s: reported %d prompt and %d output tokens, answers told of %d and %d", name, got.PromptTokens, got.OutputTokens, most.PromptTokens, most.OutputTokens)
		}
		if got.PromptTokens+forgone.PromptTokens < least.PromptTokens || got.OutputTokens+forgone.OutputTokens < least.OutputTokens {
			w.report.tagged(usageUnreported, "usage of %s: reported %d prompt and %d output tokens, whole answers told of %d and %d, of which ended gateways held %d and %d",
				name, got.PromptTokens, got.OutputTokens, least.PromptTokens, least.OutputTokens, forgone.PromptTokens, forgone.OutputTokens)
		}
	}
}

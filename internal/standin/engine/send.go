package engine

import (
	"errors"
	"strconv"
	"time"

	"zinniapin/target"
)

// errFault is why a run ends by a fault.
var errFault = errors.New("engine: broken by a fault")

// send hands a chunk to the reader, with the faults of chunks.
func (a *run) send(c target.Chunk) error {
	if a.breakAfter >= 0 && a.sent >= a.breakAfter {
		return errFault
	}
	if a.engine.crashDue() {
		a.engine.Crash()
		return errFault
	}
	for _, each := range a.disturbed(c) {
		if err := a.put(each); err != nil {
			return err
		}
	}
	a.sent++
	return nil
}

// disturbed returns the chunk with the stray, repeated and late ones around
// it.
func (a *run) disturbed(c target.Chunk) []target.Chunk {
	e := a.engine
	var out []target.Chunk
	if e.take(func(f *Faults) *int { return &f.StrayChunks }) {
		out = append(out, e.strayChunk(c))
	}
	if c.Done || c.KVHandle != "" {
		if a.late != nil {
			out = append(out, *a.late)
		}
		return append(out, c)
	}
	out = append(out, c)
	if e.take(func(f *Faults) *int { return &f.Duplicate }) {
		out = append(out, c)
	}
	if a.late != nil {
		out = append(out, *a.late)
		a.late = nil
	}
	if e.take(func(f *Faults) *int { return &f.LateChunks }) {
		a.late = &c
	}
	return out
}

// put hands one chunk to the reader.
func (a *run) put(c target.Chunk) error {
	select {
	case a.chunks <- c:
		return nil
	case <-a.ctx.Done():
		return a.ctx.Err()
	}
}

// strayChunk returns a chunk of another attempt, which carries an end marker
// and a text of its own.
func (e *Engine) strayChunk(c target.Chunk) target.Chunk {
	c.Attempt = "stray-" + c.Attempt
	c.Text = "[another answer] "
	c.Done = true
	c.Finish = "stop"
	return c
}

// crashDue counts a chunk towards a crash and tells whether it is due.
func (e *Engine) crashDue() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.CrashAfter <= 0 {
		return false
	}
	e.faults.CrashAfter--
	return e.faults.CrashAfter == 0
}

// delay returns how long a first chunk is delayed.
func (e *Engine) delay() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.delay()
}

// step returns how long some output tokens of one request take: the batch
// shares the decode rate.
func (e *Engine) step(tokens int) time.Duration {
	busy := max(e.batch.taken(e.options.Capacity), 1)
	return time.Duration(float64(tokens*busy) / e.options.DecodeRate * float64(time.Second))
}

// prefilled takes prompt tokens off the load.
func (e *Engine) prefilled(tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.promptLoad = max(e.promptLoad-tokens, 0)
}

// remember holds the pieces of a prompt.
func (e *Engine) remember(prompt []piece) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.add(prompt, func() bool {
		if e.faults.LoseCacheEvents <= 0 {
			return false
		}
		e.faults.LoseCacheEvents--
		return true
	})
}

// keep keeps a run's cache for export and returns its handle.
func (e *Engine) keep(a *run) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	handle := strconv.FormatUint(e.boot, 16) + "-" + a.request.Attempt
	e.exports[handle] = export{a.request.CacheScope, a.prompt, PromptTokens(a.request.Prompt)}
	return handle
}

package engine

import (
	"errors"
	"strconv"
	"time"

	"zinniapin/target"
)

// errFault is why an attempt fails when an injected fault breaks its stream.
var errFault = errors.New("engine: broken by a fault")

// send delivers a chunk to the reader, with the injected faults applied.
func (a *activeAttempt) send(c target.Chunk) error {
	if a.breakAfter >= 0 && a.chunksSent >= a.breakAfter {
		return errFault
	}
	if a.engine.crashDue() || a.chunksSent == 0 && a.engine.crashesOn(a.request.Prompt) {
		a.engine.Crash()
		return errFault
	}
	if a.chunksSent == a.silentAfter {
		if err := sleep(a.ctx, a.silence); err != nil {
			return err
		}
	}
	for _, each := range a.withChunkFaults(c) {
		if err := a.deliver(each); err != nil {
			return err
		}
	}
	a.chunksSent++
	return nil
}

// withChunkFaults returns the chunk together with the stray, duplicate and late chunks
// that faults add before and after it.
func (a *activeAttempt) withChunkFaults(c target.Chunk) []target.Chunk {
	e := a.engine
	var out []target.Chunk
	if e.consumeFault(func(f *Faults) *int { return &f.StrayChunks }) {
		out = append(out, e.strayChunk(c))
	}
	if c.Done || c.KVHandle != "" {
		if a.delayed != nil {
			out = append(out, *a.delayed)
		}
		return append(out, c)
	}
	out = append(out, c)
	if e.consumeFault(func(f *Faults) *int { return &f.Duplicate }) {
		out = append(out, c)
	}
	if a.delayed != nil {
		out = append(out, *a.delayed)
		a.delayed = nil
	}
	if e.consumeFault(func(f *Faults) *int { return &f.LateChunks }) {
		a.delayed = &c
	}
	return out
}

// deliver puts one chunk on the stream, and waits while its buffer is full.
func (a *activeAttempt) deliver(c target.Chunk) error {
	select {
	case a.chunks <- c:
		return nil
	case <-a.ctx.Done():
		return a.ctx.Err()
	}
}

// strayChunk returns a chunk of another attempt, with a text of its own and the end marker
// set.
func (e *Engine) strayChunk(c target.Chunk) target.Chunk {
	c.Attempt = "stray-" + c.Attempt
	c.Text = "[another answer] "
	c.Done = true
	c.Finish = "stop"
	return c
}

// crashDue counts one chunk down to the crash and tells whether the engine crashes now.
func (e *Engine) crashDue() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.CrashAfter <= 0 {
		return false
	}
	e.faults.CrashAfter--
	return e.faults.CrashAfter == 0
}

// firstChunkDelay returns the injected delay of first chunks.
func (e *Engine) firstChunkDelay() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.firstChunkDelay()
}

// decodeTime returns how long one request takes to generate some output tokens: the
// running requests share the decode rate equally.
func (e *Engine) decodeTime(tokens int) time.Duration {
	busy := max(e.batch.inUse(e.options.Capacity), 1)
	return time.Duration(float64(tokens*busy) / e.options.DecodeRate * float64(time.Second))
}

// removePending subtracts prompt tokens from the ones that wait for prefill.
func (e *Engine) removePending(tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pendingPromptTokens = max(e.pendingPromptTokens-tokens, 0)
}

// cachePrompt adds the pieces of a prompt to the prefix cache.
func (e *Engine) cachePrompt(prompt []piece) {
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

// keepForExport keeps the KV cache of an attempt for other engines and returns its handle.
func (e *Engine) keepForExport(a *activeAttempt) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	handle := strconv.FormatUint(e.boot, 16) + "-" + a.request.Attempt
	e.exports[handle] = exportedKV{a.request.CacheScope, a.promptHash, PromptTokens(a.request.Prompt)}
	return handle
}

package engine

import (
	"context"
	"fmt"
	"sync"
	"time"

	"zinniapin/target"
)

// chunkQueue is the number of chunks made ahead of the reader.
const chunkQueue = 64

// run is an attempt under way. It implements target.Stream.
type run struct {
	engine       *Engine
	request      target.GenerateRequest
	prompt       uint64 // hash of model and prompt
	promptTokens int    // still to be processed
	total        int    // output tokens of the whole answer
	finish       string
	ctx          context.Context
	cancel       context.CancelFunc
	life         context.Context
	boot         uint64
	chunks       chan target.Chunk
	late         *target.Chunk
	sent         int
	breakAfter   int // chunks before the stream breaks; negative: never

	mu    sync.Mutex
	err   error // why the run ended
	ended bool  // the reader has seen the end marker
}

// newRun returns a run. The engine's lock is held.
func newRun(ctx context.Context, e *Engine, r target.GenerateRequest) *run {
	a := &run{
		engine:     e,
		request:    r,
		prompt:     hashOf(r.Model, r.Prompt),
		life:       e.cut,
		boot:       e.boot,
		chunks:     make(chan target.Chunk, chunkQueue),
		breakAfter: -1,
	}
	a.total, a.finish = length(a.prompt, r.MaxTokens)
	if r.Phase != target.PhaseDecode {
		a.promptTokens = PromptTokens(r.Prompt) + r.Offset
	}
	if e.faults.BreakStreams > 0 {
		e.faults.BreakStreams--
		a.breakAfter = e.faults.BreakAfter
	}
	a.ctx, a.cancel = context.WithCancel(ctx)
	context.AfterFunc(e.cut, a.cancel)
	return a
}

// work makes the answer.
func (a *run) work() {
	defer a.cancel()
	err := a.answer()
	a.engine.leave(a)
	if err != nil && a.life.Err() != nil {
		a.engine.countCut(a.request.Attempt, a.boot)
	}
	a.mu.Lock()
	a.err = err
	a.mu.Unlock()
	close(a.chunks)
}

// answer takes a place in the batch and goes through the phases.
func (a *run) answer() error {
	err := a.engine.batch.enter(a.ctx, a.request.Priority)
	if err != nil {
		a.engine.prefilled(a.promptTokens)
		return err
	}
	defer a.engine.batch.leave()
	if err := sleep(a.ctx, a.engine.delay()); err != nil {
		a.engine.prefilled(a.promptTokens)
		return err
	}
	if a.request.Phase == target.PhaseDecode {
		if err := a.importKV(); err != nil {
			return err
		}
	} else if err := a.process(); err != nil {
		return err
	}
	if a.request.Phase == target.PhasePrefill {
		return a.export()
	}
	return a.decode()
}

// process works through the prompt, less what the prefix cache holds.
func (a *run) process() error {
	e := a.engine
	defer e.prefilled(a.promptTokens)
	if err := e.prefill.enter(a.ctx, a.request.Priority); err != nil {
		return err
	}
	defer e.prefill.leave()
	prompt := pieces(a.request.CacheScope, a.request.Model, a.request.Prompt)
	e.mu.Lock()
	cached := e.cache.match(prompt) * PieceTokens
	e.mu.Unlock()
	work := float64(a.promptTokens - cached)
	if err := sleep(a.ctx, time.Duration(work/e.options.PrefillRate*float64(time.Second))); err != nil {
		return err
	}
	e.remember(prompt)
	return nil
}

// importKV takes over the cache that another engine made.
func (a *run) importKV() error {
	e := a.engine
	kv, err := e.options.Import(a.ctx, a.request.KVSource, a.request.KVHandle)
	if err != nil {
		return fmt.Errorf("%w: cannot import the KV cache: %w", target.ErrIncomplete, err)
	}
	if kv.Prompt != a.prompt || kv.Scope != a.request.CacheScope {
		return fmt.Errorf("%w: the KV cache is of another prompt", target.ErrIncomplete)
	}
	return sleep(a.ctx, time.Duration(kv.Tokens/PieceTokens+1)*e.options.ImportTimePerPiece)
}

// export keeps the cache and ends the prefill phase after the first token.
func (a *run) export() error {
	e := a.engine
	to := min(a.request.Offset+1, a.total)
	handle := e.keep(a)
	chunk := a.chunk(a.request.Offset, to)
	chunk.KVHandle = handle
	return a.send(chunk)
}

// decode makes the output tokens.
func (a *run) decode() error {
	for at := a.request.Offset; ; {
		to := min(at+a.engine.options.ChunkTokens, a.total)
		if err := sleep(a.ctx, a.engine.step(to-at)); err != nil {
			return err
		}
		if err := a.send(a.chunk(at, to)); err != nil {
			return err
		}
		if to >= a.total {
			return nil
		}
		at = to
	}
}

// chunk returns the chunk of some output tokens.
func (a *run) chunk(from, to int) target.Chunk {
	c := target.Chunk{Attempt: a.request.Attempt, Offset: from}
	if to > from {
		c.Tokens = to - from
		c.Text = text(a.prompt, from, to)
	}
	if to >= a.total {
		c.Done = true
		c.Finish = a.finish
		c.PromptTokens = PromptTokens(a.request.Prompt)
		c.OutputTokens = a.total
	}
	return c
}

// Next implements target.Stream.
func (a *run) Next() (target.Chunk, error) {
	if a.ended {
		return target.Chunk{}, errEnd
	}
	chunk, ok := <-a.chunks
	if !ok {
		a.mu.Lock()
		defer a.mu.Unlock()
		return target.Chunk{}, fmt.Errorf("%w: %w", target.ErrIncomplete, a.err)
	}
	if chunk.Attempt == a.request.Attempt && (chunk.Done || chunk.KVHandle != "") {
		a.ended = true
	}
	return chunk, nil
}

// Close implements target.Stream.
func (a *run) Close() error {
	a.cancel()
	return nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

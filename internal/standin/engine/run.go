package engine

import (
	"context"
	"fmt"
	"sync"
	"time"

	"zinniapin/target"
)

// chunkQueue is the number of chunks that are buffered for the reader of a stream.
const chunkQueue = 64

// activeAttempt is an admitted attempt to run a request. It implements target.Stream.
type activeAttempt struct {
	engine       *Engine
	request      target.GenerateRequest
	promptHash   uint64 // hash of model and prompt
	promptTokens int    // prompt tokens to prefill; 0 in the decode phase
	totalTokens  int    // length of the whole answer
	finishReason string
	ctx          context.Context
	cancel       context.CancelFunc
	runCtx       context.Context // cancelled by a change or a crash
	boot         uint64
	chunks       chan target.Chunk
	delayed      *target.Chunk // to be sent again after the next chunk
	chunksSent   int
	breakAfter   int // chunks before the stream breaks off; negative: never
	silentAfter  int // chunks before the stream falls silent; negative: never
	silence      time.Duration

	mu    sync.Mutex
	err   error // why the attempt failed; nil on success
	ended bool  // the reader got the end marker or the KV handle
}

// newAttempt returns an attempt, which execute runs. The caller holds the engine's lock.
func newAttempt(ctx context.Context, e *Engine, r target.GenerateRequest) *activeAttempt {
	a := &activeAttempt{
		engine:     e,
		request:    r,
		promptHash: hashOf(r.Model, r.Prompt),
		runCtx:     e.runCtx,
		boot:       e.boot,
		chunks:     make(chan target.Chunk, chunkQueue),
		breakAfter: -1, silentAfter: -1,
	}
	a.totalTokens, a.finishReason = length(a.promptHash, r.MaxTokens)
	if r.Phase != target.PhaseDecode {
		a.promptTokens = PromptTokens(r.Prompt) + r.Offset
	}
	if e.faults.BreakStreams > 0 {
		e.faults.BreakStreams--
		a.breakAfter = e.faults.BreakAfter
	}
	if e.faults.SilentStreams > 0 {
		e.faults.SilentStreams--
		a.silentAfter, a.silence = e.faults.SilentAfter, time.Duration(e.faults.SilentMillis)*time.Millisecond
	}
	a.ctx, a.cancel = context.WithCancel(ctx)
	context.AfterFunc(e.runCtx, a.cancel)
	return a
}

// execute runs the attempt to its end and closes the stream of chunks.
func (a *activeAttempt) execute() {
	defer a.cancel()
	err := a.runPhases()
	a.engine.removeAttempt(a)
	if err != nil && a.runCtx.Err() != nil {
		a.engine.recordCut(a.request.Attempt, a.boot)
	}
	a.mu.Lock()
	a.err = err
	a.mu.Unlock()
	close(a.chunks)
}

// runPhases waits for a place in the batch, then runs the phases that were requested.
func (a *activeAttempt) runPhases() error {
	err := a.engine.batch.acquire(a.ctx, a.request.Priority)
	if err != nil {
		a.engine.removePending(a.promptTokens)
		return err
	}
	defer a.engine.batch.release()
	if err := sleep(a.ctx, a.engine.firstChunkDelay()); err != nil {
		a.engine.removePending(a.promptTokens)
		return err
	}
	if a.request.Phase == target.PhaseDecode {
		if err := a.importKV(); err != nil {
			return err
		}
	} else if err := a.prefillPrompt(); err != nil {
		return err
	}
	if a.request.Phase == target.PhasePrefill {
		return a.exportKV()
	}
	return a.decode()
}

// prefillPrompt simulates the prefill of the part of the prompt that is not in the prefix
// cache, then caches the prompt.
func (a *activeAttempt) prefillPrompt() error {
	e := a.engine
	defer e.removePending(a.promptTokens)
	if err := e.prefill.acquire(a.ctx, a.request.Priority); err != nil {
		return err
	}
	defer e.prefill.release()
	prompt := pieces(a.request.CacheScope, a.request.Model, a.request.Prompt)
	e.mu.Lock()
	cached := e.cache.match(prompt) * PieceTokens
	e.mu.Unlock()
	work := float64(a.promptTokens - cached)
	if err := sleep(a.ctx, time.Duration(work/e.options.PrefillRate*float64(time.Second))); err != nil {
		return err
	}
	e.cachePrompt(prompt)
	return nil
}

// importKV imports the KV cache of the prompt from the engine that ran the prefill phase.
func (a *activeAttempt) importKV() error {
	e := a.engine
	kv, err := e.options.Import(a.ctx, a.request.KVSource, a.request.KVHandle)
	if err != nil {
		return fmt.Errorf("%w: cannot import the KV cache: %w", target.ErrIncomplete, err)
	}
	if kv.Prompt != a.promptHash || kv.Scope != a.request.CacheScope {
		return fmt.Errorf("%w: the KV cache belongs to another prompt or scope", target.ErrIncomplete)
	}
	return sleep(a.ctx, time.Duration(kv.Tokens/PieceTokens+1)*e.options.ImportTimePerPiece)
}

// exportKV keeps the KV cache for the decode phase on another engine, and sends the first
// token and the handle.
func (a *activeAttempt) exportKV() error {
	e := a.engine
	to := min(a.request.Offset+1, a.totalTokens)
	handle := e.keepForExport(a)
	chunk := a.chunk(a.request.Offset, to)
	chunk.KVHandle = handle
	return a.send(chunk)
}

// decode generates the remaining output tokens and sends them in chunks.
func (a *activeAttempt) decode() error {
	for at := a.request.Offset; ; {
		to := min(at+a.engine.options.ChunkTokens, a.totalTokens)
		if err := sleep(a.ctx, a.engine.decodeTime(to-at)); err != nil {
			return err
		}
		if err := a.send(a.chunk(at, to)); err != nil {
			return err
		}
		if to >= a.totalTokens {
			return nil
		}
		at = to
	}
}

// chunk returns the chunk of output tokens from index from up to index to. The chunk of
// the last token has the end marker and the token counts.
func (a *activeAttempt) chunk(from, to int) target.Chunk {
	c := target.Chunk{Attempt: a.request.Attempt, Offset: from}
	if to > from {
		c.Tokens = to - from
		c.Text = text(a.promptHash, from, to)
	}
	if to >= a.totalTokens {
		c.Done = true
		c.Finish = a.finishReason
		c.PromptTokens = PromptTokens(a.request.Prompt)
		c.OutputTokens = a.totalTokens
	}
	return c
}

// Next implements target.Stream.
func (a *activeAttempt) Next() (target.Chunk, error) {
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
func (a *activeAttempt) Close() error {
	a.cancel()
	return nil
}

// sleep waits for d, or until ctx is cancelled.
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

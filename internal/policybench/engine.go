// Package policybench drives the decision cores in virtual time against a
// small fake of engines and compares them with simpler policies over the same
// traces. It models what the decisions depend on and no more.
package policybench

import (
	"time"

	"zinniapin/target"
)

// Constants of the fake engine.
const (
	tick = 10 * time.Millisecond
	// prefillRate is the prompt tokens a second of an engine that does nothing
	// else.
	prefillRate = 8000.0
	// stepBase and stepPerRequest give the time between tokens, seconds: base
	// plus a part for each request in the batch.
	stepBase       = 0.015
	stepPerRequest = 0.0006
	// chunkTime is what a chunk of prefill adds to a step in an engine that
	// does both, seconds.
	chunkTime = 0.024
	// tokenInterval is the longest wanted mean time between tokens, seconds.
	tokenInterval = 0.046
	// batchCapacity is the requests that an engine runs at once.
	batchCapacity = 64
	// kvPieces is the memory of an engine, pieces of 2,000 tokens.
	kvPieces       = 240
	tokensPerPiece = 2000
	// cachedPrefixes is the number of prefixes that an engine keeps, and
	// cachedShare the share of a prompt that a kept prefix saves.
	cachedPrefixes = 24
	cachedShare    = 0.5
	// decodeRate is the tokens a second at which tokens still come in time.
	decodeRate = (tokenInterval - stepBase) / stepPerRequest / tokenInterval
	// serviceCapacity and serviceTime describe a plain service.
	serviceCapacity = 8
	serviceTime     = 60 * time.Millisecond
	// transferTime is the time to hand a cache over, and for each token.
	transferTime     = 2 * time.Millisecond
	transferPerToken = 2 * time.Microsecond
	// roleChangeTime is how long an engine is away once it is empty.
	roleChangeTime = 6 * time.Second
)

// job is a request's work on one engine.
type job struct {
	r       *request
	prefill float64 // prompt tokens left
	pieces  int
	handsTo *engine // the decode engine, for a prefill phase
	ready   int64   // not before, for a cache on its way; nanoseconds
}

// engine is a fake engine or plain service.
type engine struct {
	target   target.Target
	rate     float64 // prompt tokens a second when it does nothing else
	role     target.Role
	boot     uint64
	sequence uint64
	waiting  []*job
	prefills []*job
	running  []*job
	kvUsed   int
	promised int // decode phases on their way here
	cache    map[uint64]int64

	changingTo target.Role // empty unless a change is under way
	awayUntil  int64       // nanoseconds; 0 while it still empties
	leavesAt   int64       // nanoseconds; 0 unless reclaimed
	noticedAt  int64
	releasing  bool
	dead       bool
	joinedAt   int64
	leftAt     int64 // nanoseconds; 0 while there
}

// accept takes a request's job; the cached part of its prompt is skipped.
func (e *engine) accept(now int64, j *job) {
	r := j.r
	j.pieces = (r.prompt + r.output + tokensPerPiece - 1) / tokensPerPiece
	if j.prefill > 0 && e.target.Kind == target.Engine {
		if _, hit := e.cache[r.affinity]; hit {
			j.prefill *= 1 - cachedShare
		}
		e.remember(now, r.affinity)
	}
	e.waiting = append(e.waiting, j)
}

// remember keeps a prefix and drops the one unused for longest.
func (e *engine) remember(now int64, prefix uint64) {
	e.cache[prefix] = now
	if len(e.cache) <= cachedPrefixes {
		return
	}
	oldest := prefix
	for p, at := range e.cache {
		if at < e.cache[oldest] || at == e.cache[oldest] && p < oldest {
			oldest = p
		}
	}
	delete(e.cache, oldest)
}

// empty tells whether nothing is on the engine or on its way to it.
func (e *engine) empty() bool {
	return len(e.waiting)+len(e.prefills)+len(e.running)+e.promised == 0
}

// step runs the engine for one tick and hands finished phases to w.
func (e *engine) step(now int64, w *world) {
	if e.dead {
		return
	}
	if e.changingTo != "" && e.changeRole(now) {
		return
	}
	e.admit(now)
	if e.target.Kind == target.Service {
		e.serve(now, w)
		return
	}
	step := stepBase + stepPerRequest*float64(len(e.running))
	rate := e.rate
	if len(e.prefills) > 0 && len(e.running) > 0 {
		step += chunkTime
		rate = e.rate * chunkTime / step
	}
	e.decode(now, tick.Seconds()/step, w)
	e.process(now, rate*tick.Seconds(), w)
}

// changeRole goes on with a change and tells whether the engine is away.
func (e *engine) changeRole(now int64) bool {
	if e.awayUntil == 0 {
		if !e.empty() {
			return false
		}
		e.awayUntil = now + int64(roleChangeTime)
		e.cache = map[uint64]int64{}
	}
	if now < e.awayUntil {
		return true
	}
	e.role, e.changingTo, e.awayUntil = e.changingTo, "", 0
	return false
}

// admit starts waiting jobs while batch and memory have room.
func (e *engine) admit(now int64) {
	capacity := batchCapacity
	if e.target.Kind == target.Service {
		capacity = serviceCapacity
	}
	kept := e.waiting[:0]
	for i, j := range e.waiting {
		if len(e.prefills)+len(e.running) >= capacity || e.kvUsed+j.pieces > kvPieces {
			kept = append(kept, e.waiting[i:]...)
			break
		}
		if j.ready > now {
			kept = append(kept, j)
			continue
		}
		e.kvUsed += j.pieces
		if j.prefill > 0 {
			e.prefills = append(e.prefills, j)
		} else {
			e.running = append(e.running, j)
		}
	}
	e.waiting = kept
}

// decode gives every running request its tokens.
func (e *engine) decode(now int64, tokens float64, w *world) {
	kept := e.running[:0]
	for _, j := range e.running {
		j.r.left -= tokens
		if j.r.left > 0 {
			kept = append(kept, j)
			continue
		}
		e.kvUsed -= j.pieces
		w.finished(now, j.r)
	}
	e.running = kept
}

// process works prompt tokens off, first come first served.
func (e *engine) process(now int64, tokens float64, w *world) {
	for len(e.prefills) > 0 && tokens > 0 {
		j := e.prefills[0]
		done := min(tokens, j.prefill)
		j.prefill -= done
		tokens -= done
		if j.prefill > 0 {
			return
		}
		e.prefills = e.prefills[1:]
		w.firstToken(now, j.r)
		if j.handsTo == nil {
			e.running = append(e.running, j)
			continue
		}
		e.kvUsed -= j.pieces
		w.handOver(now, j)
	}
}

// serve runs the calls of a plain service.
func (e *engine) serve(now int64, w *world) {
	kept := e.running[:0]
	for _, j := range e.running {
		j.r.left -= float64(tick) / float64(serviceTime)
		if j.r.left > 0 {
			kept = append(kept, j)
			continue
		}
		e.kvUsed -= j.pieces
		w.firstToken(now, j.r)
		w.finished(now, j.r)
	}
	e.running = kept
}

// report returns the engine's word on its load.
func (e *engine) report(now time.Time) target.Report {
	e.sequence++
	r := target.Report{
		Target: e.target.ID, Boot: e.boot, Sequence: e.sequence, ReceivedAt: now,
		Role: e.role, Changing: e.changingTo != "",
		Running: len(e.running) + len(e.prefills), Waiting: len(e.waiting),
		KVPiecesUsed: e.kvUsed, KVPiecesTotal: kvPieces, Capacity: batchCapacity,
	}
	if e.target.Kind == target.Service {
		r.Capacity = serviceCapacity
		return r
	}
	r.Models = modelsOf
	r.PrefillRate, r.DecodeRate = e.rate, decodeRate
	left := 0.0
	for _, j := range e.prefills {
		left += j.prefill
	}
	for _, j := range e.waiting {
		left += j.prefill
	}
	r.PrefillTokens = int(left)
	return r
}

// modelsOf are the models that every engine has loaded.
var modelsOf = []string{"model"}

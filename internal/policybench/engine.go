// Package policybench runs the admission, routing, placement and spending code
// in virtual time against simulated engines and compares it with simpler
// policies over the same traces. It simulates only what those decisions depend
// on.
package policybench

import (
	"time"

	"zinniapin/target"
)

// Constants of the simulated engine.
const (
	// tick is the step of the virtual time.
	tick = 10 * time.Millisecond
	// prefillRate is the number of prompt tokens a second that an engine
	// processes when it doesn't decode.
	prefillRate = 8000.0
	// stepBase and stepPerRequest give the duration of a decode step, seconds:
	// stepBase plus stepPerRequest for each request in the batch.
	stepBase       = 0.015
	stepPerRequest = 0.0006
	// chunkTime is what a chunk of prefill adds to a decode step on an engine
	// that runs both phases, seconds.
	chunkTime = 0.024
	// tokenInterval is the target for the mean time between output tokens,
	// seconds.
	tokenInterval = 0.046
	// batchCapacity is the number of requests that an engine runs at once.
	batchCapacity = 64
	// kvPiecesTotal is the size of an engine's KV cache, in pieces of
	// tokensPerPiece tokens.
	kvPiecesTotal  = 240
	tokensPerPiece = 2000
	// cachedPrefixes is the number of prompt prefixes that an engine caches, and
	// cachedShare the share of a prompt that a prefix cache hit saves.
	cachedPrefixes = 24
	cachedShare    = 0.5
	// decodeRate is the number of output tokens a second of the largest batch
	// that still meets tokenInterval.
	decodeRate = (tokenInterval - stepBase) / stepPerRequest / tokenInterval
	// serviceCapacity is the number of calls that a plain service runs at once,
	// and serviceTime the duration of a call.
	serviceCapacity = 8
	serviceTime     = 60 * time.Millisecond
	// transferTime and transferPerToken give the time to transfer a KV cache to
	// a decode engine: a fixed part and a part for each prompt token.
	transferTime     = 2 * time.Millisecond
	transferPerToken = 2 * time.Microsecond
	// roleChangeTime is how long an idle engine is unavailable while it changes
	// its role.
	roleChangeTime = 6 * time.Second
)

// job is the part of a request that runs on one engine.
type job struct {
	r            *request
	prefill      float64 // prompt tokens that are not processed yet
	kvPieces     int     // reserved pieces of the KV cache
	decodeEngine *engine // runs the decode phase; nil if this engine does
	readyAt      int64   // when the transferred KV cache arrives, nanoseconds; 0 without a transfer
}

// engine is a simulated target: an inference engine or a plain service.
type engine struct {
	target         target.Target
	rate           float64 // prompt tokens a second while it doesn't decode
	role           target.Role
	boot           uint64 // incarnation, for reports
	sequence       uint64 // of the last report
	waiting        []*job // queued
	prefills       []*job // in their prefill phase
	running        []*job // in their decode phase, or calls of a plain service
	kvPiecesUsed   int
	pendingDecodes int              // requests that still prefill elsewhere and then decode here
	cache          map[uint64]int64 // by prefix: when it was last used, nanoseconds

	changingTo       target.Role // empty unless a change is under way
	unavailableUntil int64       // end of the role change, nanoseconds; 0 while requests still run
	terminatesAt     int64       // when the provider ends it, nanoseconds; 0 unless reclaimed
	noticeAt         int64       // when it was reclaimed or released, nanoseconds; 0 if neither
	releasing        bool        // released by the spending planner; ends once it is idle
	ended            bool
	joinedAt         int64 // nanoseconds
	endedAt          int64 // nanoseconds; 0 while it runs
}

// enqueue adds a job to the engine's queue. A prefix cache hit shortens the
// job's prompt work.
func (e *engine) enqueue(now int64, j *job) {
	r := j.r
	j.kvPieces = (r.prompt + r.output + tokensPerPiece - 1) / tokensPerPiece
	if j.prefill > 0 && e.target.Kind == target.Engine {
		if _, hit := e.cache[r.affinity]; hit {
			j.prefill *= 1 - cachedShare
		}
		e.cachePrefix(now, r.affinity)
	}
	e.waiting = append(e.waiting, j)
}

// cachePrefix adds a prefix to the cache and evicts the least recently used
// one when the cache is full.
func (e *engine) cachePrefix(now int64, prefix uint64) {
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

// idle reports whether the engine has no requests and expects none from a
// prefill engine.
func (e *engine) idle() bool {
	return len(e.waiting)+len(e.prefills)+len(e.running)+e.pendingDecodes == 0
}

// step simulates the engine for one tick and reports first tokens and finished
// phases to sim.
func (e *engine) step(now int64, sim *simulation) {
	if e.ended {
		return
	}
	if e.changingTo != "" && e.advanceRoleChange(now) {
		return
	}
	e.admit(now)
	if e.target.Kind == target.Service {
		e.runServiceCalls(now, sim)
		return
	}
	step := stepBase + stepPerRequest*float64(len(e.running))
	rate := e.rate
	if len(e.prefills) > 0 && len(e.running) > 0 {
		step += chunkTime
		rate = e.rate * chunkTime / step
	}
	e.runDecodes(now, tick.Seconds()/step, sim)
	e.runPrefills(now, rate*tick.Seconds(), sim)
}

// advanceRoleChange starts the role change once the engine is idle and
// completes it after roleChangeTime. The engine loses its prefix cache. It
// reports whether the engine is unavailable.
func (e *engine) advanceRoleChange(now int64) bool {
	if e.unavailableUntil == 0 {
		if !e.idle() {
			return false
		}
		e.unavailableUntil = now + int64(roleChangeTime)
		e.cache = map[uint64]int64{}
	}
	if now < e.unavailableUntil {
		return true
	}
	e.role, e.changingTo, e.unavailableUntil = e.changingTo, "", 0
	return false
}

// admit starts queued jobs, in order, while the batch and the KV cache have
// room. Jobs whose KV cache is still in transfer are skipped.
func (e *engine) admit(now int64) {
	capacity := batchCapacity
	if e.target.Kind == target.Service {
		capacity = serviceCapacity
	}
	kept := e.waiting[:0]
	for i, j := range e.waiting {
		if len(e.prefills)+len(e.running) >= capacity || e.kvPiecesUsed+j.kvPieces > kvPiecesTotal {
			kept = append(kept, e.waiting[i:]...)
			break
		}
		if j.readyAt > now {
			kept = append(kept, j)
			continue
		}
		e.kvPiecesUsed += j.kvPieces
		if j.prefill > 0 {
			e.prefills = append(e.prefills, j)
		} else {
			e.running = append(e.running, j)
		}
	}
	e.waiting = kept
}

// runDecodes subtracts the tokens generated in a tick from every running
// request and ends the finished ones.
func (e *engine) runDecodes(now int64, tokens float64, sim *simulation) {
	kept := e.running[:0]
	for _, j := range e.running {
		j.r.left -= tokens
		if j.r.left > 0 {
			kept = append(kept, j)
			continue
		}
		e.kvPiecesUsed -= j.kvPieces
		sim.finished(now, j.r)
	}
	e.running = kept
}

// runPrefills processes up to the given number of prompt tokens, in order of
// arrival. A finished prompt is decoded here or handed to its decode engine.
func (e *engine) runPrefills(now int64, tokens float64, sim *simulation) {
	for len(e.prefills) > 0 && tokens > 0 {
		j := e.prefills[0]
		done := min(tokens, j.prefill)
		j.prefill -= done
		tokens -= done
		if j.prefill > 0 {
			return
		}
		e.prefills = e.prefills[1:]
		sim.firstToken(now, j.r)
		if j.decodeEngine == nil {
			e.running = append(e.running, j)
			continue
		}
		e.kvPiecesUsed -= j.kvPieces
		sim.startDecode(now, j)
	}
}

// runServiceCalls advances the calls of a plain service by one tick and ends
// the finished ones.
func (e *engine) runServiceCalls(now int64, sim *simulation) {
	kept := e.running[:0]
	for _, j := range e.running {
		j.r.left -= float64(tick) / float64(serviceTime)
		if j.r.left > 0 {
			kept = append(kept, j)
			continue
		}
		e.kvPiecesUsed -= j.kvPieces
		sim.firstToken(now, j.r)
		sim.finished(now, j.r)
	}
	e.running = kept
}

// report returns the load report that the engine sends at this moment.
func (e *engine) report(now time.Time) target.Report {
	e.sequence++
	r := target.Report{
		Target: e.target.ID, Boot: e.boot, Sequence: e.sequence, ReceivedAt: now,
		Role: e.role, Changing: e.changingTo != "",
		Running: len(e.running) + len(e.prefills), Waiting: len(e.waiting),
		KVPiecesUsed: e.kvPiecesUsed, KVPiecesTotal: kvPiecesTotal, Capacity: batchCapacity,
	}
	if e.target.Kind == target.Service {
		r.Capacity = serviceCapacity
		return r
	}
	r.Models = loadedModels
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

// loadedModels are the models that every engine has loaded.
var loadedModels = []string{"model"}

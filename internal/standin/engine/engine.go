// Package engine is a stand-in for a model engine: continuous batching, a
// prefix cache, prefill and decode phases, roles, orders and faults. Its
// answers are a function of model and prompt, so that a resumed answer
// continues the same text.
package engine

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"zinniapin/target"
)

// maxRecords bounds each list of records.
const maxRecords = 100_000

// Engine is the stand-in. It is safe for concurrent use, and it uses the
// clock of package time, so it runs in a synctest bubble.
type Engine struct {
	options Options
	prefill *turnstile    // one prompt at a time
	batch   *turnstile    // Capacity requests at a time
	change  chan struct{} // one change at a time; a mutex would stop virtual time

	mu         sync.Mutex
	draw       *rand.Rand
	boot       uint64
	down       bool
	life       context.Context // ends with a crash
	end        context.CancelFunc
	cut        context.Context // ends with a change
	endCut     context.CancelFunc
	role       target.Role
	models     map[string]bool
	changing   int // changes under way or waiting
	fence      uint64
	lastOrder  string
	applied    map[string]bool // orders by id, of this boot
	running    map[string]*run
	promptLoad int // prompt tokens still to be processed
	sequence   uint64
	history    []snapshot
	cache      *prefixCache
	exports    map[string]export
	faults     Faults
	records    Records
	onCrash    func(restart time.Duration)
}

// New returns a running engine.
func New(o Options) *Engine {
	o = o.withDefaults()
	e := &Engine{
		options: o,
		prefill: newTurnstile(1),
		batch:   newTurnstile(o.Capacity),
		change:  make(chan struct{}, 1),
		draw:    rand.New(rand.NewPCG(o.Seed, o.Seed+1)),
		onCrash: func(time.Duration) {},
	}
	e.start()
	return e
}

// start sets the state of a new boot. The lock is held, or not yet needed.
func (e *Engine) start() {
	e.boot = e.draw.Uint64()
	e.down = false
	e.life, e.end = context.WithCancel(context.Background())
	e.cut, e.endCut = context.WithCancel(e.life)
	e.role = e.options.Role
	e.models = map[string]bool{}
	for _, m := range e.options.Models {
		e.models[m] = true
	}
	e.changing = 0
	e.fence = 0
	e.lastOrder = ""
	e.applied = map[string]bool{}
	e.running = map[string]*run{}
	e.promptLoad = 0
	e.sequence = 0
	e.history = nil
	e.cache = newPrefixCache(e.options.KVPieces)
	e.exports = map[string]export{}
}

// Crash ends everything that runs and loses all state, until Restart.
func (e *Engine) Crash() {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return
	}
	e.down = true
	end := e.end
	notify := e.onCrash
	after := time.Duration(e.faults.RestartMillis) * time.Millisecond
	e.mu.Unlock()
	// The listener goes first, so that whoever sees a broken answer finds
	// nothing listening.
	notify(after)
	end()
}

// Restart starts a crashed engine with a new boot id.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		e.start()
	}
}

// Down tells whether the engine has crashed.
func (e *Engine) Down() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down
}

// Close ends the engine for good.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = true
	e.end()
}

// Generate starts an attempt, as target.Requests does. The answer stops when
// ctx ends.
func (e *Engine) Generate(ctx context.Context, r target.GenerateRequest) (target.Stream, error) {
	a, err := e.admit(ctx, r)
	if err != nil {
		return nil, err
	}
	go a.work()
	return a, nil
}

// Cancel ends an attempt and tells whether it was running.
func (e *Engine) Cancel(attempt string) bool {
	e.mu.Lock()
	a, ok := e.running[attempt]
	e.mu.Unlock()
	if ok {
		a.cancel()
	}
	return ok
}

// admit takes a request in, or refuses it unrun.
func (e *Engine) admit(ctx context.Context, r target.GenerateRequest) (*run, error) {
	refuse := e.take(func(f *Faults) *int { return &f.Refuse })
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return nil, fmt.Errorf("%w: the engine is down", target.ErrNotSent)
	}
	if err := e.admissible(r, refuse); err != nil {
		return nil, err
	}
	a := newRun(ctx, e, r)
	e.running[r.Attempt] = a
	e.promptLoad += a.promptTokens
	e.records.add(r)
	return a, nil
}

// admissible tells why a request is refused, or nil. The lock is held.
func (e *Engine) admissible(r target.GenerateRequest, refuse bool) error {
	switch {
	case refuse:
		return fmt.Errorf("%w: refused by a fault", target.ErrRefused)
	case e.changing > 0:
		return fmt.Errorf("%w: the engine is changing", target.ErrRefused)
	case !e.models[r.Model]:
		return fmt.Errorf("%w: model %q is not loaded", target.ErrRefused, r.Model)
	case !e.options.AnyRole && !runs(e.role, r.Phase):
		return fmt.Errorf("%w: role %s does not run this phase", target.ErrRefused, e.role)
	case e.running[r.Attempt] != nil:
		return fmt.Errorf("%w: attempt %q is running", target.ErrRefused, r.Attempt)
	case r.Offset > 0 && r.Delivered != Text(r.Model, r.Prompt, 0, r.Offset):
		return fmt.Errorf("%w: the delivered text is not this answer's", target.ErrRefused)
	default:
		return nil
	}
}

// runs tells whether a role runs a phase. A whole request needs both halves.
func runs(role target.Role, phase target.Phase) bool {
	switch role {
	case target.Prefill:
		return phase == target.PhasePrefill
	case target.Decode:
		return phase == target.PhaseDecode
	default:
		return true
	}
}

// leave ends a run's part of the load.
func (e *Engine) leave(a *run) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[a.request.Attempt] == a {
		delete(e.running, a.request.Attempt)
	}
}

// errEnd is what a stream returns after its end.
var errEnd = io.EOF

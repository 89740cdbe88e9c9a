// Package engine simulates a model engine for tests: continuous batching, a prefix cache,
// prefill and decode phases, roles, orders and injected faults. The text of an answer
// depends on the model and the prompt only, so an answer that is resumed on another engine
// continues with the same text.
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

// maxRecords is the maximum length of each list in Records, except that of orders.
const maxRecords = 100_000

// Engine is a simulated engine. It is safe for concurrent use. It takes the time from
// package time, so it runs on virtual time within a synctest bubble.
type Engine struct {
	options    Options
	prefill    *prioritySemaphore // prefills one prompt at a time
	batch      *prioritySemaphore // runs Options.Capacity requests at a time
	changeLock chan struct{}      // held during a change; a mutex would stop virtual time

	mu                  sync.Mutex
	random              *rand.Rand
	boot                uint64 // random id of the present start
	down                bool
	bootCtx             context.Context // cancelled by a crash or Close
	endBoot             context.CancelFunc
	runCtx              context.Context // cancelled by a change too; child of bootCtx
	cancelRuns          context.CancelFunc
	role                target.Role
	models              map[string]bool
	pendingChanges      int                       // role and model changes in progress or waiting
	fence               uint64                    // highest fencing number of the accepted orders of this boot
	lastOrder           string                    // id of the order applied last; empty after a restart
	applied             map[string]bool           // ids of the orders applied during this boot
	running             map[string]*activeAttempt // by attempt id
	pendingPromptTokens int                       // prompt tokens of admitted attempts still to be prefilled
	sequence            uint64                    // of the last report of this boot
	history             []snapshot                // recent reports, oldest first, kept to return them with a lag
	cache               *prefixCache
	exports             map[string]exportedKV // by handle
	faults              Faults
	records             Records
	onCrash             func(restart time.Duration)
}

// New returns a running engine.
func New(o Options) *Engine {
	o = o.withDefaults()
	e := &Engine{
		options:    o,
		prefill:    newPrioritySemaphore(1),
		batch:      newPrioritySemaphore(o.Capacity),
		changeLock: make(chan struct{}, 1),
		random:     rand.New(rand.NewPCG(o.Seed, o.Seed+1)),
		onCrash:    func(time.Duration) {},
	}
	e.startBoot()
	return e
}

// startBoot resets the state for a new boot. The caller holds the lock, or is the only
// user of the engine.
func (e *Engine) startBoot() {
	e.boot = e.random.Uint64()
	e.down = false
	e.bootCtx, e.endBoot = context.WithCancel(context.Background())
	e.runCtx, e.cancelRuns = context.WithCancel(e.bootCtx)
	e.role = e.options.Role
	e.models = map[string]bool{}
	for _, m := range e.options.Models {
		e.models[m] = true
	}
	e.pendingChanges = 0
	e.fence = 0
	e.lastOrder = ""
	e.applied = map[string]bool{}
	e.running = map[string]*activeAttempt{}
	e.pendingPromptTokens = 0
	e.sequence = 0
	e.history = nil
	e.cache = newPrefixCache(e.options.KVPieces)
	e.exports = map[string]exportedKV{}
}

// Crash interrupts all requests and orders and marks the engine as down. Restart brings it
// up with empty state.
func (e *Engine) Crash() {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return
	}
	e.down = true
	end := e.endBoot
	notify := e.onCrash
	after := time.Duration(e.faults.RestartMillis) * time.Millisecond
	e.mu.Unlock()
	// The listener is closed before the streams break, so that a caller that
	// sees its stream break cannot connect again before the restart.
	notify(after)
	end()
}

// Restart starts a crashed engine with a new boot id and the state that its options
// describe.
func (e *Engine) Restart() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		e.startBoot()
	}
}

// Down tells whether the engine has crashed or was closed.
func (e *Engine) Down() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down
}

// Close shuts the engine down and interrupts all requests and orders.
func (e *Engine) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = true
	e.endBoot()
}

// Generate implements target.Requests. The attempt is interrupted when ctx ends.
func (e *Engine) Generate(ctx context.Context, r target.GenerateRequest) (target.Stream, error) {
	a, err := e.admit(ctx, r)
	if err != nil {
		return nil, err
	}
	go a.execute()
	return a, nil
}

// Cancel interrupts an attempt and returns whether it was running.
func (e *Engine) Cancel(attempt string) bool {
	e.mu.Lock()
	a, ok := e.running[attempt]
	e.mu.Unlock()
	if ok {
		a.cancel()
	}
	return ok
}

// admit registers a request as a running attempt, or refuses it before any of it runs.
func (e *Engine) admit(ctx context.Context, r target.GenerateRequest) (*activeAttempt, error) {
	refuse := e.consumeFault(func(f *Faults) *int { return &f.Refuse })
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return nil, fmt.Errorf("%w: the engine is down", target.ErrNotSent)
	}
	if err := e.refusalReason(r, refuse); err != nil {
		return nil, err
	}
	a := newAttempt(ctx, e, r)
	e.running[r.Attempt] = a
	e.pendingPromptTokens += a.promptTokens
	e.records.addRequest(r)
	return a, nil
}

// refusalReason returns an error that says why a request is refused, or nil if it is
// admitted. The caller holds the lock.
func (e *Engine) refusalReason(r target.GenerateRequest, refuse bool) error {
	switch {
	case refuse:
		return fmt.Errorf("%w: refused by a fault", target.ErrRefused)
	case e.pendingChanges > 0:
		return fmt.Errorf("%w: the engine is carrying out an order", target.ErrRefused)
	case !e.models[r.Model]:
		return fmt.Errorf("%w: model %q is not loaded", target.ErrRefused, r.Model)
	case !e.options.AnyRole && !roleRunsPhase(e.role, r.Phase):
		return fmt.Errorf("%w: role %s does not run this phase", target.ErrRefused, e.role)
	case e.running[r.Attempt] != nil:
		return fmt.Errorf("%w: attempt %q is running", target.ErrRefused, r.Attempt)
	case r.Offset > 0 && r.Delivered != Text(r.Model, r.Prompt, 0, r.Offset):
		return fmt.Errorf("%w: the delivered text differs from this answer", target.ErrRefused)
	default:
		return nil
	}
}

// roleRunsPhase tells whether engines in a role run a phase. A request for both phases
// runs in neither the prefill nor the decode role.
func roleRunsPhase(role target.Role, phase target.Phase) bool {
	switch role {
	case target.Prefill:
		return phase == target.PhasePrefill
	case target.Decode:
		return phase == target.PhaseDecode
	default:
		return true
	}
}

// removeAttempt removes an ended attempt from the running ones.
func (e *Engine) removeAttempt(a *activeAttempt) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.running[a.request.Attempt] == a {
		delete(e.running, a.request.Attempt)
	}
}

// errEnd is what Next returns after the last chunk of a stream.
var errEnd = io.EOF

package engine

import (
	"context"
	"fmt"
	"time"

	"zinniapin/target"
)

// Send gives the engine an order, as target.Orders does. A change cuts what
// runs and takes seconds, during which requests are refused unrun.
func (e *Engine) Send(ctx context.Context, o target.Order) error {
	index, err := e.arrive(o)
	if err != nil {
		return err
	}
	// The change goes on when the sender does not wait for it.
	done := make(chan error, 1)
	go func() { done <- e.carryOut(index, o) }()
	select {
	case err := <-done:
		if err == nil && e.take(func(f *Faults) *int { return &f.LoseOrderAnswers }) {
			return fmt.Errorf("%w: answer lost by a fault", target.ErrIncomplete)
		}
		return err
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", target.ErrIncomplete, ctx.Err())
	}
}

// arrive records an order and counts it as a change to come.
func (e *Engine) arrive(o target.Order) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return 0, fmt.Errorf("%w: the engine is down", target.ErrNotSent)
	}
	index := e.records.arrive(o, e.boot)
	if e.options.ChecksFence && o.Fence < e.fence {
		e.records.end(index, OrderStale)
		return 0, fmt.Errorf("%w: %d is below %d", target.ErrStaleFence, o.Fence, e.fence)
	}
	e.fence = max(e.fence, o.Fence)
	e.changing++
	return index, nil
}

// carryOut makes the change, one at a time.
func (e *Engine) carryOut(index int, o target.Order) error {
	e.change <- struct{}{}
	defer func() { <-e.change }()
	life, known, ok := e.begin(index, o)
	if !ok {
		return e.finish(index, OrderLost, life)
	}
	if known {
		return e.finish(index, OrderRepeated, life)
	}
	if e.take(func(f *Faults) *int { return &f.CrashInChange }) {
		_ = sleep(life, e.duration(o)/2)
		e.Crash()
		return e.finish(index, OrderLost, life)
	}
	if sleep(life, e.duration(o)) != nil {
		return e.finish(index, OrderLost, life)
	}
	e.apply(o)
	return e.finish(index, OrderApplied, life)
}

// begin cuts what runs, unless the order is a repeat or of another boot.
func (e *Engine) begin(index int, o target.Order) (life context.Context, known, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down || e.records.Orders[index].Boot != e.boot {
		return nil, false, false
	}
	if e.applied[o.ID] {
		return e.life, true, true
	}
	e.endCut()
	e.cut, e.endCut = context.WithCancel(e.life)
	return e.life, false, true
}

// duration returns how long an order takes.
func (e *Engine) duration(o target.Order) time.Duration {
	if o.Kind == target.OrderModel {
		return e.options.ModelChangeTime
	}
	return e.options.RoleChangeTime
}

// apply lets an order take effect.
func (e *Engine) apply(o target.Order) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastOrder = o.ID
	e.applied[o.ID] = true
	if o.Kind == target.OrderRole {
		e.role = o.Role
		return
	}
	delete(e.models, o.Unload)
	if o.Model != "" {
		e.models[o.Model] = true
	}
}

// finish ends an order's change and returns what its sender learns.
func (e *Engine) finish(index int, outcome OrderOutcome, life context.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.records.end(index, outcome)
	if e.life == life && e.changing > 0 {
		e.changing--
	}
	if outcome == OrderLost {
		return fmt.Errorf("%w: the engine crashed", target.ErrIncomplete)
	}
	return nil
}

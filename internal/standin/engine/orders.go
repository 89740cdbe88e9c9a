package engine

import (
	"context"
	"fmt"
	"time"

	"zinniapin/target"
)

// Send implements target.Orders. Carrying out an order takes seconds. Running requests are
// interrupted when it begins, and new ones are refused from its arrival until it ends.
func (e *Engine) Send(ctx context.Context, o target.Order) error {
	index, err := e.receiveOrder(o)
	if err != nil {
		return err
	}
	// The change continues when the sender stops waiting for it.
	done := make(chan error, 1)
	go func() { done <- e.executeOrder(index, o) }()
	select {
	case err := <-done:
		if err == nil && e.consumeFault(func(f *Faults) *int { return &f.LoseOrderAnswers }) {
			return fmt.Errorf("%w: answer lost by a fault", target.ErrIncomplete)
		}
		return err
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", target.ErrIncomplete, ctx.Err())
	}
}

// receiveOrder records an order, checks its fencing number and counts it as a pending
// change. It returns the index of its record.
func (e *Engine) receiveOrder(o target.Order) (int, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return 0, fmt.Errorf("%w: the engine is down", target.ErrNotSent)
	}
	index := e.records.addOrder(o, e.boot)
	if e.options.ChecksFence && o.Fence < e.fence {
		e.records.endOrder(index, OrderStale)
		return 0, fmt.Errorf("%w: %d is below %d", target.ErrStaleFence, o.Fence, e.fence)
	}
	e.fence = max(e.fence, o.Fence)
	e.pendingChanges++
	return index, nil
}

// executeOrder carries out an order. Orders are carried out one at a time.
func (e *Engine) executeOrder(index int, o target.Order) error {
	e.changeLock <- struct{}{}
	defer func() { <-e.changeLock }()
	bootCtx, repeated, ok := e.beginOrder(index, o)
	if !ok {
		return e.finishOrder(index, OrderLost, bootCtx)
	}
	if repeated {
		return e.finishOrder(index, OrderRepeated, bootCtx)
	}
	if e.consumeFault(func(f *Faults) *int { return &f.CrashInChange }) {
		_ = sleep(bootCtx, e.changeTime(o)/2)
		e.Crash()
		return e.finishOrder(index, OrderLost, bootCtx)
	}
	if sleep(bootCtx, e.changeTime(o)) != nil {
		return e.finishOrder(index, OrderLost, bootCtx)
	}
	e.applyOrder(o)
	return e.finishOrder(index, OrderApplied, bootCtx)
}

// beginOrder interrupts the running requests unless the order has already been applied
// (repeated). It returns ok false if the engine has crashed since it received the order.
func (e *Engine) beginOrder(index int, o target.Order) (bootCtx context.Context, repeated, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down || e.records.Orders[index].Boot != e.boot {
		return nil, false, false
	}
	if e.applied[o.ID] {
		return e.bootCtx, true, true
	}
	e.cancelRuns()
	e.runCtx, e.cancelRuns = context.WithCancel(e.bootCtx)
	return e.bootCtx, false, true
}

// changeTime returns how long an order takes to carry out.
func (e *Engine) changeTime(o target.Order) time.Duration {
	if o.Kind == target.OrderModel {
		return e.options.ModelChangeTime
	}
	return e.options.RoleChangeTime
}

// applyOrder changes the role or the loaded models.
func (e *Engine) applyOrder(o target.Order) {
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

// finishOrder records the outcome of an order and returns the error for its sender. The
// order leaves the count of pending changes only if bootCtx is still the context of the
// present boot: a restart has reset that count.
func (e *Engine) finishOrder(index int, outcome OrderOutcome, bootCtx context.Context) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.records.endOrder(index, outcome)
	if e.bootCtx == bootCtx && e.pendingChanges > 0 {
		e.pendingChanges--
	}
	if outcome == OrderLost {
		return fmt.Errorf("%w: the engine crashed", target.ErrIncomplete)
	}
	return nil
}

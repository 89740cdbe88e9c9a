package authority

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/gravitational/trace"

	"zinniapin/provider"
	"zinniapin/target"
	"zinniapin/zone"
)

// EngineUnit returns the name of an engine's unit.
func EngineUnit(id target.ID) string { return "engine/" + string(id) }

// PlatformUnitPrefix begins the names of the units for orders to the platform's
// target interface.
const PlatformUnitPrefix = "platform/"

// PoolUnit returns the name of the unit for orders to the platform for targets of
// a pool in a zone.
func PoolUnit(pool string, z zone.Name) string {
	return fmt.Sprintf("%s%s/%s", PlatformUnitPrefix, pool, z)
}

// Change is what an order asks of an engine: to take a role, or to load a model and,
// if Unload is set, to unload another one first.
type Change struct {
	Kind   target.OrderKind `json:"kind"`
	Role   target.Role      `json:"role,omitempty"`
	Model  string           `json:"model,omitempty"`
	Unload string           `json:"unload,omitempty"`
}

// OrderEngine orders a change from an engine and returns the order's outcome.
func (x *Executor) OrderEngine(ctx context.Context, orders target.Orders, t target.Target, c Change) (Outcome, error) {
	payload, err := json.Marshal(c)
	if err != nil {
		return NotSent, trace.Wrap(err)
	}
	unit := EngineUnit(t.ID)
	d := &engineDriver{executor: x, unit: unit, orders: orders, target: t, change: c}
	return x.Do(ctx, unit, t.ChecksFence, d, Order{Payload: string(payload), Role: string(c.Role)})
}

// engineDriver sends orders to one engine.
type engineDriver struct {
	executor *Executor
	unit     string
	orders   target.Orders
	target   target.Target
	change   Change
}

// Send implements Driver.
func (d *engineDriver) Send(ctx context.Context, o Order) error {
	err := d.orders.Send(ctx, d.target, target.Order{
		ID:     o.ID,
		Fence:  o.Epoch,
		Author: o.Author,
		Kind:   d.change.Kind,
		Role:   d.change.Role,
		Model:  d.change.Model,
		Unload: d.change.Unload,
	})
	if errors.Is(err, target.ErrStaleFence) {
		d.learnFence(ctx)
	}
	return err
}

// learnFence reads the highest fencing number that the engine has seen, so that
// the next order gets a higher one.
func (d *engineDriver) learnFence(ctx context.Context) {
	report, err := d.orders.Report(ctx, d.target)
	if err == nil {
		d.executor.raiseMinFence(d.unit, report.Fence)
	}
}

// Probe implements Driver.
func (d *engineDriver) Probe(ctx context.Context, o Order) ProbeResult {
	report, err := d.orders.Report(ctx, d.target)
	if err != nil || report.Target != d.target.ID {
		return ProbeResult{}
	}
	return ProbeResult{Answered: true, Boot: report.Boot, Applied: report.LastOrder == o.ID}
}

// OrderTargets orders targets from the platform and returns the platform's answer and
// the order's outcome. The order is sent with an ID and a fencing number that the
// executor chooses; those in o are ignored.
func (x *Executor) OrderTargets(ctx context.Context, targets provider.Targets, o provider.TargetOrder) (provider.TargetOrderResult, Outcome, error) {
	payload, err := json.Marshal(o)
	if err != nil {
		return provider.TargetOrderResult{}, NotSent, trace.Wrap(err)
	}
	d := &platformDriver{targets: targets, order: o, ownResult: make(chan provider.TargetOrderResult, 1)}
	outcome, err := x.Do(ctx, PoolUnit(o.Pool, o.Zone), false, d, Order{Payload: string(payload)})
	if outcome != Applied {
		return provider.TargetOrderResult{}, outcome, err
	}
	return <-d.ownResult, outcome, err
}

// platformDriver sends one order to the platform's target interface.
type platformDriver struct {
	targets   provider.Targets
	order     provider.TargetOrder
	ownResult chan provider.TargetOrderResult // the platform's answer to the order with ownID
	ownID     string
}

// Send implements Driver.
func (d *platformDriver) Send(ctx context.Context, o Order) error {
	d.ownID = o.ID
	order := d.order
	order.ID, order.Fence = o.ID, o.Epoch
	answer, err := d.targets.Order(ctx, order)
	if err == nil {
		d.ownResult <- answer
	}
	return err
}

// Probe implements Driver.
func (d *platformDriver) Probe(ctx context.Context, o Order) ProbeResult {
	answer, found, err := d.targets.Lookup(ctx, o.ID)
	if err != nil || !found {
		return ProbeResult{}
	}
	if o.ID == d.ownID {
		d.ownResult <- answer
	}
	return ProbeResult{Answered: true, Applied: true}
}

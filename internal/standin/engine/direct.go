package engine

import (
	"context"
	"fmt"
	"sync"
	"time"

	"zinniapin/target"
	"zinniapin/target/httpengine"
)

// Direct calls engines of the same process by address, without sockets, so that it works
// in virtual time. It implements target.Requests and target.Orders.
type Direct struct {
	mu      sync.Mutex
	engines map[string]*Engine // by address
}

var (
	_ target.Requests = (*Direct)(nil)
	_ target.Orders   = (*Direct)(nil)
)

// NewDirect returns a Direct without engines.
func NewDirect() *Direct {
	return &Direct{engines: map[string]*Engine{}}
}

// Add creates an engine and registers it under an address. The engine imports KV caches
// from the other engines of d.
func (d *Direct) Add(address string, o Options) *Engine {
	o.Import = d.fetch
	e := New(o)
	e.onCrash = func(restart time.Duration) {
		if restart > 0 {
			time.AfterFunc(restart, func() { d.restart(address, e) })
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.engines[address] = e
	return e
}

// restart starts an engine again that has crashed, unless it was removed or replaced.
func (d *Direct) restart(address string, e *Engine) {
	if present, err := d.at(address); err == nil && present == e {
		e.Restart()
	}
}

// Remove unregisters and closes an engine, as when its host fails.
func (d *Direct) Remove(address string) {
	d.mu.Lock()
	e := d.engines[address]
	delete(d.engines, address)
	d.mu.Unlock()
	if e != nil {
		e.Close()
	}
}

// at returns the engine registered under an address.
func (d *Direct) at(address string) (*Engine, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	e, ok := d.engines[address]
	if !ok {
		return nil, fmt.Errorf("%w: no engine at %s", target.ErrNotSent, address)
	}
	return e, nil
}

// fetch returns the KV cache that the engine at source exported under a handle.
func (d *Direct) fetch(_ context.Context, source, handle string) (httpengine.KVExport, error) {
	e, err := d.at(source)
	if err != nil {
		return httpengine.KVExport{}, err
	}
	return e.Export(handle)
}

// Generate implements target.Requests.
func (d *Direct) Generate(ctx context.Context, t target.Target, r target.GenerateRequest) (target.Stream, error) {
	e, err := d.at(t.Address)
	if err != nil {
		return nil, err
	}
	return e.Generate(ctx, r)
}

// Send implements target.Orders.
func (d *Direct) Send(ctx context.Context, t target.Target, o target.Order) error {
	e, err := d.at(t.Address)
	if err != nil {
		return err
	}
	return e.Send(ctx, o)
}

// Report implements target.Orders.
func (d *Direct) Report(_ context.Context, t target.Target) (target.Report, error) {
	e, err := d.at(t.Address)
	if err != nil {
		return target.Report{}, err
	}
	if e.Down() {
		return target.Report{}, fmt.Errorf("%w: the engine is down", target.ErrNotSent)
	}
	return e.Report(), nil
}

// Refuses tells whether connections to an engine are refused, which they are while it is down.
func (d *Direct) Refuses(_ context.Context, t target.Target) bool {
	e, err := d.at(t.Address)
	return err != nil || e.Down()
}

// Export returns the KV cache that the engine keeps under a handle.
func (e *Engine) Export(handle string) (httpengine.KVExport, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	kept, ok := e.exports[handle]
	if !ok || e.down {
		return httpengine.KVExport{}, fmt.Errorf("%w: no KV cache %q", target.ErrRefused, handle)
	}
	return httpengine.KVExport{Handle: handle, Scope: kept.scope, Prompt: kept.prompt, Tokens: kept.tokens}, nil
}

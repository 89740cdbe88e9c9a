package soak

import (
	"context"
	"errors"
	"sync"

	"zinniapin/gateway"
	"zinniapin/link"
	"zinniapin/machine"
	"zinniapin/provider"
	"zinniapin/store"
	"zinniapin/target"
	"zinniapin/wire"
)

// errProcessKilled is returned by the outbound calls of a killed process, whose results nobody
// uses.
var errProcessKilled = errors.New("soak: the process is killed")

// gate lets a test pause or kill one process by holding up everything that passes between it and
// the rest of the system. Outbound calls of a frozen process wait, and go out after it wakes
// even if their contexts have ended: a process may be paused between a check and the send that
// depends on it. Nothing leaves a killed process.
type gate struct {
	mu       sync.Mutex
	frozen   chan struct{} // closed by wake; nil while the process runs
	killed   bool
	storeCut bool // only this process is cut off from the object API
}

// freeze makes outbound calls wait.
func (g *gate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen == nil && !g.killed {
		g.frozen = make(chan struct{})
	}
}

// wake lets the waiting outbound calls continue.
func (g *gate) wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen != nil {
		close(g.frozen)
		g.frozen = nil
	}
}

// kill makes all outbound calls fail for good.
func (g *gate) kill() {
	g.mu.Lock()
	g.killed = true
	g.mu.Unlock()
	g.wake()
}

// wakeChannel returns the channel that wake closes, or nil if the process is not frozen.
func (g *gate) wakeChannel() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.frozen
}

// waitOutbound waits while the process is frozen, and returns the context for the call: ctx
// itself if the call did not have to wait, otherwise one that never ends. It returns an error if
// the process is killed.
func (g *gate) waitOutbound(ctx context.Context) (context.Context, error) {
	for wake := g.wakeChannel(); wake != nil; wake = g.wakeChannel() {
		<-wake
		ctx = context.WithoutCancel(ctx)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.killed {
		return ctx, errProcessKilled
	}
	return ctx, nil
}

// setStoreCut cuts this process off from the object API, or reconnects it.
func (g *gate) setStoreCut(cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.storeCut = cut
}

// waitStore is waitOutbound for calls of the object API, which also fail while the process is
// cut off from it.
func (g *gate) waitStore(ctx context.Context) (context.Context, error) {
	ctx, err := g.waitOutbound(ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.storeCut {
		err = errProcessKilled
	}
	return ctx, err
}

// gatedStore passes a process's calls of the object API through its gate.
type gatedStore struct {
	gate  *gate
	inner store.Store
}

// notSent replaces the error of a call that never left the process by store.ErrUnavailable, which
// tells callers that the call had no effect.
func notSent(error) error { return store.ErrUnavailable }

func (s *gatedStore) Get(ctx context.Context, p store.Purpose, key string) (store.Object, error) {
	ctx, err := s.gate.waitStore(ctx)
	if err != nil {
		return store.Object{}, notSent(err)
	}
	return s.inner.Get(ctx, p, key)
}

func (s *gatedStore) Put(ctx context.Context, p store.Purpose, key string, value []byte, ifVersion store.Version) (store.Version, error) {
	ctx, err := s.gate.waitStore(ctx)
	if err != nil {
		return store.Absent, notSent(err)
	}
	return s.inner.Put(ctx, p, key, value, ifVersion)
}

func (s *gatedStore) Delete(ctx context.Context, p store.Purpose, key string, ifVersion store.Version) error {
	ctx, err := s.gate.waitStore(ctx)
	if err != nil {
		return notSent(err)
	}
	return s.inner.Delete(ctx, p, key, ifVersion)
}

func (s *gatedStore) List(ctx context.Context, p store.Purpose, prefix string) ([]store.Object, error) {
	ctx, err := s.gate.waitStore(ctx)
	if err != nil {
		return nil, notSent(err)
	}
	return s.inner.List(ctx, p, prefix)
}

// Watch passes on the caller's own context, which must be able to end the watch, and not the one
// from the gate, which never ends. If the call had to wait at the gate and its context ended
// meanwhile, the watch is not sent. A call that did not wait goes on as without the gate.
func (s *gatedStore) Watch(ctx context.Context, p store.Purpose, key string, after store.Version) (store.Object, error) {
	sendCtx, err := s.gate.waitStore(ctx)
	if err != nil {
		return store.Object{}, notSent(err)
	}
	if sendCtx != ctx && ctx.Err() != nil { // sendCtx differs from ctx only if the call had to wait
		return store.Object{}, store.ErrUnavailable
	}
	return s.inner.Watch(ctx, p, key, after)
}

// gatedOrders passes a process's calls of target.Orders through its gate.
type gatedOrders struct {
	gate  *gate
	inner target.Orders
}

func (o *gatedOrders) Send(ctx context.Context, t target.Target, order target.Order) error {
	ctx, err := o.gate.waitOutbound(ctx)
	if err != nil {
		return target.ErrNotSent
	}
	return o.inner.Send(ctx, t, order)
}

func (o *gatedOrders) Report(ctx context.Context, t target.Target) (target.Report, error) {
	ctx, err := o.gate.waitOutbound(ctx)
	if err != nil {
		return target.Report{}, target.ErrNotSent
	}
	return o.inner.Report(ctx, t)
}

// gatedRequests passes a gateway's requests to engines through its gate. It records the choice
// of a target before a request waits at the gate, and chunks only once the gate lets them through.
type gatedRequests struct {
	gate     *gate
	inner    target.Requests
	onChoice func(target.ID)
	recorder *recorder
}

func (r *gatedRequests) Generate(ctx context.Context, t target.Target, q target.GenerateRequest) (target.Stream, error) {
	r.onChoice(t.ID)
	if _, err := r.gate.waitOutbound(ctx); err != nil {
		return nil, target.ErrNotSent
	}
	r.recorder.recordGenerate(&q)
	s, err := r.inner.Generate(ctx, t, q)
	if err != nil {
		return nil, err
	}
	return &gatedStream{r.gate, s, func(c target.Chunk) { r.recorder.recordChunk(&q, c) }}, nil
}

// gatedStream delays the chunks of a stream while its gateway is frozen, and records them.
type gatedStream struct {
	gate *gate
	target.Stream
	onChunk func(target.Chunk)
}

func (s *gatedStream) Next() (target.Chunk, error) {
	if _, err := s.gate.waitOutbound(context.Background()); err != nil {
		return target.Chunk{}, target.ErrIncomplete
	}
	c, err := s.Stream.Next()
	if err == nil {
		s.onChunk(c)
	}
	return c, err
}

// gatedServices passes a gateway's calls of plain services through its gate.
type gatedServices struct {
	gate     *gate
	inner    gateway.Services
	onChoice func(target.ID)
}

func (s *gatedServices) Call(ctx context.Context, t target.Target, r gateway.ServiceRequest) (gateway.ServiceResponse, error) {
	s.onChoice(t.ID)
	ctx, err := s.gate.waitOutbound(ctx)
	if err != nil {
		return gateway.ServiceResponse{}, target.ErrNotSent
	}
	return s.inner.Call(ctx, t, r)
}

// gatedPlatform passes a controller's calls of the platform through its gate.
type gatedPlatform struct {
	gate  *gate
	inner *platform
}

func (p *gatedPlatform) Order(ctx context.Context, o provider.TargetOrder) (provider.TargetOrderResult, error) {
	ctx, err := p.gate.waitOutbound(ctx)
	if err != nil {
		return provider.TargetOrderResult{}, target.ErrNotSent
	}
	return p.inner.Order(ctx, o)
}

func (p *gatedPlatform) Lookup(ctx context.Context, id string) (provider.TargetOrderResult, bool, error) {
	ctx, err := p.gate.waitOutbound(ctx)
	if err != nil {
		return provider.TargetOrderResult{}, false, target.ErrNotSent
	}
	return p.inner.Lookup(ctx, id)
}

func (p *gatedPlatform) Report(ctx context.Context, author string, fence uint64, reports []provider.UsageReport) error {
	ctx, err := p.gate.waitOutbound(ctx)
	if err != nil {
		return target.ErrNotSent
	}
	return p.inner.Report(ctx, author, fence, reports)
}

func (p *gatedPlatform) List(ctx context.Context) ([]provider.Host, error) {
	ctx, err := p.gate.waitOutbound(ctx)
	if err != nil {
		return nil, target.ErrNotSent
	}
	return p.inner.List(ctx)
}

// gatedNetwork passes the links of one process through its gate. A dial to a frozen process
// waits, since a frozen listener does not send its Hello.
type gatedNetwork struct {
	gate   *gate
	inner  link.Network
	gateAt func(address string) *gate // returns the gate of the controller at an address
}

// Dial waits while this process is frozen, and then while the controller at the address is. The
// caller's context can end the second wait and the dial, so Dial passes it on and not the context
// from the gate, which never ends. If the dial had to wait at the gate and its context ended
// meanwhile, nothing is dialled. A dial that did not wait goes on as without the gate.
func (n *gatedNetwork) Dial(ctx context.Context, address string, h link.Handler) (link.Link, error) {
	sendCtx, err := n.gate.waitOutbound(ctx)
	if err != nil {
		return nil, err
	}
	if sendCtx != ctx && ctx.Err() != nil { // sendCtx differs from ctx only if the dial had to wait
		return nil, ctx.Err()
	}
	if wake := n.gateAt(address).wakeChannel(); wake != nil {
		select {
		case <-wake:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	l, err := n.inner.Dial(ctx, address, n.serve(h))
	if err != nil {
		return nil, err
	}
	return gatedLink{l, n.gate}, nil
}

func (n *gatedNetwork) Listen(address string, h link.Handler, accept func(link.Link)) (string, func() error, error) {
	return n.inner.Listen(address, n.serve(h), func(l link.Link) { accept(gatedLink{l, n.gate}) })
}

// serve wraps a handler so that a frozen process handles calls only after it wakes, when their
// callers have timed out.
func (n *gatedNetwork) serve(h link.Handler) link.Handler {
	return link.HandlerFunc(func(ctx context.Context, from link.Link, q *wire.Envelope) (*wire.Envelope, error) {
		if wake := n.gate.wakeChannel(); wake != nil {
			select {
			case <-wake:
			case <-ctx.Done():
				go n.serveLate(wake, h, from, q)
				return nil, ctx.Err()
			}
		}
		if _, err := n.gate.waitOutbound(ctx); err != nil {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		return h.Serve(ctx, gatedLink{from, n.gate}, q)
	})
}

// lateCallTimeout bounds a call that is handled after the process woke.
const lateCallTimeout = attemptTimeout

// serveLate handles a call once the process wakes, and drops the response.
func (n *gatedNetwork) serveLate(wake <-chan struct{}, h link.Handler, from link.Link, q *wire.Envelope) {
	<-wake
	ctx, cancel := context.WithTimeout(context.Background(), lateCallTimeout)
	defer cancel()
	if _, err := n.gate.waitOutbound(ctx); err == nil {
		_, _ = h.Serve(ctx, gatedLink{from, n.gate}, q)
	}
}

// gatedLink passes the calls of one process over a link through its gate. It is a value, so that
// the link on which a call arrives equals the one that was accepted.
type gatedLink struct {
	link.Link
	gate *gate
}

func (l gatedLink) Call(ctx context.Context, q *wire.Envelope) (*wire.Envelope, error) {
	if _, err := l.gate.waitOutbound(ctx); err != nil {
		return nil, err
	}
	return l.Link.Call(ctx, q)
}

// Peer implements link.Link.
func (l gatedLink) Peer() machine.Process { return l.Link.Peer() }

// refuses tells a gateway whether connections to a target are refused.
func (sim *simulation) refuses(ctx context.Context, t target.Target) bool {
	if t.Kind == target.Service {
		return sim.service.isStopped(t.ID)
	}
	return sim.engines.Refuses(ctx, t)
}

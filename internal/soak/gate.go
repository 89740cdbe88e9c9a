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

// errDead is what the outward calls of a killed process return. Nobody acts
// on it any more.
var errDead = errors.New("soak: the process is dead")

// gate stands between one process and everything outside it. While the
// process is frozen its outward calls wait, and go out late once it wakes,
// whatever their contexts say: a paused process is stopped between its check
// and its send. Nothing leaves a dead process.
type gate struct {
	mu       sync.Mutex
	frozen   chan struct{} // closed by waking; nil while running
	dead     bool
	storeCut bool // this process alone does not reach the object API
}

// freeze stops the outward calls.
func (g *gate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen == nil && !g.dead {
		g.frozen = make(chan struct{})
	}
}

// wake lets the outward calls go on.
func (g *gate) wake() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen != nil {
		close(g.frozen)
		g.frozen = nil
	}
}

// kill ends the outward calls for good.
func (g *gate) kill() {
	g.mu.Lock()
	g.dead = true
	g.mu.Unlock()
	g.wake()
}

// untilWake returns the channel that waking closes, or nil.
func (g *gate) untilWake() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.frozen
}

// waitOutbound passes an outward call. A call that was held up goes on with a context
// that has not ended.
func (g *gate) waitOutbound(ctx context.Context) (context.Context, error) {
	for wake := g.untilWake(); wake != nil; wake = g.untilWake() {
		<-wake
		ctx = context.WithoutCancel(ctx)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.dead {
		return ctx, errDead
	}
	return ctx, nil
}

// setStoreCut cuts this process off the object API, or joins it again.
func (g *gate) setStoreCut(cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.storeCut = cut
}

// waitStore passes a call of the object API.
func (g *gate) waitStore(ctx context.Context) (context.Context, error) {
	ctx, err := g.waitOutbound(ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.storeCut {
		err = errDead
	}
	return ctx, err
}

// gatedStore is the object API as one process reaches it.
type gatedStore struct {
	gate  *gate
	inner store.Store
}

// notSent is the error of an update that never left.
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

func (s *gatedStore) Watch(ctx context.Context, p store.Purpose, key string, after store.Version) (store.Object, error) {
	passed, err := s.gate.waitStore(ctx)
	if err != nil {
		return store.Object{}, notSent(err)
	}
	if passed != ctx && ctx.Err() != nil {
		return store.Object{}, store.ErrUnavailable
	}
	return s.inner.Watch(ctx, p, key, after)
}

// gatedOrders is target.Orders as one process reaches it.
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

// gatedRequests is target.Requests as one gateway reaches it. The time of a
// choice is noted before the gate, what engines answer after it.
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

// gatedStream holds up the chunks of a frozen gateway.
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

// gatedServices is the plain services as one gateway reaches them.
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

// gatedPlatform is the platform's services as one controller reaches them.
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

// gatedNetwork is the links of one process. A frozen listener says no Hello,
// so a dial to it waits.
type gatedNetwork struct {
	gate   *gate
	inner  link.Network
	gateAt func(address string) *gate
}

func (n *gatedNetwork) Dial(ctx context.Context, address string, h link.Handler) (link.Link, error) {
	passed, err := n.gate.waitOutbound(ctx)
	if err != nil {
		return nil, err
	}
	if passed != ctx && ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if wake := n.gateAt(address).untilWake(); wake != nil {
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
	return &gatedLink{l, n.gate}, nil
}

func (n *gatedNetwork) Listen(address string, h link.Handler, accept func(link.Link)) (string, func() error, error) {
	return n.inner.Listen(address, n.serve(h), func(l link.Link) { accept(&gatedLink{l, n.gate}) })
}

// serve holds up the calls of a frozen process. They are carried out late,
// after their callers gave up.
func (n *gatedNetwork) serve(h link.Handler) link.Handler {
	return link.HandlerFunc(func(ctx context.Context, from link.Link, q *wire.Envelope) (*wire.Envelope, error) {
		if wake := n.gate.untilWake(); wake != nil {
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
		return h.Serve(ctx, &gatedLink{from, n.gate}, q)
	})
}

// lateCallTimeout bounds a call that is carried out late.
const lateCallTimeout = attemptTimeout

// serveLate carries out a call once the process wakes.
func (n *gatedNetwork) serveLate(wake <-chan struct{}, h link.Handler, from link.Link, q *wire.Envelope) {
	<-wake
	ctx, cancel := context.WithTimeout(context.Background(), lateCallTimeout)
	defer cancel()
	if _, err := n.gate.waitOutbound(ctx); err == nil {
		_, _ = h.Serve(ctx, &gatedLink{from, n.gate}, q)
	}
}

// gatedLink is one process's end of a link.
type gatedLink struct {
	link.Link
	gate *gate
}

func (l *gatedLink) Call(ctx context.Context, q *wire.Envelope) (*wire.Envelope, error) {
	if _, err := l.gate.waitOutbound(ctx); err != nil {
		return nil, err
	}
	return l.Link.Call(ctx, q)
}

// Peer implements link.Link.
func (l *gatedLink) Peer() machine.Process { return l.Link.Peer() }

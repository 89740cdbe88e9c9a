// Package memlink carries links in memory, for tests in virtual time. Every
// message is marshalled, so that processes share nothing.
package memlink

import (
	"context"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"zinniapin/link"
	"zinniapin/machine"
	"zinniapin/result"
	"zinniapin/wire"
)

// pair is an unordered pair of hosts.
type pair struct {
	a, b machine.HostID
}

// pairOf orders two hosts.
func pairOf(a, b machine.HostID) pair {
	if b < a {
		return pair{b, a}
	}
	return pair{a, b}
}

// Fabric joins the processes of a test.
type Fabric struct {
	mu        sync.Mutex
	listeners map[string]*listener
	cut       map[pair]bool
	lossy     map[pair]bool
	delay     time.Duration
	bytes     uint64
	observe   func(from, to machine.Process, e *wire.Envelope, bytes int)
}

// listener takes links at one address.
type listener struct {
	owner   machine.Process
	handler link.Handler
	accept  func(link.Link)
}

// NewFabric returns a fabric without faults.
func NewFabric() *Fabric {
	return &Fabric{listeners: map[string]*listener{}, cut: map[pair]bool{}, lossy: map[pair]bool{}}
}

// SetCut cuts two hosts off each other, or joins them again. Calls under way
// wait until their context ends.
func (f *Fabric) SetCut(a, b machine.HostID, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[pairOf(a, b)] = cut
}

// SetLossy drops the replies between two hosts, after the requests took
// effect.
func (f *Fabric) SetLossy(a, b machine.HostID, lossy bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lossy[pairOf(a, b)] = lossy
}

// SetDelay delays each message by d.
func (f *Fabric) SetDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// Bytes returns the number of bytes of all messages so far.
func (f *Fabric) Bytes() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bytes
}

// Observe calls f for each message with its size in bytes. It must be set
// before links are made and must be safe for concurrent use.
func (f *Fabric) Observe(observe func(from, to machine.Process, e *wire.Envelope, bytes int)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observe = observe
}

// Network returns the network of one process.
func (f *Fabric) Network(self machine.Process) link.Network {
	return &network{f, self}
}

// isCut tells whether two hosts are cut off each other.
func (f *Fabric) isCut(a, b machine.HostID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[pairOf(a, b)]
}

// isLossy tells whether replies between two hosts are dropped.
func (f *Fabric) isLossy(a, b machine.HostID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lossy[pairOf(a, b)]
}

// pass copies a message on its way and counts it.
func (f *Fabric) pass(ctx context.Context, from, to machine.Process, e *wire.Envelope) (*wire.Envelope, error) {
	raw, err := proto.Marshal(e)
	if err != nil {
		return nil, err
	}
	if len(raw) > link.MaxMessageBytes {
		return nil, link.ErrTooLarge
	}
	f.mu.Lock()
	f.bytes += uint64(len(raw))
	delay, observe := f.delay, f.observe
	f.mu.Unlock()
	if observe != nil {
		observe(from, to, e, len(raw))
	}
	if err := sleep(ctx, delay); err != nil {
		return nil, err
	}
	copied := &wire.Envelope{}
	return copied, proto.Unmarshal(raw, copied)
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	if d == 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// network is the network of one process.
type network struct {
	fabric *Fabric
	self   machine.Process
}

// Dial implements link.Network.
func (n *network) Dial(ctx context.Context, address string, h link.Handler) (link.Link, error) {
	n.fabric.mu.Lock()
	l := n.fabric.listeners[address]
	n.fabric.mu.Unlock()
	if l == nil {
		return nil, result.New(result.LinkFailed, "nobody listens").At(address)
	}
	if n.fabric.isCut(n.self.Host, l.owner.Host) {
		<-ctx.Done()
		return nil, link.CallError(ctx.Err())
	}
	done := make(chan struct{})
	once := &sync.Once{}
	near := &end{fabric: n.fabric, self: n.self, peer: l.owner, handler: h, done: done, once: once}
	far := &end{fabric: n.fabric, self: l.owner, peer: n.self, handler: l.handler, done: done, once: once}
	near.other, far.other = far, near
	l.accept(far)
	return near, nil
}

// Listen implements link.Network.
func (n *network) Listen(address string, h link.Handler, accept func(link.Link)) (string, func() error, error) {
	n.fabric.mu.Lock()
	defer n.fabric.mu.Unlock()
	if n.fabric.listeners[address] != nil {
		return "", nil, result.New(result.AddressInUse, "%s is in use", address)
	}
	n.fabric.listeners[address] = &listener{n.self, h, accept}
	stop := func() error {
		n.fabric.mu.Lock()
		defer n.fabric.mu.Unlock()
		delete(n.fabric.listeners, address)
		return nil
	}
	return address, stop, nil
}

// end is one end of a link.
type end struct {
	fabric  *Fabric
	self    machine.Process
	peer    machine.Process
	handler link.Handler
	other   *end
	done    chan struct{}
	once    *sync.Once
}

// Peer implements link.Link.
func (e *end) Peer() machine.Process {
	return e.peer
}

// Done implements link.Link.
func (e *end) Done() <-chan struct{} {
	return e.done
}

// Close implements link.Link.
func (e *end) Close() error {
	e.once.Do(func() { close(e.done) })
	return nil
}

// callTimeout bounds a call whose context has no deadline.
const callTimeout = 10 * time.Second

// Call implements link.Link.
func (e *end) Call(ctx context.Context, request *wire.Envelope) (*wire.Envelope, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	reply, err := e.exchange(ctx, request)
	if err != nil {
		return nil, link.CallError(err)
	}
	if err := link.ErrorOf(reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// exchange takes a request to the other end and its reply back.
func (e *end) exchange(ctx context.Context, request *wire.Envelope) (*wire.Envelope, error) {
	if err := e.travel(ctx); err != nil {
		return nil, err
	}
	arrived, err := e.fabric.pass(ctx, e.self, e.peer, request)
	if err != nil {
		return nil, err
	}
	reply, err := e.other.handler.Serve(ctx, e.other, arrived)
	if err != nil {
		reply = link.FailureOf(err)
	}
	if e.fabric.isLossy(e.self.Host, e.peer.Host) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if err := e.travel(ctx); err != nil {
		return nil, err
	}
	return e.fabric.pass(ctx, e.peer, e.self, reply)
}

// travel fails when the link has ended and waits while it is cut.
func (e *end) travel(ctx context.Context) error {
	select {
	case <-e.done:
		return link.ErrClosed
	default:
	}
	if !e.fabric.isCut(e.self.Host, e.peer.Host) {
		return nil
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-e.done:
		return link.ErrClosed
	}
}

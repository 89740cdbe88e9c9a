// Package memlink implements links in memory, for tests in virtual time. Every
// message is marshalled and unmarshalled, so that processes share no memory.
package memlink

import (
	"context"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"zinniapin/link"
	"zinniapin/machine"
	"zinniapin/result"
	"zinniapin/wire"
)

// hostPair is an unordered pair of hosts.
type hostPair struct {
	a, b machine.HostID
}

// hostPairOf returns the pair of two hosts, in whichever order they are given.
func hostPairOf(a, b machine.HostID) hostPair {
	if b < a {
		return hostPair{b, a}
	}
	return hostPair{a, b}
}

// Fabric is the network between the processes of a test, with faults that the
// test injects.
type Fabric struct {
	mu        sync.Mutex
	listeners map[string]*listener
	cut       map[hostPair]bool // hosts that cannot reach each other
	lossy     map[hostPair]bool // hosts between which replies are dropped
	delay     time.Duration     // of each message
	bytes     uint64            // of all messages so far
	// observe is called for each message, unless it is nil.
	observe func(from, to machine.Process, e *wire.Envelope, bytes int)
}

// listener accepts links at one address.
type listener struct {
	owner   machine.Process
	handler link.Handler
	accept  func(link.Link)
}

// NewFabric returns a fabric without faults.
func NewFabric() *Fabric {
	return &Fabric{listeners: map[string]*listener{}, cut: map[hostPair]bool{}, lossy: map[hostPair]bool{}}
}

// SetCut partitions two hosts from each other, or ends the partition. A dial or
// call that meets the partition blocks until its context ends, even if the
// partition ends before.
func (f *Fabric) SetCut(a, b machine.HostID, cut bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut[hostPairOf(a, b)] = cut
}

// SetLossy sets whether the replies between two hosts are dropped. The requests
// are still served, and the calls block until their context ends.
func (f *Fabric) SetLossy(a, b machine.HostID, lossy bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lossy[hostPairOf(a, b)] = lossy
}

// SetDelay sets the delay of each message.
func (f *Fabric) SetDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
}

// Bytes returns the total size of all messages so far, in bytes.
func (f *Fabric) Bytes() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bytes
}

// Observe sets a function that is called for each message with its size in
// bytes. It must be set before the first link is opened, and the function must be
// safe for concurrent use.
func (f *Fabric) Observe(observe func(from, to machine.Process, e *wire.Envelope, bytes int)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observe = observe
}

// Network returns the network as seen by one process.
func (f *Fabric) Network(self machine.Process) link.Network {
	return &network{f, self}
}

// isCut tells whether two hosts are partitioned from each other.
func (f *Fabric) isCut(a, b machine.HostID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.cut[hostPairOf(a, b)]
}

// isLossy tells whether replies between two hosts are dropped.
func (f *Fabric) isLossy(a, b machine.HostID) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lossy[hostPairOf(a, b)]
}

// transmit returns a copy of a message after the delay and counts its bytes.
func (f *Fabric) transmit(ctx context.Context, from, to machine.Process, e *wire.Envelope) (*wire.Envelope, error) {
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

// network is the link.Network of one process.
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
		return nil, result.New(result.LinkFailed, "no process listens at this address").At(address)
	}
	if n.fabric.isCut(n.self.Host, l.owner.Host) {
		<-ctx.Done()
		return nil, link.CallError(ctx.Err())
	}
	done := make(chan struct{})
	once := &sync.Once{}
	local := &endpoint{fabric: n.fabric, self: n.self, peer: l.owner, handler: h, done: done, once: once}
	remote := &endpoint{fabric: n.fabric, self: l.owner, peer: n.self, handler: l.handler, done: done, once: once}
	local.other, remote.other = remote, local
	l.accept(remote)
	return local, nil
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

// endpoint is one end of a link.
type endpoint struct {
	fabric  *Fabric
	self    machine.Process
	peer    machine.Process
	handler link.Handler
	other   *endpoint
	done    chan struct{}
	once    *sync.Once
}

// Peer implements link.Link.
func (e *endpoint) Peer() machine.Process {
	return e.peer
}

// Done implements link.Link.
func (e *endpoint) Done() <-chan struct{} {
	return e.done
}

// Close implements link.Link.
func (e *endpoint) Close() error {
	e.once.Do(func() { close(e.done) })
	return nil
}

// callTimeout bounds a call whose context has no earlier deadline.
const callTimeout = 10 * time.Second

// Call implements link.Link.
func (e *endpoint) Call(ctx context.Context, request *wire.Envelope) (*wire.Envelope, error) {
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

// Open implements link.Link. A stream does not follow later partitions of its hosts.
func (e *endpoint) Open(ctx context.Context, request *wire.Envelope) (*wire.Envelope, net.Conn, error) {
	h, ok := e.other.handler.(link.StreamHandler)
	if !ok {
		return nil, nil, result.New(result.LinkRefused, "the process grants no streams")
	}
	if err := e.checkReachable(ctx); err != nil {
		return nil, nil, link.CallError(err)
	}
	received, err := e.fabric.transmit(ctx, e.self, e.peer, request)
	if err != nil {
		return nil, nil, link.CallError(err)
	}
	reply, serve, err := h.Open(ctx, e.other, received)
	if err != nil {
		return nil, nil, err
	}
	if serve == nil {
		return reply, nil, nil
	}
	near, far := net.Pipe()
	go func() {
		serve(far)
		_ = far.Close()
	}()
	return reply, near, nil
}

// exchange delivers a request to the peer's handler and returns its reply.
func (e *endpoint) exchange(ctx context.Context, request *wire.Envelope) (*wire.Envelope, error) {
	if err := e.checkReachable(ctx); err != nil {
		return nil, err
	}
	received, err := e.fabric.transmit(ctx, e.self, e.peer, request)
	if err != nil {
		return nil, err
	}
	reply, err := e.other.handler.Serve(ctx, e.other, received)
	if err != nil {
		reply = link.FailureOf(err)
	}
	if e.fabric.isLossy(e.self.Host, e.peer.Host) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if err := e.checkReachable(ctx); err != nil {
		return nil, err
	}
	return e.fabric.transmit(ctx, e.peer, e.self, reply)
}

// checkReachable fails when the link has ended. If the hosts are partitioned, it
// blocks until the context or the link ends, and then fails.
func (e *endpoint) checkReachable(ctx context.Context) error {
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

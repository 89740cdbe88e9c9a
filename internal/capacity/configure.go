package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"zinniapin/configuration"
	"zinniapin/contract"
	"zinniapin/internal/standin/objects"
	"zinniapin/link"
	"zinniapin/machine"
	"zinniapin/relay"
	"zinniapin/store"
	"zinniapin/wire"
)

// countingStore is a store that counts calls and the bytes read and written.
type countingStore struct {
	store.Store
	mu *sync.Mutex
	counts
}

// counts holds the numbers of calls to a store and the bytes of their values.
type counts struct {
	reads, writes         int
	readBytes, wroteBytes int
}

// Get implements store.Store.
func (c *countingStore) Get(ctx context.Context, p store.Purpose, key string) (store.Object, error) {
	o, err := c.Store.Get(ctx, p, key)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads++
	c.readBytes += len(o.Value)
	return o, err
}

// Put implements store.Store.
func (c *countingStore) Put(ctx context.Context, p store.Purpose, key string, value []byte, v store.Version) (store.Version, error) {
	c.mu.Lock()
	c.writes++
	c.wroteBytes += len(value)
	c.mu.Unlock()
	return c.Store.Put(ctx, p, key, value, v)
}

// replicaLink is a link whose calls a local replica serves. Replies are encoded
// and decoded as on a network, so that their cost is included.
type replicaLink struct {
	replica *relay.Replica
	bytes   int // of requests and replies
}

// Call implements link.Link.
func (l *replicaLink) Call(_ context.Context, q *wire.Envelope) (*wire.Envelope, error) {
	reply := &wire.Envelope{Body: &wire.Envelope_ConfigReply{ConfigReply: l.replica.Serve(q.GetConfigRequest())}}
	raw, err := proto.Marshal(reply)
	if err != nil {
		return nil, err
	}
	l.bytes += proto.Size(q) + len(raw)
	copied := &wire.Envelope{}
	return copied, proto.Unmarshal(raw, copied)
}

// Open implements link.Link.
func (*replicaLink) Open(context.Context, *wire.Envelope) (*wire.Envelope, net.Conn, error) {
	return nil, nil, link.ErrClosed
}

// Peer implements link.Link.
func (*replicaLink) Peer() machine.Process { return machine.Process{} }

// Done implements link.Link.
func (*replicaLink) Done() <-chan struct{} { return nil }

// Close implements link.Link.
func (*replicaLink) Close() error { return nil }

var _ link.Link = (*replicaLink)(nil)

// changeCost is the cost of one changed contract. Times are means over
// averagedChanges changes; calls and bytes are those of the last change.
type changeCost struct {
	accept, load, fetch         float64 // processor time, milliseconds
	reads, writes               float64 // store calls of an accept
	readBytes, wroteBytes       float64 // bytes of an accept
	watcherReads, watcherBytes  float64 // store calls and bytes of a load
	relayBytes, joinBytes, heap float64 // bytes of a fetch, of the first fetch, and of a replica
	join                        float64 // processor time of the first fetch, milliseconds
}

// measureConfiguration measures the cost of one changed contract at several
// numbers of contracts.
func measureConfiguration(r *report) error {
	columns := make([][]point, 13)
	for _, n := range organisationSizes {
		c, err := measureChange(n)
		if err != nil {
			return err
		}
		values := []float64{c.accept, c.load, c.fetch, c.join, c.reads, c.writes, c.readBytes / 1e3, c.wroteBytes / 1e3, c.watcherReads, c.watcherBytes / 1e3, c.relayBytes / 1e3, c.joinBytes / 1e3, c.heap / 1e3}
		for i, v := range values {
			columns[i] = append(columns[i], point{float64(n), v})
		}
	}
	names := []struct{ what, unit string }{
		{"accept a change: processor time", "ms"}, {"load a change from the store (watcher): processor time", "ms"},
		{"fetch a change from a peer: processor time", "ms"}, {"fetch all contracts from a peer at start: processor time", "ms"},
		{"accept a change: reads", "calls"}, {"accept a change: writes", "calls"},
		{"accept a change: read", "kB"}, {"accept a change: written", "kB"},
		{"watcher: reads", "calls"}, {"watcher: read", "kB"},
		{"relay of a change: bytes", "kB"}, {"relay of all at start: bytes", "kB"},
		{"configuration held by a process: heap", "kB"},
	}
	for i, name := range names {
		r.slope(name.what, name.unit, "organisation", columns[i])
	}
	return nil
}

// measureChange returns the cost of a changed contract in a configuration with
// n contracts. A watcher loads the change from the store, and a peer fetches it
// from the watcher.
func measureChange(n int) (changeCost, error) {
	ctx := context.Background()
	s := &countingStore{Store: objects.New(), mu: &sync.Mutex{}}
	fleet := fleetDescription()
	initial := configuration.Proposal{ID: "first", Author: "operator", Summary: "first", Fleet: &fleet, Contracts: contractsOf(n)}
	if _, err := configuration.Accept(ctx, s, initial, time.Now()); err != nil {
		return changeCost{}, err
	}
	if err := fillRecent(ctx, s); err != nil {
		return changeCost{}, err
	}
	watcher, err := loadReplica(ctx, s)
	if err != nil {
		return changeCost{}, err
	}
	var c changeCost
	peer := &relay.Replica{}
	l := &replicaLink{replica: watcher}
	c.heap = retainedHeap(func() any {
		c.join = milliseconds(func() { _, err = peer.Fetch(ctx, l) })
		return peer
	})
	c.joinBytes = float64(l.bytes)
	if err != nil || peer.Snapshot() == nil {
		return c, fmt.Errorf("first fetch: %w", err)
	}
	return c, c.measureChanges(ctx, s, watcher, peer, n)
}

// rememberedChanges is the number of recent changes that the root object lists.
const rememberedChanges = 64

// averagedChanges is the number of changes that a mean is taken over.
const averagedChanges = 8

// measureChanges accepts averagedChanges changes, applies each to the watcher
// and the peer, and adds their costs to c. Counts are those of the last change.
func (c *changeCost) measureChanges(ctx context.Context, s *countingStore, watcher, peer *relay.Replica, n int) error {
	for i := range averagedChanges {
		l := &replicaLink{replica: watcher}
		k := contractOf(i % n)
		k.Limits.Concurrency = 17 + i
		s.counts = counts{}
		var err error
		accept := milliseconds(func() { _, err = configuration.Accept(ctx, s, proposalOf(i, k), time.Now()) })
		if err != nil {
			return err
		}
		accepted := s.counts
		s.counts = counts{}
		load := milliseconds(func() { err = updateReplica(ctx, s, watcher) })
		if err != nil {
			return err
		}
		fetch := milliseconds(func() { _, err = peer.Fetch(ctx, l) })
		if err != nil || peer.Revision() != watcher.Revision() {
			return fmt.Errorf("peer did not reach the revision of the watcher: %w", err)
		}
		c.accept += accept / averagedChanges
		c.load += load / averagedChanges
		c.fetch += fetch / averagedChanges
		c.reads, c.writes = float64(accepted.reads), float64(accepted.writes)
		c.readBytes, c.wroteBytes = float64(accepted.readBytes), float64(accepted.wroteBytes)
		c.watcherReads, c.watcherBytes = float64(s.reads), float64(s.readBytes)
		c.relayBytes = float64(l.bytes)
	}
	return nil
}

// fillRecent fills the root object's list of recent changes to its full length,
// as it is after many changes.
func fillRecent(ctx context.Context, s store.Store) error {
	object, err := s.Get(ctx, store.PurposeConfiguration, configuration.RootKey)
	if err != nil {
		return err
	}
	root := &configuration.Root{}
	if err := json.Unmarshal(object.Value, root); err != nil {
		return err
	}
	for len(root.Recent) < rememberedChanges {
		old := proposalOf(1_000+len(root.Recent), contractOf(0))
		root.Recent = append(root.Recent, configuration.Change{ID: old.ID, Revision: 1, Author: old.Author, Summary: old.Summary})
	}
	raw, err := json.Marshal(root)
	if err != nil {
		return err
	}
	_, err = s.Put(ctx, store.PurposeConfiguration, configuration.RootKey, raw, object.Version)
	return err
}

// proposalOf returns a proposal that changes one contract and is based on the
// revision after i changes.
func proposalOf(i int, k *contract.Contract) configuration.Proposal {
	return configuration.Proposal{ID: fmt.Sprintf("change-%016d", i), Author: "operator", Summary: "set the concurrency of " + k.Organisation,
		Base: contract.Revision(i + 1), Contracts: []*contract.Contract{k}}
}

// loadReplica returns a replica with the accepted configuration.
func loadReplica(ctx context.Context, s store.Store) (*relay.Replica, error) {
	replica := &relay.Replica{}
	return replica, updateReplica(ctx, s, replica)
}

// updateReplica loads the changes since the replica's revision from the store.
func updateReplica(ctx context.Context, s store.Store, replica *relay.Replica) error {
	bundle, _, err := configuration.Load(ctx, s, replica.Bundle())
	if err != nil {
		return err
	}
	_, err = replica.Apply(bundle)
	return err
}

// milliseconds returns the processor time of f in milliseconds.
func milliseconds(f func()) float64 {
	return perCall(1, func(int) { f() }) / 1e3
}

package node

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"io"
	"time"

	"zinniapin/event"
	"zinniapin/link"
	"zinniapin/result"
	"zinniapin/roster"
	"zinniapin/route"
	"zinniapin/target"
	"zinniapin/wire"
)

// askSnapshot asks a peer for its configuration and targets.
func (n *Node) askSnapshot(d *wire.HostDigest) {
	ctx, cancel := context.WithTimeout(context.Background(), snapshotTimeout)
	defer cancel()
	l, err := n.network.Dial(ctx, d.Address, n.snapshots())
	if err != nil {
		event.SnapshotFailed.Log(n.log).Str("peer", d.Host).Err(err).Send()
		return
	}
	defer l.Close() //nolint:errcheck // the answer is in
	request := &wire.SnapshotRequest{}
	if t := n.table.Load(); t != nil {
		request.ConfigurationVersion = t.Version()
	}
	n.rosterMu.Lock()
	if n.roster.HasSynced() {
		request.TargetsRevision = n.roster.Revision()
	}
	n.rosterMu.Unlock()
	reply, err := l.Call(ctx, &wire.Envelope{Body: &wire.Envelope_SnapshotRequest{SnapshotRequest: request}})
	if err == nil {
		err = n.takeSnapshot(d.Host, reply.GetSnapshotReply())
	}
	if err != nil {
		event.SnapshotFailed.Log(n.log).Str("peer", d.Host).Err(err).Send()
	}
}

// takeSnapshot takes what a peer knows.
func (n *Node) takeSnapshot(peer string, s *wire.SnapshotReply) error {
	if s == nil {
		return errors.New("the peer answered something else")
	}
	if len(s.Configuration) > 0 {
		c := &route.Configuration{}
		if err := unpack(s.Configuration, c); err != nil {
			return err
		}
		n.takeConfiguration(c, peer)
	}
	var changed []roster.Entry
	if len(s.Targets) > 0 {
		if err := json.Unmarshal(s.Targets, &changed); err != nil {
			return err
		}
		n.takeTargetsFrom(changed, s.TargetIds, s.TargetsRevision)
	}
	n.gossip.mu.Lock()
	n.gossip.behind = time.Time{} // what peers know by now shows in their digests
	n.gossip.mu.Unlock()
	event.SnapshotTaken.Log(n.log).Str("peer", peer).Int("configuration_bytes", len(s.Configuration)).Uint64("revision", s.TargetsRevision).Int("targets", len(changed)).Send()
	return nil
}

// takeTargetsFrom takes the targets of a peer, of which only those are given
// that changed after what this host has.
func (n *Node) takeTargetsFrom(changed []roster.Entry, ids []string, revision uint64) {
	known := make(map[target.ID]bool, len(ids))
	for _, id := range ids {
		known[target.ID(id)] = true
	}
	n.rosterMu.Lock()
	for _, e := range n.roster.Entries() {
		if known[e.Target.ID] {
			changed = append(changed, e) // an older one changes nothing
		}
	}
	n.rosterMu.Unlock()
	n.takeTargets(changed, revision, false)
}

// packed is a configuration as it is sent to peers.
type packed struct {
	version uint64
	data    []byte
}

// pack returns the configuration in force, compressed once for all peers.
func (n *Node) pack() (packed, error) {
	c := n.raw.Load()
	if c == nil {
		return packed{}, nil
	}
	if held := n.packed.Load(); held != nil && held.version == c.Version {
		return *held, nil
	}
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if err := json.NewEncoder(z).Encode(c); err != nil {
		return packed{}, err
	}
	if err := z.Close(); err != nil {
		return packed{}, err
	}
	made := &packed{c.Version, b.Bytes()}
	n.packed.Store(made)
	return *made, nil
}

// maxConfigurationBytes bounds an unpacked configuration.
const maxConfigurationBytes = 16 << 20

// unpack reads a packed configuration.
func unpack(data []byte, into *route.Configuration) error {
	z, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return err
	}
	return json.NewDecoder(io.LimitReader(z, maxConfigurationBytes)).Decode(into)
}

// snapshots serves peers that ask.
func (n *Node) snapshots() link.Handler {
	return link.HandlerFunc(func(_ context.Context, _ link.Link, request *wire.Envelope) (*wire.Envelope, error) {
		asked := request.GetSnapshotRequest()
		if asked == nil {
			return nil, result.New(result.LinkRefused, "a node answers questions for snapshots only")
		}
		reply := &wire.SnapshotReply{}
		p, err := n.pack()
		if err != nil {
			return nil, err
		}
		if p.version > asked.ConfigurationVersion {
			reply.Configuration = p.data
		}
		n.rosterMu.Lock()
		known, entries := n.roster.HasSynced(), n.roster.Entries()
		reply.TargetsRevision = n.roster.Revision()
		n.rosterMu.Unlock()
		if !known || reply.TargetsRevision <= asked.TargetsRevision {
			return &wire.Envelope{Body: &wire.Envelope_SnapshotReply{SnapshotReply: reply}}, nil
		}
		changed := []roster.Entry{}
		for _, e := range entries {
			reply.TargetIds = append(reply.TargetIds, string(e.Target.ID))
			if e.Revision > asked.TargetsRevision {
				changed = append(changed, e)
			}
		}
		if reply.Targets, err = json.Marshal(changed); err != nil {
			return nil, err
		}
		return &wire.Envelope{Body: &wire.Envelope_SnapshotReply{SnapshotReply: reply}}, nil
	})
}

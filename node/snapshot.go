package node

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"errors"
	"io"
	"slices"
	"time"

	"zinniapin/event"
	"zinniapin/rawjson"
	"zinniapin/roster"
	"zinniapin/route"
	"zinniapin/target"
	"zinniapin/wire"
)

// requestSnapshot requests from a peer the configuration and the targets that are
// newer than those of this host, and applies them.
func (n *Node) requestSnapshot(d *wire.HostDigest) {
	ctx, cancel := context.WithTimeout(context.Background(), snapshotTimeout)
	defer cancel()
	l, err := n.network.Dial(ctx, d.Address, peerHandler{n})
	if err != nil {
		event.SnapshotFailed.Log(n.log).Str("peer", d.Host).Err(err).Send()
		return
	}
	defer l.Close() //nolint:errcheck // the reply has been read by then
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
		err = n.applySnapshot(d.Host, reply.GetSnapshotReply())
	}
	if err != nil {
		event.SnapshotFailed.Log(n.log).Str("peer", d.Host).Err(err).Send()
	}
}

// applySnapshot applies the configuration and the targets of a peer's snapshot.
func (n *Node) applySnapshot(peer string, s *wire.SnapshotReply) error {
	if s == nil {
		return errors.New("the peer did not answer with a snapshot")
	}
	var unread error // what cannot be read of the configuration costs no target
	if len(s.Configuration) > 0 {
		c := &route.Configuration{}
		if unread = decompressConfiguration(s.Configuration, c); unread == nil {
			n.applyConfiguration(c, peer)
		}
	}
	var changed []roster.Entry
	if len(s.Targets) > 0 {
		var err error
		var odd map[target.ID]bool
		if changed, odd, err = n.decodePeerTargets(peer, s.Targets); err != nil {
			return errors.Join(unread, err)
		}
		ids := slices.DeleteFunc(s.TargetIds, func(id string) bool { return odd[target.ID(id)] })
		n.applyPeerTargets(changed, ids, s.TargetsRevision)
	}
	if unread != nil {
		return unread
	}
	n.gossip.mu.Lock()
	n.gossip.behindSince = time.Time{} // later digests show whether peers are still ahead
	n.gossip.mu.Unlock()
	event.SnapshotTaken.Log(n.log).Str("peer", peer).Int("configuration_bytes", len(s.Configuration)).Uint64("revision", s.TargetsRevision).Int("targets", len(changed)).Send()
	return nil
}

// decodePeerTargets decodes the entries that a peer sent. It leaves out those that name no target to use,
// and returns their IDs; the peer may be of a build that uses them.
func (n *Node) decodePeerTargets(peer string, data []byte) (entries []roster.Entry, odd map[target.ID]bool, err error) {
	odd = make(map[target.ID]bool)
	err = rawjson.Elements(data, func(raw []byte) {
		var e roster.Entry
		err := json.Unmarshal(raw, &e)
		if err == nil {
			err = e.Target.Check()
		}
		if err == nil {
			err = n.checkNotOwn(&e.Target)
		}
		if n.admitEntry(peer, string(e.Target.ID), e.Revision, err) {
			entries = append(entries, e)
		} else {
			odd[e.Target.ID] = true
		}
	})
	return entries, odd, err
}

// applyPeerTargets applies a peer's list of targets. The peer sends the IDs of all
// targets, but entries only for those that changed after this host's revision; for
// the others this host's own entries are used.
func (n *Node) applyPeerTargets(changed []roster.Entry, ids []string, revision uint64) {
	listed := make(map[target.ID]bool, len(ids))
	for _, id := range ids {
		listed[target.ID(id)] = true
	}
	n.rosterMu.Lock()
	for _, e := range n.roster.Entries() {
		if listed[e.Target.ID] {
			changed = append(changed, e) // ignored where the peer sent a newer entry
		}
	}
	n.rosterMu.Unlock()
	n.applyTargetList(changed, revision, false)
}

// compressedConfiguration is a configuration as gzipped JSON, the form in which
// it is sent to peers.
type compressedConfiguration struct {
	version uint64
	data    []byte
}

// compressConfiguration returns the configuration in force in compressed form. It
// compresses each version once and caches the result.
func (n *Node) compressConfiguration() (compressedConfiguration, error) {
	c := n.rawConfiguration.Load()
	if c == nil {
		return compressedConfiguration{}, nil
	}
	if cached := n.compressed.Load(); cached != nil && cached.version == c.Version {
		return *cached, nil
	}
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if err := json.NewEncoder(z).Encode(c); err != nil {
		return compressedConfiguration{}, err
	}
	if err := z.Close(); err != nil {
		return compressedConfiguration{}, err
	}
	fresh := &compressedConfiguration{c.Version, b.Bytes()}
	n.compressed.Store(fresh)
	return *fresh, nil
}

// maxConfigurationBytes bounds a decompressed configuration.
const maxConfigurationBytes = 16 << 20

// decompressConfiguration decodes a configuration that a peer sent.
func decompressConfiguration(data []byte, into *route.Configuration) error {
	z, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return err
	}
	return json.NewDecoder(io.LimitReader(z, maxConfigurationBytes)).Decode(into)
}

// snapshot answers a peer's request for a snapshot.
func (n *Node) snapshot(wanted *wire.SnapshotRequest) (*wire.Envelope, error) {
	reply := &wire.SnapshotReply{}
	p, err := n.compressConfiguration()
	if err != nil {
		return nil, err
	}
	if p.version > wanted.ConfigurationVersion {
		reply.Configuration = p.data
	}
	n.rosterMu.Lock()
	synced, entries := n.roster.HasSynced(), n.roster.Entries()
	reply.TargetsRevision = n.roster.Revision()
	n.rosterMu.Unlock()
	if !synced || reply.TargetsRevision <= wanted.TargetsRevision {
		return &wire.Envelope{Body: &wire.Envelope_SnapshotReply{SnapshotReply: reply}}, nil
	}
	changed, now := []roster.Entry{}, time.Now()
	for _, e := range entries {
		reply.TargetIds = append(reply.TargetIds, string(e.Target.ID))
		if e.Revision > wanted.TargetsRevision {
			changed = append(changed, e.AsOf(now))
		}
	}
	if reply.Targets, err = json.Marshal(changed); err != nil {
		return nil, err
	}
	return &wire.Envelope{Body: &wire.Envelope_SnapshotReply{SnapshotReply: reply}}, nil
}

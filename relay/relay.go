// Package relay distributes the accepted configuration from process to process. A process asks
// a peer for the root object and for those parts, identified by digest, that it does not hold.
// It never goes back to an older revision.
package relay

import (
	"context"
	"encoding/hex"
	"maps"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"zinniapin/configuration"
	"zinniapin/contract"
	"zinniapin/invariant"
	"zinniapin/link"
	"zinniapin/result"
	"zinniapin/wire"
)

const (
	// maxReplyBytes is the size of the parts in a reply after which no more are added. The
	// receiver asks again until it has all parts.
	maxReplyBytes = 1 << 20
	// maxFetchRounds limits the requests of one fetch.
	maxFetchRounds = 64
)

// Replica holds the configuration in force at one process. It is safe for concurrent use.
type Replica struct {
	fetchMu sync.Mutex // held during a fetch

	applyMu sync.Mutex        // held during Apply; guards decoded and sharing
	decoded decodedBuckets    // of the configuration in force
	sharing contract.Interner // values shared between decoded contracts

	mu        sync.Mutex // guards the fields below
	bundle    *configuration.Bundle
	snapshot  *contract.Snapshot
	confirmed Confirmation
}

// Confirmation records that a revision was the newest in the object store at a time.
type Confirmation struct {
	Revision contract.Revision
	At       time.Time // local clock; zero if never confirmed
}

// Bundle returns the encoded configuration in force, or nil if there is none.
func (r *Replica) Bundle() *configuration.Bundle {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bundle
}

// Snapshot returns the decoded configuration in force, or nil if there is none.
func (r *Replica) Snapshot() *contract.Snapshot {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.snapshot
}

// Revision returns the revision in force, or 0 if there is none.
func (r *Replica) Revision() contract.Revision {
	if s := r.Snapshot(); s != nil {
		return s.Revision
	}
	return 0
}

// Apply puts a configuration in force if it is newer than the one in force. It returns the new
// snapshot, or nil if nothing changed.
func (r *Replica) Apply(b *configuration.Bundle) (*contract.Snapshot, error) {
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	before := r.Snapshot()
	if before != nil && b.Root.Revision <= before.Revision {
		return nil, nil
	}
	s, decoded, err := r.decode(b, before)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if before != nil {
		invariant.Check(s.Revision > before.Revision, "configuration_rises",
			"from revision %d to %d", before.Revision, s.Revision)
	}
	r.decoded = decoded
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bundle, r.snapshot = b, s
	return s, nil
}

// Confirm records that a revision was the newest in the object store at the given time. Older
// confirmations and revisions are ignored.
func (r *Replica) Confirm(revision contract.Revision, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if at.After(r.confirmed.At) && revision >= r.confirmed.Revision {
		r.confirmed = Confirmation{revision, at}
	}
}

// Confirmed returns the latest confirmation.
func (r *Replica) Confirmed() Confirmation {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.confirmed
}

// ConfirmedAt returns when the revision in force was last known to be the newest. It returns
// the zero time if that is not known or a newer revision is known.
func (r *Replica) ConfirmedAt() time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.snapshot == nil || r.snapshot.Revision < r.confirmed.Revision {
		return time.Time{}
	}
	return r.confirmed.At
}

// Serve answers a peer's request with the configuration in force, or with an empty reply if
// the peer has this revision or a newer one.
func (r *Replica) Serve(q *wire.ConfigRequest) *wire.ConfigReply {
	b := r.Bundle()
	if b == nil || uint64(b.Root.Revision) <= q.HaveRevision {
		return &wire.ConfigReply{}
	}
	have := make(map[string]bool, len(q.HaveParts))
	for _, d := range q.HaveParts {
		have[string(d)] = true
	}
	reply := &wire.ConfigReply{Revision: uint64(b.Root.Revision), Root: b.RawRoot}
	size := 0
	for digest, part := range b.Parts {
		raw, err := hex.DecodeString(string(digest))
		if err != nil || have[string(raw)] || size > maxReplyBytes {
			continue
		}
		plain, err := part.Bytes()
		if err != nil {
			continue
		}
		reply.Parts = append(reply.Parts, plain)
		size += part.Size()
	}
	return reply
}

// Fetch asks a peer for a newer configuration and applies it. It returns the new snapshot, or
// nil if the peer has nothing newer or another fetch is in progress.
func (r *Replica) Fetch(ctx context.Context, peer link.Link) (*contract.Snapshot, error) {
	if !r.fetchMu.TryLock() {
		return nil, nil
	}
	defer r.fetchMu.Unlock()
	bundle, err := fetchBundle(ctx, peer, r.Bundle())
	if err != nil || bundle == nil {
		return nil, trace.Wrap(err)
	}
	return r.Apply(bundle)
}

// fetchBundle requests the root object and the missing parts from a peer, in several rounds if
// needed. It returns nil if the peer has nothing newer.
func fetchBundle(ctx context.Context, peer link.Link, have *configuration.Bundle) (*configuration.Bundle, error) {
	parts := configuration.Parts{}
	var revision contract.Revision
	if have != nil {
		revision = have.Root.Revision
		parts = maps.Clone(have.Parts)
	}
	for range maxFetchRounds {
		reply, err := requestParts(ctx, peer, revision, parts)
		if err != nil || len(reply.Root) == 0 {
			return nil, trace.Wrap(err)
		}
		for _, part := range reply.Parts {
			if err := parts.Add(part); err != nil {
				return nil, trace.Wrap(err)
			}
		}
		missing, err := configuration.Missing(reply.Root, parts)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		if len(missing) == 0 {
			return configuration.Join(reply.Root, parts)
		}
		if len(reply.Parts) == 0 {
			break
		}
	}
	return nil, result.New(result.NoConfiguration, "the peer did not send every part of the configuration")
}

// requestParts sends one request that names the revision and the parts held already.
func requestParts(ctx context.Context, peer link.Link, revision contract.Revision, parts configuration.Parts) (*wire.ConfigReply, error) {
	q := &wire.ConfigRequest{HaveRevision: uint64(revision)}
	for d := range parts {
		raw, err := hex.DecodeString(string(d))
		if err != nil {
			return nil, trace.Wrap(err)
		}
		q.HaveParts = append(q.HaveParts, raw)
	}
	reply, err := peer.Call(ctx, &wire.Envelope{Body: &wire.Envelope_ConfigRequest{ConfigRequest: q}})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if reply.GetConfigReply() == nil {
		return nil, result.New(result.UnknownMessage, "the reply is not a configuration reply")
	}
	return reply.GetConfigReply(), nil
}

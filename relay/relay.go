// Package relay passes the accepted configuration from process to process:
// the root object and those of its parts, named by digest, that the asker
// lacks. A process that takes one in never goes back to an older revision.
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
	// replyBytes bounds the parts in one reply; the asker repeats until it has
	// them all.
	replyBytes = 1 << 20
	// maxRounds bounds the replies of one fetch.
	maxRounds = 64
)

// Replica keeps the configuration in force at one process. It is safe for
// concurrent use.
type Replica struct {
	fetching sync.Mutex

	adopting sync.Mutex // held while decoding; the fields down to mu belong to it
	decoded  buckets
	shared   contract.Sharing

	mu        sync.Mutex
	bundle    *configuration.Bundle
	snapshot  *contract.Snapshot
	confirmed Confirmation
}

// Confirmation tells which revision was the newest at the store and when.
type Confirmation struct {
	Revision contract.Revision
	At       time.Time // by the local clock; zero means never
}

// Bundle returns the configuration in force, or nil.
func (h *Replica) Bundle() *configuration.Bundle {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.bundle
}

// Snapshot returns the configuration in force, or nil.
func (h *Replica) Snapshot() *contract.Snapshot {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.snapshot
}

// Revision returns the revision in force, or 0.
func (h *Replica) Revision() contract.Revision {
	if s := h.Snapshot(); s != nil {
		return s.Revision
	}
	return 0
}

// Apply puts a configuration in force unless it is not newer. It returns the
// new snapshot, or nil when nothing changed.
func (h *Replica) Apply(b *configuration.Bundle) (*contract.Snapshot, error) {
	h.adopting.Lock()
	defer h.adopting.Unlock()
	before := h.Snapshot()
	if before != nil && b.Root.Revision <= before.Revision {
		return nil, nil
	}
	s, decoded, err := h.decode(b, before)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if before != nil {
		invariant.Check(s.Revision > before.Revision, "configuration_rises",
			"from revision %d to %d", before.Revision, s.Revision)
	}
	h.decoded = decoded
	h.mu.Lock()
	defer h.mu.Unlock()
	h.bundle, h.snapshot = b, s
	return s, nil
}

// Confirm takes in that a revision was the newest at the store at a time.
func (h *Replica) Confirm(revision contract.Revision, at time.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if at.After(h.confirmed.At) && revision >= h.confirmed.Revision {
		h.confirmed = Confirmation{revision, at}
	}
}

// Confirmed returns the last confirmation known.
func (h *Replica) Confirmed() Confirmation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.confirmed
}

// ConfirmedAt returns when the revision in force was last known to be the
// newest; zero means never.
func (h *Replica) ConfirmedAt() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.snapshot == nil || h.snapshot.Revision < h.confirmed.Revision {
		return time.Time{}
	}
	return h.confirmed.At
}

// Serve answers a peer's request from the configuration in force.
func (h *Replica) Serve(q *wire.ConfigRequest) *wire.ConfigReply {
	b := h.Bundle()
	if b == nil || uint64(b.Root.Revision) <= q.HaveRevision {
		return &wire.ConfigReply{}
	}
	have := make(map[string]bool, len(q.HaveParts))
	for _, d := range q.HaveParts {
		have[string(d)] = true
	}
	reply := &wire.ConfigReply{Revision: uint64(b.Root.Revision), Root: b.Raw}
	size := 0
	for digest, part := range b.Parts {
		raw, err := hex.DecodeString(string(digest))
		if err != nil || have[string(raw)] || size > replyBytes {
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

// Fetch asks a peer for a newer configuration and puts it in force. It
// returns the new snapshot, or nil when the peer has nothing newer or another
// fetch is under way.
func (h *Replica) Fetch(ctx context.Context, from link.Link) (*contract.Snapshot, error) {
	if !h.fetching.TryLock() {
		return nil, nil
	}
	defer h.fetching.Unlock()
	bundle, err := fetch(ctx, from, h.Bundle())
	if err != nil || bundle == nil {
		return nil, trace.Wrap(err)
	}
	return h.Apply(bundle)
}

// fetch gathers the root and the parts that are missing.
func fetch(ctx context.Context, from link.Link, have *configuration.Bundle) (*configuration.Bundle, error) {
	parts := configuration.Parts{}
	var revision contract.Revision
	if have != nil {
		revision = have.Root.Revision
		parts = maps.Clone(have.Parts)
	}
	for range maxRounds {
		reply, err := ask(ctx, from, revision, parts)
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
	return nil, result.New(result.NoConfiguration, "the peer does not hold every part")
}

// ask sends one request for configuration.
func ask(ctx context.Context, from link.Link, revision contract.Revision, parts configuration.Parts) (*wire.ConfigReply, error) {
	q := &wire.ConfigRequest{HaveRevision: uint64(revision)}
	for d := range parts {
		raw, err := hex.DecodeString(string(d))
		if err != nil {
			return nil, trace.Wrap(err)
		}
		q.HaveParts = append(q.HaveParts, raw)
	}
	reply, err := from.Call(ctx, &wire.Envelope{Body: &wire.Envelope_ConfigRequest{ConfigRequest: q}})
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if reply.GetConfigReply() == nil {
		return nil, result.New(result.UnknownMessage, "the reply holds no configuration")
	}
	return reply.GetConfigReply(), nil
}

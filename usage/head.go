package usage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/gravitational/trace"

	"zinniapin/store"
)

// head says how far a shard's windows are frozen and reported. Both only ever
// rise; the windows themselves are the truth, so that it may lag.
type head struct {
	// Next is the oldest window that is not known to be frozen.
	Next int64 `json:"next"`
	// Unreported is the oldest window that is not known to be reported.
	Unreported int64 `json:"unreported"`
	// Oldest is the oldest window that may still be there; those before are
	// deleted.
	Oldest int64 `json:"oldest,omitempty"`
}

// headKey returns the object key of a shard's head.
func headKey(number int) string { return fmt.Sprintf("%s%03d/head", Prefix, number) }

// readHead reads a shard's head.
func (w *Windows) readHead(ctx context.Context, number int) (head, store.Version, error) {
	object, err := w.objects.Get(ctx, store.PurposeUsage, headKey(number))
	if err != nil {
		return head{}, store.Absent, trace.Wrap(err)
	}
	var h head
	err = json.Unmarshal(object.Value, &h)
	return h, object.Version, trace.Wrap(err)
}

// ensureHead learns a shard's head, and creates it at the given window.
func (w *Windows) ensureHead(ctx context.Context, s *shard, start int64) error {
	for tries := 0; s.next == 0 && tries < maxPlaceTries; tries++ {
		h, _, err := w.readHead(ctx, s.number)
		if err == nil {
			s.next = h.Next
			return nil
		}
		if !errors.Is(err, store.ErrNotFound) {
			return err
		}
		err = w.writeHead(ctx, s.number, head{Next: start, Unreported: start, Oldest: start}, store.Absent)
		if err != nil && !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknown) {
			return err
		}
	}
	if s.next == 0 {
		return trace.Wrap(store.ErrUnknown)
	}
	return nil
}

// writeHead updates a shard's head.
func (w *Windows) writeHead(ctx context.Context, number int, h head, version store.Version) error {
	value, err := json.Marshal(h)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = w.objects.Put(ctx, store.PurposeUsage, headKey(number), value, version)
	return trace.Wrap(err)
}

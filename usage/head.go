package usage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/gravitational/trace"

	"zinniapin/store"
)

// head records how far the windows of a shard are frozen, reported and deleted, as
// starts of windows in Unix seconds. Its fields never decrease. It may lag behind:
// whether a window is frozen is decided by the window itself.
type head struct {
	// Next is the oldest window that may not be frozen yet.
	Next int64 `json:"next"`
	// Unreported is the oldest window that may not be reported yet.
	Unreported int64 `json:"unreported"`
	// Oldest is the oldest window that may still exist; earlier ones are deleted.
	Oldest int64 `json:"oldest,omitempty"`
}

// headKey returns the object key of a shard's head.
func headKey(shardIndex int) string { return fmt.Sprintf("%s%03d/head", Prefix, shardIndex) }

// readHead reads a shard's head.
func (w *Windows) readHead(ctx context.Context, shardIndex int) (head, store.Version, error) {
	object, err := w.objects.Get(ctx, store.PurposeUsage, headKey(shardIndex))
	if err != nil {
		return head{}, store.Absent, trace.Wrap(err)
	}
	var h head
	err = json.Unmarshal(object.Value, &h)
	return h, object.Version, trace.Wrap(err)
}

// ensureHead sets the shard's next from its head, if unknown. A head that does not
// exist is created with the given window as the oldest.
func (w *Windows) ensureHead(ctx context.Context, s *shard, start int64) error {
	for tries := 0; s.next == 0 && tries < maxUpdateAttempts; tries++ {
		h, _, err := w.readHead(ctx, s.index)
		if err == nil {
			s.next = h.Next
			return nil
		}
		if !errors.Is(err, store.ErrNotFound) {
			return err
		}
		err = w.writeHead(ctx, s.index, head{Next: start, Unreported: start, Oldest: start}, store.Absent)
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
func (w *Windows) writeHead(ctx context.Context, shardIndex int, h head, version store.Version) error {
	value, err := json.Marshal(h)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = w.objects.Put(ctx, store.PurposeUsage, headKey(shardIndex), value, version)
	return trace.Wrap(err)
}

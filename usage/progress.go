package usage

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"zinniapin/store"
)

// Progress tells how far a shard's windows are frozen and reported.
type Progress struct {
	Shard int
	// Next is the start of the oldest window that is not known to be frozen.
	Next time.Time
	// Unreported is the start of the oldest window that is not known to be
	// reported. Windows from it up to Next are frozen and wait.
	Unreported time.Time
}

// ReadProgress reads the progress of a shard, and false when the shard has
// seen no use yet. Errors are those of package store.
func ReadProgress(ctx context.Context, objects store.Store, shard int) (Progress, bool, error) {
	object, err := objects.Get(ctx, store.PurposeStatus, headKey(shard))
	if errors.Is(err, store.ErrNotFound) {
		return Progress{}, false, nil
	}
	if err != nil {
		return Progress{}, false, trace.Wrap(err)
	}
	var h head
	if err := json.Unmarshal(object.Value, &h); err != nil {
		return Progress{}, false, trace.Wrap(err)
	}
	return Progress{shard, time.Unix(h.Next, 0).UTC(), time.Unix(h.Unreported, 0).UTC()}, true, nil
}

package usage

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"zinniapin/store"
)

// Progress is how far the windows of a shard are frozen and reported.
type Progress struct {
	Shard int
	// Next is the start of the oldest window that may not be frozen yet.
	Next time.Time
	// Unreported is the start of the oldest window that may not be reported yet.
	// The windows from it up to Next are frozen and wait to be reported.
	Unreported time.Time
}

// ReadProgress reads the progress of a shard. It returns false if no usage of the shard
// has been stored yet. Errors are those of package store.
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

package claim

import (
	"context"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"zinniapin/store"
)

// Collector deletes old claims.
//
// A claim that its holder ended, as Done, NotRun or Unknown, is deleted after Retention plus
// ClockMargin. A claim that its holder never ended is kept forever, since the holder may be
// paused and still have the right to send.
type Collector struct {
	Objects store.Store
	// Retention is the period in which a repeated request is recognised and not run again.
	Retention time.Duration
	// ClockMargin is the largest difference between the clocks of two hosts.
	ClockMargin time.Duration
	// Now returns the current time.
	Now func() time.Time
}

// Sweep deletes the old claims of one shard, from 0 to Shards-1, and returns how many it
// deleted. It stops when the object API is unavailable.
func (c *Collector) Sweep(ctx context.Context, shard int) (int, error) {
	objects, err := c.Objects.List(ctx, store.PurposeStatus, ShardPrefix(shard))
	if err != nil {
		return 0, trace.Wrap(err)
	}
	deleted := 0
	for _, object := range objects {
		found, err := decodeRecord(object.Value)
		if err != nil || !c.deletable(found) {
			continue
		}
		err = c.Objects.Delete(ctx, store.PurposeStatus, object.Key, object.Version)
		if err == nil {
			deleted++
			continue
		}
		if errors.Is(err, store.ErrUnavailable) {
			return deleted, trace.Wrap(err)
		}
	}
	return deleted, nil
}

// deletable reports whether the claim may be deleted.
func (c *Collector) deletable(r record) bool {
	if r.State == Claimed || r.Orphaned {
		return false
	}
	return c.Now().Sub(r.Settled) > c.Retention+c.ClockMargin
}

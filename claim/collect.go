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
// A claim goes only when no ticket for it can still be in use and the stated
// period is over: a Done or abandoned claim, whose holder ended it, after
// Retention and ClockMargin. A claim that nobody ended stays for good, since
// its holder may be paused with the right to send.
type Collector struct {
	Objects store.Store
	// Retention is the period in which a repeat never runs.
	Retention time.Duration
	// ClockMargin is the most by which two hosts' clocks differ.
	ClockMargin time.Duration
	// Now is the clock.
	Now func() time.Time
}

// Sweep deletes the old claims of one shard, 0 to Shards-1, and returns how
// many it deleted.
func (c *Collector) Sweep(ctx context.Context, shard int) (int, error) {
	objects, err := c.Objects.List(ctx, store.PurposeStatus, ShardPrefix(shard))
	if err != nil {
		return 0, trace.Wrap(err)
	}
	deleted := 0
	for _, object := range objects {
		found, err := decodeRecord(object.Value)
		if err != nil || !c.collectable(found) {
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

// collectable tells whether the claim may be deleted.
func (c *Collector) collectable(r record) bool {
	if r.State == Claimed || r.Orphaned {
		return false
	}
	return c.Now().Sub(r.Settled) > c.Retention+c.ClockMargin
}

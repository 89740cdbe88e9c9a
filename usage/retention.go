package usage

import (
	"context"
	"errors"
	"time"

	"zinniapin/store"
)

const (
	// keepWindows is how many reported windows are kept. Late use reads back at
	// most maxLateWindows from the head that its writer last saw; the rest is
	// for a writer whose head is as old again.
	keepWindows = 2 * maxLateWindows
	// maxCollected bounds the windows that one report deletes.
	maxCollected = 8
)

// collect deletes the shard's windows that were reported so long ago that
// nobody reads them, and returns the oldest window that is left. What cannot
// be deleted now is left to the next report.
func (w *Windows) collect(ctx context.Context, number int, h head) int64 {
	oldest := h.Oldest
	until := h.Unreported - keepWindows*w.seconds()
	for range maxCollected {
		if oldest == 0 || oldest >= until {
			break
		}
		c, err := w.fetch(ctx, number, oldest)
		if err != nil {
			break
		}
		if err := w.remove(ctx, number, oldest, c.version); err != nil {
			break
		}
		oldest += w.seconds()
	}
	return oldest
}

// remove deletes a window. One that is gone already is fine.
func (w *Windows) remove(ctx context.Context, number int, start int64, version store.Version) error {
	if version == store.Absent {
		return nil
	}
	err := w.objects.Delete(ctx, store.PurposeUsage, windowKey(number, time.Unix(start, 0)), version)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	return err
}

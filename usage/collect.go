package usage

import (
	"context"
	"errors"
	"time"

	"zinniapin/store"
)

const (
	// retainedWindows is how many reported windows are kept. A writer of late usage
	// reads up to maxLateWindows before the head that it last read, and that head
	// may itself be up to maxLateWindows old.
	retainedWindows = 2 * maxLateWindows
	// maxDeletesPerReport is how many windows are deleted at most after one report.
	maxDeletesPerReport = 8
)

// deleteOldWindows deletes windows of a shard that were reported so long ago that no
// writer reads them, and returns the start of the oldest one left. Windows that
// cannot be deleted are left to the next report.
func (w *Windows) deleteOldWindows(ctx context.Context, shardIndex int, h head) int64 {
	oldest := h.Oldest
	keptFrom := h.Unreported - retainedWindows*w.windowSeconds()
	for range maxDeletesPerReport {
		if oldest == 0 || oldest >= keptFrom {
			break
		}
		c, err := w.readWindow(ctx, shardIndex, oldest)
		if err != nil {
			break
		}
		if err := w.deleteWindow(ctx, shardIndex, oldest, c.version); err != nil {
			break
		}
		oldest += w.windowSeconds()
	}
	return oldest
}

// deleteWindow deletes a window. It is no error if the window does not exist.
func (w *Windows) deleteWindow(ctx context.Context, shardIndex int, start int64, version store.Version) error {
	if version == store.Absent {
		return nil
	}
	err := w.objects.Delete(ctx, store.PurposeUsage, windowKey(shardIndex, time.Unix(start, 0)), version)
	if errors.Is(err, store.ErrNotFound) {
		return nil
	}
	return err
}

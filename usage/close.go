package usage

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"zinniapin/authority"
	"zinniapin/event"
	"zinniapin/invariant"
	"zinniapin/provider"
	"zinniapin/store"
	"zinniapin/target"
)

// FreezeDue freezes, in order, every window of a shard whose grace period is over,
// and returns how many it froze. Windows without usage are frozen as well, so that
// all controllers put late usage into the same open window.
func (w *Windows) FreezeDue(ctx context.Context, shardIndex int) (int, error) {
	s := w.shards[shardIndex]
	_ = w.commit(ctx, s) // counters that are not stored by now become late usage
	h, version, err := w.readHead(ctx, shardIndex)
	if errors.Is(err, store.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	frozen := 0
	for w.graceOver(h.Next) {
		if err = w.freezeWindow(ctx, shardIndex, h.Next); err != nil {
			break
		}
		h.Next += w.windowSeconds()
		frozen++
	}
	if frozen == 0 {
		return 0, err
	}
	// On a conflict another controller has advanced the head, which is just as good.
	if headErr := w.writeHead(ctx, shardIndex, h, version); headErr != nil && !errors.Is(headErr, store.ErrConflict) {
		return frozen, headErr
	}
	return frozen, err
}

// graceOver reports whether a window's grace period is over, so that it may be
// frozen.
func (w *Windows) graceOver(start int64) bool {
	end := time.Unix(start, 0).Add(w.options.Length + w.options.Grace)
	return !w.options.Now().Before(end)
}

// freezeWindow marks a window as frozen by a conditional update. A frozen window is
// not changed any more.
func (w *Windows) freezeWindow(ctx context.Context, shardIndex int, start int64) error {
	for range maxUpdateAttempts {
		c, err := w.readWindow(ctx, shardIndex, start)
		if err != nil {
			return err
		}
		if c.window.frozen {
			return nil
		}
		c.window.frozen = true
		_, err = w.objects.Put(ctx, store.PurposeUsage, windowKey(shardIndex, time.Unix(start, 0)), c.window.encode(), c.version)
		if err == nil {
			event.UsageWindowFrozen.Log(w.options.Log).Int("shard", shardIndex).Int64("window", start).Int("counters", len(c.window.entries)).Send()
			return nil
		}
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknown) {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(store.ErrConflict)
}

// ReportUnit returns the name of the authority unit for a shard's reports.
func ReportUnit(shardIndex int) string { return fmt.Sprintf("usage/%03d", shardIndex) }

// Report reports, in order, the frozen windows of a shard that are not reported yet,
// and returns how many it reported. Each report is an order of the executor, so that
// only one process reports a shard at a time. A repeated report has the same figures.
// While another order for the shard is open, Report returns result.OrderOpen without
// waiting for it; call it again later.
func (w *Windows) Report(ctx context.Context, shardIndex int, x *authority.Executor, platform provider.Usage) (int, error) {
	for reported := 0; ; reported++ {
		h, _, err := w.readHead(ctx, shardIndex)
		if errors.Is(err, store.ErrNotFound) {
			return reported, nil
		}
		if err != nil || h.Unreported >= h.Next {
			return reported, err
		}
		if err := w.reportWindow(ctx, shardIndex, h.Unreported, x, platform); err != nil {
			return reported, err
		}
		if err := w.markReported(ctx, shardIndex, h.Unreported); err != nil {
			return reported, err
		}
		if err := waitClosed(ctx, shardIndex, x); err != nil {
			return reported + 1, err
		}
		event.UsageWindowReported.Log(w.options.Log).Int("shard", shardIndex).Int64("window", h.Unreported).Send()
	}
}

// closeTimeout bounds the wait until the order of a window that was reported is closed.
const closeTimeout = 2 * time.Second

// waitClosed waits until the executor may report the shard's next window.
func waitClosed(ctx context.Context, shardIndex int, x *authority.Executor) error {
	ctx, cancel := context.WithTimeout(ctx, closeTimeout)
	defer cancel()
	return x.WaitClosed(ctx, ReportUnit(shardIndex))
}

// reportWindow reports one frozen window, unless it is empty.
func (w *Windows) reportWindow(ctx context.Context, shardIndex int, start int64, x *authority.Executor, platform provider.Usage) error {
	c, err := w.readWindow(ctx, shardIndex, start)
	if err != nil {
		return err
	}
	invariant.Check(c.window.frozen, "usage_report_frozen", "window %d of shard %d is open", start, shardIndex)
	reports := c.window.usageReports(w.options.Length)
	if len(reports) == 0 {
		return nil
	}
	d := &reportDriver{windows: w, shardIndex: shardIndex, start: start, reports: reports, platform: platform}
	_, err = x.Try(ctx, ReportUnit(shardIndex), false, d, authority.Order{Payload: fmt.Sprint(start)})
	if d.alreadyReported.Load() {
		return nil
	}
	return err
}

// markReported advances the head past a reported window and deletes old windows.
func (w *Windows) markReported(ctx context.Context, shardIndex int, start int64) error {
	for range maxUpdateAttempts {
		h, version, err := w.readHead(ctx, shardIndex)
		if err != nil {
			return err
		}
		if h.Unreported > start {
			return nil
		}
		h.Unreported = start + w.windowSeconds()
		h.Oldest = w.deleteOldWindows(ctx, shardIndex, h)
		err = w.writeHead(ctx, shardIndex, h, version)
		if err == nil {
			return nil
		}
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknown) {
			return err
		}
	}
	return trace.Wrap(store.ErrConflict)
}

// reportDriver sends the reports of one frozen window as an order.
type reportDriver struct {
	windows         *Windows
	shardIndex      int
	start           int64
	reports         []provider.UsageReport
	platform        provider.Usage
	alreadyReported atomic.Bool // another process has reported the window
}

// Send implements authority.Driver.
func (d *reportDriver) Send(ctx context.Context, o authority.Order) error {
	h, _, err := d.windows.readHead(ctx, d.shardIndex)
	if err != nil {
		return target.ErrNotSent
	}
	if h.Unreported > d.start {
		d.alreadyReported.Store(true)
		return target.ErrNotSent
	}
	return d.platform.Report(ctx, o.Author, o.Epoch, d.reports)
}

// Probe implements authority.Driver. The platform has no query for reports, so it
// proves nothing.
func (d *reportDriver) Probe(context.Context, authority.Order) authority.ProbeResult {
	return authority.ProbeResult{}
}

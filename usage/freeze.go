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

// CloseDue freezes every window of a shard whose end and grace are over, in
// order, and returns how many. Idle windows are frozen empty, so that late
// use finds one and the same open window from every controller.
func (w *Windows) FreezeDue(ctx context.Context, number int) (int, error) {
	s := w.shards[number]
	_ = w.commit(ctx, s) // what does not make it becomes late
	h, version, err := w.readHead(ctx, number)
	if errors.Is(err, store.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	frozen := 0
	for w.due(h.Next) {
		if err = w.freeze(ctx, number, h.Next); err != nil {
			break
		}
		h.Next += w.seconds()
		frozen++
	}
	if frozen == 0 {
		return 0, err
	}
	// Another controller may have moved the head: then it is as good as ours.
	if headErr := w.writeHead(ctx, number, h, version); headErr != nil && !errors.Is(headErr, store.ErrConflict) {
		return frozen, headErr
	}
	return frozen, err
}

// due tells whether a window may be frozen.
func (w *Windows) due(start int64) bool {
	end := time.Unix(start, 0).Add(w.options.Length + w.options.Grace)
	return !w.options.Now().Before(end)
}

// freeze closes a window by conditional update.
func (w *Windows) freeze(ctx context.Context, number int, start int64) error {
	for range maxPlaceTries {
		c, err := w.fetch(ctx, number, start)
		if err != nil {
			return err
		}
		if c.window.frozen {
			return nil
		}
		c.window.frozen = true
		_, err = w.objects.Put(ctx, store.PurposeUsage, windowKey(number, time.Unix(start, 0)), c.window.encode(), c.version)
		if err == nil {
			event.UsageWindowFrozen.Log(w.options.Log).Int("shard", number).Int64("window", start).Int("counters", len(c.window.entries)).Send()
			return nil
		}
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknown) {
			return trace.Wrap(err)
		}
	}
	return trace.Wrap(store.ErrConflict)
}

// ReportUnit returns the unit of a shard's reports.
func ReportUnit(number int) string { return fmt.Sprintf("usage/%03d", number) }

// Report sends the frozen windows of a shard that are not yet reported, in
// order, and returns how many. Only one process sends at a time: each report
// is an order of the executor. A repeat sends the same figures.
func (w *Windows) Report(ctx context.Context, number int, x *authority.Executor, to provider.Usage) (int, error) {
	for reported := 0; ; reported++ {
		h, _, err := w.readHead(ctx, number)
		if errors.Is(err, store.ErrNotFound) {
			return reported, nil
		}
		if err != nil || h.Unreported >= h.Next {
			return reported, err
		}
		if err := w.reportWindow(ctx, number, h.Unreported, x, to); err != nil {
			return reported, err
		}
		if err := w.markReported(ctx, number, h.Unreported); err != nil {
			return reported, err
		}
		event.UsageWindowReported.Log(w.options.Log).Int("shard", number).Int64("window", h.Unreported).Send()
	}
}

// reportWindow sends the figures of one frozen window, if it has any.
func (w *Windows) reportWindow(ctx context.Context, number int, start int64, x *authority.Executor, to provider.Usage) error {
	c, err := w.fetch(ctx, number, start)
	if err != nil {
		return err
	}
	invariant.Check(c.window.frozen, "usage_report_frozen", "window %d of shard %d is open", start, number)
	figures := c.window.figures(w.options.Length)
	if len(figures) == 0 {
		return nil
	}
	if err := x.WaitClosed(ctx, ReportUnit(number)); err != nil {
		return err
	}
	d := &reportDriver{windows: w, number: number, start: start, figures: figures, to: to}
	_, err = x.Do(ctx, ReportUnit(number), false, d, authority.Order{Payload: fmt.Sprint(start)})
	if d.already.Load() {
		return nil
	}
	return err
}

// markReported moves the head past a reported window.
func (w *Windows) markReported(ctx context.Context, number int, start int64) error {
	for range maxPlaceTries {
		h, version, err := w.readHead(ctx, number)
		if err != nil {
			return err
		}
		if h.Unreported > start {
			return nil
		}
		h.Unreported = start + w.seconds()
		h.Oldest = w.collect(ctx, number, h)
		err = w.writeHead(ctx, number, h, version)
		if err == nil {
			return nil
		}
		if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknown) {
			return err
		}
	}
	return trace.Wrap(store.ErrConflict)
}

// reportDriver sends the figures of one frozen window.
type reportDriver struct {
	windows *Windows
	number  int
	start   int64
	figures []provider.UsageReport
	to      provider.Usage
	already atomic.Bool // another process has reported the window
}

// Send implements authority.Driver.
func (d *reportDriver) Send(ctx context.Context, o authority.Order) error {
	h, _, err := d.windows.readHead(ctx, d.number)
	if err != nil {
		return target.ErrNotSent
	}
	if h.Unreported > d.start {
		d.already.Store(true)
		return target.ErrNotSent
	}
	return d.to.Report(ctx, o.Author, o.Epoch, d.figures)
}

// Probe implements authority.Driver. The platform tells nothing about reports.
func (d *reportDriver) Probe(context.Context, authority.Order) authority.ProbeResult {
	return authority.ProbeResult{}
}

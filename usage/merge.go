package usage

import (
	"context"
	"errors"
	"maps"
	"time"

	"github.com/gravitational/trace"

	"zinniapin/event"
	"zinniapin/invariant"
	"zinniapin/store"
)

// maxLateWindows is by how many windows usage may be late: a day with the default length
// of a minute. Later usage is dropped, since the windows that may hold a part of it may
// already be deleted.
const maxLateWindows = 1440

// maxUpdateAttempts is how often an object is read and updated before a conflict is
// returned as an error.
const maxUpdateAttempts = 8

// storeCounters merges counters of one window into that window or, if it is frozen,
// into the first later window that is not.
func (w *Windows) storeCounters(ctx context.Context, s *shard, origin int64, counters map[counterID]Amount) error {
	if w.graceOver(origin) {
		s.next = 0 // late usage: read the head again, since a stale one may point to deleted windows
	}
	if err := w.ensureHead(ctx, s, origin); err != nil {
		return err
	}
	if s.next-origin > maxLateWindows*w.windowSeconds() {
		event.UsageLost.Log(w.options.Log).Int("shard", s.index).Int64("window", origin).Int("counters", len(counters)).Send()
		w.dropPending(s, counters)
		return nil
	}
	bases := map[counterID]Amount{}
	if err := w.raiseBasesFrom(ctx, s, bases, counters, origin, s.next); err != nil {
		return err
	}
	start := max(origin, s.next)
	for tries := 0; tries < maxUpdateAttempts; {
		c, err := w.loadWindow(ctx, s, start)
		if err != nil {
			return err
		}
		if c.window.frozen {
			c.window.raiseBases(bases, counters)
			start += w.windowSeconds()
			continue
		}
		if done, err := w.mergeInto(ctx, s, c, counters, bases); done || err != nil {
			return err
		}
		tries++
	}
	return trace.Wrap(store.ErrConflict)
}

// raiseBases raises the bases of counters to the amounts that this window, a frozen
// one, holds of them.
func (w *window) raiseBases(bases, counters map[counterID]Amount) {
	for id := range counters {
		if e, known := w.entries[id]; known {
			bases[id] = bases[id].Max(e.amount)
		}
	}
}

// raiseBasesFrom raises the bases of counters to what the frozen windows from one
// start up to another hold. A cached window that was open when it was read is read
// again, as it may have grown since.
func (w *Windows) raiseBasesFrom(ctx context.Context, s *shard, bases, counters map[counterID]Amount, from, to int64) error {
	for start := from; start < to; start += w.windowSeconds() {
		if c := s.cache[start]; c.window != nil && !c.window.frozen {
			delete(s.cache, start)
		}
		c, err := w.loadWindow(ctx, s, start)
		if err != nil {
			return err
		}
		c.window.raiseBases(bases, counters)
	}
	return nil
}

// mergeInto merges counters into an open window. It returns false if another writer
// updated the window first or the update had no answer; the caller then tries again,
// as merging the same counters twice changes nothing.
func (w *Windows) mergeInto(ctx context.Context, s *shard, c cachedWindow, counters, bases map[counterID]Amount) (bool, error) {
	invariant.Check(!c.window.frozen, "usage_frozen_unchanged", "window %d of shard %d is frozen", c.window.start, s.index)
	next := &window{start: c.window.start, entries: maps.Clone(c.window.entries)}
	changed := false
	for id, a := range counters {
		base := bases[id]
		if base.Max(a) == base {
			continue // frozen windows hold the whole amount
		}
		changed = next.merge(id, a, base) || changed
	}
	if !changed {
		// The cached window was read from the object API, and amounts in windows only
		// grow, so the counters are stored.
		w.dropPending(s, counters)
		return true, nil
	}
	version, err := w.objects.Put(ctx, store.PurposeUsage, windowKey(s.index, time.Unix(c.window.start, 0)), next.encode(), c.version)
	switch {
	case err == nil:
		s.cache[c.window.start] = cachedWindow{version, next}
		w.dropPending(s, counters)
		w.logLate(s, next.start, counters)
		return true, nil
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrUnknown):
		delete(s.cache, c.window.start)
		return false, nil
	default:
		return false, trace.Wrap(err)
	}
}

// logLate logs how many counters were stored in a later window than their own.
func (w *Windows) logLate(s *shard, start int64, counters map[counterID]Amount) {
	late := 0
	for id := range counters {
		if id.origin != start {
			late++
		}
	}
	if late > 0 {
		event.UsageLate.Log(w.options.Log).Int("shard", s.index).Int64("window", start).Int("counters", late).Send()
	}
}

// windowSeconds returns the length of a window in seconds.
func (w *Windows) windowSeconds() int64 { return int64(w.options.Length / time.Second) }

// loadWindow returns a window from the shard's cache, and reads it if it is not
// cached.
func (w *Windows) loadWindow(ctx context.Context, s *shard, start int64) (cachedWindow, error) {
	if c, known := s.cache[start]; known {
		return c, nil
	}
	c, err := w.readWindow(ctx, s.index, start)
	if err == nil {
		s.cache[start] = c
	}
	return c, err
}

// readWindow reads a window from the object API. One that does not exist is open and
// empty.
func (w *Windows) readWindow(ctx context.Context, shardIndex int, start int64) (cachedWindow, error) {
	object, err := w.objects.Get(ctx, store.PurposeUsage, windowKey(shardIndex, time.Unix(start, 0)))
	if errors.Is(err, store.ErrNotFound) {
		return cachedWindow{store.Absent, newWindow(start)}, nil
	}
	if err != nil {
		return cachedWindow{}, trace.Wrap(err)
	}
	found, err := decodeWindow(object.Value)
	return cachedWindow{object.Version, found}, err
}

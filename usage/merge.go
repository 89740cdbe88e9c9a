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

// maxLateWindows is how many windows late use may come; what comes later is
// dropped, since windows before may no longer be at hand.
const maxLateWindows = 1440

// maxPlaceTries bounds the updates of one placing.
const maxPlaceTries = 8

// place writes counters of one window into it, or, once it is frozen, into
// the first window after it that is not.
func (w *Windows) place(ctx context.Context, s *shard, origin int64, counters map[counterID]Amount) error {
	if w.due(origin) {
		s.next = 0 // late use: read the head anew, since old windows are deleted
	}
	if err := w.ensureHead(ctx, s, origin); err != nil {
		return err
	}
	if s.next-origin > maxLateWindows*w.seconds() {
		event.UsageLost.Log(w.options.Log).Int("shard", s.number).Int64("window", origin).Int("counters", len(counters)).Send()
		w.settle(s, counters)
		return nil
	}
	bases := map[counterID]Amount{}
	if err := w.addBases(ctx, s, bases, counters, origin, s.next); err != nil {
		return err
	}
	start := max(origin, s.next)
	for tries := 0; tries < maxPlaceTries; {
		c, err := w.load(ctx, s, start)
		if err != nil {
			return err
		}
		if c.window.frozen {
			c.window.raise(bases, counters)
			start += w.seconds()
			continue
		}
		if done, err := w.write(ctx, s, c, counters, bases); done || err != nil {
			return err
		}
		tries++
	}
	return trace.Wrap(store.ErrConflict)
}

// raise takes what a frozen window holds of the counters into their bases.
func (w *window) raise(bases, counters map[counterID]Amount) {
	for id := range counters {
		if e, known := w.entries[id]; known {
			bases[id] = bases[id].Max(e.amount)
		}
	}
}

// addBases reads the frozen windows from one start to another. A window that
// was cached while open may have grown since.
func (w *Windows) addBases(ctx context.Context, s *shard, bases, counters map[counterID]Amount, from, to int64) error {
	for start := from; start < to; start += w.seconds() {
		if c := s.cache[start]; c.window != nil && !c.window.frozen {
			delete(s.cache, start)
		}
		c, err := w.load(ctx, s, start)
		if err != nil {
			return err
		}
		c.window.raise(bases, counters)
	}
	return nil
}

// write merges counters into an open window. It is not done when another
// writer was first or no answer came: merging again does no harm.
func (w *Windows) write(ctx context.Context, s *shard, c cached, counters, bases map[counterID]Amount) (bool, error) {
	invariant.Check(!c.window.frozen, "usage_frozen_unchanged", "window %d of shard %d is frozen", c.window.start, s.number)
	next := &window{start: c.window.start, entries: maps.Clone(c.window.entries)}
	changed := false
	for id, a := range counters {
		base := bases[id]
		if base.Max(a) == base {
			continue // frozen windows hold all of it
		}
		changed = next.merge(id, a, base) || changed
	}
	if !changed {
		// The cache shows what the object API held, and windows only grow.
		w.settle(s, counters)
		return true, nil
	}
	version, err := w.objects.Put(ctx, store.PurposeUsage, windowKey(s.number, time.Unix(c.window.start, 0)), next.encode(), c.version)
	switch {
	case err == nil:
		s.cache[c.window.start] = cached{version, next}
		w.settle(s, counters)
		w.logLate(s, next.start, counters)
		return true, nil
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrUnknown):
		delete(s.cache, c.window.start)
		return false, nil
	default:
		return false, trace.Wrap(err)
	}
}

// logLate logs counters that went into a window after their own.
func (w *Windows) logLate(s *shard, start int64, counters map[counterID]Amount) {
	late := 0
	for id := range counters {
		if id.origin != start {
			late++
		}
	}
	if late > 0 {
		event.UsageLate.Log(w.options.Log).Int("shard", s.number).Int64("window", start).Int("counters", late).Send()
	}
}

// seconds returns the length of a window in seconds.
func (w *Windows) seconds() int64 { return int64(w.options.Length / time.Second) }

// load returns a window as last seen, or as the object API holds it.
func (w *Windows) load(ctx context.Context, s *shard, start int64) (cached, error) {
	if c, known := s.cache[start]; known {
		return c, nil
	}
	c, err := w.fetch(ctx, s.number, start)
	if err == nil {
		s.cache[start] = c
	}
	return c, err
}

// fetch reads a window; one that does not exist is open and empty.
func (w *Windows) fetch(ctx context.Context, number int, start int64) (cached, error) {
	object, err := w.objects.Get(ctx, store.PurposeUsage, windowKey(number, time.Unix(start, 0)))
	if errors.Is(err, store.ErrNotFound) {
		return cached{store.Absent, newWindow(start)}, nil
	}
	if err != nil {
		return cached{}, trace.Wrap(err)
	}
	found, err := decodeWindow(object.Value)
	return cached{object.Version, found}, err
}

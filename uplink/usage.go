package uplink

import (
	"context"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"zinniapin/control"
	"zinniapin/usage"
	"zinniapin/wire"
)

const (
	// maxCounters bounds the counters of one push; the next push carries more.
	maxCounters = 4096
	// pushTimeout bounds a push.
	pushTimeout = 2 * time.Second
	// flushPause is the wait between two pushes of a flush.
	flushPause = 200 * time.Millisecond
	// minAsk and maxAsk bound the wait until a controller that holds a counter
	// is asked again whether it is stored; it doubles each time. Controllers
	// remember for longer than maxAsk what is stored.
	minAsk = 5 * time.Second
	maxAsk = 20 * time.Second
)

// counterKey names one of the gateway's own counters.
type counterKey struct {
	organisation string
	window       int64 // start, Unix seconds
}

// keyOf returns the key of a counter.
func keyOf(c usage.Counter) counterKey {
	return counterKey{c.Organisation, c.Window.Unix()}
}

// heldCounter is a counter as a controller holds it.
type heldCounter struct {
	amount   usage.Amount
	sequence uint64        // of the last push that carried it
	asked    time.Time     // when it was last sent
	wait     time.Duration // until it is asked for again
}

// usageHeld is what one controller holds of the gateway's counters. It is not
// safe for concurrent use.
type usageHeld struct {
	counters map[counterKey]*heldCounter
	indexed  bool // the controller answers by index
	told     bool // that all is stored
}

// newUsageHeld returns what a controller holds at first: nothing.
func newUsageHeld() *usageHeld {
	return &usageHeld{counters: map[counterKey]*heldCounter{}}
}

// wanted returns the counters that a push to the controller carries: those
// that grew beyond what it holds and, with ask set, those that it may have
// stored meanwhile. It forgets counters that are not in the list.
func (h *usageHeld) wanted(now time.Time, unstored []usage.Counter, ask bool) []usage.Counter {
	var counters []usage.Counter
	known := make(map[counterKey]*heldCounter, len(unstored))
	for _, c := range unstored {
		held := h.counters[keyOf(c)]
		if held != nil {
			known[keyOf(c)] = held
		}
		if held == nil || held.amount != c.Amount || ask && now.Sub(held.asked) >= held.wait {
			counters = append(counters, c)
		}
	}
	h.counters = known
	return counters
}

// storedThrough returns the highest number such that pushes up to it carried
// only what is stored or was carried again since. A push with that number must
// carry all that the controller does not hold.
func (h *usageHeld) storedThrough(sequence uint64) uint64 {
	for _, held := range h.counters {
		sequence = min(sequence, held.sequence)
	}
	return sequence - 1
}

// took notes counters that a push left with the controller.
func (h *usageHeld) took(now time.Time, sequence uint64, counters []usage.Counter) {
	for _, c := range counters {
		next := &heldCounter{c.Amount, sequence, now, minAsk}
		if old := h.counters[keyOf(c)]; old != nil && old.amount == c.Amount {
			next.wait = min(2*old.wait, maxAsk)
		}
		h.counters[keyOf(c)] = next
	}
}

// pushUsage hands the counters that are not stored yet to both controllers, as
// far as they grew. The first controller passes them on, the other one holds
// them in case that the first is lost.
func (u *Uplink) pushUsage(ctx context.Context, g control.Gateway) {
	u.pushAll(ctx, g, false)
}

// pushAll hands counters to both controllers; with flush set all counters,
// which both pass on.
func (u *Uplink) pushAll(ctx context.Context, g control.Gateway, flush bool) {
	select {
	case u.pushing <- struct{}{}:
		defer func() { <-u.pushing }()
	case <-ctx.Done():
		return
	}
	unstored := append([]usage.Counter(nil), g.Usage()...)
	wire.SortCounters(unstored)
	u.pushes++
	var pushes sync.WaitGroup
	for i, up := range u.upstreams() {
		p := usagePush{sequence: u.pushes, unstored: unstored, flush: flush, first: i == 0}
		pushes.Go(func() { p.send(ctx, g, up) })
	}
	pushes.Wait()
}

// usagePush is one push to one controller.
type usagePush struct {
	sequence uint64
	unstored []usage.Counter
	flush    bool
	first    bool // the controller passes the counters on
}

// send hands counters to one controller and takes its acknowledgement.
func (p usagePush) send(ctx context.Context, g control.Gateway, up *upstream) {
	now := time.Now()
	counters := up.usage.wanted(now, p.unstored, p.first)
	if p.flush {
		counters = p.unstored
	}
	through := up.usage.storedThrough(p.sequence)
	if len(counters) > maxCounters {
		counters, through = counters[:maxCounters], 0
	}
	if len(counters) == 0 && (p.first || len(p.unstored) > 0 || up.usage.told) {
		return
	}
	request := &wire.UsagePush{
		Counters:      wire.FromCounters(counters, up.usage.indexed),
		Indexed:       true,
		Backup:        !p.first && !p.flush,
		Sequence:      p.sequence,
		StoredThrough: through,
	}
	timed, cancel := context.WithTimeout(ctx, pushTimeout)
	defer cancel()
	reply, err := up.link.Call(timed, &wire.Envelope{Body: &wire.Envelope_UsagePush{UsagePush: request}})
	ack := reply.GetUsageAck()
	if err != nil || ack == nil {
		return
	}
	up.usage.indexed = ack.Indexed
	up.usage.told = len(p.unstored) == 0
	up.usage.took(now, p.sequence, ack.HeldOf(counters))
	if stored := ack.StoredOf(counters); len(stored) > 0 {
		g.UsageStored(stored)
	}
}

// Flush implements control.Uplink. Run must be running.
func (u *Uplink) Flush(ctx context.Context, g control.Gateway) error {
	for len(g.Usage()) > 0 {
		u.pushAll(ctx, g, true)
		if len(g.Usage()) == 0 {
			break
		}
		pause(ctx, flushPause)
		if ctx.Err() != nil {
			return trace.Wrap(ctx.Err())
		}
	}
	return nil
}

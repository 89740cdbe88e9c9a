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
	// maxCounters limits the counters of one push. The next push contains the rest.
	maxCounters = 4096
	pushTimeout = 2 * time.Second
	// flushInterval is the wait between two pushes during Flush.
	flushInterval = 200 * time.Millisecond
	// minRecheckWait and maxRecheckWait limit the wait after which a counter that a
	// controller holds is sent again (rechecked) to learn whether it is stored. The wait
	// doubles each time. Controllers remember for longer than maxRecheckWait which counters
	// are stored.
	minRecheckWait = 5 * time.Second
	maxRecheckWait = 20 * time.Second
)

// counterKey identifies one of the gateway's own counters.
type counterKey struct {
	organisation string
	window       int64 // start, Unix seconds
}

// keyOf returns the key of a counter.
func keyOf(c usage.Counter) counterKey {
	return counterKey{c.Organisation, c.Window.Unix()}
}

// heldCounter is the value of a counter that a controller holds: it has acknowledged that it
// received the value, but not yet that the value is stored in the object API. The gateway sends
// the value again from time to time, since only the reply to a push tells what is stored.
type heldCounter struct {
	amount      usage.Amount
	sequence    uint64        // of the last push that contained it
	sentAt      time.Time     // when it was last sent
	recheckWait time.Duration // from sentAt until it is sent again
}

// heldUsage records which of the gateway's counters one controller holds, that is, has received
// and not yet reported as stored. It is not safe for concurrent use.
type heldUsage struct {
	counters      map[counterKey]*heldCounter
	indexed       bool // the controller acknowledges counters by index
	sentAllStored bool // the last push reported that no counters are unstored
}

// newHeldUsage returns the record of a controller that holds no counters.
func newHeldUsage() *heldUsage {
	return &heldUsage{counters: map[counterKey]*heldCounter{}}
}

// countersToSend returns the counters that the next push to the controller contains: those of
// which the controller does not hold the current amount and, with recheck set, those that it
// may have stored in the meantime. It drops the records of counters that are not in unstored.
func (h *heldUsage) countersToSend(now time.Time, unstored []usage.Counter, recheck bool) []usage.Counter {
	var counters []usage.Counter
	remaining := make(map[counterKey]*heldCounter, len(unstored))
	for _, c := range unstored {
		held := h.counters[keyOf(c)]
		if held != nil {
			remaining[keyOf(c)] = held
		}
		if held == nil || held.amount != c.Amount || recheck && now.Sub(held.sentAt) >= held.recheckWait {
			counters = append(counters, c)
		}
	}
	h.counters = remaining
	return counters
}

// storedThrough returns the highest sequence number for which every counter in the pushes up
// to it is stored or was contained in a later push. sequence is that of the next push. A push
// that reports the number must contain every counter that the controller does not hold.
func (h *heldUsage) storedThrough(sequence uint64) uint64 {
	for _, held := range h.counters {
		sequence = min(sequence, held.sequence)
	}
	return sequence - 1
}

// recordHeld records the counters of a push that the controller acknowledged.
func (h *heldUsage) recordHeld(now time.Time, sequence uint64, counters []usage.Counter) {
	for _, c := range counters {
		next := &heldCounter{c.Amount, sequence, now, minRecheckWait}
		if old := h.counters[keyOf(c)]; old != nil && old.amount == c.Amount {
			next.recheckWait = min(2*old.recheckWait, maxRecheckWait)
		}
		h.counters[keyOf(c)] = next
	}
}

// pushUsage sends the counters that have changed and are not stored yet to both controllers.
// The first controller forwards them to be stored, the other one holds them as a backup in case
// the first one is lost.
func (u *Uplink) pushUsage(ctx context.Context, g control.Gateway) {
	u.pushCounters(ctx, g, false)
}

// pushCounters sends counters to both controllers. With flush set it sends all counters, and
// both controllers forward them.
func (u *Uplink) pushCounters(ctx context.Context, g control.Gateway, flush bool) {
	select {
	case u.pushSlot <- struct{}{}:
		defer func() { <-u.pushSlot }()
	case <-ctx.Done():
		return
	}
	unstored := append([]usage.Counter(nil), g.Usage()...)
	wire.SortCounters(unstored)
	u.pushSequence++
	var pushes sync.WaitGroup
	for i, up := range u.upstreams() {
		p := usagePush{sequence: u.pushSequence, unstored: unstored, flush: flush, primary: i == 0}
		pushes.Go(func() { p.send(ctx, g, up) })
	}
	pushes.Wait()
}

// usagePush is a push of usage counters to one controller.
type usagePush struct {
	sequence uint64
	unstored []usage.Counter
	flush    bool
	primary  bool // to the first controller, which forwards the counters
}

// send sends counters to one controller and applies its acknowledgement.
func (p usagePush) send(ctx context.Context, g control.Gateway, up *upstream) {
	now := time.Now()
	counters := up.usage.countersToSend(now, p.unstored, p.primary)
	if p.flush {
		counters = p.unstored
	}
	through := up.usage.storedThrough(p.sequence)
	if len(counters) > maxCounters {
		counters, through = counters[:maxCounters], 0
	}
	if len(counters) == 0 && (p.primary || len(p.unstored) > 0 || up.usage.sentAllStored) {
		return
	}
	request := &wire.UsagePush{
		Counters:      wire.FromCounters(counters, up.usage.indexed),
		Indexed:       true,
		Backup:        !p.primary && !p.flush,
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
	up.usage.sentAllStored = len(p.unstored) == 0
	up.usage.recordHeld(now, p.sequence, ack.HeldOf(counters))
	if stored := ack.StoredOf(counters); len(stored) > 0 {
		g.UsageStored(stored)
	}
}

// Flush implements control.Uplink. Run must be in progress.
func (u *Uplink) Flush(ctx context.Context, g control.Gateway) error {
	for len(g.Usage()) > 0 {
		u.pushCounters(ctx, g, true)
		if len(g.Usage()) == 0 {
			break
		}
		sleep(ctx, flushInterval)
		if ctx.Err() != nil {
			return trace.Wrap(ctx.Err())
		}
	}
	return nil
}

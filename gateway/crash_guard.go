package gateway

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"zinniapin/control"
	"zinniapin/event"
	"zinniapin/invariant"
	"zinniapin/poison"
	"zinniapin/target"
)

const (
	// hardlyBegun is the number of chunks up to which an answer that breaks off is evidence
	// against its request. With more the request counts as answered.
	hardlyBegun = 1
	// restartMemory is how long the next start of a target explains answers that broke off
	// before.
	restartMemory = 6 * time.Second
	// crashSpan is the time within which all answers of a target that crashes break off.
	crashSpan = time.Second
	// crashCheckTimeout limits one attempt to connect to a target that may have crashed. One
	// that succeeds may have reached a process that is just ending, so there is a second one.
	crashCheckTimeout = 300 * time.Millisecond
	crashCheckPause   = 100 * time.Millisecond
)

// crashGuard finds out which targets have crashed and which requests crash them. It is safe
// for concurrent use.
type crashGuard struct {
	refuses func(context.Context, target.Target) bool
	log     *zerolog.Logger

	mu       sync.Mutex
	detector *poison.Detector
	// broken holds the answers that broke off when they had hardly begun, of targets not known
	// to have crashed.
	broken map[target.ID]*brokenAnswers
}

// brokenAnswers are the requests whose answers broke off at one target.
type brokenAnswers struct {
	target    target.Target
	boot      uint64 // latest known start of the target; 0 if it reports none
	parts     []poison.Part
	at        time.Time     // of the latest
	crashedAt time.Time     // when the first of those that broke off together did; see wallTime
	checked   chan struct{} // closed after the first attempt to connect; nil if none is made
}

// newCrashGuard returns a guard without evidence.
func newCrashGuard(refuses func(context.Context, target.Target) bool, log *zerolog.Logger) *crashGuard {
	return &crashGuard{refuses: refuses, log: log, detector: poison.New(), broken: map[target.ID]*brokenAnswers{}}
}

// wallTime returns the time by the clock of the host, in the resolution of messages, so that
// evidence which comes back from others is recognised.
func wallTime() time.Time { return time.Now().Truncate(time.Millisecond) }

// answered records that a target answered a request and went on.
func (c *crashGuard) answered(part requestPart) {
	if part.size > maxSoundBytes && !c.hasSuspects() {
		return
	}
	parts := []poison.Part{part.id()}
	c.update(func(now time.Time) bool { return c.detector.Answered(now, parts) })
}

// hasSuspects tells whether targets have crashed lately under any request.
func (c *crashGuard) hasSuspects() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.detector.HasSuspects()
}

// rejects tells whether a request must not be sent, and for how long.
func (c *crashGuard) rejects(part requestPart) (time.Duration, bool) {
	if !c.hasSuspects() {
		return 0, false
	}
	parts := []poison.Part{part.id()}
	c.mu.Lock()
	defer c.mu.Unlock()
	_, until, rejected := c.detector.Rejects(parts)
	return max(until.Sub(wallTime()), defaultRetryAfter), rejected
}

// suspects tells whether a request should not be sent to a further target after one has not
// answered it.
func (c *crashGuard) suspects(part requestPart) bool {
	if !c.hasSuspects() {
		return false
	}
	parts := []poison.Part{part.id()}
	c.mu.Lock()
	defer c.mu.Unlock()
	_, _, rejected := c.detector.Rejects(parts)
	return rejected || c.detector.Suspects(wallTime(), parts)
}

// brokeOff records that an answer broke off when it had hardly begun. It returns after the
// first attempt to find out whether the target has crashed, so that a repeat of the request
// takes that crash into account.
func (c *crashGuard) brokeOff(ctx context.Context, t target.Target, boot uint64, part poison.Part) {
	select {
	case <-c.addBroken(t, boot, part):
	case <-ctx.Done():
	}
}

// addBroken records that an answer broke off, and returns a channel that is closed after the
// first attempt to connect to its target.
func (c *crashGuard) addBroken(t target.Target, boot uint64, part poison.Part) <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := c.broken[t.ID]
	if b == nil {
		b = &brokenAnswers{target: t}
		c.broken[t.ID] = b
	}
	if time.Since(b.at) > crashSpan {
		b.parts, b.crashedAt, b.boot = nil, wallTime(), boot // earlier ones broke off for another reason
	}
	b.parts, b.at = append(b.parts, part), time.Now()
	if b.checked == nil {
		b.checked = make(chan struct{})
		go c.checkTarget(t, b.checked)
	}
	return b.checked
}

// checkTarget tries to connect to a target whose answers broke off, and again after a pause.
func (c *crashGuard) checkTarget(t target.Target, checked chan struct{}) {
	defer invariant.Contain("check of a target", nil)
	refused := false
	func() {
		defer close(checked)
		refused = c.tryTarget(t)
	}()
	if refused {
		return
	}
	time.AfterFunc(crashCheckPause, func() {
		defer invariant.Contain("check of a target", nil)
		if c.tryTarget(t) {
			return
		}
		c.mu.Lock()
		defer c.mu.Unlock()
		if b := c.broken[t.ID]; b != nil && b.checked == checked {
			b.checked = nil
		}
	})
}

// tryTarget tells whether connections to a target are refused, and records its crash if so.
func (c *crashGuard) tryTarget(t target.Target) bool {
	ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
	defer cancel()
	refused := c.refuses(ctx, t)
	if refused {
		c.crashed(t.ID, "refuses connections")
	}
	return refused
}

// crashed records that a target has crashed under the answers that broke off there. All
// gateways identify the crash by the target and the time, since some may know of the latest
// start of the target and others not yet.
func (c *crashGuard) crashed(id target.ID, how string) {
	c.mu.Lock()
	b := c.broken[id]
	delete(c.broken, id)
	c.mu.Unlock()
	if b == nil {
		return
	}
	event.TargetCrashed.Log(c.log).Str("target", string(id)).Str("address", b.target.Address).Str("how", how).
		Int("requests", len(b.parts)).Strs("parts", partNames(b.parts)).Send()
	crash := poison.Crash{Process: poison.ProcessOf(id, 0), At: b.crashedAt}
	c.update(func(now time.Time) bool {
		changed := false
		for _, part := range b.parts {
			changed = c.detector.Crashed(now, crash, []poison.Part{part}) || changed
		}
		return changed
	})
}

// observeTargets looks for targets that have started again since answers of theirs broke off,
// and forgets answers that broke off long ago.
func (c *crashGuard) observeTargets(view []control.TargetState) {
	var restarted []target.ID
	c.mu.Lock()
	if len(c.broken) > 0 {
		for i := range view {
			r := &view[i].Report
			if b := c.broken[view[i].Target.ID]; b != nil && b.boot != 0 && r.Boot != 0 && r.Boot != b.boot && time.Since(b.at) <= restartMemory {
				restarted = append(restarted, b.target.ID)
			}
		}
	}
	for id, b := range c.broken {
		if time.Since(b.at) > restartMemory && b.checked == nil {
			delete(c.broken, id)
		}
	}
	c.mu.Unlock()
	for _, id := range restarted {
		c.crashed(id, "has started again")
	}
}

// evidence returns evidence for other gateways, on at most n requests of which something new
// was learnt within an age.
func (c *crashGuard) evidence(n int, maxAge time.Duration) []poison.Evidence {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.detector.Recent(n, wallTime().Add(-maxAge))
}

// merge adds the evidence of other gateways.
func (c *crashGuard) merge(all []poison.Evidence) {
	c.update(func(now time.Time) bool {
		changed := false
		for _, e := range all {
			changed = c.detector.Merge(now, e) || changed
		}
		return changed
	})
}

// expire forgets old evidence.
func (c *crashGuard) expire() {
	c.update(func(now time.Time) bool { return c.detector.Expire(now) })
}

// update changes the evidence by a function that returns whether other requests are blocked
// now, and logs these.
func (c *crashGuard) update(change func(now time.Time) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.detector.Blocked()
	if !change(wallTime()) {
		return
	}
	after := c.detector.Blocked()
	for _, group := range missingGroups(before, after) {
		event.PromptPartBlocked.Log(c.log).Strs("parts", partNames(group)).Int("crashes", c.detector.CrashCount(group[0])).Send()
	}
	for _, group := range missingGroups(after, before) {
		event.PromptPartCleared.Log(c.log).Strs("parts", partNames(group)).Send()
	}
}

// missingGroups returns the groups in all that are not in known.
func missingGroups(known, all [][]poison.Part) [][]poison.Part {
	var missing [][]poison.Part
	for _, group := range all {
		if !slices.ContainsFunc(known, func(k []poison.Part) bool { return slices.Equal(k, group) }) {
			missing = append(missing, group)
		}
	}
	return missing
}

// maxLoggedParts limits the requests that one line names.
const maxLoggedParts = 8

// partNames returns the names by which the log refers to requests.
func partNames(parts []poison.Part) []string {
	var names []string
	for _, p := range parts[:min(len(parts), maxLoggedParts)] {
		names = append(names, strconv.FormatUint(uint64(p), 16))
	}
	return names
}

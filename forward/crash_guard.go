package forward

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"zinniapin/dispatch"
	"zinniapin/event"
	"zinniapin/invariant"
	"zinniapin/poison"
	"zinniapin/roster"
	"zinniapin/target"
	"zinniapin/upstream"
)

// CrashGuard finds out which targets have crashed and keeps requests from them that crash targets, as a whole
// or by a part of their prompts. It is safe for concurrent use.
type CrashGuard struct {
	// Pool is where connections to targets are tried.
	Pool *upstream.Pool
	// Now is a clock that all hosts share.
	Now func() time.Time
	Log *zerolog.Logger

	mu       sync.Mutex
	detector *poison.Detector
	// broken holds the answers that ended when they had hardly begun, of targets not known to have crashed.
	broken map[poison.Process]*brokenAnswers
}

// brokenAnswers are the requests whose answers broke off at one process of a target.
type brokenAnswers struct {
	target  roster.Target
	prompts [][]poison.Part
	at      time.Time // of the latest, by the local clock
	// crashedAt is when the first of those that broke off together did, by the clock that all hosts share.
	crashedAt time.Time
	checking  bool // a connection is being tried
}

const (
	// brokenMemory is how long a restart of a target explains answers that broke off before.
	brokenMemory = 6 * time.Second
	// crashSpan is the time within which all answers of a target that crashes break off.
	crashSpan = time.Second
	// crashCheckTimeout bounds one attempt to connect to a target that may have crashed. An attempt that
	// succeeds may have reached a process that is just ending, so there is a second one.
	crashCheckTimeout = 300 * time.Millisecond
	crashCheckPause   = 100 * time.Millisecond
	crashChecks       = 2
)

// NewCrashGuard returns a guard without evidence.
func NewCrashGuard(pool *upstream.Pool, now func() time.Time, log *zerolog.Logger) *CrashGuard {
	return &CrashGuard{Pool: pool, Now: now, Log: log, detector: poison.New(), broken: make(map[poison.Process]*brokenAnswers)}
}

// sharedPartIDs returns the parts of a prompt that it may share with others. The last one is its own.
func sharedPartIDs(parts []dispatch.Part) []poison.Part {
	var ids []poison.Part
	for _, p := range parts[:max(len(parts)-1, 0)] {
		ids = append(ids, poison.PartOfPrompt(p.ID))
	}
	return ids
}

// hasSuspects tells whether targets have crashed under any request lately.
func (g *CrashGuard) hasSuspects() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.detector.HasSuspects()
}

// answered records that a target answered a request with these parts and went on.
func (g *CrashGuard) answered(parts []poison.Part) {
	if len(parts) > 0 {
		g.update(func(now time.Time) bool { return g.detector.Answered(now, parts) })
	}
}

// rejects tells whether a request with these parts must not be sent, whether that is for the request as a
// whole, and how long its caller should wait.
func (g *CrashGuard) rejects(parts []poison.Part) (wait time.Duration, whole, rejected bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	part, until, rejected := g.detector.Rejects(parts)
	return max(until.Sub(g.Now()), time.Second), part.IsRequest(), rejected
}

// suspects tells whether a request with these parts should not be sent to another target.
func (g *CrashGuard) suspects(parts []poison.Part) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.detector.Suspects(g.Now(), parts)
}

// brokeOff records that an answer broke off when it had hardly begun, and finds out in the background
// whether its target has crashed: connections to it are refused then.
func (g *CrashGuard) brokeOff(t roster.Target, parts []poison.Part) {
	process := poison.ProcessOf(t.ID, t.StartedMillis)
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.broken[process]
	if b == nil {
		b = &brokenAnswers{target: t}
		g.broken[process] = b
	}
	if time.Since(b.at) > crashSpan {
		b.prompts, b.crashedAt = nil, g.Now() // earlier ones broke off for another reason
	}
	b.prompts, b.at = append(b.prompts, parts), time.Now()
	if !b.checking {
		b.checking = true
		go g.checkTarget(t, process)
	}
}

// checkTarget tries to connect to a target whose answers broke off.
func (g *CrashGuard) checkTarget(t roster.Target, process poison.Process) {
	defer invariant.Contain("check of a target", nil)
	for i := range crashChecks {
		if i > 0 {
			time.Sleep(crashCheckPause)
		}
		ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
		refused := g.Pool.Refuses(ctx, t.Address)
		cancel()
		if refused {
			g.crashed(process, "refuses connections")
			return
		}
	}
	g.mu.Lock()
	if b := g.broken[process]; b != nil {
		b.checking = false
	}
	g.mu.Unlock()
}

// crashed records that a target has crashed under the answers that broke off there.
func (g *CrashGuard) crashed(process poison.Process, how string) {
	g.mu.Lock()
	b := g.broken[process]
	delete(g.broken, process)
	g.mu.Unlock()
	if b == nil {
		return
	}
	event.TargetCrashed.Log(g.Log).Str("target", string(b.target.ID)).Str("address", b.target.Address).Int64("born", b.target.StartedMillis).
		Str("how", how).Int("prompts", len(b.prompts)).Strs("parts", namesOf(b.prompts[0])).Send()
	crash := poison.Crash{Process: process, At: b.crashedAt}
	g.update(func(now time.Time) bool {
		changed := false
		for _, parts := range b.prompts {
			changed = g.detector.Crashed(now, crash, parts) || changed
		}
		return changed
	})
}

// ObserveTargets looks for targets that have started again since answers of theirs broke off, and forgets
// answers that broke off long ago.
func (g *CrashGuard) ObserveTargets(all []roster.Target) {
	started := make(map[target.ID]int64, len(all))
	g.mu.Lock()
	if len(g.broken) > 0 {
		for _, t := range all {
			started[t.ID] = t.StartedMillis
		}
	}
	var restarted []poison.Process
	for process, b := range g.broken {
		switch {
		case started[b.target.ID] > b.target.StartedMillis:
			restarted = append(restarted, process)
		case time.Since(b.at) > brokenMemory && !b.checking:
			delete(g.broken, process)
		}
	}
	g.mu.Unlock()
	for _, process := range restarted {
		g.crashed(process, "has started again")
	}
}

// Evidence returns evidence for peers, on at most n parts of which something new was learnt within an age.
func (g *CrashGuard) Evidence(n int, maxAge time.Duration) []poison.Evidence {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.detector.Recent(n, g.Now().Add(-maxAge))
}

// Merge adds the evidence of a peer.
func (g *CrashGuard) Merge(all []poison.Evidence) {
	if len(all) == 0 {
		return
	}
	g.update(func(now time.Time) bool {
		changed := false
		for _, e := range all {
			changed = g.detector.Merge(now, e) || changed
		}
		return changed
	})
}

// Expire forgets old evidence.
func (g *CrashGuard) Expire() {
	g.update(func(now time.Time) bool { return g.detector.Expire(now) })
}

// update changes the evidence by a function that returns whether other parts are blocked now, and logs
// these.
func (g *CrashGuard) update(change func(now time.Time) bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	before := g.detector.Blocked()
	if !change(g.Now()) {
		return
	}
	after := g.detector.Blocked()
	for _, group := range missingGroups(before, after) {
		event.PromptPartBlocked.Log(g.Log).Strs("parts", namesOf(group)).Int("crashes", g.detector.CrashCount(group[0])).Send()
	}
	for _, group := range missingGroups(after, before) {
		event.PromptPartCleared.Log(g.Log).Strs("parts", namesOf(group)).Send()
	}
}

// missingGroups returns the groups of parts in all that are not in known.
func missingGroups(known, all [][]poison.Part) [][]poison.Part {
	var missing [][]poison.Part
	for _, group := range all {
		if !slices.ContainsFunc(known, func(k []poison.Part) bool { return slices.Equal(k, group) }) {
			missing = append(missing, group)
		}
	}
	return missing
}

// namesOf returns the names by which the log refers to parts of prompts.
func namesOf(parts []poison.Part) []string {
	var names []string
	for _, p := range parts[:min(len(parts), maxLoggedParts)] {
		names = append(names, nameOf(p))
	}
	return names
}

// nameOf returns the name by which the log refers to a part.
func nameOf(p poison.Part) string { return strconv.FormatUint(uint64(p), 16) }

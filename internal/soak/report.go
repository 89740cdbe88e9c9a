package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// maxViolations bounds the recorded violations, and those of each tag.
const maxViolations = 50

// Report is the result of a run.
type Report struct {
	Seed uint64
	// Steps is the number of injected faults, which include configuration changes.
	Steps int
	// Faults counts the injected faults by kind.
	Faults map[string]int
	// Outcomes counts the callers' attempts by kind and outcome.
	Outcomes map[string]int
	// Notes counts things that the invariants allow but a reader should know, such as
	// withdrawn keys served while the object API was down.
	Notes map[string]int
	// Violations are the violated invariants.
	Violations []string
	// KnownFaults are violations by the tag of a fault that may be on the list of
	// known ones.
	KnownFaults map[string][]string

	mu        sync.Mutex
	startedAt time.Time
	timeline  []string // starts and ends of faults
}

// event adds an event to the timeline, which is printed with violations.
func (r *Report) event(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.timeline = append(r.timeline, r.elapsedPrefix()+fmt.Sprintf(format, args...))
}

// elapsedPrefix formats the time since the run started. The caller holds the lock.
func (r *Report) elapsedPrefix() string {
	return fmt.Sprintf("at %v: ", time.Since(r.startedAt).Round(time.Millisecond))
}

func newReport(seed uint64) *Report {
	return &Report{Seed: seed, Faults: map[string]int{}, Outcomes: map[string]int{}, Notes: map[string]int{}, KnownFaults: map[string][]string{}, startedAt: time.Now()}
}

// violation records a violated invariant.
func (r *Report) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.Violations) < maxViolations {
		r.Violations = append(r.Violations, r.elapsedPrefix()+fmt.Sprintf(format, args...))
	}
}

// knownFault records a violation under the tag of a fault that KNOWN-RED.txt may list.
func (r *Report) knownFault(tag, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.KnownFaults[tag]) < maxViolations {
		r.KnownFaults[tag] = append(r.KnownFaults[tag], r.elapsedPrefix()+fmt.Sprintf(format, args...))
	}
}

// fault counts an injected fault.
func (r *Report) fault(kind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Steps++
	r.Faults[kind]++
}

// outcome counts the outcome of a caller's attempt.
func (r *Report) outcome(kind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Outcomes[kind]++
}

// note adds to a count of something that the invariants allow.
func (r *Report) note(kind string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Notes[kind] += n
}

// String formats the report for people. The timeline is included if there are violations.
func (r *Report) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d steps, %d violations\n", r.Seed, r.Steps, len(r.Violations))
	for _, part := range []struct {
		name   string
		counts map[string]int
	}{{"faults", r.Faults}, {"attempts", r.Outcomes}, {"notes", r.Notes}} {
		fmt.Fprintf(&b, "  %s:%s\n", part.name, formatCounts(part.counts))
	}
	for _, v := range r.Violations {
		fmt.Fprintf(&b, "  VIOLATION %s\n", v)
	}
	for tag, list := range r.KnownFaults {
		fmt.Fprintf(&b, "  %s (%d):\n    %s\n", tag, len(list), strings.Join(list, "\n    "))
	}
	if len(r.Violations)+len(r.KnownFaults) > 0 {
		fmt.Fprintf(&b, "  %s\n", strings.Join(r.timeline, "\n  "))
	}
	return b.String()
}

// formatCounts formats counts, sorted by name.
func formatCounts(counts map[string]int) string {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	slices.Sort(names)
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%d", strings.ReplaceAll(name, " ", "_"), counts[name])
	}
	return b.String()
}

package soak

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// maxViolations bounds the violations that are kept.
const maxViolations = 50

// Report is what a run did and found.
type Report struct {
	Seed uint64
	// Steps is the number of faults and changes made.
	Steps int
	// Faults counts them by kind.
	Faults map[string]int
	// Outcomes counts the callers' attempts by kind and outcome.
	Outcomes map[string]int
	// Notes are counts of what the invariants allow yet a reader wants to
	// know, such as keys served within the documented exception.
	Notes map[string]int
	// Violations are the invariants found broken.
	Violations []string
	// KnownFaults are violations by the tag of a fault that may be on the list of
	// known ones.
	KnownFaults map[string][]string

	mu       sync.Mutex
	began    time.Time
	timeline []string // begins and ends of faults
}

// event notes a moment, for the reader of a violation.
func (r *Report) event(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.timeline = append(r.timeline, r.stamp()+fmt.Sprintf(format, args...))
}

// stamp renders the time since the run began. The lock is held.
func (r *Report) stamp() string {
	return fmt.Sprintf("at %v: ", time.Since(r.began).Round(time.Millisecond))
}

// newReport returns an empty report.
func newReport(seed uint64) *Report {
	return &Report{Seed: seed, Faults: map[string]int{}, Outcomes: map[string]int{}, Notes: map[string]int{}, KnownFaults: map[string][]string{}, began: time.Now()}
}

// violation notes a broken invariant.
func (r *Report) violation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.Violations) < maxViolations {
		r.Violations = append(r.Violations, r.stamp()+fmt.Sprintf(format, args...))
	}
}

// tagged notes a violation that a fault with this tag explains.
func (r *Report) tagged(tag, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.KnownFaults[tag]) < maxViolations {
		r.KnownFaults[tag] = append(r.KnownFaults[tag], r.stamp()+fmt.Sprintf(format, args...))
	}
}

// fault counts a fault.
func (r *Report) fault(kind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Steps++
	r.Faults[kind]++
}

// outcome counts the end of a caller's attempt.
func (r *Report) outcome(kind string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Outcomes[kind]++
}

// note counts something allowed.
func (r *Report) note(kind string, n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Notes[kind] += n
}

// String renders the report for people.
func (r *Report) String() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d steps, %d violations\n", r.Seed, r.Steps, len(r.Violations))
	for _, part := range []struct {
		name   string
		counts map[string]int
	}{{"faults", r.Faults}, {"attempts", r.Outcomes}, {"notes", r.Notes}} {
		fmt.Fprintf(&b, "  %s:%s\n", part.name, sorted(part.counts))
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

// sorted renders counts by name.
func sorted(counts map[string]int) string {
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

// Package invariant checks conditions that must always hold. A violation is
// counted and logged; in tests it panics.
package invariant

import (
	"fmt"
	"sync/atomic"
	"testing"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"zinniapin/event"
)

// Violations counts violated invariants by name.
var Violations = prometheus.NewCounterVec(prometheus.CounterOpts{
	Name: "zinnia_invariant_violations_total",
	Help: "Invariants found violated, by name.",
}, []string{"invariant"})

// logger receives the log line of a violation.
var logger atomic.Pointer[zerolog.Logger]

// SetLogger sets the logger for this process's violations.
func SetLogger(l *zerolog.Logger) {
	logger.Store(l)
}

// Check reports a violation of the named invariant unless ok is true. In tests it panics, so
// that no test passes with a violation, unless the test provokes it (see Tolerate).
func Check(ok bool, name, format string, args ...any) {
	if ok {
		return
	}
	reportViolation(name, fmt.Sprintf(format, args...))
}

// reportViolation counts and logs a violation, and panics in tests.
func reportViolation(name, detail string) {
	Violations.WithLabelValues(name).Inc()
	if l := logger.Load(); l != nil {
		event.InvariantViolated.Log(l).Str("invariant", name).Msg(detail)
	}
	if testing.Testing() && tolerated.Load() == 0 {
		panic("invariant " + name + ": " + detail)
	}
}

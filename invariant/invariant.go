// Package invariant asserts conditions that must always hold. A violation is
// counted, logged and handed to the handler, which panics under test.
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

// SetLogger sets the logger for violations of this process.
func SetLogger(l *zerolog.Logger) {
	logger.Store(l)
}

// Check reports a violation of the named invariant unless ok holds. Under
// test it panics, so that no run passes over it.
func Check(ok bool, name, format string, args ...any) {
	if ok {
		return
	}
	violated(name, fmt.Sprintf(format, args...))
}

// violated counts and logs a violation.
func violated(name, detail string) {
	Violations.WithLabelValues(name).Inc()
	if l := logger.Load(); l != nil {
		event.InvariantViolated.Log(l).Str("invariant", name).Msg(detail)
	}
	if testing.Testing() {
		panic("invariant " + name + ": " + detail)
	}
}

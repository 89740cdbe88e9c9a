package soak

import (
	"flag"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
)

var (
	seed    = flag.Uint64("soak.seed", 0, "seed of the long run; 0 skips it")
	minutes = flag.Int("soak.minutes", 10, "virtual minutes of faults of the long run")
)

// testLog shows the events of a run with ZINNIA_TEST_LOG set.
func testLog() zerolog.Logger {
	if os.Getenv("ZINNIA_TEST_LOG") == "" {
		return zerolog.Nop()
	}
	return zerolog.New(os.Stderr).Hook(zerolog.HookFunc(func(e *zerolog.Event, _ zerolog.Level, _ string) {
		e.Time("at", time.Now())
	}))
}

// check runs a seed and fails on every violation.
func check(t *testing.T, seed uint64, span time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		report := Run(Options{Seed: seed, Span: span, Log: testLog()})
		t.Log(report)
		if len(report.Violations) > 0 {
			t.Fail()
		}
	})
}

// TestSystemUnderFaults runs fixed seeds of the joined system.
func TestSystemUnderFaults(t *testing.T) {
	for _, seed := range []uint64{1} {
		check(t, seed, 3*time.Minute)
	}
}

// TestLongRun runs one seed for as long as the command line says.
func TestLongRun(t *testing.T) {
	if *seed == 0 {
		t.Skip("runs with -soak.seed")
	}
	check(t, *seed, time.Duration(*minutes)*time.Minute)
}

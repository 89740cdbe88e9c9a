package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/result"
)

// TestLoadsAreRatesSinceTheLastReading checks the rates and shares computed from counts, and
// that reading them resets the counts.
func TestLoadsAreRatesSinceTheLastReading(t *testing.T) {
	is := is.New(t)
	begun := time.Unix(0, 0)
	l := newLoads(begun)
	for range 4 {
		l.countArrival("pool", "model", false)
	}
	l.countArrival("pool", "model", true)
	l.countAdmission("pool", "model", 100, time.Second, nil)
	l.countAdmission("pool", "model", 150, 3*time.Second, nil)
	l.countAdmission("pool", "model", 100, 0, result.New(result.QueueFull, ""))
	l.countAdmission("pool", "model", 100, 0, result.New(result.RateLimited, "")) // by the contract's limit, not for lack of capacity
	l.countOutput("pool", "model", 50)
	taken := l.takeRates(begun.Add(5 * time.Second))
	is.Equal(len(taken), 1)
	load := taken[0]
	is.Equal(load.Requests, 1.0)
	is.Equal(load.PromptTokens, 50.0) // of the two dispatched requests
	is.Equal(load.OutputTokens, 10.0)
	is.Equal(load.WaitSeconds, 2.0)
	is.Equal(load.RefusedShare, 0.2)
	is.Equal(load.StableShare, 0.2)
	is.Equal(len(l.takeRates(begun.Add(6*time.Second))), 0)
}

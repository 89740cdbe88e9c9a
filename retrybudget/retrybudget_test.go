package retrybudget_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "zinniapin/internal/fixedseed"
	"zinniapin/retrybudget"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestRepeatsStayWithinTheSharedBound checks that in any window the retries of all hosts stay
// within the bound, for random load and numbers of hosts.
func TestRepeatsStayWithinTheSharedBound(t *testing.T) {
	bounds := retrybudget.Bounds{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 7).Draw(t, "hosts")
		budgets := make([]*retrybudget.Budget, hosts)
		for i := range budgets {
			budgets[i] = retrybudget.New(bounds, start)
		}
		var requests, retries []time.Duration
		now := time.Duration(0)
		for range 400 {
			now += time.Duration(rapid.IntRange(0, 200).Draw(t, "ms")) * time.Millisecond
			b := budgets[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			for range rapid.IntRange(0, 6).Draw(t, "requests") {
				b.CountRequest(start.Add(now))
				requests = append(requests, now)
			}
			for range rapid.IntRange(0, 6).Draw(t, "repeats") {
				if b.Spend(start.Add(now), hosts) {
					retries = append(retries, now)
				}
			}
		}
		for _, begin := range retries {
			extra, counted := 0, 0
			for _, at := range retries {
				if at >= begin && at < begin+bounds.Window {
					extra++
				}
			}
			// Retries may also stem from requests of up to one window earlier.
			for _, shift := range []time.Duration{0, bounds.Window / 2, bounds.Window} {
				n := 0
				for _, at := range requests {
					if at >= begin-shift && at < begin-shift+bounds.Window {
						n++
					}
				}
				counted = max(counted, n)
			}
			if float64(extra) > bounds.Ratio*float64(counted)+bounds.Slack {
				t.Fatalf("%d retries for %d requests of %d hosts", extra, counted, hosts)
			}
		}
	})
}

// TestNewProcessHasNoSlack checks that a new process does not use the slack a second time in
// the window in which its predecessor may have used it.
func TestNewProcessHasNoSlack(t *testing.T) {
	is := is.New(t)
	b := retrybudget.New(retrybudget.Bounds{Ratio: 0.2, Slack: 50, Window: 10 * time.Second}, start)
	is.True(!b.Spend(start.Add(time.Second), 1))
	is.True(b.Spend(start.Add(11*time.Second), 1))
}

package metering_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "zinniapin/internal/fixedseed"
	"zinniapin/metering"
)

const length = 5 * time.Second

func TestWindowsBeginWithTheEpoch(t *testing.T) {
	is := is.New(t)
	l := metering.NewLedger(metering.Process{Host: "a"}, length)
	is.Equal(l.WindowAt(time.Unix(0, 0)), metering.Window(0))
	is.Equal(l.WindowAt(time.Unix(4, 999_999_999)), metering.Window(0))
	is.Equal(l.WindowAt(time.Unix(5, 0)), metering.Window(1))
	is.True(l.WindowEnd(1).Equal(time.Unix(10, 0)))
}

// However often and in whatever order a peer's counts are merged, the total equals
// the number of requests.
func TestMergedCountsAddUp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := time.Unix(1002, 0)
		self := metering.Process{Host: "a", Incarnation: 1}
		ledger := metering.NewLedger(self, length)
		other := metering.Process{Host: "b", Incarnation: 2}
		peer := metering.NewLedger(other, length)
		var sent []metering.Counts
		requests := make(map[string]uint32)
		for range rapid.IntRange(0, 40).Draw(t, "steps") {
			organisation := rapid.SampledFrom([]string{"x", "y"}).Draw(t, "organisation")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				ledger.Count(at, organisation)
				requests[organisation]++
			case 1:
				peer.Count(at, organisation)
				requests[organisation]++
			case 2:
				copied := make(metering.Counts)
				for o, n := range peer.OwnCounts(at, 0)[ledger.WindowAt(at)] {
					copied[o] = n
				}
				sent = append(sent, copied)
			case 3:
				if len(sent) > 0 {
					ledger.Merge(other, ledger.WindowAt(at), sent[rapid.IntRange(0, len(sent)-1).Draw(t, "which")])
				}
			}
		}
		ledger.Merge(other, ledger.WindowAt(at), peer.OwnCounts(at, 0)[ledger.WindowAt(at)])
		total := ledger.Total(ledger.WindowAt(at))
		for o, n := range requests {
			if total[o] != n {
				t.Fatalf("%s: total %d, requests %d", o, total[o], n)
			}
		}
	})
}

// The counts of a restarted process are added to those of the process before it.
func TestRestartAddsUp(t *testing.T) {
	is := is.New(t)
	l := metering.NewLedger(metering.Process{Host: "a"}, length)
	l.Merge(metering.Process{Host: "b", Incarnation: 1}, 7, metering.Counts{"x": 4})
	l.Merge(metering.Process{Host: "b", Incarnation: 2}, 7, metering.Counts{"x": 3})
	is.Equal(l.Total(7), metering.Counts{"x": 7})
}

func TestEndedAndExpiredWindows(t *testing.T) {
	is := is.New(t)
	l := metering.NewLedger(metering.Process{Host: "a"}, length)
	for w := range 4 {
		l.Count(time.Unix(int64(w)*5+1, 0), "x")
	}
	now := time.Unix(18, 0) // in window 3
	is.Equal(l.EndedWindows(now, 2*time.Second, 10*time.Second), []metering.Window{1, 2})
	l.DropExpired(time.Unix(100, 0))
	is.Equal(len(l.EndedWindows(now, 0, time.Hour)), 0)
}

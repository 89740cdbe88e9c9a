package intake

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "zinniapin/internal/fixedseed"
)

// TestLedgerStaysWithinItsLimits runs random histories of connections and checks after each step that the sums agree, that
// nothing exceeds its limit, that no complete request was evicted and that what ends is granted to those that wait.
func TestLedgerStaysWithinItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 10 << 20
		l, now := NewLedger(limit), time.Unix(0, 0)
		a := &Address{Name: "callers", Connections: 8, ConnectionBytes: 64 << 10}
		var open, ending []*Holder
		end := func(h *Holder) {
			open = slices.DeleteFunc(open, func(o *Holder) bool { return o == h })
			l.Close(h)
		}
		evicted := func(all ...*Holder) {
			for _, h := range all {
				if h.kept {
					t.Fatal("a complete request was evicted")
				}
				ending = append(ending, h)
			}
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			action := rapid.IntRange(0, 6).Draw(t, "action")
			if action == 0 || len(open) == 0 {
				h, last := l.Open(now, a)
				if last != nil {
					evicted(last)
				}
				if h != nil {
					open = append(open, h)
				}
			} else {
				h := open[rapid.IntRange(0, len(open)-1).Draw(t, "holder")]
				switch n := rapid.Int64Range(1, 6<<20).Draw(t, "bytes"); {
				case action <= 2 && h.wants == 0:
					_, others := l.Reserve(now, h, n)
					evicted(others...)
				case action == 3 && n%2 == 0:
					l.Release(h, min(n, h.bytes))
				case action == 3:
					l.Discard(h, min(n, h.bytes))
					l.Collect(rapid.Int64Range(0, l.garbage).Draw(t, "collected"))
				case action == 4:
					l.Keep(h)
				case action == 5:
					l.Yield(now, h)
				case action == 6:
					end(h)
				}
			}
			for len(ending) > 0 { // the sockets of evicted connections are closed soon
				end(ending[0])
				ending = ending[1:]
			}
			var used, queued, kept int64
			for _, h := range open {
				used, queued = used+h.bytes, queued+h.wants
				if h.kept && h.bytes > smallBytes {
					kept += h.bytes
				}
			}
			if used != l.used || queued != l.queued || kept != l.keptLarge || l.ending != 0 || used+l.garbage > limit || len(open) > a.Connections || a.open != len(open) {
				t.Fatalf("used %d of %d, queued %d of %d, kept %d of %d, ending %d, open %d of %d", l.used, used, l.queued, queued, l.keptLarge, kept, l.ending, a.open, len(open))
			}
			if len(l.queue) > 0 && l.used+l.garbage+l.queue[0].wants <= limit {
				t.Fatal("a holder waits for bytes that are free")
			}
		}
	})
}

// TestUnfinishedBodiesYieldToAnOrdinaryCaller fills the bound with bodies that do not go on.
func TestUnfinishedBodiesYieldToAnOrdinaryCaller(t *testing.T) {
	is := is.New(t)
	l, now := NewLedger(10<<20), time.Unix(0, 0)
	a := &Address{Name: "callers", Connections: 100}
	var crowd []*Holder
	for range 5 {
		h, _ := l.Open(now, a)
		outcome, _ := l.Reserve(now, h, 2<<20)
		is.Equal(outcome, Granted)
		crowd = append(crowd, h)
	}
	h, _ := l.Open(now.Add(time.Second), a)
	outcome, evicted := l.Reserve(now.Add(time.Second), h, 64<<10)
	is.Equal(outcome, Waiting)
	is.Equal(len(evicted), 1)
	is.Equal(l.Close(evicted[0]), []*Holder{h})

	for len(l.queue) > 0 || l.used < l.limit { // a complete request outranks all that are not
		is.True(l.Keep(h))
		outcome, evicted = l.Reserve(now.Add(time.Hour), h, 1<<20)
		if outcome == Refused {
			break
		}
		for _, other := range evicted {
			l.Close(other)
		}
	}
	is.Equal(l.used, h.bytes)
	is.Equal(len(l.holders), 1)
	l.Yield(now, h)
	l.Release(h, h.bytes)
	for range 4 {
		other, _ := l.Open(now, a)
		outcome, _ := l.Reserve(now, other, 2<<20)
		is.Equal(outcome, Granted)
		crowd = append(crowd, other)
	}

	for _, other := range crowd {
		l.Keep(other) // as many complete large requests as may be
	}
	is.True(l.keptLarge > 0 && l.keptLarge <= int64(largeShare*float64(l.limit)))
	small, _ := l.Open(now.Add(2*time.Second), a)
	outcome, _ = l.Reserve(now.Add(2*time.Second), small, 128<<10)
	is.Equal(outcome, Granted)
}

// TestConnectionThatWaitsLongestYields opens more connections than an address may have.
func TestConnectionThatWaitsLongestYields(t *testing.T) {
	is := is.New(t)
	l, now := NewLedger(1<<20), time.Unix(0, 0)
	a := &Address{Name: "callers", Connections: 2}
	first, _ := l.Open(now, a)
	second, _ := l.Open(now.Add(time.Second), a)
	is.True(l.Keep(first)) // it serves a request
	third, evicted := l.Open(now.Add(2*time.Second), a)
	is.Equal(evicted, second)
	l.Close(second)
	is.True(l.Keep(third))
	none, evicted := l.Open(now.Add(3*time.Second), a)
	is.True(none == nil && evicted == nil)
}

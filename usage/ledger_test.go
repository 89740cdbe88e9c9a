package usage

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLedgerGrowsOnly checks that counters only grow, and are removed only when they
// are stored and their window is over.
func TestLedgerGrowsOnly(t *testing.T) {
	is := is.New(t)
	l := NewLedger("g")
	at := time.Unix(600, 0)
	l.Add(at, "a", Amount{Requests: 1})
	first := l.Unstored()
	l.Add(at, "a", Amount{Requests: 1})
	l.MarkStored(at, first)
	is.Equal(l.Unstored()[0].Amount.Requests, uint64(2))
	l.MarkStored(at, l.Unstored())
	is.Equal(len(l.Unstored()), 0)
	l.Add(at, "a", Amount{Requests: 1})
	is.Equal(l.Unstored()[0].Amount.Requests, uint64(3))
	l.MarkStored(at.Add(10*time.Minute), l.Unstored())
	is.Equal(len(l.counters), 0)
}

// TestLedgerForgetsWhatIsStored checks that stored counters of old windows are removed
// from memory, and that a counter that is not stored is kept.
func TestLedgerForgetsWhatIsStored(t *testing.T) {
	is := is.New(t)
	l := NewLedger("g")
	at := time.Unix(600, 0)
	l.Add(at, "waits", Amount{Requests: 1})
	waiting := l.Unstored()
	for range 100 {
		l.Add(at, "a", Amount{Requests: 1})
		var stored []Counter
		for _, c := range l.Unstored() {
			if c.Organisation == "a" {
				stored = append(stored, c)
			}
		}
		l.MarkStored(at, stored)
		at = at.Add(time.Minute)
	}
	is.True(len(l.counters) <= 5)
	is.Equal(l.Unstored(), waiting)
}

// TestLedgerCountsForOrganisationsOnly checks that usage without an organisation, and
// an empty amount, create no counter, and that a new window length applies from then on.
func TestLedgerCountsForOrganisationsOnly(t *testing.T) {
	is := is.New(t)
	l := NewLedger("g")
	l.Add(time.Unix(600, 0), "", Amount{Requests: 1})
	l.Add(time.Unix(600, 0), "a", Amount{})
	is.Equal(len(l.Unstored()), 0)
	l.SetWindowLength(20 * time.Second)
	l.Add(time.Unix(630, 0), "a", Amount{Calls: 1})
	is.Equal(l.Unstored()[0].Window, time.Unix(620, 0).UTC())
}

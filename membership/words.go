package membership

import (
	"slices"
	"time"

	"zinniapin/machine"
)

const (
	// StoreFailureTTL is how long a failed call of the object API, counted from its
	// beginning, shows that the caller does not reach it. Whoever calls does so
	// again within that time.
	StoreFailureTTL = 6 * time.Second
	// minEvidence is the number of controllers whose failed calls show that
	// the object API is down for all that are in reach; only some call it.
	minEvidence = 4
)

// StoreDown tells whether most controllers, the silent ones included, say that
// they cannot reach the object API, and how old the newest evidence for it may
// be. At least expected controllers count as known, so that a few that have
// just started, or are cut off together, are no majority. The evidence is the
// calls of those that tried. The age is less what is usual in a mesh of this
// size, where beats come further apart; and since it counts from when a word
// came, also through a pause of this process, words from before a cut grow old.
func (t *Table) StoreDown(now time.Time, expected int) (age time.Duration, forMost bool) {
	if !t.self.Settled {
		return 0, false
	}
	var words, evidence []time.Duration
	for _, m := range Controllers(t.Members(now), "") {
		word := t.wordAge(t.entries[m.Process.Incarnation], now)
		if !m.StoreReachable {
			words = append(words, word)
		}
		if m.StoreFailed {
			evidence = append(evidence, word)
		}
	}
	needed := max(expected, t.KnownHostCount(now, machine.Controller))/2 + 1
	tried := min(needed, minEvidence)
	if len(words) < needed || len(evidence) < tried {
		return 0, false
	}
	word := max(nth(words, needed), nth(evidence, tried))
	return StoreFailureTTL + max(0, word-addedAge(len(t.entries))), true
}

// nth returns the nth least of some ages, counted from 1.
func nth(ages []time.Duration, n int) time.Duration {
	slices.Sort(ages)
	return ages[n-1]
}

// StoreFailed tells whether a live controller has tried the object API in vain.
func (t *Table) StoreFailed(now time.Time) bool {
	failed := func(m Member) bool { return m.StoreFailed }
	return slices.ContainsFunc(Controllers(t.Members(now), ""), failed)
}

// addedAge returns by how much older the words of live processes are in a mesh
// of n processes than in the smallest.
func addedAge(n int) time.Duration {
	return BeatInterval(n) + spreadTime(n) - BeatInterval(0) - spreadTime(0)
}

// wordAge returns the age of a process's last word, at most forgetAfter.
func (t *Table) wordAge(e *entry, now time.Time) time.Duration {
	if e == t.self {
		return 0
	}
	if e.spoke.IsZero() {
		return forgetAfter
	}
	return min(now.Sub(e.spoke), forgetAfter)
}

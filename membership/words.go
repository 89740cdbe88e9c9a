package membership

import (
	"sort"
	"time"

	"zinniapin/machine"
)

// StoreDown tells whether most of the known controllers, the silent ones
// included, say that they cannot reach the object API, and how old the newest
// word of so many is. The age is less what is usual in a mesh of this size,
// where beats come further apart. A few that are cut off together are no
// majority; and since the age counts from when a word came, also through a
// pause of this process, words from before a cut grow old.
func (t *Table) StoreDown(now time.Time) (age time.Duration, forMost bool) {
	var ages []time.Duration
	for _, m := range Controllers(t.Members(now), "") {
		if !m.StoreReachable {
			ages = append(ages, t.wordAge(t.entries[m.Process.Incarnation], now))
		}
	}
	needed := t.Known(now, machine.Controller)/2 + 1
	if len(ages) < needed {
		return 0, false
	}
	sort.Slice(ages, func(i, j int) bool { return ages[i] < ages[j] })
	return max(0, ages[needed-1]-addedAge(len(t.entries))), true
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

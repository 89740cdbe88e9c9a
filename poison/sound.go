package poison

import "time"

// soundParts holds when parts were last answered, for maxSound of them at most.
type soundParts map[Part]time.Time

// mark records that a part was answered at a time, and returns whether that is news.
func (s soundParts) mark(at time.Time, p Part) bool {
	if !at.After(s[p]) {
		return false
	}
	s[p] = at
	if len(s) > maxSound {
		s.drop(at)
	}
	return true
}

// drop forgets parts that were not answered within soundMemory, and others until a quarter is free, so that the
// next calls of mark need not look through all.
func (s soundParts) drop(now time.Time) {
	for p, at := range s {
		if now.Sub(at) > soundMemory {
			delete(s, p)
		}
	}
	for p := range s {
		if len(s) <= maxSound*3/4 {
			return
		}
		delete(s, p)
	}
}

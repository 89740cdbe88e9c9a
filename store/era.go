package store

// A store may come back from an older copy of itself. Revisions then go back and are given out again
// for other changes. So revisions carry an era, which rises each time: a later era's are higher than
// all of an earlier one's, and a revision of one era never equals one of another.

// eraShift is the number of bits of a revision below its era.
const eraShift = 48

// RevisionIn returns a revision of an era.
func RevisionIn(era, revision uint64) uint64 { return era<<eraShift | revision&(1<<eraShift-1) }

// EraOf returns the era of a revision; 0 if the store does not count eras.
func EraOf(revision uint64) uint64 { return revision >> eraShift }

// WithinEra returns a revision as the store numbers it within its era.
func WithinEra(revision uint64) uint64 { return revision & (1<<eraShift - 1) }

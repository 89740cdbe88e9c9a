package affinity

import (
	"slices"
	"time"
)

// Unfinished holds the streams of a host that the store is to hold: those that began lately, unless they were sent
// whole some time ago.
type Unfinished struct {
	records   map[uint64]Record
	ended     map[uint64]time.Time // when streams were sent whole
	unwritten map[uint64]bool      // those that the store does not hold yet
	addedAt   time.Time            // when a stream was last added
}

// endedTTL is how long a stream that was sent whole is held: its last bytes may be lost with the host.
const endedTTL = time.Second

// maxStoredStreams bounds the streams that the store holds for a host; the oldest are left out first.
const maxStoredStreams = 1 << 15

// NewUnfinished returns an empty set.
func NewUnfinished() *Unfinished {
	return &Unfinished{records: make(map[uint64]Record), ended: make(map[uint64]time.Time), unwritten: make(map[uint64]bool)}
}

// Add adds a stream.
func (u *Unfinished) Add(now time.Time, stream uint64, r Record) {
	u.records[stream], u.unwritten[stream], u.addedAt = r, true, now
}

// End notes that a stream was sent whole.
func (u *Unfinished) End(now time.Time, stream uint64) {
	if _, ok := u.records[stream]; ok {
		u.ended[stream] = now
	}
}

// Expire removes the streams that began before a moment, and those that have ended. The store goes on holding them until
// the next write.
func (u *Unfinished) Expire(now, from time.Time) {
	for stream, r := range u.records {
		ended, ok := u.ended[stream]
		if r.At.Before(from) || ok && now.Sub(ended) > endedTTL {
			delete(u.records, stream)
			delete(u.ended, stream)
			delete(u.unwritten, stream)
		}
	}
}

// Merge adds the streams that the store holds, of an earlier process of the host or of this one.
func (u *Unfinished) Merge(held StoredRecords) {
	held.All(func(stream uint64, r Record) {
		if _, ok := u.records[stream]; !ok {
			u.records[stream] = r
		}
	})
}

// HasUnwritten tells whether the store lacks a stream.
func (u *Unfinished) HasUnwritten() bool { return len(u.unwritten) > 0 }

// AddedBefore tells whether no stream was added since a moment.
func (u *Unfinished) AddedBefore(t time.Time) bool { return u.addedAt.Before(t) }

// Value returns what the store is to hold, and the streams in it that it lacks.
func (u *Unfinished) Value() (value StoredRecords, unwritten []uint64) {
	streams := make([]uint64, 0, len(u.records))
	for stream := range u.records {
		streams = append(streams, stream)
	}
	slices.SortFunc(streams, func(a, b uint64) int { return u.records[a].At.Compare(u.records[b].At) })
	for _, stream := range streams[max(0, len(streams)-maxStoredStreams):] {
		value.Add(stream, u.records[stream])
	}
	for stream := range u.unwritten {
		unwritten = append(unwritten, stream)
	}
	return value, unwritten
}

// Written notes that the store holds streams.
func (u *Unfinished) Written(streams []uint64) {
	for _, stream := range streams {
		delete(u.unwritten, stream)
	}
}

package affinity

import (
	"iter"
	"time"
)

// maxRecords bounds the records of a host; the oldest are dropped first.
const maxRecords = 1 << 16

// Record is the beginning of a stream.
type Record struct {
	Service, Version string
	Target           uint32    // key of the target that began it, which may have its prompt cached; 0 if unknown
	At               time.Time // when the stream began
	Ended            bool      // the stream was sent whole
}

// Records holds the beginnings of streams by key.
type Records struct {
	records map[uint64]Record
	order   []recorded // oldest first
}

// recorded is when a stream was recorded.
type recorded struct {
	stream uint64
	at     time.Time
}

// NewRecords returns an empty set of records.
func NewRecords() *Records { return &Records{records: make(map[uint64]Record)} }

// Put records a stream, which began now unless the record says otherwise. The first record of a stream stays.
func (r *Records) Put(now time.Time, stream uint64, record Record) {
	for len(r.order) > 0 && (now.Sub(r.order[0].at) > RecordTTL || len(r.order) >= maxRecords) {
		delete(r.records, r.order[0].stream)
		r.order = r.order[1:]
	}
	if _, ok := r.records[stream]; ok {
		return
	}
	if record.At.IsZero() {
		record.At = now
	}
	r.records[stream] = record
	r.order = append(r.order, recorded{stream, now})
}

// Get returns the record of a stream, and whether there is one.
func (r *Records) Get(stream uint64) (Record, bool) {
	record, ok := r.records[stream]
	return record, ok
}

// End notes that a stream was sent whole.
func (r *Records) End(stream uint64) {
	if record, ok := r.records[stream]; ok {
		record.Ended = true
		r.records[stream] = record
	}
}

// Since returns the streams of a service that were recorded since a moment and not sent whole.
func (r *Records) Since(service string, from time.Time) iter.Seq2[uint64, Record] {
	return func(yield func(uint64, Record) bool) {
		for _, o := range r.order {
			if record := r.records[o.stream]; record.Service == service && !record.Ended && !o.at.Before(from) && !yield(o.stream, record) {
				return
			}
		}
	}
}

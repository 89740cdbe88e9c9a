package affinity

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"time"
)

// StoredHistory is the form in which the store holds the history of a service's versions.
type StoredHistory struct {
	// SinceMillis is when the history begins, in milliseconds of Unix time.
	SinceMillis int64                 `json:"since_ms"`
	Versions    map[string]StoredSpan `json:"versions"`
}

// StoredSpan is the time during which targets of a version were listed, in milliseconds of Unix time;
// LastMillis is 0 while they are.
type StoredSpan struct {
	FirstMillis int64 `json:"first_ms"`
	LastMillis  int64 `json:"last_ms,omitempty"`
}

// Open tells whether some host lists the version.
func (s StoredSpan) Open() bool { return s.FirstMillis != 0 && s.LastMillis == 0 }

// historyTTL is how long a version that is not listed any more is remembered.
const historyTTL = 10 * time.Minute

// Merge takes in what the store holds of a service.
func (v *Versions) Merge(now time.Time, service string, stored StoredHistory) {
	if stored.SinceMillis <= 0 {
		return // no history
	}
	h := v.history(now, service)
	h.since = earlier(h.since, time.UnixMilli(stored.SinceMillis))
	for version, at := range stored.Versions {
		last := now // some host lists it, or it left while no host was there
		if at.LastMillis > 0 {
			last = earlier(now, time.UnixMilli(at.LastMillis))
		}
		s := h.versions[version]
		if s == nil {
			s = &span{first: time.UnixMilli(at.FirstMillis), last: last}
			h.versions[version] = s
		}
		s.first = earlier(s.first, time.UnixMilli(at.FirstMillis))
		if last.After(s.last) {
			s.last = last
		}
	}
}

// earlier returns the earlier one of two times.
func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Export returns what the store is to hold of a service, given what it holds and the versions in its
// list of targets, which was read later. It returns false if the store holds that already.
func (v *Versions) Export(now time.Time, service string, stored StoredHistory, listed map[string]bool) (StoredHistory, bool) {
	h := v.history(now, service)
	next := StoredHistory{SinceMillis: h.since.UnixMilli(), Versions: make(map[string]StoredSpan, len(h.versions))}
	differs := stored.SinceMillis <= 0
	for version, s := range h.versions {
		at := StoredSpan{FirstMillis: s.first.UnixMilli()}
		if !listed[version] {
			last := s.last
			if s.listed {
				last = now // in this host's own list, with which it begins streams
			}
			if now.Sub(last) > historyTTL {
				continue
			}
			at.LastMillis = max(last.UnixMilli(), 1)
		}
		held, ok := stored.Versions[version]
		differs = differs || !ok || held.Open() != listed[version]
		next.Versions[version] = at
	}
	return next, differs
}

// StoredRecords is the form in which the store holds the streams that a host began.
type StoredRecords struct {
	Groups []StoredGroup `json:"groups"`
}

// StoredGroup is the streams that began at one version within about a second.
type StoredGroup struct {
	// BegunMillis is when the first of them began, in milliseconds of Unix time.
	BegunMillis int64  `json:"begun_ms"`
	Service     string `json:"service"`
	Version     string `json:"version"`
	// Streams are the keys of the streams and of the targets that began them, streamBytes each, big endian.
	Streams []byte `json:"streams"`
}

const (
	// streamBytes is the size of a stream in a group, of which keyBytes are its key.
	streamBytes = 12
	keyBytes    = 8
	// groupTime is the time within which the streams of a group begin.
	groupTime = time.Second
)

// DecodeStoredRecords decodes what the store holds for a host.
func DecodeStoredRecords(value []byte) (StoredRecords, error) {
	var s StoredRecords
	if err := json.Unmarshal(value, &s); err != nil {
		return StoredRecords{}, fmt.Errorf("the records of streams cannot be read: %w", err)
	}
	return s, nil
}

// All calls a function with each stream, which began no later than its record says.
func (s *StoredRecords) All(f func(stream uint64, r Record)) {
	for _, g := range s.Groups {
		for b := g.Streams; len(b) >= streamBytes; b = b[streamBytes:] {
			f(binary.BigEndian.Uint64(b), Record{
				Service: g.Service, Version: g.Version, Target: binary.BigEndian.Uint32(b[keyBytes:]), At: time.UnixMilli(g.BegunMillis).Add(groupTime),
			})
		}
	}
}

// Newest returns when the newest group began; the zero time if there is none.
func (s *StoredRecords) Newest() time.Time {
	var newest time.Time
	for _, g := range s.Groups {
		if at := time.UnixMilli(g.BegunMillis); at.After(newest) {
			newest = at
		}
	}
	return newest
}

// Add adds a stream.
func (s *StoredRecords) Add(stream uint64, r Record) {
	for i := len(s.Groups) - 1; i >= 0; i-- {
		g := &s.Groups[i]
		if r.At.Sub(time.UnixMilli(g.BegunMillis)).Abs() < groupTime && g.Service == r.Service && g.Version == r.Version {
			g.add(stream, r.Target)
			return
		}
	}
	g := StoredGroup{BegunMillis: r.At.UnixMilli(), Service: r.Service, Version: r.Version}
	g.add(stream, r.Target)
	s.Groups = append(s.Groups, g)
}

// add adds a stream to the group.
func (g *StoredGroup) add(stream uint64, target uint32) {
	g.Streams = binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint64(g.Streams, stream), target)
}

package node

import (
	"time"

	"zinniapin/affinity"
	"zinniapin/dispatch"
	"zinniapin/roster"
)

// startMargin is the error of the time at which a target started, compared with that at which a stream began.
const startMargin = time.Second

// observeStarts takes in the versions and starts of the targets in a complete list. The caller holds mu.
func (s *streamVersions) observeStarts(all []roster.Target) {
	s.targets = make(map[uint32]roster.Target, len(all))
	for _, t := range all {
		s.targets[dispatch.KeyOf(t.ID)] = t
	}
}

// doubtful tells whether a record may name the wrong version: its target is listed at another one, and that
// incarnation may have begun the stream while it was still listed as the former one. The caller holds mu.
func (s *streamVersions) doubtful(r affinity.Record) bool {
	t, listed := s.targets[r.Target]
	if r.Target == 0 || !listed || t.Version == r.Version {
		return false
	}
	return t.StartedMillis == 0 || !time.UnixMilli(t.StartedMillis).After(r.At.Add(startMargin))
}

// Stands implements forward.StreamVersions.
func (s *streamVersions) Stands(request string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records.Get(affinity.KeyOf(request))
	return !ok || !s.doubtful(r)
}

// age returns how long ago a stream began, for notices.
func (s *streamVersions) age(r affinity.Record) uint64 {
	return uint64(max(s.node.clock.Now().Sub(r.At), 0).Milliseconds())
}

// begunAgo returns when a stream of that age began.
func (s *streamVersions) begunAgo(milliseconds uint64) time.Time {
	return s.node.clock.Now().Add(-time.Duration(milliseconds) * time.Millisecond)
}

package prepared

import (
	"net/http"
	"time"
)

// rate counts the calls of the current second.
type rate struct {
	second  int64
	calls   int
	most    int // in any second
	refused int
}

// take counts a call and tells whether it is within a limit; 0 is none.
func (r *rate) take(now time.Time, limit int) bool {
	if second := now.Unix(); second != r.second {
		r.second, r.calls = second, 0
	}
	r.calls++
	r.most = max(r.most, r.calls)
	if limit > 0 && r.calls > limit {
		r.refused++
		return false
	}
	return true
}

// withinRate counts a call and tells whether it is within its rate. The caller holds mu.
func (s *Store) withinRate(r *http.Request) bool {
	switch {
	case r.Method != http.MethodGet:
		return s.writes.take(time.Now(), s.switches.WritesPerS)
	case serializable(r):
		return true
	}
	return s.reads.take(time.Now(), s.switches.ReadsPerS)
}

// MostInASecond returns the most write and read calls that came in one second.
func (s *Store) MostInASecond() (writes, reads int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes.most, s.reads.most
}

// OverRate returns how many calls got status 429 for their rate.
func (s *Store) OverRate() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writes.refused + s.reads.refused
}

// serializable tells whether a read may return old data.
func serializable(r *http.Request) bool {
	return r.Method == http.MethodGet && r.URL.Query().Get("Serializable") == "1"
}

// staleObjects are what reads with Serializable return.
type staleObjects struct {
	objects  map[string]map[string]Object
	revision uint64
	at       time.Time
}

// view returns the objects for a read, and their revision. The caller holds mu.
func (s *Store) view(mayBeStale bool) (map[string]map[string]Object, uint64) {
	if !mayBeStale || s.switches.StaleBy == 0 {
		return s.objects, s.revision
	}
	if time.Since(s.stale.at) > s.switches.StaleBy {
		s.stale = staleObjects{cloneObjects(s.objects), s.revision, time.Now()}
	}
	return s.stale.objects, s.stale.revision
}

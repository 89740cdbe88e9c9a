// Package prepared stands in for the platform of the prepared machines in
// tests: its store, its targets and its duties, with switches for faults. It
// speaks the platform's protocol as far as tests need it.
package prepared

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Object is an object of the store.
type Object struct {
	Metadata struct {
		Name     string
		Revision uint64
	}
	Spec json.RawMessage
}

// change is one entry of the store's history.
type change struct {
	kind     string
	revision uint64
	object   Object
	deleted  bool
}

// Store is the platform's store.
type Store struct {
	server *httptest.Server

	mu       sync.Mutex
	objects  map[string]map[string]Object
	history  []change
	revision uint64
	oldest   uint64 // revisions before it are forgotten
	changed  chan struct{}
	down     bool
	silent   bool
	lose     int // writes to carry out without an answer
	calls    map[string]int
	closing  chan struct{}
}

// NewStore returns a running store.
func NewStore() *Store {
	s := &Store{objects: make(map[string]map[string]Object), revision: 1, changed: make(chan struct{}), calls: make(map[string]int), closing: make(chan struct{})}
	s.server = httptest.NewServer(http.HandlerFunc(s.serve))
	return s
}

// Address returns the store's IP:port.
func (s *Store) Address() string { return s.server.Listener.Addr().String() }

// Close ends the store.
func (s *Store) Close() {
	close(s.closing)
	s.server.CloseClientConnections()
	s.server.Close()
}

// SetDown makes the store refuse every call.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	s.down = down
	s.mu.Unlock()
	if down {
		s.server.CloseClientConnections()
	}
}

// SetSilent makes the store answer no call.
func (s *Store) SetSilent(silent bool) {
	s.mu.Lock()
	s.silent = silent
	s.mu.Unlock()
}

// LoseAnswers makes the next writes take effect without an answer.
func (s *Store) LoseAnswers(n int) {
	s.mu.Lock()
	s.lose = n
	s.mu.Unlock()
}

// Compact forgets the history.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.revision
	s.wake()
}

// Calls returns how often a method was called on a kind.
func (s *Store) Calls(method, kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[method+" "+kind]
}

// Write writes an object as the operator or a target does.
func (s *Store) Write(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // a mistake of the test
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, raw)
}

// Remove removes an object.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.history = append(s.history, change{kind, s.revision, o, true})
	s.wake()
}

// Read returns an object's content, or nil.
func (s *Store) Read(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[kind][name].Spec
}

// write writes an object. The caller holds mu.
func (s *Store) write(kind, name string, spec json.RawMessage) Object {
	var o Object
	s.revision++
	o.Metadata.Name, o.Metadata.Revision, o.Spec = name, s.revision, spec
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]Object)
	}
	s.objects[kind][name] = o
	s.history = append(s.history, change{kind, s.revision, o, false})
	s.wake()
	return o
}

// wake wakes all watches. The caller holds mu.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// serve answers one call.
func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	s.mu.Lock()
	s.calls[r.Method+" "+kind]++
	down, silent := s.down, s.silent
	s.mu.Unlock()
	if silent {
		s.hold(r)
		return
	}
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch {
	case r.Method == http.MethodGet && name != "":
		s.get(w, kind, name)
	case r.Method == http.MethodGet && r.URL.Query().Has("Watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, kind)
	default:
		s.put(w, r, kind, name)
	}
}

// hold keeps a call without an answer until its caller leaves.
func (s *Store) hold(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // the caller's leaving shows only after the body
	select {
	case <-r.Context().Done():
	case <-s.closing:
	}
}

// get answers with one object.
func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	answer(w, http.StatusOK, o)
}

// list answers with all objects of a kind.
func (s *Store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := make([]Object, 0, len(s.objects[kind]))
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	answer(w, http.StatusOK, map[string]any{"items": items, "HasMore": false, "CurrentRev": revision})
}

// watch answers with the changes after a revision as soon as there are any.
func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		events := []map[string]any{}
		s.mu.Lock()
		if after < s.oldest {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		for _, c := range s.history {
			if c.kind == kind && c.revision > after {
				events = append(events, map[string]any{"Object": c.object, "Deleted": c.deleted})
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		over := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timeout:
				over = true
			}
		}
		if over || len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "CurrentRev": revision})
			return
		}
	}
}

// put creates or replaces an object.
func (s *Store) put(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o Object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	held, exists := s.objects[kind][o.Metadata.Name]
	conflict := r.Method == http.MethodPost && exists ||
		r.Method == http.MethodPut && (!exists || o.Metadata.Revision != 0 && o.Metadata.Revision != held.Metadata.Revision)
	if conflict {
		s.mu.Unlock()
		answer(w, http.StatusConflict, held)
		return
	}
	if name == "" {
		name = o.Metadata.Name
	}
	written := s.write(kind, name, o.Spec)
	lost := s.lose > 0
	if lost {
		s.lose--
	}
	s.mu.Unlock()
	if lost {
		s.hold(r)
		return
	}
	answer(w, http.StatusOK, written)
}

// answer writes a JSON answer.
func answer(w http.ResponseWriter, status int, v any) {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err) // a mistake of the stand-in
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // the caller may be gone
}

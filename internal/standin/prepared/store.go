// Package prepared simulates the platform and the targets for which zinnia-node is built:
// the object store, the targets, and the server for usage reports and target orders. Tests
// inject faults. It implements the platform's protocol as far as tests need it.
package prepared

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Object is an object in the store.
type Object struct {
	Metadata struct {
		Name     string
		Revision uint64
	}
	Spec json.RawMessage
	// item is the object as WriteItem got it; empty for other objects.
	item string
}

// encode returns the object as answers hold it.
func (o Object) encode() []byte {
	if o.item != "" {
		return []byte(strings.NewReplacer("NAME", o.Metadata.Name, "REVISION", strconv.FormatUint(o.Metadata.Revision, 10)).Replace(o.item))
	}
	data, err := json.Marshal(o)
	if err != nil {
		panic(err) // the spec of other objects is valid
	}
	return data
}

// storeChange is one entry of the change history of the store, which watches read.
type storeChange struct {
	kind     string
	revision uint64
	object   Object
	deleted  bool
}

// Store is the simulated object store of the platform.
type Store struct {
	server *httptest.Server

	mu          sync.Mutex
	objects     map[string]map[string]Object // by kind and name
	history     []storeChange                // oldest first
	revision    uint64                       // of the last change
	compactedTo uint64                       // the history holds only changes after this revision
	changed     chan struct{}                // closed and replaced to wake watches
	switches    StoreSwitches
	setTimes    int // how often Change was called, which ends the compactions of earlier switches
	random      *rand.Rand
	calls       map[string]int // by method and kind of object, separated by a blank
	closing     chan struct{}
	era         uint64 // in the answers' Store-Era header, unless it is 0
	copy        storeCopy
}

// storeCopy is a copy of the store's contents.
type storeCopy struct {
	objects  map[string]map[string]Object
	revision uint64
}

// NewStore starts a store on loopback and returns it.
func NewStore() *Store {
	s := &Store{objects: make(map[string]map[string]Object), revision: 1, changed: make(chan struct{}), calls: make(map[string]int), random: newRandom("store"), closing: make(chan struct{})}
	s.server = httptest.NewServer(http.HandlerFunc(s.serve))
	return s
}

// Address returns the store's IP:port.
func (s *Store) Address() string { return s.server.Listener.Addr().String() }

// Close stops the store.
func (s *Store) Close() {
	close(s.closing)
	s.server.CloseClientConnections()
	s.server.Close()
}

// Compact drops the change history. A watch that needs a dropped change gets status 410.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.compactedTo = nil, s.revision
	s.wakeWatches()
}

// CountEras makes the store tell its era, which begins at 1.
func (s *Store) CountEras() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = 1
}

// TakeCopy takes a copy of the contents, to which Restore goes back.
func (s *Store) TakeCopy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copy = storeCopy{cloneObjects(s.objects), s.revision}
}

// cloneObjects returns a copy of objects by kind and name.
func cloneObjects(objects map[string]map[string]Object) map[string]map[string]Object {
	clone := make(map[string]map[string]Object, len(objects))
	for kind, all := range objects {
		clone[kind] = maps.Clone(all)
	}
	return clone
}

// Restore makes the store come back from the latest copy: changes since are lost, revisions go back
// and the era rises. Waiting watches are cut off.
func (s *Store) Restore() {
	s.mu.Lock()
	s.objects, s.revision = cloneObjects(s.copy.objects), s.copy.revision
	s.history, s.compactedTo = nil, s.revision
	s.era++
	s.wakeWatches()
	s.mu.Unlock()
	s.server.CloseClientConnections()
}

// Calls returns how many calls with an HTTP method there were for a kind of objects.
func (s *Store) Calls(method, kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[method+" "+kind]
}

// Write writes an object without a condition, as the operator or a target does.
func (s *Store) Write(kind, name string, spec any) {
	raw, err := json.Marshal(spec)
	if err != nil {
		panic(err) // a test passed a value that JSON cannot encode
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, Object{Spec: raw}, name)
}

// WriteItem writes an object that answers hold as the given bytes, of which the store checks nothing. NAME
// and REVISION stand for its name and its revision.
func (s *Store) WriteItem(kind, name, item string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, Object{Spec: json.RawMessage("null"), item: item}, name)
}

// Remove deletes an object if it exists.
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
	s.history = append(s.history, storeChange{kind, s.revision, o, true})
	s.wakeWatches()
}

// Read returns an object's spec, or nil if there is no such object.
func (s *Store) Read(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[kind][name].Spec
}

// write writes an object at a new revision. The caller holds mu.
func (s *Store) write(kind string, o Object, name string) Object {
	s.revision++
	o.Metadata.Name, o.Metadata.Revision = name, s.revision
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]Object)
	}
	s.objects[kind][name] = o
	s.history = append(s.history, storeChange{kind, s.revision, o, false})
	s.wakeWatches()
	return o
}

// wakeWatches wakes all waiting watches. The caller holds mu.
func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// serve handles one HTTP call.
func (s *Store) serve(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	s.mu.Lock()
	s.calls[r.Method+" "+kind]++
	switches, era := s.switches, s.era
	refused := s.random.Float64() < switches.RefuseShare
	s.mu.Unlock()
	if era > 0 {
		w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
	}
	switch {
	case switches.Silent:
		s.holdUnanswered(r)
		return
	case switches.Down:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case refused:
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	time.Sleep(switches.Delay)
	switch {
	case r.Method == http.MethodGet && name != "":
		s.get(w, kind, name)
	case r.Method == http.MethodGet && r.URL.Query().Has("Watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, kind, r.URL.Query().Get("after"), switches.PageSize)
	default:
		s.put(w, r, kind, name)
	}
}

// holdUnanswered keeps a call open without an answer until its caller disconnects or the
// store is closed.
func (s *Store) holdUnanswered(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // the server detects a disconnect only after the body is read
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
	reply(w, http.StatusOK, o.encode())
}

// list answers with the objects of a kind whose names are higher than one, sorted by name; with those of
// one page if pages have a size.
func (s *Store) list(w http.ResponseWriter, kind, after string, pageSize int) {
	s.mu.Lock()
	items := make([]Object, 0, len(s.objects[kind]))
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	more := pageSize > 0 && len(items) > pageSize
	if more {
		items = items[:pageSize]
	}
	encoded := make([][]byte, 0, len(items))
	for _, o := range items {
		encoded = append(encoded, o.encode())
	}
	reply(w, http.StatusOK, fmt.Appendf(nil, `{"items":[%s],"HasMore":%t,"CurrentRev":%d}`, bytes.Join(encoded, []byte(",")), more, revision))
}

// watch answers with the changes of a kind after a revision, as soon as there are any;
// with none when the wait time is over; with status 410 if the history does not reach back
// to that revision.
func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	waitMillis, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	timeout := time.After(time.Duration(waitMillis) * time.Millisecond)
	cut := s.watchLimit()
	for {
		var events [][]byte
		s.mu.Lock()
		if after < s.compactedTo || after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		for _, c := range s.history {
			if c.kind == kind && c.revision > after {
				events = append(events, fmt.Appendf(nil, `{"Object":%s,"Deleted":%t}`, c.object.encode(), c.deleted))
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		timedOut := false
		if len(events) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-cut:
				panic(http.ErrAbortHandler) // closes the connection without an answer
			case <-timeout:
				timedOut = true
			}
		}
		if timedOut || len(events) > 0 {
			reply(w, http.StatusOK, fmt.Appendf(nil, `{"events":[%s],"CurrentRev":%d}`, bytes.Join(events, []byte(",")), revision))
			return
		}
	}
}

// put creates an object (POST) or replaces one (PUT). It answers 409 if the object to
// create exists, or if the one to replace is missing or has another revision than the call
// states.
func (s *Store) put(w http.ResponseWriter, r *http.Request, kind, name string) {
	var o Object
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if by, late := s.nextLate(); late {
		time.AfterFunc(by, func() { s.apply(r.Method, kind, name, o) })
		s.holdUnanswered(r)
		return
	}
	result, status, lost := s.apply(r.Method, kind, name, o)
	if lost {
		s.holdUnanswered(r)
		return
	}
	reply(w, status, result.encode())
}

// apply carries out a write if its condition holds. It returns the object, the status of the answer and
// whether the answer is lost.
func (s *Store) apply(method, kind, name string, o Object) (result Object, status int, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.objects[kind][o.Metadata.Name]
	conflict := method == http.MethodPost && exists ||
		method == http.MethodPut && (!exists || o.Metadata.Revision != 0 && o.Metadata.Revision != current.Metadata.Revision)
	if conflict {
		return current, http.StatusConflict, false
	}
	if name == "" {
		name = o.Metadata.Name
	}
	lost = s.switches.AnswersToLose > 0 || s.random.Float64() < s.switches.LoseShare
	if s.switches.AnswersToLose > 0 {
		s.switches.AnswersToLose--
	}
	return s.write(kind, Object{Spec: o.Spec}, name), http.StatusOK, lost
}

// reply writes a response with a JSON body.
func reply(w http.ResponseWriter, status int, data []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // the caller may have disconnected
}

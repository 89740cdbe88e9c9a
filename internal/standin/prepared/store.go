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
	Metadata Metadata
	Spec     json.RawMessage
	Status   json.RawMessage
	// item is the object as WriteItem got it; empty for other objects.
	item string
}

// Metadata is the metadata of an object. Created is the revision at which it was created.
type Metadata struct {
	Name       string
	Revision   uint64
	Created    uint64
	Finalizers []string
	Deleting   bool
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
	writes      rate
	reads       rate
	stale       staleObjects
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
	o := s.objects[kind][name]
	o.Spec, o.item = raw, ""
	s.write(kind, name, o)
}

// WriteItem writes an object that answers hold as the given bytes, of which the store checks nothing. NAME
// and REVISION stand for its name and its revision.
func (s *Store) WriteItem(kind, name, item string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, Object{Spec: json.RawMessage("null"), item: item})
}

// Remove deletes an object if it exists.
func (s *Store) Remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.objects[kind][name]; ok {
		s.remove(kind, name)
	}
}

// Read returns an object's spec, or nil if there is no such object.
func (s *Store) Read(kind, name string) json.RawMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[kind][name].Spec
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
	refused := s.random.Float64() < switches.RefuseShare || !s.withinRate(r)
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
		s.get(w, kind, name, serializable(r))
	case r.Method == http.MethodGet && r.URL.Query().Has("Watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet:
		s.list(w, kind, r.URL.Query().Get("after"), switches.PageSize, serializable(r))
	default:
		s.change(w, r, kind, name)
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
func (s *Store) get(w http.ResponseWriter, kind, name string, mayBeStale bool) {
	s.mu.Lock()
	objects, _ := s.view(mayBeStale)
	o, ok := objects[kind][name]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, o.encode())
}

// list answers with a page of the objects of a kind whose names are higher than one, sorted by name.
func (s *Store) list(w http.ResponseWriter, kind, after string, pageSize int, mayBeStale bool) {
	if pageSize == 0 {
		pageSize = maxPageItems
	}
	s.mu.Lock()
	objects, revision := s.view(mayBeStale)
	items := make([]Object, 0, len(objects[kind]))
	for name, o := range objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	s.mu.Unlock()
	sort.Slice(items, func(i, j int) bool { return items[i].Metadata.Name < items[j].Metadata.Name })
	encoded, size := make([][]byte, 0, min(len(items), pageSize)), 0
	for _, o := range items {
		item := o.encode()
		if len(encoded) == pageSize || len(encoded) > 0 && size+len(item) > maxPageBytes {
			break
		}
		encoded, size = append(encoded, item), size+len(item)
	}
	reply(w, http.StatusOK, fmt.Appendf(nil, `{"items":[%s],"HasMore":%t,"CurrentRev":%d}`, bytes.Join(encoded, []byte(",")), len(encoded) < len(items), revision))
}

// watch answers with the changes of a kind after a revision, as soon as there are any;
// with none when the wait time is over; with status 410 if the history does not reach back
// to that revision.
func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("Watch"), 10, 64)
	waitMillis, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	timeout := time.After(min(time.Duration(waitMillis)*time.Millisecond, maxWatchWait))
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

// reply writes a response with a JSON body.
func reply(w http.ResponseWriter, status int, data []byte) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // the caller may have disconnected
}

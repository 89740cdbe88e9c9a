package prepared

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// maxPageItems and maxPageBytes bound a page of a list.
	maxPageItems, maxPageBytes = 500, 1 << 20
	// maxValueBytes bounds the spec or status of an object.
	maxValueBytes = 1 << 20
	// statusPath follows the name in the path of a call that replaces the status alone.
	statusPath = "/status"
	// maxWatchWait bounds the wait of a watch.
	maxWatchWait = 30 * time.Second
)

// changeCall is a call that changes one object.
type changeCall struct {
	method, kind, name string
	status             bool   // it replaces the status alone
	revision           uint64 // its condition; 0 if it states none
	object             Object
}

// change creates an object (POST), replaces its spec and finalizers or its status (PUT), or removes it
// (DELETE).
func (s *Store) change(w http.ResponseWriter, r *http.Request, kind, name string) {
	call := changeCall{method: r.Method, kind: kind}
	call.name, call.status = strings.CutSuffix(name, statusPath)
	body, err := io.ReadAll(io.LimitReader(r.Body, 2*maxValueBytes+1))
	if err != nil || len(body) > 0 && json.Unmarshal(body, &call.object) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	call.revision = call.object.Metadata.Revision
	if q := r.URL.Query().Get("Revision"); q != "" {
		if call.revision, err = strconv.ParseUint(q, 10, 64); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if call.name == "" {
		call.name = call.object.Metadata.Name
	}
	switch {
	case call.method != http.MethodPost && call.method != http.MethodPut && call.method != http.MethodDelete:
		w.WriteHeader(http.StatusMethodNotAllowed)
		return
	case call.name == "" || call.method != http.MethodDelete && len(body) == 0:
		w.WriteHeader(http.StatusBadRequest)
		return
	case len(call.object.Spec) > maxValueBytes || len(call.object.Status) > maxValueBytes:
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	if by, late := s.nextLate(); late {
		time.AfterFunc(by, func() { s.apply(call) })
		s.holdUnanswered(r)
		return
	}
	result, status, lost := s.apply(call)
	if lost {
		s.holdUnanswered(r)
		return
	}
	if status == http.StatusNotFound {
		w.WriteHeader(status)
		return
	}
	reply(w, status, result.encode())
}

// apply carries out a change if its condition holds. It returns the object, the status of the answer and
// whether the answer is lost.
func (s *Store) apply(call changeCall) (result Object, status int, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.objects[call.kind][call.name]
	switch {
	case call.method == http.MethodPost && exists:
		return current, http.StatusConflict, false
	case call.method != http.MethodPost && !exists:
		return Object{}, http.StatusNotFound, false
	case call.method != http.MethodPost && call.revision != 0 && call.revision != current.Metadata.Revision:
		return current, http.StatusConflict, false
	}
	lost = s.switches.AnswersToLose > 0 || s.random.Float64() < s.switches.LoseShare
	if s.switches.AnswersToLose > 0 {
		s.switches.AnswersToLose--
	}
	if call.method == http.MethodDelete {
		return s.delete(call.kind, current), http.StatusOK, lost
	}
	next := current
	next.item = ""
	if call.status {
		next.Status = call.object.Status
	} else {
		next.Spec, next.Metadata.Finalizers = call.object.Spec, call.object.Metadata.Finalizers
	}
	if exists && sameObject(current, next) {
		return current, http.StatusOK, lost
	}
	if next.Metadata.Deleting && len(next.Metadata.Finalizers) == 0 {
		return s.remove(call.kind, call.name), http.StatusOK, lost
	}
	return s.write(call.kind, call.name, next), http.StatusOK, lost
}

// serversKind is the kind whose objects are removed regardless of their finalizers.
const serversKind = "servers"

// delete removes an object, or marks it while it has finalizers. The caller holds mu.
func (s *Store) delete(kind string, o Object) Object {
	if len(o.Metadata.Finalizers) == 0 || kind == serversKind {
		return s.remove(kind, o.Metadata.Name)
	}
	if o.Metadata.Deleting {
		return o
	}
	o.Metadata.Deleting = true
	return s.write(kind, o.Metadata.Name, o)
}

// sameObject tells whether a replacement changes nothing.
func sameObject(a, b Object) bool {
	return bytes.Equal(a.Spec, b.Spec) && bytes.Equal(a.Status, b.Status) && slices.Equal(a.Metadata.Finalizers, b.Metadata.Finalizers)
}

// write writes an object at a new revision. The caller holds mu.
func (s *Store) write(kind, name string, o Object) Object {
	s.revision++
	o.Metadata.Name, o.Metadata.Revision = name, s.revision
	if o.Metadata.Finalizers == nil {
		o.Metadata.Finalizers = []string{}
	}
	if o.Metadata.Created == 0 {
		o.Metadata.Created = s.revision
	}
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]Object)
	}
	s.objects[kind][name] = o
	s.history = append(s.history, storeChange{kind, s.revision, o, false})
	s.wakeWatches()
	return o
}

// remove removes an object that exists. The caller holds mu.
func (s *Store) remove(kind, name string) Object {
	o := s.objects[kind][name]
	delete(s.objects[kind], name)
	s.revision++
	o.Metadata.Revision = s.revision
	s.history = append(s.history, storeChange{kind, s.revision, o, true})
	s.wakeWatches()
	return o
}

// Edit replaces the specs of objects of a kind, as other writers do; one that is returned unchanged stays.
func (s *Store) Edit(kind string, edit func(name string, spec json.RawMessage) json.RawMessage) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, o := range s.objects[kind] {
		if next := edit(name, o.Spec); !bytes.Equal(next, o.Spec) {
			o.Spec, o.item = next, ""
			s.write(kind, name, o)
		}
	}
}

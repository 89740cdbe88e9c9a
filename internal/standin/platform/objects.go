package platform

import (
	"errors"
	"io"
	"net/http"
	"strconv"

	"zinniapin/store"
	"zinniapin/store/httpstore"
)

// purpose returns the purpose that a call states in its header, PurposeStatus if it states
// none.
func purpose(r *http.Request) store.Purpose {
	p, err := strconv.Atoi(r.Header.Get(httpstore.PurposeHeader))
	if err != nil {
		return store.PurposeStatus
	}
	return store.Purpose(p)
}

// getObject answers GET for one object, a list (parameter prefix) or a watch (parameter
// after).
func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if query.Has("prefix") {
		s.listObjects(w, r, query.Get("prefix"))
		return
	}
	key := query.Get("key")
	var object store.Object
	var err error
	if query.Has("after") {
		after := httpstore.ParseVersion(query.Get("after"))
		object, err = s.Objects.Watch(r.Context(), purpose(r), key, after)
	} else {
		object, err = s.Objects.Get(r.Context(), purpose(r), key)
	}
	if err != nil {
		replyStoreError(w, err)
		return
	}
	setETag(w, object.Version)
	_, _ = w.Write(object.Value)
}

// listObjects answers with the objects whose keys begin with a prefix.
func (s *Server) listObjects(w http.ResponseWriter, r *http.Request, prefix string) {
	objects, err := s.Objects.List(r.Context(), purpose(r), prefix)
	if err != nil {
		replyStoreError(w, err)
		return
	}
	wire := make([]httpstore.Object, len(objects))
	for i, o := range objects {
		wire[i] = httpstore.Object(o)
	}
	reply(w, http.StatusOK, wire)
}

// condition returns the version that a conditional update requires, and false if the call
// states no condition.
func condition(r *http.Request) (store.Version, bool) {
	if r.Header.Get("If-None-Match") == "*" {
		return store.Absent, true
	}
	v := httpstore.ParseVersion(r.Header.Get("If-Match"))
	return v, v != store.Absent
}

// putObject answers a conditional update.
func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	ifVersion, ok := condition(r)
	if !ok {
		reply(w, http.StatusPreconditionRequired, httpstore.Refusal{Refused: true})
		return
	}
	value, err := io.ReadAll(io.LimitReader(r.Body, maxObjectBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	version, err := s.Objects.Put(r.Context(), purpose(r), r.URL.Query().Get("key"), value, ifVersion)
	if err != nil {
		replyStoreError(w, err)
		return
	}
	setETag(w, version)
	w.WriteHeader(http.StatusOK)
}

// deleteObject answers a conditional delete.
func (s *Server) deleteObject(w http.ResponseWriter, r *http.Request) {
	ifVersion, ok := condition(r)
	if !ok {
		reply(w, http.StatusPreconditionRequired, httpstore.Refusal{Refused: true})
		return
	}
	err := s.Objects.Delete(r.Context(), purpose(r), r.URL.Query().Get("key"), ifVersion)
	if err != nil {
		replyStoreError(w, err)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// setETag sets the ETag header to a version.
func setETag(w http.ResponseWriter, v store.Version) {
	w.Header().Set("ETag", `"`+httpstore.FormatVersion(v)+`"`)
}

// replyStoreError writes the reply for an error of the store. For an update with an
// unknown outcome it aborts the connection without a reply.
func replyStoreError(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, store.ErrNotFound):
		w.WriteHeader(http.StatusNotFound)
	case errors.Is(err, store.ErrConflict):
		w.WriteHeader(http.StatusPreconditionFailed)
	case errors.Is(err, store.ErrTooLarge):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case errors.Is(err, store.ErrUnavailable):
		reply(w, http.StatusServiceUnavailable, httpstore.Refusal{Refused: true})
	default:
		panic(http.ErrAbortHandler)
	}
}

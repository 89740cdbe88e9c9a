// Package httpstore speaks the HTTP form of the object API. It is the only
// package that knows that form.
package httpstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"zinniapin/internal/oncehttp"
	"zinniapin/store"
)

// Bounds of calls.
const (
	// watchTimeout bounds a waiting watch; the object API ends it earlier.
	watchTimeout = 45 * time.Second
	// idleConns is the number of idle connections kept.
	idleConns = 16
	// maxReasonBytes bounds the body of a refusal.
	maxReasonBytes = 4 << 10
)

// Store implements store.Store over HTTP. It is safe for concurrent use.
type Store struct {
	base    string
	timeout time.Duration
	http    *oncehttp.Client
}

var _ store.Store = (*Store)(nil)

// New returns a store at a base URL. The timeout bounds one call other than a
// watch.
func New(base string, timeout time.Duration) *Store {
	return &Store{
		base:    strings.TrimSuffix(base, "/") + Path,
		timeout: timeout,
		http:    oncehttp.New(timeout, idleConns),
	}
}

// Close drops idle connections.
func (s *Store) Close() {
	s.http.Close()
}

// reply is a whole answer.
type reply struct {
	status  int
	version store.Version
	body    []byte
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, p store.Purpose, key string) (store.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	r, err := s.call(ctx, http.MethodGet, p, url.Values{"key": {key}}, nil, nil)
	if err != nil {
		return store.Object{}, err
	}
	return r.object(key)
}

// Put implements store.Store.
func (s *Store) Put(ctx context.Context, p store.Purpose, key string, value []byte, ifVersion store.Version) (store.Version, error) {
	if len(value) > store.MaxValueBytes {
		return store.Absent, store.ErrTooLarge
	}
	if value == nil {
		value = []byte{}
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	r, err := s.call(ctx, http.MethodPut, p, url.Values{"key": {key}}, condition(ifVersion), value)
	if err != nil {
		return store.Absent, err
	}
	if err := r.err(); err != nil {
		return store.Absent, err
	}
	if r.version == store.Absent {
		return store.Absent, fmt.Errorf("%w: the answer has no version", store.ErrUnknown)
	}
	return r.version, nil
}

// Delete implements store.Store.
func (s *Store) Delete(ctx context.Context, p store.Purpose, key string, ifVersion store.Version) error {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	r, err := s.call(ctx, http.MethodDelete, p, url.Values{"key": {key}}, condition(ifVersion), nil)
	if err != nil {
		return err
	}
	return r.err()
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, p store.Purpose, prefix string) ([]store.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	r, err := s.call(ctx, http.MethodGet, p, url.Values{"prefix": {prefix}}, nil, nil)
	if err != nil {
		return nil, err
	}
	if err := r.err(); err != nil {
		return nil, err
	}
	var wire []Object
	if err := json.Unmarshal(r.body, &wire); err != nil {
		return nil, fmt.Errorf("%w: %w", store.ErrUnknown, err)
	}
	objects := make([]store.Object, len(wire))
	for i, o := range wire {
		objects[i] = store.Object(o)
	}
	return objects, nil
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, p store.Purpose, key string, after store.Version) (store.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	query := url.Values{"key": {key}, "after": {FormatVersion(after)}}
	r, err := s.call(ctx, http.MethodGet, p, query, nil, nil)
	if err != nil {
		return store.Object{}, err
	}
	return r.object(key)
}

// condition returns the header of a conditional update.
func condition(v store.Version) http.Header {
	if v == store.Absent {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {`"` + FormatVersion(v) + `"`}}
}

// FormatVersion returns the decimal form of a version.
func FormatVersion(v store.Version) string {
	return strconv.FormatUint(uint64(v), 10)
}

// ParseVersion reads a version from a decimal number, with or without the
// quotes of an entity tag. Anything else is store.Absent.
func ParseVersion(text string) store.Version {
	v, err := strconv.ParseUint(strings.Trim(text, `"`), 10, 64)
	if err != nil {
		return store.Absent
	}
	return store.Version(v)
}

// call sends a call and reads its whole answer. The error is
// store.ErrUnavailable when nothing was sent and store.ErrUnknown otherwise.
func (s *Store) call(ctx context.Context, method string, p store.Purpose, query url.Values, header http.Header, body []byte) (*reply, error) {
	if header == nil {
		header = http.Header{}
	}
	header.Set(PurposeHeader, strconv.Itoa(int(p)))
	response, sent, err := s.http.Do(ctx, method, s.base+"?"+query.Encode(), header, body)
	if err != nil && !sent {
		return nil, fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", store.ErrUnknown, err)
	}
	defer func() { _ = response.Body.Close() }()
	r := &reply{status: response.StatusCode, version: ParseVersion(response.Header.Get("ETag"))}
	r.body, err = readBounded(response.Body, bound(query, response.StatusCode))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", store.ErrUnknown, err)
	}
	return r, nil
}

// bound returns the largest body of an answer, in bytes.
func bound(query url.Values, status int) int64 {
	switch {
	case status != http.StatusOK:
		return maxReasonBytes
	case query.Has("prefix"):
		return MaxListBytes
	default:
		return store.MaxValueBytes
	}
}

// errLongBody means that an answer exceeds its bound.
var errLongBody = errors.New("httpstore: answer too long")

// readBounded reads a body that must not exceed limit bytes.
func readBounded(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, errLongBody
	}
	return data, nil
}

// err returns the error that the answer stands for, or nil. A status 503
// without the API's own refusal may come from something in between, after the
// call took effect.
func (r *reply) err() error {
	switch r.status {
	case http.StatusOK, http.StatusNoContent:
		return nil
	case http.StatusNotFound:
		return store.ErrNotFound
	case http.StatusPreconditionFailed:
		return store.ErrConflict
	case http.StatusRequestEntityTooLarge:
		return store.ErrTooLarge
	case http.StatusTooManyRequests:
		return fmt.Errorf("%w: too many calls", store.ErrUnavailable)
	}
	var refusal Refusal
	if json.Unmarshal(r.body, &refusal) == nil && refusal.Refused {
		return fmt.Errorf("%w: refused", store.ErrUnavailable)
	}
	return fmt.Errorf("%w: status %d", store.ErrUnknown, r.status)
}

// object returns the object that the answer holds.
func (r *reply) object(key string) (store.Object, error) {
	if err := r.err(); err != nil {
		return store.Object{}, err
	}
	if r.version == store.Absent {
		return store.Object{}, fmt.Errorf("%w: the answer has no version", store.ErrUnknown)
	}
	return store.Object{Key: key, Version: r.version, Value: r.body}, nil
}

// Package httpstore implements store.Store over the HTTP form of the object API. No
// other package depends on that form.
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
	// watchTimeout bounds a watch; the object API normally ends it earlier.
	watchTimeout = 45 * time.Second
	// maxIdleConns is the number of idle connections kept.
	maxIdleConns = 16
	// maxRefusalBytes bounds the body of a response with a status other than 200.
	maxRefusalBytes = 4 << 10
)

// Store implements store.Store over HTTP. It is safe for concurrent use.
type Store struct {
	baseURL string
	timeout time.Duration
	http    *oncehttp.Client
}

var _ store.Store = (*Store)(nil)

// New returns a store for the object API at a base URL. The timeout bounds each call
// other than a watch.
func New(base string, timeout time.Duration) *Store {
	return &Store{
		baseURL: strings.TrimSuffix(base, "/") + Path,
		timeout: timeout,
		http:    oncehttp.New(oncehttp.Options{DialTimeout: timeout, Idle: maxIdleConns}),
	}
}

// Close closes idle connections.
func (s *Store) Close() {
	s.http.Close()
}

// fullResponse is a response that has been read completely.
type fullResponse struct {
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
	r, err := s.call(ctx, http.MethodPut, p, url.Values{"key": {key}}, conditionHeader(ifVersion), value)
	if err != nil {
		return store.Absent, err
	}
	if err := r.statusError(); err != nil {
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
	r, err := s.call(ctx, http.MethodDelete, p, url.Values{"key": {key}}, conditionHeader(ifVersion), nil)
	if err != nil {
		return err
	}
	return r.statusError()
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, p store.Purpose, prefix string) ([]store.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	r, err := s.call(ctx, http.MethodGet, p, url.Values{"prefix": {prefix}}, nil, nil)
	if err != nil {
		return nil, err
	}
	if err := r.statusError(); err != nil {
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

// conditionHeader returns the header for an update on condition of a version.
func conditionHeader(v store.Version) http.Header {
	if v == store.Absent {
		return http.Header{"If-None-Match": {"*"}}
	}
	return http.Header{"If-Match": {`"` + FormatVersion(v) + `"`}}
}

// FormatVersion returns the decimal form of a version.
func FormatVersion(v store.Version) string {
	return strconv.FormatUint(uint64(v), 10)
}

// ParseVersion parses a decimal version, with or without the quotes of an entity tag. It
// returns store.Absent for invalid text.
func ParseVersion(text string) store.Version {
	v, err := strconv.ParseUint(strings.Trim(text, `"`), 10, 64)
	if err != nil {
		return store.Absent
	}
	return store.Version(v)
}

// call makes a call and reads the whole response. The error is store.ErrUnavailable if
// nothing was sent and store.ErrUnknown otherwise.
func (s *Store) call(ctx context.Context, method string, p store.Purpose, query url.Values, header http.Header, body []byte) (*fullResponse, error) {
	if header == nil {
		header = http.Header{}
	}
	header.Set(PurposeHeader, strconv.Itoa(int(p)))
	response, sent, err := s.http.Do(ctx, method, s.baseURL+"?"+query.Encode(), header, body)
	if err != nil && !sent {
		return nil, fmt.Errorf("%w: %w", store.ErrUnavailable, err)
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", store.ErrUnknown, err)
	}
	defer func() { _ = response.Body.Close() }()
	r := &fullResponse{status: response.StatusCode, version: ParseVersion(response.Header.Get("ETag"))}
	r.body, err = readBounded(response.Body, maxBodyBytes(query, response.StatusCode))
	if err != nil {
		return nil, fmt.Errorf("%w: %w", store.ErrUnknown, err)
	}
	return r, nil
}

// maxBodyBytes returns the largest body of a response, in bytes.
func maxBodyBytes(query url.Values, status int) int64 {
	switch {
	case status != http.StatusOK:
		return maxRefusalBytes
	case query.Has("prefix"):
		return MaxListBytes
	default:
		return store.MaxValueBytes
	}
}

// errBodyTooLong means that the body of a response exceeds its limit.
var errBodyTooLong = errors.New("httpstore: answer too long")

// readBounded reads a body and fails if it exceeds limit bytes.
func readBounded(body io.Reader, limit int64) ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, errBodyTooLong
	}
	return data, nil
}

// statusError returns the error for the response's status, or nil. A status 503 without
// a Refusal as its body is ErrUnknown, because a proxy may have sent it after the call
// took effect.
func (r *fullResponse) statusError() error {
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

// object returns the object that the response contains.
func (r *fullResponse) object(key string) (store.Object, error) {
	if err := r.statusError(); err != nil {
		return store.Object{}, err
	}
	if r.version == store.Absent {
		return store.Object{}, fmt.Errorf("%w: the answer has no version", store.ErrUnknown)
	}
	return store.Object{Key: key, Version: r.version, Value: r.body}, nil
}

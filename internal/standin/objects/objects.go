// Package objects is a stand-in for the platform's object API, held in
// memory, with faults that tests inject.
package objects

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"zinniapin/store"
)

// Operation is a kind of call.
type Operation string

// Operations of the object API.
const (
	Get    Operation = "get"
	Put    Operation = "put"
	Delete Operation = "delete"
	List   Operation = "list"
	Watch  Operation = "watch"
)

// Verdict is what a fault does to a call.
type Verdict int

// Verdicts of faults.
const (
	// Pass lets the call through.
	Pass Verdict = iota
	// Refuse answers store.ErrUnavailable; nothing takes effect.
	Refuse
	// LoseAnswer lets an update take effect and answers store.ErrUnknown.
	LoseAnswer
	// LoseRequest answers store.ErrUnknown; nothing takes effect.
	LoseRequest
	// Late answers store.ErrUnknown; the update takes effect when the test
	// calls DeliverLate, if its condition still holds then.
	Late
)

// Fault decides what happens to a call. It may block, which delays the call.
type Fault func(op Operation, key string) Verdict

// maxWatch bounds how long a watch waits for news.
const maxWatch = 30 * time.Second

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	objects map[string]store.Object
	last    map[string]store.Version // of deleted objects too
	changed chan struct{}            // closed and replaced by each update
	late    []func()
	fault   Fault
	calls   map[store.Purpose]int
}

// New returns an empty store without faults.
func New() *Store {
	return &Store{
		objects: map[string]store.Object{},
		last:    map[string]store.Version{},
		changed: make(chan struct{}),
		calls:   map[store.Purpose]int{},
	}
}

var _ store.Store = (*Store)(nil)

// SetFault sets the fault for calls from now on; nil means none.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns the number of calls so far by purpose.
func (s *Store) Calls() map[store.Purpose]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[store.Purpose]int, len(s.calls))
	for p, n := range s.calls {
		counts[p] = n
	}
	return counts
}

// DeliverLate lets every late update take effect whose condition still holds.
func (s *Store) DeliverLate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	late := s.late
	s.late = nil
	for _, apply := range late {
		apply()
	}
}

// judge counts a call and asks the fault about it.
func (s *Store) judge(p store.Purpose, op Operation, key string) Verdict {
	s.mu.Lock()
	s.calls[p]++
	fault := s.fault
	s.mu.Unlock()
	if fault == nil {
		return Pass
	}
	return fault(op, key)
}

// readError returns the error of a read under a verdict, or nil.
func readError(v Verdict) error {
	switch v {
	case Pass:
		return nil
	case Refuse:
		return store.ErrUnavailable
	default:
		return store.ErrUnknown
	}
}

// Get implements store.Store.
func (s *Store) Get(ctx context.Context, p store.Purpose, key string) (store.Object, error) {
	if err := readError(s.judge(p, Get, key)); err != nil {
		return store.Object{}, err
	}
	if ctx.Err() != nil {
		return store.Object{}, store.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	object, ok := s.objects[key]
	if !ok {
		return store.Object{}, store.ErrNotFound
	}
	return object, nil
}

// Put implements store.Store.
func (s *Store) Put(ctx context.Context, p store.Purpose, key string, value []byte, ifVersion store.Version) (store.Version, error) {
	if len(value) > store.MaxValueBytes {
		return store.Absent, store.ErrTooLarge
	}
	kept := append([]byte(nil), value...)
	return s.update(ctx, p, Put, key, func() (store.Version, error) {
		return s.put(key, kept, ifVersion)
	})
}

// Delete implements store.Store.
func (s *Store) Delete(ctx context.Context, p store.Purpose, key string, ifVersion store.Version) error {
	_, err := s.update(ctx, p, Delete, key, func() (store.Version, error) {
		return s.remove(key, ifVersion)
	})
	return err
}

// update makes an update under the fault's verdict.
func (s *Store) update(ctx context.Context, p store.Purpose, op Operation, key string, apply func() (store.Version, error)) (store.Version, error) {
	verdict := s.judge(p, op, key)
	if ctx.Err() != nil {
		return store.Absent, store.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch verdict {
	case Refuse:
		return store.Absent, store.ErrUnavailable
	case LoseRequest:
		return store.Absent, store.ErrUnknown
	case Late:
		s.late = append(s.late, func() { _, _ = apply() })
		return store.Absent, store.ErrUnknown
	case LoseAnswer:
		_, _ = apply()
		return store.Absent, store.ErrUnknown
	default:
		return apply()
	}
}

// put writes a value if the condition holds. The lock is held.
func (s *Store) put(key string, value []byte, ifVersion store.Version) (store.Version, error) {
	if s.objects[key].Version != ifVersion {
		return store.Absent, store.ErrConflict
	}
	version := s.last[key] + 1
	s.last[key] = version
	s.objects[key] = store.Object{Key: key, Version: version, Value: value}
	s.announce()
	return version, nil
}

// remove deletes an object if the condition holds. The lock is held.
func (s *Store) remove(key string, ifVersion store.Version) (store.Version, error) {
	object, ok := s.objects[key]
	if !ok {
		return store.Absent, store.ErrNotFound
	}
	if object.Version != ifVersion {
		return store.Absent, store.ErrConflict
	}
	s.last[key]++
	delete(s.objects, key)
	s.announce()
	return store.Absent, nil
}

// announce wakes the watches. The lock is held.
func (s *Store) announce() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, p store.Purpose, prefix string) ([]store.Object, error) {
	if err := readError(s.judge(p, List, prefix)); err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		return nil, store.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []store.Object
	for key, object := range s.objects {
		if strings.HasPrefix(key, prefix) {
			found = append(found, object)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	return found, nil
}

// Watch implements store.Store.
func (s *Store) Watch(ctx context.Context, p store.Purpose, key string, after store.Version) (store.Object, error) {
	if err := readError(s.judge(p, Watch, key)); err != nil {
		return store.Object{}, err
	}
	expired := time.NewTimer(maxWatch)
	defer expired.Stop()
	for {
		object, changed := s.peek(key)
		if object.Version > after {
			return object, nil
		}
		select {
		case <-changed:
		case <-expired.C:
			return store.Object{}, store.ErrNotFound
		case <-ctx.Done():
			return store.Object{}, store.ErrUnavailable
		}
	}
}

// peek returns an object and the channel that the next update closes.
func (s *Store) peek(key string) (store.Object, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[key], s.changed
}

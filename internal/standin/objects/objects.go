// Package objects simulates the platform's object API in memory, with faults that tests
// inject.
package objects

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"zinniapin/store"
)

// Operation is a kind of call of the object API.
type Operation string

// Operations of the object API.
const (
	Get    Operation = "get"
	Put    Operation = "put"
	Delete Operation = "delete"
	List   Operation = "list"
	Watch  Operation = "watch"
)

// Verdict tells how an injected fault affects a call.
type Verdict int

// Verdicts on a call.
const (
	// Pass carries out the call as usual.
	Pass Verdict = iota
	// Refuse returns store.ErrUnavailable; the call does not take effect.
	Refuse
	// LoseAnswer carries out an update but returns store.ErrUnknown.
	LoseAnswer
	// LoseRequest returns store.ErrUnknown; the update does not take effect.
	LoseRequest
	// Late returns store.ErrUnknown. The update takes effect when the test calls
	// DeliverLate, if its condition holds at that time.
	Late
)

// Fault decides how each call is affected. It may block, which delays the call.
type Fault func(op Operation, key string) Verdict

// maxWatch is how long a watch waits for a change before it returns store.ErrNotFound.
const maxWatch = 30 * time.Second

// Store is the simulated object store. It is safe for concurrent use.
type Store struct {
	mu          sync.Mutex
	objects     map[string]store.Object
	lastVersion map[string]store.Version // last version by key, also of deleted objects
	changed     chan struct{}            // closed and replaced by each update
	late        []func()                 // updates with the verdict Late, which DeliverLate applies
	fault       Fault
	calls       map[store.Purpose]int
}

// New returns an empty store without faults.
func New() *Store {
	return &Store{
		objects:     map[string]store.Object{},
		lastVersion: map[string]store.Version{},
		changed:     make(chan struct{}),
		calls:       map[store.Purpose]int{},
	}
}

var _ store.Store = (*Store)(nil)

// SetFault sets the fault for later calls; nil means none.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Calls returns the number of calls so far, by purpose.
func (s *Store) Calls() map[store.Purpose]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := make(map[store.Purpose]int, len(s.calls))
	for p, n := range s.calls {
		counts[p] = n
	}
	return counts
}

// DeliverLate applies the updates with the verdict Late whose conditions still hold.
func (s *Store) DeliverLate() {
	s.mu.Lock()
	defer s.mu.Unlock()
	late := s.late
	s.late = nil
	for _, apply := range late {
		apply()
	}
}

// beginCall counts a call and returns how the fault that SetFault has set affects it,
// Pass if there is none.
func (s *Store) beginCall(p store.Purpose, op Operation, key string) Verdict {
	s.mu.Lock()
	s.calls[p]++
	fault := s.fault
	s.mu.Unlock()
	if fault == nil {
		return Pass
	}
	return fault(op, key)
}

// readError returns the error that a verdict causes for a read, or nil.
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
	if err := readError(s.beginCall(p, Get, key)); err != nil {
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
	stored := append([]byte(nil), value...)
	return s.update(ctx, p, Put, key, func() (store.Version, error) {
		return s.put(key, stored, ifVersion)
	})
}

// Delete implements store.Store.
func (s *Store) Delete(ctx context.Context, p store.Purpose, key string, ifVersion store.Version) error {
	_, err := s.update(ctx, p, Delete, key, func() (store.Version, error) {
		return s.remove(key, ifVersion)
	})
	return err
}

// update calls apply, which carries out an update, unless the injected fault refuses or
// loses the request or delays it until DeliverLate. The constants of Verdict say what
// the caller gets in each case.
func (s *Store) update(ctx context.Context, p store.Purpose, op Operation, key string, apply func() (store.Version, error)) (store.Version, error) {
	verdict := s.beginCall(p, op, key)
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

// put writes a value if the object has the version ifVersion. The caller holds the lock.
func (s *Store) put(key string, value []byte, ifVersion store.Version) (store.Version, error) {
	if s.objects[key].Version != ifVersion {
		return store.Absent, store.ErrConflict
	}
	version := s.lastVersion[key] + 1
	s.lastVersion[key] = version
	s.objects[key] = store.Object{Key: key, Version: version, Value: value}
	s.wakeWatches()
	return version, nil
}

// remove deletes an object if it has the version ifVersion. The caller holds the lock.
func (s *Store) remove(key string, ifVersion store.Version) (store.Version, error) {
	object, ok := s.objects[key]
	if !ok {
		return store.Absent, store.ErrNotFound
	}
	if object.Version != ifVersion {
		return store.Absent, store.ErrConflict
	}
	s.lastVersion[key]++
	delete(s.objects, key)
	s.wakeWatches()
	return store.Absent, nil
}

// wakeWatches wakes all waiting watches after an update. The caller holds the lock.
func (s *Store) wakeWatches() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// List implements store.Store.
func (s *Store) List(ctx context.Context, p store.Purpose, prefix string) ([]store.Object, error) {
	if err := readError(s.beginCall(p, List, prefix)); err != nil {
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
	if err := readError(s.beginCall(p, Watch, key)); err != nil {
		return store.Object{}, err
	}
	expired := time.NewTimer(maxWatch)
	defer expired.Stop()
	for {
		object, changed := s.objectAndChange(key)
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

// objectAndChange returns an object and the channel that the next update of any object
// closes.
func (s *Store) objectAndChange(key string) (store.Object, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.objects[key], s.changed
}

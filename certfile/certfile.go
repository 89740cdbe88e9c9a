// Package certfile keeps what certificate files hold and reads them again when
// they have changed, so that certificates are rotated without a restart.
package certfile

import (
	"os"
	"sync"
)

// Files are files that are read together. It is safe for concurrent use.
type Files[T any] struct {
	names  []string
	read   func() (T, error)
	reread func(T, error)

	mu      sync.Mutex
	stamps  []os.FileInfo // of the last try to read the files
	current T
}

// Open reads files for the first time with read. After a change Newest reads
// them again and tells reread of the outcome, once a change.
func Open[T any](names []string, read func() (T, error), reread func(T, error)) (*Files[T], error) {
	f := &Files[T]{names: names, read: read, reread: reread}
	f.stamps = f.stat()
	var err error
	f.current, err = read()
	if err != nil {
		return nil, err
	}
	return f, nil
}

// Newest returns what the files hold. While they cannot be used as they are, as
// in the middle of a rotation, the last that could stays.
func (f *Files[T]) Newest() T {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.stat()
	if !changed(f.stamps, now) {
		return f.current
	}
	f.stamps = now
	read, err := f.read()
	f.reread(read, err)
	if err == nil {
		f.current = read
	}
	return f.current
}

// stat returns the present state of the files; nil stands for one that cannot
// be looked at.
func (f *Files[T]) stat() []os.FileInfo {
	stamps := make([]os.FileInfo, len(f.names))
	for i, name := range f.names {
		if info, err := os.Stat(name); err == nil {
			stamps[i] = info
		}
	}
	return stamps
}

// changed tells whether files differ from when they were last looked at.
func changed(before, now []os.FileInfo) bool {
	for i := range now {
		if (before[i] == nil) != (now[i] == nil) {
			return true
		}
		if now[i] == nil {
			continue
		}
		if !os.SameFile(before[i], now[i]) || !before[i].ModTime().Equal(now[i].ModTime()) || before[i].Size() != now[i].Size() {
			return true
		}
	}
	return false
}

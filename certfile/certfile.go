// Package certfile caches the content of certificate files and reads them again
// when they have changed, so that certificates can be rotated without a restart.
package certfile

import (
	"os"
	"sync"
)

// Files caches the content of files that are read together. It is safe for
// concurrent use.
type Files[T any] struct {
	paths    []string
	read     func() (T, error)
	onReread func(T, error)

	mu      sync.Mutex
	stats   []os.FileInfo // state of the files when they were last read
	current T
}

// Open reads files for the first time by read and returns its error. After each
// change of the files Newest calls read once more, and onReread with the outcome.
func Open[T any](paths []string, read func() (T, error), onReread func(T, error)) (*Files[T], error) {
	f := &Files[T]{paths: paths, read: read, onReread: onReread}
	f.stats = f.stat()
	var err error
	f.current, err = read()
	if err != nil {
		return nil, err
	}
	return f, nil
}

// Newest returns the content of the files. While they cannot be loaded, for example
// in the middle of a rotation, it returns the last content that was valid.
func (f *Files[T]) Newest() T {
	f.mu.Lock()
	defer f.mu.Unlock()
	stats := f.stat()
	if !changed(f.stats, stats) {
		return f.current
	}
	f.stats = stats
	content, err := f.read()
	f.onReread(content, err)
	if err == nil {
		f.current = content
	}
	return f.current
}

// stat returns the current state of each file, or nil for a file whose state
// cannot be read.
func (f *Files[T]) stat() []os.FileInfo {
	stats := make([]os.FileInfo, len(f.paths))
	for i, name := range f.paths {
		if info, err := os.Stat(name); err == nil {
			stats[i] = info
		}
	}
	return stats
}

// changed reports whether any file has been created, removed, replaced or modified
// between two states.
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

package node

import (
	"io"
	"sync"
	"sync/atomic"
)

// outputLines bounds the log lines that wait for the output.
const outputLines = 4096

// Output writes log lines in the background, so that a slow reader of the
// output never delays a request. Lines that find no room are counted.
type Output struct {
	lines   chan []byte
	dropped atomic.Int64
	mu      sync.RWMutex // guards the closing of lines
	closed  bool
	done    chan struct{}
}

// NewOutput returns an output that writes to w.
func NewOutput(w io.Writer) *Output {
	o := &Output{lines: make(chan []byte, outputLines), done: make(chan struct{})}
	go func() {
		defer close(o.done)
		for line := range o.lines {
			_, _ = w.Write(line) // there is no place to report it
		}
	}()
	return o
}

// Write implements io.Writer.
func (o *Output) Write(p []byte) (int, error) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	if o.closed {
		return len(p), nil // the process ends
	}
	select {
	case o.lines <- append([]byte(nil), p...):
	default:
		o.dropped.Add(1)
	}
	return len(p), nil
}

// TakeDropped returns how many lines were dropped since the last call.
func (o *Output) TakeDropped() int64 { return o.dropped.Swap(0) }

// Close writes what is left. Lines that are written later are lost.
func (o *Output) Close() {
	o.mu.Lock()
	o.closed = true
	close(o.lines)
	o.mu.Unlock()
	<-o.done
}

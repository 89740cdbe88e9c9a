package node

import (
	"io"
	"sync"
	"sync/atomic"
)

// maxQueuedLines bounds the log lines that wait to be written.
const maxQueuedLines = 4096

// Output writes log lines in the background, so that a slow reader of the
// output never delays a request. Lines that do not fit into the queue are dropped
// and counted.
type Output struct {
	lines   chan []byte
	dropped atomic.Int64
	mu      sync.RWMutex // guards the closing of lines
	closed  bool
	done    chan struct{}
}

// NewOutput returns an output that writes to w.
func NewOutput(w io.Writer) *Output {
	o := &Output{lines: make(chan []byte, maxQueuedLines), done: make(chan struct{})}
	go func() {
		defer close(o.done)
		for line := range o.lines {
			_, _ = w.Write(line) // a failed write cannot be reported anywhere
		}
	}()
	return o
}

// Write implements io.Writer.
func (o *Output) Write(p []byte) (int, error) {
	o.mu.RLock()
	defer o.mu.RUnlock()
	if o.closed {
		return len(p), nil // the process is exiting
	}
	select {
	case o.lines <- append([]byte(nil), p...):
	default:
		o.dropped.Add(1)
	}
	return len(p), nil
}

// TakeDropped returns the number of lines dropped since the last call.
func (o *Output) TakeDropped() int64 { return o.dropped.Swap(0) }

// Close writes the queued lines and waits until that is done. Lines passed to
// Write afterwards are discarded.
func (o *Output) Close() {
	o.mu.Lock()
	o.closed = true
	close(o.lines)
	o.mu.Unlock()
	<-o.done
}

package node_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/node"
)

// blockedWriter is an io.Writer whose writes block until unblocked is closed.
type blockedWriter struct {
	unblocked chan struct{}
	mu        sync.Mutex
	lines     int // number of completed writes
}

// Write implements io.Writer.
func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.unblocked
	s.mu.Lock()
	s.lines++
	s.mu.Unlock()
	return len(p), nil
}

// While the reader of the output does not read, logging must not block: lines
// beyond the queue are dropped and counted, and the queued lines are written once
// the reader reads again.
func TestStuckOutputDelaysNobody(t *testing.T) {
	is := is.New(t)
	writer := &blockedWriter{unblocked: make(chan struct{})}
	output := node.NewOutput(writer)
	const lines = 20_000
	begun := time.Now()
	for i := range lines {
		_, err := fmt.Fprintf(output, "line %d\n", i)
		is.NoErr(err)
	}
	is.True(time.Since(begun) < time.Second)
	dropped := int(output.TakeDropped())
	is.True(dropped > 0)
	is.Equal(output.TakeDropped(), int64(0)) // the first call reset the count
	close(writer.unblocked)
	output.Close()
	is.Equal(writer.lines+dropped, lines)
}

// A node whose log output is blocked goes on serving, and the queued lines are
// written once the output is unblocked.
func TestNodeServesWhileItsOutputIsStuck(t *testing.T) {
	is := is.New(t)
	cluster := newTestCluster(t)
	n := cluster.startNode("h1")
	eventually(t, 3*time.Second, "ready", n.ready)
	n.log.blockWrites()
	for range 300 {
		begun := time.Now()
		is.Equal(n.get("/read/a", "key-1"), http.StatusOK)
		is.True(time.Since(begun) < time.Second)
	}
	n.log.unblockWrites()
	eventually(t, 2*time.Second, "the queued lines", func() bool { return n.log.contains("request_done") })
}

// BenchmarkStuckOutput measures the time to log a line while the output is blocked.
func BenchmarkStuckOutput(b *testing.B) {
	writer := &blockedWriter{unblocked: make(chan struct{})}
	output := node.NewOutput(writer)
	line := []byte(`{"level":"info","event":7000,"name":"request_done","request":"id","status":200}` + "\n")
	for b.Loop() {
		_, _ = output.Write(line) // never fails
	}
	close(writer.unblocked)
	output.Close()
}

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

// stuck is a reader of the output that takes nothing until it is released.
type stuck struct {
	released chan struct{}
	mu       sync.Mutex
	lines    int
}

// Write implements io.Writer.
func (s *stuck) Write(p []byte) (int, error) {
	<-s.released
	s.mu.Lock()
	s.lines++
	s.mu.Unlock()
	return len(p), nil
}

// Whoever reads the output stops reading: lines are dropped and counted, and
// nobody who logs waits. What was kept is written once the reader is back.
func TestStuckOutputDelaysNobody(t *testing.T) {
	is := is.New(t)
	reader := &stuck{released: make(chan struct{})}
	output := node.NewOutput(reader)
	const lines = 20_000
	begun := time.Now()
	for i := range lines {
		_, err := fmt.Fprintf(output, "line %d\n", i)
		is.NoErr(err)
	}
	is.True(time.Since(begun) < time.Second)
	dropped := int(output.TakeDropped())
	is.True(dropped > 0)
	is.Equal(output.TakeDropped(), int64(0)) // taken once
	close(reader.released)
	output.Close()
	is.Equal(reader.lines+dropped, lines)
}

// A node whose output is stuck goes on serving, and says afterwards how many
// lines are missing.
func TestNodeServesWhileItsOutputIsStuck(t *testing.T) {
	is := is.New(t)
	r := newRig(t)
	n := r.start("h1")
	eventually(t, 3*time.Second, "ready", n.ready)
	n.log.hold()
	for range 300 {
		begun := time.Now()
		is.Equal(n.get("/read/a", "key-1"), http.StatusOK)
		is.True(time.Since(begun) < time.Second)
	}
	n.log.release()
	eventually(t, 2*time.Second, "the kept lines", func() bool { return n.log.have("request_done") })
}

// BenchmarkStuckOutput measures a log line while nobody reads the output.
func BenchmarkStuckOutput(b *testing.B) {
	reader := &stuck{released: make(chan struct{})}
	output := node.NewOutput(reader)
	line := []byte(`{"level":"info","event":7000,"name":"request_done","request":"id","status":200}` + "\n")
	for b.Loop() {
		_, _ = output.Write(line) // never fails
	}
	close(reader.released)
	output.Close()
}

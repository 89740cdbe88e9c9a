package forward_test

import (
	"bufio"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"zinniapin/internal/standin/prepared"
)

// cpuTime returns the CPU time that this process has used.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkPlainRequest measures a plain request over loopback. The reported CPU time is that of
// caller, node and target together. The bound for the node alone is 0.4 ms.
func BenchmarkPlainRequest(b *testing.B) {
	one := prepared.NewTarget("i-1")
	h := newTestHandler(b, "desk", one)
	c, err := net.Dial("tcp", h.address)
	if err != nil {
		b.Fatal(err)
	}
	defer c.Close() //nolint:errcheck // a benchmark
	reader := bufio.NewReader(c)
	before := cpuTime(b)
	b.ResetTimer()
	for b.Loop() {
		if a := exchange(c, reader, http.MethodGet, "/read/a", ""); a.status != http.StatusOK {
			b.Fatal(a)
		}
	}
	b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/float64(b.N)/1000, "processor-ms/op")
}

// BenchmarkEvent measures an event of a stream. The reported CPU time is that of caller, node and
// target together. The bound for the node alone is 0.15 ms.
func BenchmarkEvent(b *testing.B) {
	const events = 1000
	one := engine("d-1", "decode")
	one.Events = events
	h := newTestHandler(b, "model", one)
	before := cpuTime(b)
	b.ResetTimer()
	for b.Loop() {
		if a := h.call(http.MethodPost, "/draft/a", "p", engineHeaders...); a.err != nil || a.status != http.StatusOK {
			b.Fatal(a.err)
		}
	}
	b.ReportMetric(float64((cpuTime(b)-before).Microseconds())/float64(b.N)/events/1000, "processor-ms/event")
}

package main

import (
	"fmt"
	"io"
	"runtime"
	"syscall"
	"time"
)

// point is one measurement: a size and what was measured at it.
type point struct {
	size, value float64
}

// line is a least-squares fit: value = intercept + slope * size.
type line struct {
	intercept, slope float64
}

// fit returns the least-squares line through points of at least two sizes.
func fit(points []point) line {
	n := float64(len(points))
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		sumX += p.size
		sumY += p.value
		sumXX += p.size * p.size
		sumXY += p.size * p.value
	}
	slope := (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	return line{(sumY - slope*sumX) / n, slope}
}

// report prints measurements.
type report struct {
	to io.Writer
}

// newReport returns a report that prints to w.
func newReport(w io.Writer) *report {
	return &report{w}
}

// printf prints a line.
func (r *report) printf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(r.to, format, arguments...)
}

// slope prints the points of one measurement and the line through them.
func (r *report) slope(what, unit, per string, points []point) {
	r.printf("%-46s", what)
	for _, p := range points {
		r.printf(" %g:%.4g", p.size, p.value)
	}
	l := fit(points)
	r.printf("  [%s]  = %.4g + %.4g per %s\n", unit, l.intercept, l.slope, per)
}

// settleRounds is the number of collections that free what finalizers hold.
const settleRounds = 2

// heapBytes returns the bytes of live objects on the heap.
func heapBytes() float64 {
	for range settleRounds {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// stackBytes returns the bytes of the stacks of all goroutines.
func stackBytes() float64 {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.StackInuse)
}

// retained returns the bytes of heap that the result of make keeps alive.
func retained(build func() any) float64 {
	before := heapBytes()
	kept := build()
	after := heapBytes()
	runtime.KeepAlive(kept)
	return after - before
}

// processorTime returns the processor time of this process so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// perCall returns the processor time in microseconds of one of n calls.
func perCall(n int, call func(i int)) float64 {
	runtime.GC()
	before := processorTime()
	for i := range n {
		call(i)
	}
	return float64((processorTime() - before).Nanoseconds()) / float64(n) / 1e3
}

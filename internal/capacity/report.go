package main

import (
	"fmt"
	"io"
	"runtime"
	"syscall"
	"time"
)

// point is a size and the value measured at that size.
type point struct {
	size, value float64
}

// fittedLine is a least-squares fit: value = intercept + slope * size.
type fittedLine struct {
	intercept, slope float64
}

// fitLine returns the least-squares line through points of at least two sizes.
func fitLine(points []point) fittedLine {
	n := float64(len(points))
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range points {
		sumX += p.size
		sumY += p.value
		sumXX += p.size * p.size
		sumXY += p.size * p.value
	}
	slope := (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	return fittedLine{(sumY - slope*sumX) / n, slope}
}

// report prints measurements.
type report struct {
	out io.Writer
}

// newReport returns a report that prints to w.
func newReport(w io.Writer) *report {
	return &report{w}
}

// printf prints formatted text.
func (r *report) printf(format string, arguments ...any) {
	_, _ = fmt.Fprintf(r.out, format, arguments...)
}

// slope prints the points of one measurement and the line fitted to them. unit
// is the unit of the values, and per what a size counts.
func (r *report) slope(what, unit, per string, points []point) {
	r.printf("%-46s", what)
	for _, p := range points {
		r.printf(" %g:%.4g", p.size, p.value)
	}
	l := fitLine(points)
	r.printf("  [%s]  = %.4g + %.4g per %s\n", unit, l.intercept, l.slope, per)
}

// collectionRounds is the number of garbage collections after which objects
// with finalizers are freed too.
const collectionRounds = 2

// heapBytes returns the bytes of live objects on the heap.
func heapBytes() float64 {
	for range collectionRounds {
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

// retainedHeap returns the bytes of heap that the result of build keeps alive.
func retainedHeap(build func() any) float64 {
	before := heapBytes()
	kept := build()
	after := heapBytes()
	runtime.KeepAlive(kept)
	return after - before
}

// processorTime returns the user and system time that this process has used.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// perCall returns the mean processor time of n calls in microseconds.
func perCall(n int, call func(i int)) float64 {
	runtime.GC()
	before := processorTime()
	for i := range n {
		call(i)
	}
	return float64((processorTime() - before).Nanoseconds()) / float64(n) / 1e3
}

// Command capacity measures the memory, processor time and traffic of each part
// of the system at several sizes and prints a linear fit for each. The totals in
// docs/CAPACITY.md are computed from the slopes. The command opens sockets on
// loopback only and uses at most a few hundred megabytes. An argument selects
// one section.
package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

// section is a named group of measurements.
type section struct {
	name    string
	measure func(*report) error
}

// sections lists all sections in the order in which they run.
var sections = []section{
	{"peers", measurePeers},
	{"links", measureLinks},
	{"heartbeat cores", measureHeartbeats},
	{"state", measureState},
	{"configuration", measureConfiguration},
	{"decisions", measureDecisions},
	{"data path", measureDataPath},
	{"claims", measureClaims},
	{"usage", measureUsage},
	{"processes", measureProcesses},
}

func main() {
	r := newReport(os.Stdout)
	r.printf("%d cores, %s, %s\n", runtime.NumCPU(), runtime.Version(), time.Now().UTC().Format(time.DateTime))
	for _, s := range sections {
		if len(os.Args) > 1 && os.Args[1] != s.name {
			continue
		}
		r.printf("\n# %s\n", s.name)
		started := time.Now()
		if err := s.measure(r); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", s.name, err)
			os.Exit(1)
		}
		r.printf("(%.1f s)\n", time.Since(started).Seconds())
	}
}

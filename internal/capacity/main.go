// Command capacity measures what each part of the system costs, each at three
// sizes or more, and prints the slopes from which docs/CAPACITY.md works out
// the sums. It opens sockets on loopback only and stays within a few hundred
// megabytes.
package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

// section is a part of the measurement.
type section struct {
	name string
	run  func(*report) error
}

// sections are measured in order.
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
		began := time.Now()
		if err := s.run(r); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", s.name, err)
			os.Exit(1)
		}
		r.printf("(%.1f s)\n", time.Since(began).Seconds())
	}
}

// Command zinnia-bench simulates traces of requests and prints how the routing, placement
// and spending policies compare with simpler ones.
package main

import (
	"errors"
	"os"

	"github.com/jessevdk/go-flags"

	"zinniapin/internal/policybench"
)

// exitUsage is the exit code for a wrong command line.
const exitUsage = 2

// options are the command line options.
type options struct {
	Set    string `long:"set" choice:"tuned" choice:"held out" choice:"fresh" choice:"long prompts" choice:"long prompts held out" description:"run one set of traces only"`
	Policy string `long:"policy" description:"run one policy only, by its name in the table"`
	Totals bool   `long:"totals" description:"print no rows of single traces"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var flagError *flags.Error
		if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
			return
		}
		os.Exit(exitUsage)
	}
	policybench.Print(os.Stdout, policybench.Filter{Set: o.Set, Policy: o.Policy, Totals: o.Totals})
}

package daemon

import (
	"errors"
	"fmt"

	"github.com/jessevdk/go-flags"

	"zinniapin/result"
)

// CommandLine holds the command-line arguments that all daemons have.
type CommandLine struct {
	// Settings is the path of the settings file.
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"settings file, JSON"`
	// Check makes the daemon check its settings and exit without starting.
	Check bool `long:"check" description:"check the settings and exit"`
}

// ParseCommandLine parses the arguments of a daemon. If they contain --help, it
// prints the help and returns nil. The error is a result.BadUsage.
func ParseCommandLine(arguments []string) (*CommandLine, error) {
	line := &CommandLine{}
	_, err := flags.NewParser(line, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(arguments)
	var flagsErr *flags.Error
	if errors.As(err, &flagsErr) && flagsErr.Type == flags.ErrHelp {
		fmt.Println(flagsErr.Message)
		return nil, nil
	}
	if err != nil {
		return nil, result.Wrap(err, result.BadUsage, "cannot parse the command line")
	}
	return line, nil
}

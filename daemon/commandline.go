package daemon

import (
	"errors"
	"fmt"

	"github.com/jessevdk/go-flags"

	"zinniapin/result"
)

// CommandLine is the command line of every daemon.
type CommandLine struct {
	// Settings is the path of the settings file.
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"settings file, JSON"`
	// Check asks to check the settings without starting.
	Check bool `long:"check" description:"check the settings and exit"`
}

// ParseCommandLine reads the arguments of a daemon. When they ask for help it
// prints that and returns nil. The error is a result.BadUsage.
func ParseCommandLine(arguments []string) (*CommandLine, error) {
	line := &CommandLine{}
	_, err := flags.NewParser(line, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(arguments)
	var wrong *flags.Error
	if errors.As(err, &wrong) && wrong.Type == flags.ErrHelp {
		fmt.Println(wrong.Message)
		return nil, nil
	}
	if err != nil {
		return nil, result.Wrap(err, result.BadUsage, "cannot read the command line")
	}
	return line, nil
}

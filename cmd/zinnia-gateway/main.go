// Command zinnia-gateway serves callers: one runs on every entry host.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"zinniapin/daemon"
	"zinniapin/result"
	"zinniapin/settings"
)

// commandLine is the command line of zinnia-gateway.
type commandLine struct {
	Settings string `long:"settings" required:"true" description:"JSON settings file"`
	Check    bool   `long:"check" description:"check the settings and exit"`
}

// main runs the gateway and exits with the code of its result.
func main() {
	os.Exit(daemon.Exit(run(os.Args[1:])))
}

// run parses the command line and runs the gateway.
func run(arguments []string) error {
	var line commandLine
	_, err := flags.NewParser(&line, flags.HelpFlag|flags.PassDoubleDash).ParseArgs(arguments)
	var flagError *flags.Error
	if errors.As(err, &flagError) && flagError.Type == flags.ErrHelp {
		fmt.Println(flagError.Message)
		return nil
	}
	if err != nil {
		return result.Wrap(err, result.BadUsage, "cannot read the command line")
	}
	var s settings.Gateway
	if err := settings.Load(line.Settings, &s); err != nil {
		return err
	}
	if line.Check {
		if err := check(s); err != nil {
			return err
		}
		fmt.Println(settings.Valid)
		return nil
	}
	return serve(context.Background(), s)
}

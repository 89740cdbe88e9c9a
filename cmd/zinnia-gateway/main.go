// Command zinnia-gateway runs a gateway, which serves the requests of callers. One runs on
// every entry host.
package main

import (
	"context"
	"fmt"
	"os"

	"zinniapin/daemon"
	"zinniapin/settings"
)

// main runs the gateway and exits with the code of its result.
func main() {
	os.Exit(daemon.Exit(run(os.Args[1:])))
}

// run parses the command line and runs the gateway. With --check it only checks the
// settings and the files that they name.
func run(arguments []string) error {
	line, err := daemon.ParseCommandLine(arguments)
	if err != nil || line == nil {
		return err
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

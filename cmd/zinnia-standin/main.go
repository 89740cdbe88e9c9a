// Command zinnia-standin runs stand-ins, which replace the platform, model engines and
// other services in tests and demonstrations. Its settings list them.
package main

import (
	"context"
	"fmt"
	"os"

	"zinniapin/daemon"
	"zinniapin/event"
	"zinniapin/internal/standin/process"
	"zinniapin/settings"
)

// main runs the stand-ins and exits with the code of the result.
func main() {
	os.Exit(daemon.Exit(run(os.Args[1:])))
}

// run parses the command line and runs the stand-ins until a signal ends them.
func run(arguments []string) error {
	line, err := daemon.ParseCommandLine(arguments)
	if err != nil || line == nil {
		return err
	}
	var s settings.Standin
	if err := settings.Load(line.Settings, &s); err != nil {
		return err
	}
	if line.Check {
		fmt.Println(settings.Valid)
		return nil
	}
	log := daemon.NewLogger(os.Stderr, s.Log.Level, "zinnia-standin", "")
	graceful, _, stop := daemon.Signals(context.Background())
	defer stop()
	p, err := process.Start(&s, &log)
	if err != nil {
		return err
	}
	event.ProcessStarted.Log(&log).Send()
	<-graceful.Done()
	event.ProcessStopping.Log(&log).Send()
	p.Close()
	event.ProcessStopped.Log(&log).Send()
	return nil
}

// Command zinnia-standin runs small stand-ins for the platform, for model
// engines and for plain services, as its settings list them.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"

	"zinniapin/daemon"
	"zinniapin/event"
	"zinniapin/internal/standin/process"
	"zinniapin/result"
	"zinniapin/settings"
)

// options are the options of the command line.
type options struct {
	Settings string `long:"settings" value-name:"FILE" required:"true" description:"settings, JSON"`
	Check    bool   `long:"check" description:"check the settings and end"`
}

// main parses the command line and exits with the code of the result.
func main() {
	var o options
	_, err := flags.NewParser(&o, flags.HelpFlag|flags.PassDoubleDash).Parse()
	var wrong *flags.Error
	if errors.As(err, &wrong) && wrong.Type == flags.ErrHelp {
		fmt.Println(wrong.Message)
		return
	}
	if err != nil {
		os.Exit(daemon.Exit(result.Wrap(err, result.BadUsage, "the command line is wrong")))
	}
	os.Exit(daemon.Exit(run(&o)))
}

// run runs the stand-ins until a signal comes.
func run(o *options) error {
	var s settings.Standin
	if err := settings.Load(o.Settings, &s); err != nil {
		return err
	}
	if o.Check {
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

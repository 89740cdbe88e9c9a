// Command zinnia-node forwards callers' requests to targets on the platform of
// prepared machines: one runs on every entry host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"zinniapin/daemon"
	"zinniapin/node"
	"zinniapin/platform"
	"zinniapin/settings"
)

// main runs the node and exits with the code of its result.
func main() {
	os.Exit(daemon.Exit(run(os.Args[1:])))
}

// run parses the command line and runs the node.
func run(arguments []string) error {
	reread := make(chan os.Signal, 1)
	signal.Notify(reread, syscall.SIGHUP) // first, as it ends a process that does not ask for it
	line, err := daemon.ParseCommandLine(arguments)
	if err != nil || line == nil {
		return err
	}
	var s settings.Node
	if err := settings.Load(line.Settings, &s); err != nil {
		return err
	}
	if line.Check {
		fmt.Println(settings.Valid)
		return nil
	}
	return serve(s, line.Settings, reread)
}

// serve runs the node until it is asked to stop. A signal of reread asks to read
// the settings file again.
func serve(s settings.Node, file string, reread <-chan os.Signal) error {
	output := node.NewOutput(os.Stdout)
	defer output.Close()
	log := daemon.NewLogger(output, s.Log.Level, "node", s.Host)
	graceful, _, stop := daemon.Signals(context.Background())
	defer stop()
	n := node.New(s, node.Platform{
		Objects: platform.NewObjects(s.Objects), Duties: platform.NewDuties(s.Orders), Protocol: platform.Protocol{},
		TargetsCollection: platform.TargetsCollection, ConfigurationsCollection: platform.ConfigurationsCollection, ConfigurationName: platform.ConfigurationName,
		DecodeTarget: platform.DecodeTarget, DecodeConfiguration: platform.DecodeConfiguration,
	}, output, &log)
	go n.FollowSettings(graceful, file, reread)
	return n.Run(graceful)
}

// Command zinnia-node runs a node, which forwards callers' requests to targets on the
// platform of prepared machines. One runs on every entry host.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"zinniapin/daemon"
	"zinniapin/invariant"
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
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP) // first, since an unhandled SIGHUP ends the process
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
	return serve(s, line.Settings, reload)
}

// serve runs the node until a signal stops it. Each signal on reload makes it read the
// settings file again.
func serve(s settings.Node, file string, reload <-chan os.Signal) error {
	output := node.NewOutput(os.Stdout)
	defer output.Close()
	log := daemon.NewLogger(output, s.Log.Level, "node", s.Host)
	invariant.SetLogger(&log)
	graceful, _, stop := daemon.Signals(context.Background())
	defer stop()
	n := node.New(s, node.Platform{
		Objects: platform.NewObjects(s.Objects), Duties: platform.NewDuties(s.Orders), Protocol: platform.Protocol{},
		TargetsCollection: platform.TargetsCollection, ConfigurationsCollection: platform.ConfigurationsCollection, ConfigurationName: platform.ConfigurationName,
		DecodeTarget: platform.DecodeTarget, DecodeConfiguration: platform.DecodeConfiguration,
	}, output, &log)
	go n.FollowSettings(graceful, file, reload)
	return n.Run(graceful)
}

// Command demo runs an example deployment as processes on loopback addresses. Without arguments
// it sends requests, prints their results and stops; with --up it runs until it is interrupted.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"github.com/jessevdk/go-flags"

	"zinniapin/internal/deploy"
)

const (
	// startTimeout bounds the start of all processes.
	startTimeout = 30 * time.Second
	// stopTimeout bounds the graceful shutdown of all processes.
	stopTimeout = 20 * time.Second
)

// options are the command-line options.
type options struct {
	Up       bool   `long:"up" description:"run until interrupted"`
	Example  string `long:"example" default:"examples/kalnins" description:"folder of the example"`
	Folder   string `long:"folder" default:"." description:"folder below which run/ is made"`
	Binaries string `long:"binaries" default:"bin" description:"folder of the built programs"`
	Network  string `long:"network" default:"" description:"network in place of the example's, such as 127.0.9."`
	Hosts    int    `long:"hosts" default:"0" description:"number of entry hosts; 0 means all"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}

// run starts the deployment, sends requests or waits according to the options, and stops it.
func run(o options) (err error) {
	if err := os.RemoveAll(filepath.Join(o.Folder, "run", filepath.Base(o.Example))); err != nil {
		return trace.Wrap(err)
	}
	d, err := deploy.Prepare(deploy.Options{Example: o.Example, Folder: o.Folder, Binaries: o.Binaries, Hosts: o.Hosts, Network: o.Network, Edit: shortWindows})
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	defer func() {
		bounded, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		if stopErr := d.StopAll(bounded); err == nil {
			err = stopErr
		}
	}()
	if err := startDeployment(ctx, d); err != nil {
		return err
	}
	if o.Up {
		return runUntilInterrupted(ctx, d)
	}
	return show(ctx, d)
}

// shortWindows shortens the usage windows in the configuration to 5 s, so that usage reports
// appear within the demo.
func shortWindows(path string, content []byte) []byte {
	if path != "configuration.json" {
		return content
	}
	return []byte(strings.Replace(string(content), `"usage_window_seconds": 60`, `"usage_window_seconds": 5`, 1))
}

// startDeployment starts all processes, applies the configuration and waits until the gateways
// are ready.
func startDeployment(ctx context.Context, d *deploy.Deployment) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	printStep("start the stand-ins: platform, engines, plain services")
	if _, err := d.StartStandins(); err != nil {
		return err
	}
	if err := d.WaitPlatform(ctx); err != nil {
		return err
	}
	printStep("apply the configuration")
	if err := d.ApplyConfiguration(ctx); err != nil {
		return err
	}
	printStep(fmt.Sprintf("start a controller and a gateway on %d hosts", len(d.Hosts)))
	if err := d.StartHosts(); err != nil {
		return err
	}
	return d.WaitReady(ctx)
}

// startedAt is the time at which the demo started.
var startedAt = time.Now()

// printStep prints a heading with the time since the start.
func printStep(text string) {
	fmt.Printf("== %s (%s)\n", text, time.Since(startedAt).Round(100*time.Millisecond))
}

// runUntilInterrupted issues and prints a key for each organisation, prints the addresses of the
// gateways, and waits for an interrupt.
func runUntilInterrupted(ctx context.Context, d *deploy.Deployment) error {
	organisations, err := d.Organisations()
	if err != nil {
		return err
	}
	for _, organisation := range organisations {
		key, err := d.IssueKey(ctx, organisation)
		if err != nil {
			return err
		}
		fmt.Printf("%-24s %s\n", organisation, key)
	}
	for _, host := range d.Hosts {
		url, err := d.URL(host)
		if err != nil {
			return err
		}
		fmt.Printf("%-24s %s\n", host, url)
	}
	fmt.Printf("operators: bin/zinniactl --settings run/%s/zinniactl.json status members\n", d.Name)
	fmt.Println("running until interrupted")
	<-ctx.Done()
	return nil
}

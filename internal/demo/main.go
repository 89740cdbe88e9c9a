// Command demo runs an example deployment as processes on loopback. Without
// arguments it sends requests, shows what happened and stops; with --up it
// runs until it is interrupted.
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
	// startLimit bounds the start of all processes.
	startLimit = 30 * time.Second
	// stopLimit bounds the graceful end of all processes.
	stopLimit = 20 * time.Second
)

// options are the command line.
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

// run starts the deployment, does what was asked for and stops it.
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
		bounded, cancel := context.WithTimeout(context.Background(), stopLimit)
		defer cancel()
		if stopErr := d.StopAll(bounded); err == nil {
			err = stopErr
		}
	}()
	if err := start(ctx, d); err != nil {
		return err
	}
	if o.Up {
		return up(ctx, d)
	}
	return show(ctx, d)
}

// shortWindows makes usage windows short, so that reports are seen soon.
func shortWindows(path string, content []byte) []byte {
	if path != "configuration.json" {
		return content
	}
	return []byte(strings.Replace(string(content), `"usage_window_seconds": 60`, `"usage_window_seconds": 5`, 1))
}

// start starts all processes and accepts the configuration.
func start(ctx context.Context, d *deploy.Deployment) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	step("start the stand-ins: platform, engines, plain services")
	if _, err := d.StartStandins(); err != nil {
		return err
	}
	if err := d.WaitPlatform(ctx); err != nil {
		return err
	}
	step("accept the configuration")
	if err := d.ApplyConfiguration(ctx); err != nil {
		return err
	}
	step(fmt.Sprintf("start a controller and a gateway on %d hosts", len(d.Hosts)))
	if err := d.StartHosts(); err != nil {
		return err
	}
	return d.WaitReady(ctx)
}

// begun is when the demo began.
var begun = time.Now()

// step prints what comes next.
func step(text string) {
	fmt.Printf("== %s (%s)\n", text, time.Since(begun).Round(100*time.Millisecond))
}

// up issues a key for each organisation, prints how to call and waits.
func up(ctx context.Context, d *deploy.Deployment) error {
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

package deploy

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"zinniapin/settings"
)

// Process is a running program of a deployment.
type Process struct {
	Name string
	// Log is the path of the file that takes its output.
	Log string

	command *exec.Cmd
	done    chan struct{}
	err     error       // valid once done is closed
	stopped atomic.Bool // by Stop or Kill
}

// start starts a program in the deployment's folder.
func (d *Deployment) start(name, program string, arguments ...string) (*Process, error) {
	binary, err := filepath.Abs(filepath.Join(d.Binaries, program))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := os.MkdirAll(d.path("log"), 0o755); err != nil {
		return nil, trace.Wrap(err)
	}
	p := &Process{Name: name, Log: d.path("log", name+".log"), done: make(chan struct{})}
	log, err := os.OpenFile(p.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	defer func() { _ = log.Close() }()
	p.command = exec.Command(binary, arguments...)
	p.command.Dir = d.Folder
	p.command.Stdout = log
	p.command.Stderr = log
	if err := p.command.Start(); err != nil {
		return nil, trace.Wrap(err)
	}
	go func() {
		p.err = p.command.Wait()
		close(p.done)
	}()
	d.processes = append(d.processes, p)
	return p, nil
}

// settingsPath returns the path of a settings file as a process sees it.
func (d *Deployment) settingsPath(parts ...string) string {
	return filepath.Join(append([]string{"run", d.Name}, parts...)...)
}

// StartStandins starts the platform, the engines and the plain services.
func (d *Deployment) StartStandins() (*Process, error) {
	return d.start("standin", "zinnia-standin", "--settings", d.settingsPath(standinFile))
}

// StartController starts the controller of a host.
func (d *Deployment) StartController(host string) (*Process, error) {
	return d.start(host+"-controller", "zinnia-controller", "--settings", d.settingsPath(host, "controller.json"))
}

// StartGateway starts the gateway of a host.
func (d *Deployment) StartGateway(host string) (*Process, error) {
	return d.start(host+"-gateway", "zinnia-gateway", "--settings", d.settingsPath(host, "gateway.json"))
}

// StartHosts starts a controller and a gateway on every host.
func (d *Deployment) StartHosts() error {
	for _, host := range d.Hosts {
		if _, err := d.StartController(host); err != nil {
			return err
		}
		if _, err := d.StartGateway(host); err != nil {
			return err
		}
	}
	return nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) error {
	return trace.Wrap(p.command.Process.Signal(s))
}

// Done is closed when the process has ended.
func (p *Process) Done() <-chan struct{} {
	return p.done
}

// Stop asks for a graceful shutdown and waits for the end; when ctx ends
// first the process is killed.
func (p *Process) Stop(ctx context.Context) error {
	p.stopped.Store(true)
	_ = p.Signal(syscall.SIGCONT)
	_ = p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return trace.Wrap(p.err)
	case <-ctx.Done():
		p.Kill()
		return trace.Wrap(ctx.Err(), "killed after it did not stop in time")
	}
}

// Kill ends the process at once.
func (p *Process) Kill() {
	p.stopped.Store(true)
	_ = p.command.Process.Kill()
	<-p.done
}

// StopAll stops every process that still runs: gateways before controllers,
// since they hand their usage over, and the stand-ins last.
func (d *Deployment) StopAll(ctx context.Context) error {
	var failures []error
	for _, suffix := range []string{"-gateway", "-controller", ""} {
		failures = append(failures, d.stopEach(ctx, suffix))
	}
	return errors.Join(failures...)
}

// stopEach stops the processes whose names end with suffix, all at once.
func (d *Deployment) stopEach(ctx context.Context, suffix string) error {
	var stopping errgroup.Group
	for _, p := range d.processes {
		if !strings.HasSuffix(p.Name, suffix) {
			continue
		}
		stopping.Go(func() error {
			select {
			case <-p.done:
				return nil
			default:
			}
			if err := p.Stop(ctx); err != nil {
				return fmt.Errorf("%s: %w", p.Name, err)
			}
			return nil
		})
	}
	return trace.Wrap(stopping.Wait())
}

// GatewaySettings reads the settings of a host's gateway.
func (d *Deployment) GatewaySettings(host string) (*settings.Gateway, error) {
	s := &settings.Gateway{}
	return s, settings.Load(d.path(host, "gateway.json"), s)
}

// ControllerSettings reads the settings of a host's controller.
func (d *Deployment) ControllerSettings(host string) (*settings.Controller, error) {
	s := &settings.Controller{}
	return s, settings.Load(d.path(host, "controller.json"), s)
}

// URL returns the address of a host's gateway for callers.
func (d *Deployment) URL(host string) (string, error) {
	s, err := d.GatewaySettings(host)
	if err != nil {
		return "", err
	}
	return "http://" + s.Listen, nil
}

// PlatformURL returns the address of the platform.
func (d *Deployment) PlatformURL() (string, error) {
	s := &settings.Standin{}
	if err := settings.Load(d.path(standinFile), s); err != nil {
		return "", err
	}
	return "http://" + s.Platform.Address, nil
}

// readyPoll is how often readiness is asked for.
const readyPoll = 100 * time.Millisecond

// WaitPlatform waits until the platform answers.
func (d *Deployment) WaitPlatform(ctx context.Context) error {
	url, err := d.PlatformURL()
	if err != nil {
		return err
	}
	return d.waitFor(ctx, url+"/reports", func(status int) bool { return status < http.StatusInternalServerError })
}

// WaitReady waits until the gateways of all hosts are ready.
func (d *Deployment) WaitReady(ctx context.Context) error {
	for _, host := range d.Hosts {
		if err := d.WaitHost(ctx, host); err != nil {
			return err
		}
	}
	return nil
}

// WaitHost waits until the gateway of a host is ready.
func (d *Deployment) WaitHost(ctx context.Context, host string) error {
	s, err := d.GatewaySettings(host)
	if err != nil {
		return err
	}
	return d.waitFor(ctx, "http://"+s.Operators+"/readyz", func(status int) bool { return status == http.StatusOK })
}

// waitFor waits until a URL answers with a status that is good. A process that
// failed to start ends the wait: another run may answer at its address.
func (d *Deployment) waitFor(ctx context.Context, url string, good func(status int) bool) error {
	for {
		if err := d.failed(); err != nil {
			return err
		}
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return trace.Wrap(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
			if good(response.StatusCode) {
				return d.failed()
			}
		}
		select {
		case <-time.After(readyPoll):
		case <-ctx.Done():
			return fmt.Errorf("waiting for %s: %w", url, ctx.Err())
		}
	}
}

// failed returns an error when a process ended by itself with one.
func (d *Deployment) failed() error {
	for _, p := range d.processes {
		select {
		case <-p.done:
			if p.err != nil && !p.stopped.Load() {
				return fmt.Errorf("%s ended: %w; see %s", p.Name, p.err, p.Log)
			}
		default:
		}
	}
	return nil
}

// RunOperatorCommand runs zinniactl and returns its output.
func (d *Deployment) RunOperatorCommand(ctx context.Context, arguments ...string) (string, error) {
	binary, err := filepath.Abs(filepath.Join(d.Binaries, "zinniactl"))
	if err != nil {
		return "", trace.Wrap(err)
	}
	all := append([]string{"--settings", d.settingsPath(operatorFile)}, arguments...)
	command := exec.CommandContext(ctx, binary, all...)
	command.Dir = d.Folder
	var out, errOut bytes.Buffer
	command.Stdout = &out
	command.Stderr = &errOut
	if err := command.Run(); err != nil {
		return out.String(), fmt.Errorf("zinniactl %v: %w: %s", arguments, err, errOut.String())
	}
	return out.String(), nil
}

// ApplyConfiguration accepts the example's configuration.
func (d *Deployment) ApplyConfiguration(ctx context.Context) error {
	_, err := d.RunOperatorCommand(ctx, "config", "apply", d.settingsPath(configurationFile))
	return err
}

// LogPath returns the path of the log of a process.
func (d *Deployment) LogPath(name string) string {
	return d.path("log", name+".log")
}

// Process returns the latest process of a name, such as "host-1-gateway", or
// nil.
func (d *Deployment) Process(name string) *Process {
	for i := len(d.processes) - 1; i >= 0; i-- {
		if d.processes[i].Name == name {
			return d.processes[i]
		}
	}
	return nil
}

// StandinSettings reads the settings of the stand-ins.
func (d *Deployment) StandinSettings(into *settings.Standin) error {
	return settings.Load(d.path(standinFile), into)
}

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

// Process is a started program of a deployment.
type Process struct {
	Name string
	// Log is the path of the file that takes its output.
	Log string

	command *exec.Cmd
	done    chan struct{}
	err     error       // valid once done is closed
	stopped atomic.Bool // set by Stop and Kill
}

// start starts a program in the deployment's folder and appends its output to its log.
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

// settingsPath returns the path of a settings file relative to the working directory of the
// processes.
func (d *Deployment) settingsPath(parts ...string) string {
	return filepath.Join(append([]string{"run", d.Name}, parts...)...)
}

// StartStandins starts the stand-ins of the platform, the engines and the plain services, which
// are one process.
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

// PID returns the id of the process.
func (p *Process) PID() int { return p.command.Process.Pid }

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} {
	return p.done
}

// Stop asks the process to shut down gracefully and waits until it has ended. If ctx ends first,
// Stop kills the process. A paused process is resumed first.
func (p *Process) Stop(ctx context.Context) error {
	p.stopped.Store(true)
	_ = p.Signal(syscall.SIGCONT)
	_ = p.Signal(syscall.SIGTERM)
	select {
	case <-p.done:
		return trace.Wrap(p.err)
	case <-ctx.Done():
		p.Kill()
		return trace.Wrap(ctx.Err(), "killed because it did not stop in time")
	}
}

// Kill kills the process and waits until it has ended.
func (p *Process) Kill() {
	p.stopped.Store(true)
	_ = p.command.Process.Kill()
	<-p.done
}

// StopAll stops every running process: gateways before controllers, since gateways hand their
// usage over to them, and the stand-ins last.
func (d *Deployment) StopAll(ctx context.Context) error {
	var failures []error
	for _, suffix := range []string{"-gateway", "-controller", ""} {
		failures = append(failures, d.stopEach(ctx, suffix))
	}
	return errors.Join(failures...)
}

// stopEach stops the processes whose names end with suffix, all at the same time.
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

// URL returns the URL at which callers reach a host's gateway.
func (d *Deployment) URL(host string) (string, error) {
	s, err := d.GatewaySettings(host)
	if err != nil {
		return "", err
	}
	return "http://" + s.Listen, nil
}

// PlatformURL returns the URL of the platform stand-in.
func (d *Deployment) PlatformURL() (string, error) {
	s := &settings.Standin{}
	if err := settings.Load(d.path(standinFile), s); err != nil {
		return "", err
	}
	return "http://" + s.Platform.Address, nil
}

// readyPoll is the interval between two checks for readiness.
const readyPoll = 100 * time.Millisecond

// WaitPlatform waits until the platform stand-in responds.
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

// waitFor polls a URL until accept returns true for the status. It returns an error as soon as a
// process has failed: another run's process may then respond at the address.
func (d *Deployment) waitFor(ctx context.Context, url string, accept func(status int) bool) error {
	for {
		if err := d.unexpectedExit(); err != nil {
			return err
		}
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			return trace.Wrap(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			_ = response.Body.Close()
			if accept(response.StatusCode) {
				return d.unexpectedExit()
			}
		}
		select {
		case <-time.After(readyPoll):
		case <-ctx.Done():
			return fmt.Errorf("waiting for %s: %w", url, ctx.Err())
		}
	}
}

// unexpectedExit returns an error if a process ended with one without being stopped.
func (d *Deployment) unexpectedExit() error {
	for _, p := range d.processes {
		select {
		case <-p.done:
			if p.err != nil && !p.stopped.Load() {
				return fmt.Errorf("%s ended unexpectedly: %w; see %s", p.Name, p.err, p.Log)
			}
		default:
		}
	}
	return nil
}

// RunOperatorCommand runs zinniactl and returns its standard output.
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

// ApplyConfiguration applies the example's configuration with zinniactl.
func (d *Deployment) ApplyConfiguration(ctx context.Context) error {
	_, err := d.RunOperatorCommand(ctx, "config", "apply", d.settingsPath(configurationFile))
	return err
}

// LogPath returns the path of the log of a process by its name.
func (d *Deployment) LogPath(name string) string {
	return d.path("log", name+".log")
}

// Process returns the latest process with a name, such as "host-1-gateway", or nil.
func (d *Deployment) Process(name string) *Process {
	for i := len(d.processes) - 1; i >= 0; i-- {
		if d.processes[i].Name == name {
			return d.processes[i]
		}
	}
	return nil
}

// StandinSettings reads the settings of the stand-ins into a struct.
func (d *Deployment) StandinSettings(into *settings.Standin) error {
	return settings.Load(d.path(standinFile), into)
}

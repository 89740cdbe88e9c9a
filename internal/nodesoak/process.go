package nodesoak

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"zinniapin/event"
	"zinniapin/internal/verdict"
	"zinniapin/settings"
	"zinniapin/zone"
)

// process is one zinnia-node process, together with the proxy between it and the store.
type process struct {
	name         string
	settings     settings.Node
	store        *proxy
	links        *links
	program      string
	settingsFile string
	log          *os.File
	limited      bool // the settings name the bounds of limits of organisations

	fileMu sync.Mutex // held while the settings file is broken, or a process reads it at its start; taken before mu

	mu        sync.Mutex
	command   *exec.Cmd
	ended     chan struct{}
	disturbed []verdict.Disruption
	frozen    bool
	told      bool // the process was told to end
	ownEnds   []verdict.End
}

// disturb records that the node is disturbed at present. No disturbance lasts longer than contactTime without
// another one at its end.
func (p *process) disturb() {
	p.mu.Lock()
	p.record(verdict.Harm)
	p.mu.Unlock()
}

// record records a disruption of the node. The caller holds mu.
func (p *process) record(kind verdict.Kind) {
	p.disturbed = append(p.disturbed, verdict.Disruption{Host: p.name, Kind: kind, Span: point()})
}

// addTo adds to a run what was done to the node, how its process ended by itself, and which invariants it logged as
// violated.
func (p *process) addTo(r *verdict.Run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.Disruptions = append(r.Disruptions, p.disturbed...)
	r.OwnEnds = append(r.OwnEnds, p.ownEnds...)
	lines, err := os.ReadFile(p.log.Name())
	if err != nil {
		r.Violations = append(r.Violations, verdict.Violation{Host: p.name, Text: "the log cannot be read: " + err.Error(), At: time.Now()})
	}
	for line := range bytes.Lines(lines) {
		if bytes.Contains(line, []byte(`"name":"`+event.InvariantViolated.Name+`"`)) {
			r.Violations = append(r.Violations, verdict.Violation{Host: p.name, Text: string(line), At: time.Now()})
		}
	}
}

// recordSignal records what a signal does to the node. The caller holds mu.
func (p *process) recordSignal(s syscall.Signal) {
	switch s {
	case syscall.SIGTERM:
		p.told = true
		p.record(verdict.Term)
	case syscall.SIGHUP:
		p.record(verdict.Reload)
	case syscall.SIGSTOP:
		p.record(verdict.Harm)
		p.frozen = true
	case syscall.SIGCONT:
		if p.frozen {
			p.record(verdict.Harm)
		}
		p.frozen = false
	default:
		p.told = true
		p.record(verdict.Restart)
	}
}

// Ports on which a node listens. Each node has a loopback address of its own.
const (
	listenPort = 8000 + iota
	readyPort
	meshPort
)

// hostAddress returns a loopback address for host i of a run. Runs with different seeds, and those of
// different processes, use different addresses, so that parallel runs do not take ports from each other.
func hostAddress(seed uint64, i, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 64+os.Getpid()%128, seed%250, i+1, port)
}

// newProcess prepares a node without starting it. Its settings and its log are files in
// folder. limited tells whether they name the bounds of limits of organisations.
func newProcess(program, folder string, seed uint64, i int, storeAddress, dutyServer string, limited bool) (*process, error) {
	p := &process{name: fmt.Sprint("h", i), program: program, limited: limited}
	var err error
	if p.store, err = newProxy(storeAddress); err != nil {
		return nil, err
	}
	p.links = newLinks(i)
	p.store.rewrite = p.links.rewrite
	p.settings = settings.Node{
		Host: p.name, Zone: zone.Name(fmt.Sprint("z", i%2)), Region: "north", Listen: hostAddress(seed, i, listenPort),
		Ready: hostAddress(seed, i, readyPort), Mesh: hostAddress(seed, i, meshPort),
		Seeds: []string{hostAddress(seed, 0, meshPort)}, Objects: p.store.address(), Orders: dutyServer, MemoryMB: 200, Duties: settings.NodeDuties{Usage: true},
		Bounds: settings.NodeBounds{GraceSeconds: 8, LeaseMillis: 1500, RetryRatio: 0.2, RetrySlack: 50, RetryWindowSeconds: 10, UsageWindowSeconds: 2, UsageLateSeconds: 10},
		Log:    settings.Log{Level: "info"},
	}
	if err := p.checkAddressesFree(); err != nil {
		return nil, err
	}
	p.settingsFile = filepath.Join(folder, p.name+".json")
	if err := p.writeSettings(p.settings); err != nil {
		return nil, err
	}
	p.log, err = os.OpenFile(filepath.Join(folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return p, err
}

// checkAddressesFree returns an error if a process listens where this node would: one of a run that was
// killed, which would answer in its place.
func (p *process) checkAddressesFree() error {
	for _, address := range []string{p.settings.Listen, p.settings.Ready, p.settings.Mesh} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return fmt.Errorf("the address of a node is taken, by a process of a killed run perhaps: %w", err)
		}
		_ = l.Close()
	}
	return nil
}

// writeSettings replaces the settings file.
func (p *process) writeSettings(s settings.Node) error {
	data, err := json.Marshal(s)
	if err == nil && p.limited {
		data, err = withLimitBounds(data)
	}
	if err != nil {
		return err
	}
	return p.replaceFile(data)
}

// replaceFile replaces the settings file atomically, so that the node never reads a partly
// written one.
func (p *process) replaceFile(data []byte) error {
	if err := os.WriteFile(p.settingsFile+".new", data, 0o600); err != nil {
		return err
	}
	return os.Rename(p.settingsFile+".new", p.settingsFile)
}

// reload changes the grace period in the settings and makes the process reload them. If
// broken is set, it first makes the process reload a file that is not valid JSON.
func (p *process) reload(broken bool, grace float64) error {
	p.fileMu.Lock()
	defer p.fileMu.Unlock()
	if broken {
		if err := p.replaceFile([]byte(`{"host": `)); err != nil {
			return err
		}
		if err := p.signal(syscall.SIGHUP); err != nil {
			return err
		}
		time.Sleep(200 * time.Millisecond)
	}
	changed := p.settings
	changed.Bounds.GraceSeconds = grace
	if err := p.writeSettings(changed); err != nil {
		return err
	}
	return p.signal(syscall.SIGHUP)
}

// settingsReadTime is the time within which a process that starts has read its settings.
const settingsReadTime = time.Second

// start starts the process unless it is running. Its settings file is sound until it has read it.
func (p *process) start() error {
	if p.running() {
		return nil
	}
	p.fileMu.Lock()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		p.fileMu.Unlock()
		return nil
	}
	time.AfterFunc(settingsReadTime, p.fileMu.Unlock)
	p.record(verdict.Restart)
	p.frozen, p.told = false, false
	c := exec.Command(p.program, "--settings", p.settingsFile)
	c.Stdout, c.Stderr = p.log, p.log
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.command, p.ended = c, ended
	go func() {
		_ = c.Wait() // the exit status does not matter: the run kills and stops processes
		p.mu.Lock()
		if !p.told {
			p.ownEnds = append(p.ownEnds, verdict.End{Host: p.name, At: time.Now()})
		}
		p.command = nil
		p.mu.Unlock()
		close(ended)
	}()
	return nil
}

// setProgram sets the program of the next start.
func (p *process) setProgram(program string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.program = program
}

// running tells whether the process runs.
func (p *process) running() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.command != nil
}

// signal sends a signal to this process if it is running.
func (p *process) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return nil
	}
	p.recordSignal(s)
	err := p.command.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// waitEnded waits until the process has ended and returns whether it did so within the
// limit.
func (p *process) waitEnded(limit time.Duration) bool {
	p.mu.Lock()
	ended, running := p.ended, p.command != nil
	p.mu.Unlock()
	if !running {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// ready returns whether the node reports that it is ready.
func (p *process) ready() bool {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + p.settings.Ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

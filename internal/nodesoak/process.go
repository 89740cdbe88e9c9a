package nodesoak

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"zinniapin/settings"
	"zinniapin/zone"
)

// process is one zinnia-node and the way to its store.
type process struct {
	name     string
	settings settings.Node
	store    *proxy
	program  string
	file     string
	log      *os.File

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
}

// Ports of a node, at an address of its own.
const (
	callersPort = 8000 + iota
	readyPort
	meshPort
)

// hostAddress returns an address of a run's host. Runs of other seeds have
// others, so that none takes a port of another one.
func hostAddress(seed uint64, i, port int) string {
	return fmt.Sprintf("127.77.%d.%d:%d", seed%250, i+1, port)
}

// newProcess prepares a node; its log goes to a file of the folder.
func newProcess(program, folder string, run uint64, i int, storeAddress, duties string) (*process, error) {
	p := &process{name: fmt.Sprint("h", i), program: program}
	var err error
	if p.store, err = newProxy(storeAddress); err != nil {
		return nil, err
	}
	p.settings = settings.Node{
		Host: p.name, Zone: zone.Name(fmt.Sprint("z", i%2)), Region: "north", Listen: hostAddress(run, i, callersPort),
		Ready: hostAddress(run, i, readyPort), Mesh: hostAddress(run, i, meshPort),
		Seeds: []string{hostAddress(run, 0, meshPort)}, Objects: p.store.address(), Orders: duties, MemoryMB: 200, Duties: settings.NodeDuties{Usage: true},
		Bounds: settings.NodeBounds{GraceSeconds: 8, LeaseMillis: 1500, RetryRatio: 0.2, RetrySlack: 50, RetryWindowSeconds: 10, UsageWindowSeconds: 2, UsageLateSeconds: 10},
		Log:    settings.Log{Level: "info"},
	}
	p.file = filepath.Join(folder, p.name+".json")
	if err := p.write(p.settings); err != nil {
		return nil, err
	}
	p.log, err = os.OpenFile(filepath.Join(folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	return p, err
}

// write replaces the settings file.
func (p *process) write(s settings.Node) error {
	data, err := json.Marshal(s)
	if err != nil {
		return err
	}
	return p.replace(data)
}

// replace replaces the settings file by some bytes at once, so that no half of
// it is read.
func (p *process) replace(data []byte) error {
	if err := os.WriteFile(p.file+".new", data, 0o600); err != nil {
		return err
	}
	return os.Rename(p.file+".new", p.file)
}

// reload changes the settings and tells the process, now and then after a file
// that cannot be used.
func (p *process) reload(broken bool, grace float64) error {
	if broken {
		if err := p.replace([]byte(`{"host": `)); err != nil {
			return err
		}
		if err := p.signal(syscall.SIGHUP); err != nil {
			return err
		}
		time.Sleep(200 * time.Millisecond)
	}
	changed := p.settings
	changed.Bounds.GraceSeconds = grace
	if err := p.write(changed); err != nil {
		return err
	}
	return p.signal(syscall.SIGHUP)
}

// start starts the process unless it runs.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		return nil
	}
	c := exec.Command(p.program, "--settings", p.file)
	c.Stdout, c.Stderr = p.log, p.log
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.command, p.ended = c, ended
	go func() {
		_ = c.Wait() // killed or stopped, as the run says
		p.mu.Lock()
		p.command = nil
		p.mu.Unlock()
		close(ended)
	}()
	return nil
}

// signal sends a signal to this process alone.
func (p *process) signal(s syscall.Signal) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return nil
	}
	err := p.command.Process.Signal(s)
	if errors.Is(err, os.ErrProcessDone) {
		return nil
	}
	return err
}

// wait waits until the process has ended.
func (p *process) wait(limit time.Duration) bool {
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

// ready returns whether the process says that it is ready.
func (p *process) ready() bool {
	client := &http.Client{Timeout: 500 * time.Millisecond}
	response, err := client.Get("http://" + p.settings.Ready + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

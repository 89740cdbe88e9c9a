package world

import (
	"bytes"
	"net/http"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"
)

// Node is a host with the one process that it runs.
type Node struct {
	Name, Zone     string
	Front, ReadyAt string
	control        string
	settings       string
	log            *os.File
	world          *World

	mu      sync.Mutex
	command *exec.Cmd
	ended   chan struct{}
	told    bool // the process was told to end
	ending  bool // End was called
	ownEnds []OwnEnd
	misses  int
}

// OwnEnd is the end of a process that nobody told to end.
type OwnEnd struct {
	At    time.Time
	State string
	Why   string
}

// RestartDelay is the time after which the platform starts a process again that has ended.
const RestartDelay = 300 * time.Millisecond

// Start starts the process. If it ends by itself, it is started again.
func (n *Node) Start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command != nil || n.ending {
		return nil
	}
	c := exec.Command(Program, "--settings", n.settings)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	var errors bytes.Buffer
	c.Stdout, c.Stderr = n.log, &errors
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no process outlives the case
	if err := startCommand(c); err != nil {
		return err
	}
	n.command, n.ended, n.told = c, make(chan struct{}), false
	n.world.Record.Add("%s: process %d is started", n.Name, c.Process.Pid)
	go func(ended chan struct{}) {
		_ = c.Wait() // the state tells how it ended
		n.mu.Lock()
		told := n.told
		n.command = nil
		if !told {
			why, _, _ := bytes.Cut(errors.Bytes(), []byte("\n"))
			n.ownEnds = append(n.ownEnds, OwnEnd{time.Now(), c.ProcessState.String(), string(why)})
			n.world.Record.Add("%s: process %d ENDS BY ITSELF: %s: %s", n.Name, c.Process.Pid, c.ProcessState, why)
			_ = os.WriteFile(n.settings+".stderr", errors.Bytes(), 0o600)
		} else {
			n.world.Record.Add("%s: process %d has ended: %s", n.Name, c.Process.Pid, c.ProcessState)
		}
		n.mu.Unlock()
		close(ended)
		if !told {
			time.Sleep(RestartDelay)
			_ = n.Start()
		}
	}(n.ended)
	return nil
}

// starts takes the functions that start processes. Pdeathsig counts from the end of the thread that started a process, so
// that all are started by one that does not end before the case.
var starts = func() chan<- func() {
	queue := make(chan func())
	go func() {
		runtime.LockOSThread()
		for start := range queue {
			start()
		}
	}()
	return queue
}()

// startCommand starts a process.
func startCommand(c *exec.Cmd) error {
	done := make(chan error)
	starts <- func() { done <- c.Start() }
	return <-done
}

// Signal sends a signal to the process.
func (n *Node) Signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.command == nil {
		return
	}
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		n.told = true
	}
	n.world.Record.Add("%s: %v to process %d", n.Name, s, n.command.Process.Pid)
	_ = n.command.Process.Signal(s)
}

// GraceTime is the time from SIGTERM to SIGKILL.
const GraceTime = 8 * time.Second

// AwaitEnd waits until the process has ended, and kills it after the grace time.
func (n *Node) AwaitEnd() {
	n.mu.Lock()
	ended, running := n.ended, n.command != nil
	n.mu.Unlock()
	if !running {
		return
	}
	select {
	case <-ended:
	case <-time.After(GraceTime):
		n.Signal(syscall.SIGKILL)
		<-ended
	}
}

// End ends the process for good.
func (n *Node) End() {
	n.mu.Lock()
	n.ending = true
	n.mu.Unlock()
	n.Signal(syscall.SIGKILL)
	n.AwaitEnd()
}

// OwnEnds returns the ends of processes that nobody told to end.
func (n *Node) OwnEnds() []OwnEnd {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]OwnEnd(nil), n.ownEnds...)
}

// Ready tells whether the process answers the readiness check.
func (n *Node) Ready() bool {
	client := &http.Client{Timeout: 800 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + n.ReadyAt + "/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// maxMisses is the number of readiness checks in a row without a 200 that takes a host out of rotation.
const maxMisses = 2

// probe makes one readiness check and counts the misses.
func (n *Node) probe() {
	ready := n.Ready()
	n.mu.Lock()
	defer n.mu.Unlock()
	if ready {
		n.misses = 0
	} else {
		n.misses++
	}
}

// inRotation tells whether the host gets new connections.
func (n *Node) inRotation() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.misses < maxMisses
}

// Balance asks each host once a second whether it is ready, until the deployment is closed.
func (w *World) Balance() {
	for _, n := range w.Nodes {
		go func() {
			for {
				select {
				case <-w.stopped:
					return
				case <-time.After(time.Second):
					n.probe()
				}
			}
		}()
	}
}

// Candidates returns the hosts that get new connections of clients in a zone: those in rotation, all hosts of the zone
// if fewer than half of them are, and those of other zones if none is.
func (w *World) Candidates(zone string) []*Node {
	var own, rotating, others []*Node
	for _, n := range w.Nodes {
		rotates := n.inRotation()
		switch {
		case n.Zone == zone && rotates:
			own, rotating = append(own, n), append(rotating, n)
		case n.Zone == zone:
			own = append(own, n)
		case rotates:
			others = append(others, n)
		}
	}
	switch {
	case len(rotating) == 0 && len(others) > 0:
		return others
	case 2*len(rotating) < len(own):
		return own
	default:
		return rotating
	}
}

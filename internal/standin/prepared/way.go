package prepared

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// WayMode is the state of the links from one host to a target.
type WayMode string

// Modes of a way.
const (
	WayOpen     WayMode = ""
	WaySilent   WayMode = "silent"           // nothing passes; new connections are not established
	WayReset    WayMode = "reset"            // open connections are reset, new ones refused
	WayOutbound WayMode = "one way"          // only bytes to the target pass; new connections are not established
	WayKept     WayMode = "new refused"      // open connections live on, new ones are refused
	WayKeptHang WayMode = "new not answered" // open connections live on, new ones are not established
)

// WayModes are all modes in which a way is lost.
var WayModes = []WayMode{WaySilent, WayReset, WayOutbound, WayKept, WayKeptHang}

// Way is the path from one host to a target. The host connects to the address of the way.
type Way struct {
	address, target string

	mu       sync.Mutex
	changed  *sync.Cond
	mode     WayMode
	listener net.Listener
	fillers  []net.Conn // connections that fill the queue of a listener that accepts none
	open     map[net.Conn]struct{}
	accepted int
	closed   bool
}

// wayHosts counts the loopback addresses that NewWay has given out.
var wayHosts atomic.Uint32

// NewWay returns an open way to the target at an address. It listens on a loopback address of its own, so that no
// other connection takes its port while it refuses connections.
func NewWay(target string) *Way {
	n := wayHosts.Add(1)
	w, err := NewWayAt(fmt.Sprintf("127.%d.%d.%d:0", 30+os.Getpid()%60, 1+n/250, 1+n%250), target)
	if err != nil {
		panic(err) // listening on loopback works on every machine that runs the tests
	}
	return w
}

// NewWayAt is NewWay with the address of the way.
func NewWayAt(address, target string) (*Way, error) {
	l, err := listenQueue(address, wayBacklog)
	if err != nil {
		return nil, err
	}
	w := &Way{address: l.Addr().String(), target: target, open: make(map[net.Conn]struct{}), listener: l}
	w.changed = sync.NewCond(&w.mu)
	go w.accept(l)
	return w, nil
}

const (
	// wayBacklog is the queue of new connections of an open way.
	wayBacklog = 128
	// fillTime is how long a connection to a full queue is tried.
	fillTime = 50 * time.Millisecond
	// maxFillers bounds the connections that fill a queue.
	maxFillers = 8
)

// listenQueue listens at an address with a bounded queue of new connections.
func listenQueue(address string, backlog int) (net.Listener, error) {
	at, err := net.ResolveTCPAddr("tcp4", address)
	if err != nil {
		return nil, err
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), address)
	defer file.Close() //nolint:errcheck // the listener has a descriptor of its own
	if err := syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1); err != nil {
		return nil, err
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Port: at.Port, Addr: [4]byte(at.IP.To4())}); err != nil {
		return nil, err
	}
	if err := syscall.Listen(fd, backlog); err != nil {
		return nil, err
	}
	return net.FileListener(file)
}

// Address returns the address at which the host reaches the target.
func (w *Way) Address() string { return w.address }

// Accepted returns how many connections were established so far.
func (w *Way) Accepted() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.accepted
}

// Close ends the way and its connections.
func (w *Way) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	w.stopListening()
	for c := range w.open {
		_ = c.Close()
	}
	w.changed.Broadcast()
}

// Set changes the mode. Bytes that were held up pass once the way is open again.
func (w *Way) Set(mode WayMode) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if mode == w.mode || w.closed {
		return
	}
	w.mode = mode
	w.stopListening()
	switch mode {
	case WayOpen:
		w.listen(wayBacklog)
		go w.accept(w.listener)
	case WaySilent, WayOutbound, WayKeptHang:
		w.listen(0)
		w.fill()
	case WayReset:
		for c := range w.open {
			reset(c)
		}
	}
	w.changed.Broadcast()
}

// stopListening makes the way refuse connections. The caller holds mu.
func (w *Way) stopListening() {
	if w.listener != nil {
		_ = w.listener.Close()
	}
	w.listener = nil
	for _, c := range w.fillers {
		_ = c.Close()
	}
	w.fillers = nil
}

// listen listens again. The caller holds mu.
func (w *Way) listen(backlog int) {
	l, err := listenQueue(w.address, backlog)
	if err != nil {
		panic(err) // the address is the way's own
	}
	w.listener = l
}

// fill fills the queue of new connections, so that no further one is established. The caller holds mu.
func (w *Way) fill() {
	for range maxFillers {
		c, err := net.DialTimeout("tcp", w.address, fillTime)
		if err != nil {
			return
		}
		w.fillers = append(w.fillers, c)
	}
}

// accept accepts connections until the listener is closed.
func (w *Way) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go w.forward(c)
	}
}

// forward copies bytes between a connection of the host and the target.
func (w *Way) forward(c net.Conn) {
	out, err := net.Dial("tcp", w.target)
	if err != nil {
		reset(c)
		return
	}
	w.mu.Lock()
	w.accepted++
	w.open[c], w.open[out] = struct{}{}, struct{}{}
	w.mu.Unlock()
	var copies sync.WaitGroup
	copies.Go(func() { w.copy(out, c, true) })
	copies.Go(func() { w.copy(c, out, false) })
	copies.Wait()
	w.mu.Lock()
	delete(w.open, c)
	delete(w.open, out)
	w.mu.Unlock()
}

// copy copies bytes in one direction until an end closes, and closes the other end in the same manner.
func (w *Way) copy(to, from net.Conn, outward bool) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		w.awaitPassage(outward)
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				reset(from)
				return
			}
		}
		if errors.Is(err, io.EOF) {
			_ = to.Close()
			return
		}
		if err != nil {
			reset(to)
			return
		}
	}
}

// awaitPassage waits until bytes may pass.
func (w *Way) awaitPassage(outward bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for !w.closed && (w.mode == WaySilent || w.mode == WayOutbound && !outward) {
		w.changed.Wait()
	}
}

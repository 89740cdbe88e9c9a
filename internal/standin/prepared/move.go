package prepared

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// MoveFault tells how an engine misbehaves on calls that copy or move a running request.
type MoveFault string

// Faults of such calls.
const (
	NoMoveFault   MoveFault = ""
	MoveMute      MoveFault = "mute"      // does nothing and never answers
	MoveLost      MoveFault = "lost"      // carries the call out and resets its connection
	MoveNoRun     MoveFault = "no run"    // answers 404, and the run goes on
	MoveBusy      MoveFault = "busy"      // answers 409, and the run goes on
	MoveNoRoom    MoveFault = "no room"   // answers 503 with a handle at the source; the last call stops the run
	MoveForgotten MoveFault = "forgotten" // as MoveNoRoom, with a handle that the source does not know any more
)

// MoveCall is a call that a target received to copy or move a running request.
type MoveCall struct {
	ID, Target string
	Last       bool
	At         time.Time
}

// run is a stream in progress.
type run struct {
	stop    chan struct{} // closed by the last call
	created int           // id of the last event that the engine has created
	calling bool
}

// movedRun is the memory of a run that was stopped, under the name by which it is fetched.
type movedRun struct {
	holder string // address of the engine that has it
	id     string // of the request
}

// movedRuns are those of all targets of the process, by IP:PORT/HANDLE.
var movedRuns = struct {
	sync.Mutex
	all  map[string]movedRun
	next int
}{all: make(map[string]movedRun)}

// movedHandlePrefix begins the handles of moved runs.
const movedHandlePrefix = "m-"

// keepMoved records the memory of a run of source, and returns its handle.
func keepMoved(source, holder, id string) string {
	movedRuns.Lock()
	defer movedRuns.Unlock()
	movedRuns.next++
	handle := fmt.Sprintf("%s%d", movedHandlePrefix, movedRuns.next)
	movedRuns.all[source+"/"+handle] = movedRun{holder, id}
	return handle
}

// takesMoved tells whether a request may run: it names no memory of a moved run, or one that this target has and
// that was not used before.
func (t *Target) takesMoved(request *http.Request) bool {
	source := request.Header.Get("X-Kv-Source")
	_, handle, _ := strings.Cut(source, "/")
	if !strings.HasPrefix(handle, movedHandlePrefix) {
		return true
	}
	movedRuns.Lock()
	defer movedRuns.Unlock()
	moved, ok := movedRuns.all[source]
	if !ok || moved.holder != t.Address() || moved.id != request.Header.Get("X-Request-Id") {
		return false
	}
	if t.switches().RefuseMoved {
		address, _, _ := strings.Cut(source, "/")
		movedRuns.all[source] = movedRun{address, moved.id} // the source still has it
		return false
	}
	delete(movedRuns.all, source)
	return true
}

// MoveCalls returns the calls that the target received.
func (t *Target) MoveCalls() []MoveCall {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]MoveCall(nil), t.moveCalls...)
}

// beginRun records that a request runs.
func (t *Target) beginRun(id string) *run {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running == nil {
		t.running = make(map[string]*run)
	}
	r := &run{stop: make(chan struct{})}
	t.running[id] = r
	return r
}

// endRun records that a run has ended.
func (t *Target) endRun(id string, r *run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.running[id] == r {
		delete(t.running, id)
	}
}

// stopped tells whether a call has stopped the run.
func (r *run) stopped() bool {
	select {
	case <-r.stop:
		return true
	default:
		return false
	}
}

// create records that an event was created, unless the run was stopped.
func (t *Target) create(r *run, event int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r.stopped() {
		return false
	}
	r.created = event
	return true
}

// handleMove carries out a call that copies or moves a running request, and returns whether its connection stays
// open.
func (t *Target) handleMove(c net.Conn, reader *bufio.Reader, request *http.Request) bool {
	var call struct {
		ID     string `json:"Id"`
		Target string
		Last   bool
	}
	if json.NewDecoder(request.Body).Decode(&call) != nil {
		return t.reply(c, request, http.StatusBadRequest, "", "")
	}
	_, _ = io.Copy(io.Discard, request.Body)
	switches := t.switches()
	t.mu.Lock()
	t.moveCalls = append(t.moveCalls, MoveCall{call.ID, call.Target, call.Last, time.Now()})
	r := t.running[call.ID]
	busy := r != nil && r.calling
	if r != nil {
		r.calling = true
	}
	t.mu.Unlock()
	switch {
	case switches.MoveFault == MoveMute:
		_, _ = reader.Peek(1) // blocks until the caller disconnects
		return false
	case r == nil, switches.MoveFault == MoveNoRun:
		t.endCall(r)
		return t.reply(c, request, http.StatusNotFound, "", "")
	case busy, switches.MoveFault == MoveBusy:
		return t.reply(c, request, http.StatusConflict, "", "")
	}
	if call.Last {
		t.mu.Lock()
		if !r.stopped() {
			close(r.stop)
		}
		if switches.MoveTail > 0 {
			r.created++ // stream writes that event later
		}
		t.mu.Unlock()
	}
	time.Sleep(switches.MoveTime)
	t.mu.Lock()
	r.calling = false
	created := r.created
	t.mu.Unlock()
	status, holder := http.StatusOK, call.Target
	switch switches.MoveFault {
	case MoveLost:
		reset(c)
		return false
	case MoveNoRoom:
		status, holder = http.StatusServiceUnavailable, t.Address()
	case MoveForgotten:
		status, holder = http.StatusServiceUnavailable, ""
	}
	handle := keepMoved(t.Address(), holder, call.ID)
	return t.reply(c, request, status, "", fmt.Sprintf(`{"KvHandle":%q,"Created":%d}`, handle, created))
}

// endCall records that a call for a run has ended.
func (t *Target) endCall(r *run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r != nil {
		r.calling = false
	}
}

// Leave makes the target list itself as leaving within a time, and crash for good then. With stated set to false
// its entry does not state the time.
func (t *Target) Leave(within time.Duration, stated bool) {
	t.mu.Lock()
	t.leaving = true
	if stated {
		t.leavesAt = time.Now().Add(within)
	}
	t.mu.Unlock()
	time.AfterFunc(within, func() {
		t.mu.Lock()
		t.closed = true
		t.mu.Unlock()
		t.Crash("")
	})
}

// ListAsLeaving makes the entry of the target say that it leaves within a time. The target stays.
func (t *Target) ListAsLeaving(within time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leaving, t.leavesAt = true, time.Now().Add(within)
}

// leavingFields adds what Leave says to the target's entry.
func (t *Target) leavingFields(entry map[string]any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.leaving {
		return
	}
	entry["State"] = "draining"
	if !t.leavesAt.IsZero() {
		entry["leaves_ms"] = max(time.Until(t.leavesAt).Milliseconds(), 1)
	}
}

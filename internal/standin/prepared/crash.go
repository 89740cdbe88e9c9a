package prepared

import (
	"net"
	"net/http"
	"slices"
	"strings"
	"time"
)

// crasher makes a target end as a killed process does and start again at the same address.
type crasher struct {
	crashes     []Crash
	started     time.Time // the latest start after a crash
	connections map[net.Conn]struct{}
}

// Crash is an end of a target.
type Crash struct {
	At   time.Time
	Part string // of the prompt that ended it, or the body of the request that did; empty if none did
}

// CrashOn makes the target end whenever it begins to write the answer to a request with one of these
// parts in its prompt, the last one excepted, and start again after some time.
func (t *Target) CrashOn(restartAfter time.Duration, parts ...string) {
	t.mu.Lock()
	t.CrashParts, t.RestartAfter = parts, restartAfter
	t.mu.Unlock()
}

// CrashOnBody makes the target end whenever it begins to run a request with one of these bodies, and start
// again after some time.
func (t *Target) CrashOnBody(restartAfter time.Duration, bodies ...string) {
	t.mu.Lock()
	t.CrashBodies, t.RestartAfter = bodies, restartAfter
	t.mu.Unlock()
}

// crashOnBody ends the target if a body is one of CrashOnBody, and returns whether it did.
func (t *Target) crashOnBody(body string) bool {
	t.mu.Lock()
	fatal := slices.Contains(t.CrashBodies, body)
	t.mu.Unlock()
	if fatal {
		t.Crash(body)
	}
	return fatal
}

// Crashes returns when the target ended.
func (t *Target) Crashes() []Crash {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Crash(nil), t.crasher.crashes...)
}

// HasPart tells whether a request has a part in its prompt that is not the last.
func HasPart(h http.Header, part string) bool {
	parts := strings.Split(h.Get("X-Prompt-Prefix"), ",")
	for _, p := range parts[:len(parts)-1] {
		if id, _, _ := strings.Cut(p, ":"); id == part {
			return true
		}
	}
	return false
}

// crashIfPoisoned ends the target if the prompt of a request has the part of CrashOn, and returns
// whether it did.
func (t *Target) crashIfPoisoned(h http.Header) bool {
	for _, part := range t.switches().CrashParts {
		if HasPart(h, part) {
			t.Crash(part)
			return true
		}
	}
	return false
}

// Crash closes the listener and resets all connections. The target starts again at the same address. The
// part is that of the prompt that ended it, if one did.
func (t *Target) Crash(part string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listener == nil {
		return // it has ended already
	}
	t.crasher.crashes = append(t.crasher.crashes, Crash{time.Now(), part})
	address := t.listener.Addr().String()
	_ = t.listener.Close()
	t.listener = nil
	for c := range t.crasher.connections {
		reset(c)
	}
	time.AfterFunc(t.RestartAfter, func() { t.listenAgain(address) })
}

// CrashInto is Crash; the target starts again as another software version.
func (t *Target) CrashInto(version string, restartAfter time.Duration) {
	t.mu.Lock()
	t.Version, t.RestartAfter = version, restartAfter
	t.mu.Unlock()
	t.Crash("")
}

// softwareVersion returns the version of the target's software.
func (t *Target) softwareVersion() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.Version
}

// listenAgain opens the listener anew, unless the target was closed for good.
func (t *Target) listenAgain(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		return
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		time.AfterFunc(20*time.Millisecond, func() { t.listenAgain(address) }) // a caller's connection has the port
		return
	}
	t.listener, t.crasher.started = l, time.Now()
	go t.accept(l)
}

// startedAgain returns the latest start after a crash; the zero time if there was no crash.
func (t *Target) startedAgain() time.Time {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.crasher.started
}

// track records an open connection until the returned function is called.
func (t *Target) track(c net.Conn) (untrack func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.crasher.connections == nil {
		t.crasher.connections = make(map[net.Conn]struct{})
	}
	t.crasher.connections[c] = struct{}{}
	return func() {
		t.mu.Lock()
		delete(t.crasher.connections, c)
		t.mu.Unlock()
	}
}

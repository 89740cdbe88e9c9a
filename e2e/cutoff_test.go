package e2e

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"

	"zinniapin/internal/deploy"
)

// relay passes connections on to an address, until it is cut: it then takes
// connections and bytes and passes nothing on, as a network that drops packets.
type relay struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	cut   bool
	conns []net.Conn
}

// startRelay listens at an address.
func startRelay(t *testing.T, address, to string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: listener, to: to}
	go r.accept()
	t.Cleanup(func() { _ = listener.Close(); r.set(true); r.set(false) })
	return r
}

// accept takes connections until the listener closes.
func (r *relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.pass(near)
	}
}

// pass joins a connection with one to the other side.
func (r *relay) pass(near net.Conn) {
	if !r.keep(near) {
		return // silent until the cut ends
	}
	far, err := net.Dial("tcp", r.to)
	if err != nil {
		_ = near.Close()
		return
	}
	if !r.keep(far) {
		return
	}
	go r.copy(far, near)
	r.copy(near, far)
}

// keep notes a connection; it returns false while the relay is cut.
func (r *relay) keep(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns = append(r.conns, c)
	return !r.cut
}

// isCut tells whether the relay is cut.
func (r *relay) isCut() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.cut
}

// copy passes bytes on one way; what comes during a cut is dropped.
func (r *relay) copy(to, from net.Conn) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if r.isCut() {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// set cuts the relay or ends the cut, which ends the connections of before.
func (r *relay) set(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cut = cut
	if cut {
		return
	}
	for _, c := range r.conns {
		_ = c.Close()
	}
	r.conns = nil
}

// TestHostCutFromPlatform cuts one host off from all of the platform, silently,
// while it reaches the other hosts. Its gateway serves on, learns of changes
// through the other controllers, and refuses deposits unrun; deposits run at the
// other gateways. All of its usage is reported when the cut ends.
func TestHostCutFromPlatform(t *testing.T) {
	t.Parallel()
	var way *relay
	r := startEdited(t, 3, func(network, path string, content []byte) []byte {
		if way == nil {
			way = startRelay(t, network+"201:8500", network+"100:8500")
		}
		if strings.HasPrefix(path, "host-3") {
			return []byte(strings.ReplaceAll(string(content), network+"100:8500", network+"201:8500"))
		}
		return content
	})
	s, err := r.GatewaySettings("host-3")
	r.is.NoErr(err)
	r.is.True(strings.HasSuffix(s.Platform.Objects, "201:8500"))
	r.generous("parents-portal")
	key, leaked := r.key("parents-portal"), r.key("programme-drafts")
	served := map[string]uint64{}
	chat := func() {
		r.is.Equal(r.chat(2, key, "triage", 4, false).Status, http.StatusOK)
		served["parents-portal"]++
	}
	chat()
	way.set(true)
	answer, err := r.deposit(2, key, "cut", "booking-4")
	r.is.NoErr(err)
	r.is.Equal(answer.Status, http.StatusServiceUnavailable)
	r.is.True(strings.Contains(answer.Body, `"execution":"not_run"`))
	r.is.Equal(r.runs("booking-4"), 0)
	_, err = r.RunOperatorCommand(r.ctx, "key", "withdraw", deploy.Fingerprint(leaked))
	r.is.NoErr(err)
	r.eventually("the withdrawal is in force at the host that is cut off", func() bool {
		return r.chat(2, leaked, "assistant", 4, false).Status == http.StatusUnauthorized
	})
	for range 20 {
		chat()
	}
	answer, err = r.deposit(0, key, "elsewhere", "booking-5")
	r.is.NoErr(err)
	r.is.Equal(answer.Status, http.StatusCreated)
	way.set(false)
	r.eventually("the deposit is taken", func() bool {
		answer, err := r.deposit(2, key, "cut", "booking-4")
		return err == nil && answer.Status == http.StatusCreated
	})
	r.is.Equal(r.runs("booking-4"), 1)
	r.is.Equal(r.runs("booking-5"), 1)
	r.checkReports(served)
}

// startEdited is start with a change of settings files, by network and path.
func startEdited(t *testing.T, hosts int, edit func(network, path string, content []byte) []byte) *rig {
	t.Helper()
	network := reserve(t)
	return startOn(t, network, hosts, func(path string, content []byte) []byte {
		return edit(network, path, shortWindows(path, content))
	})
}

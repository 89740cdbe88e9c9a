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

// proxy forwards TCP connections to an address. While it is cut, it accepts connections
// and reads bytes but forwards nothing, like a network that drops all packets.
type proxy struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	cut   bool
	conns []net.Conn
}

// startProxy starts a proxy that listens at address and forwards connections to the
// address to.
func startProxy(t *testing.T, address, to string) *proxy {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	p := &proxy{listener: listener, to: to}
	go p.accept()
	t.Cleanup(func() { _ = listener.Close(); p.setCut(true); p.setCut(false) })
	return p
}

// accept accepts connections until the listener is closed.
func (p *proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.forward(client)
	}
}

// forward connects a client to the server and copies bytes both ways.
func (p *proxy) forward(client net.Conn) {
	if !p.track(client) {
		return // setCut closes the connection when the cut ends
	}
	server, err := net.Dial("tcp", p.to)
	if err != nil {
		_ = client.Close()
		return
	}
	if !p.track(server) {
		return
	}
	go p.copy(server, client)
	p.copy(client, server)
}

// track registers a connection for setCut to close. It returns false while the proxy is
// cut.
func (p *proxy) track(c net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, c)
	return !p.cut
}

// isCut tells whether the proxy is cut.
func (p *proxy) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

// copy copies bytes in one direction. From a cut on it discards what it reads.
func (p *proxy) copy(to, from net.Conn) {
	defer func() { _ = to.Close() }()
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		if p.isCut() {
			_, _ = io.Copy(io.Discard, from)
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

// setCut begins a cut, or ends it and closes all connections that were opened before.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
	if cut {
		return
	}
	for _, c := range p.conns {
		_ = c.Close()
	}
	p.conns = nil
}

// TestHostCutFromPlatform drops all traffic between one host and the platform while the
// host still reaches the other hosts. Its gateway must go on serving, receive changes through
// the other controllers, and refuse deposits without executing them. Deposits at other
// gateways must be executed. After the cut, the platform must have all usage of the host.
func TestHostCutFromPlatform(t *testing.T) {
	t.Parallel()
	var platformProxy *proxy
	r := startEdited(t, 3, func(network, path string, content []byte) []byte {
		if platformProxy == nil {
			platformProxy = startProxy(t, network+"201:8500", network+"100:8500")
		}
		if strings.HasPrefix(path, "host-3") {
			return []byte(strings.ReplaceAll(string(content), network+"100:8500", network+"201:8500"))
		}
		return content
	})
	s, err := r.GatewaySettings("host-3")
	r.is.NoErr(err)
	r.is.True(strings.HasSuffix(s.Platform.Objects, "201:8500"))
	r.raiseLimits("parents-portal")
	key, leaked := r.key("parents-portal"), r.key("programme-drafts")
	served := map[string]uint64{}
	chat := func() {
		r.is.Equal(r.chat(2, key, "triage", 4, false).Status, http.StatusOK)
		served["parents-portal"]++
	}
	chat()
	platformProxy.setCut(true)
	answer, err := r.deposit(2, key, "cut", "booking-4")
	r.is.NoErr(err)
	r.is.Equal(answer.Status, http.StatusServiceUnavailable)
	r.is.True(strings.Contains(answer.Body, `"execution":"not_run"`))
	r.is.Equal(r.executions("booking-4"), 0)
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
	platformProxy.setCut(false)
	r.eventually("the host that was cut off accepts the deposit", func() bool {
		answer, err := r.deposit(2, key, "cut", "booking-4")
		return err == nil && answer.Status == http.StatusCreated
	})
	r.is.Equal(r.executions("booking-4"), 1)
	r.is.Equal(r.executions("booking-5"), 1)
	r.checkReports(served, waitTimeout)
}

// startEdited is start with a function that edits the settings files. The function gets
// the network and the path and content of a file.
func startEdited(t *testing.T, hosts int, edit func(network, path string, content []byte) []byte) *testDeployment {
	t.Helper()
	network := reserveNetwork(t)
	return startOn(t, network, hosts, func(path string, content []byte) []byte {
		return edit(network, path, shortWindows(path, content))
	})
}

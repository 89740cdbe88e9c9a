package yamuxlink

import (
	"bytes"
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"zinniapin/internal/certs"
	"zinniapin/machine"
	"zinniapin/result"
)

// TestIdentityIsThatOfTheCertificate checks that a listener refuses and logs peers
// whose Hello claims a host or a role that is not in their certificate, and
// accepts those whose certificate holds both.
func TestIdentityIsThatOfTheCertificate(t *testing.T) {
	is := is.New(t)
	a, err := certs.NewAuthority()
	is.NoErr(err)
	var refusals refusalCounter
	logger := zerolog.New(&refusals)
	listener := newNetwork("host-b", issueTLS(t, a, "host-b"))
	listener.Log = &logger
	address, accepted := listen(t, listener)
	hostRoles := []machine.Role{machine.Gateway, machine.Controller}
	expected := int32(0)
	for name, c := range map[string]struct {
		host     string // host of the certificate
		roles    []machine.Role
		claimed  machine.Role
		accepted bool
	}{
		"a host's gateway":              {"host-a", hostRoles, machine.Gateway, true},
		"a host's controller":           {"host-a", hostRoles, machine.Controller, true},
		"an operator":                   {"host-a", []machine.Role{machine.Operator}, machine.Operator, true},
		"an operator as controller":     {"host-a", []machine.Role{machine.Operator}, machine.Controller, false},
		"an operator as gateway":        {"host-a", []machine.Role{machine.Operator}, machine.Gateway, false},
		"a host as operator":            {"host-a", hostRoles, machine.Operator, false},
		"a gateway alone as controller": {"host-a", []machine.Role{machine.Gateway}, machine.Controller, false},
		"no role":                       {"host-a", nil, machine.Gateway, false},
		"another host":                  {"host-c", hostRoles, machine.Gateway, false},
	} {
		n := newNetwork("host-a", issueTLSForRoles(t, a, c.host, c.roles...))
		n.Self.Role = c.claimed
		l, err := n.Dial(context.Background(), address, echo)
		if c.accepted {
			is.NoErr(err)
			is.Equal((<-accepted).Peer().Role, c.claimed)
			is.NoErr(l.Close())
			continue
		}
		expected++
		if result.CodeOf(err) != result.LinkIdentityRefused {
			t.Errorf("%s: %v", name, err)
		}
	}
	is.Equal(len(accepted), 0)
	for deadline := time.Now().Add(eventTimeout); refusals.Load() < expected; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(deadline)) // each refusal is logged
	}
	is.Equal(refusals.Load(), expected)
}

// refusalCounter is a log output that counts the lines of event 3006, a refused
// identity.
type refusalCounter struct {
	atomic.Int32
}

// Write implements io.Writer.
func (e *refusalCounter) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte(`"event":3006`)) {
		e.Add(1)
	}
	return len(line), nil
}

// TestDiallerTakesControllersOnly checks that a dialler refuses a listener with the
// certificate of a gateway, whether it claims that role or that of a controller.
func TestDiallerTakesControllersOnly(t *testing.T) {
	is := is.New(t)
	a, err := certs.NewAuthority()
	is.NoErr(err)
	for _, claimed := range []machine.Role{machine.Gateway, machine.Controller} {
		listener := newNetwork("host-b", issueTLSForRoles(t, a, "host-b", machine.Gateway))
		listener.Self.Role = claimed
		address, _ := listen(t, listener)
		_, err = newNetwork("host-a", issueTLS(t, a, "host-a")).Dial(context.Background(), address, echo)
		is.Equal(result.CodeOf(err), result.LinkIdentityRefused)
	}
}

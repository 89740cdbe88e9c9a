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

// TestIdentityIsThatOfTheCertificate covers peers whose Hello claims a host or
// a role that their certificate does not give, and those that may claim it.
func TestIdentityIsThatOfTheCertificate(t *testing.T) {
	is := is.New(t)
	a, err := certs.NewAuthority()
	is.NoErr(err)
	var logged identityEvents
	logger := zerolog.New(&logged)
	listener := networkOf("host-b", issue(t, a, "host-b"))
	listener.Log = &logger
	address, accepted := listen(t, listener)
	daemon := []machine.Role{machine.Gateway, machine.Controller}
	refused := int32(0)
	for name, c := range map[string]struct {
		holder string // whose certificate it is
		roles  []machine.Role
		claims machine.Role
		let    bool
	}{
		"a host's gateway":              {"host-a", daemon, machine.Gateway, true},
		"a host's controller":           {"host-a", daemon, machine.Controller, true},
		"an operator":                   {"host-a", []machine.Role{machine.Operator}, machine.Operator, true},
		"an operator as controller":     {"host-a", []machine.Role{machine.Operator}, machine.Controller, false},
		"an operator as gateway":        {"host-a", []machine.Role{machine.Operator}, machine.Gateway, false},
		"a host as operator":            {"host-a", daemon, machine.Operator, false},
		"a gateway alone as controller": {"host-a", []machine.Role{machine.Gateway}, machine.Controller, false},
		"no role":                       {"host-a", nil, machine.Gateway, false},
		"another host":                  {"host-c", daemon, machine.Gateway, false},
	} {
		n := networkOf("host-a", issueRoles(t, a, c.holder, c.roles...))
		n.Self.Role = c.claims
		l, err := n.Dial(context.Background(), address, echo)
		if c.let {
			is.NoErr(err)
			is.Equal((<-accepted).Peer().Role, c.claims)
			is.NoErr(l.Close())
			continue
		}
		refused++
		if result.CodeOf(err) != result.LinkIdentityRefused {
			t.Errorf("%s: %v", name, err)
		}
	}
	is.Equal(len(accepted), 0)
	for end := time.Now().Add(generous); logged.Load() < refused; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end)) // each refusal is logged
	}
	is.Equal(logged.Load(), refused)
}

// identityEvents counts the lines of event 3006.
type identityEvents struct {
	atomic.Int32
}

// Write implements io.Writer.
func (e *identityEvents) Write(line []byte) (int, error) {
	if bytes.Contains(line, []byte(`"event":3006`)) {
		e.Add(1)
	}
	return len(line), nil
}

// TestDiallerTakesControllersOnly lets processes listen that are none: with
// their own role and with one that their certificate does not give.
func TestDiallerTakesControllersOnly(t *testing.T) {
	is := is.New(t)
	a, err := certs.NewAuthority()
	is.NoErr(err)
	for _, claims := range []machine.Role{machine.Gateway, machine.Controller} {
		listener := networkOf("host-b", issueRoles(t, a, "host-b", machine.Gateway))
		listener.Self.Role = claims
		address, _ := listen(t, listener)
		_, err = networkOf("host-a", issue(t, a, "host-a")).Dial(context.Background(), address, echo)
		is.Equal(result.CodeOf(err), result.LinkIdentityRefused)
	}
}

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"zinniapin/configuration"
	"zinniapin/contract"
	"zinniapin/control"
	"zinniapin/controller"
	"zinniapin/internal/certs"
	"zinniapin/internal/standin/objects"
	"zinniapin/link"
	"zinniapin/link/yamuxlink"
	"zinniapin/machine"
	"zinniapin/poison"
	"zinniapin/result"
	"zinniapin/settings"
	"zinniapin/uplink"
	"zinniapin/usage"
	"zinniapin/wire"
	"zinniapin/zone"
)

// waitTimeout is the maximum time that a test waits for a condition.
const waitTimeout = 40 * time.Second

// stubGateway is a gateway without requests. It records the revision in force.
type stubGateway struct {
	control.Gateway
	revision atomic.Uint64
}

func (g *stubGateway) PoolLoads() []control.PoolLoad { return nil }

func (g *stubGateway) Configure(s *contract.Snapshot)       { g.revision.Store(uint64(s.Revision)) }
func (g *stubGateway) Observe([]control.TargetState)        {}
func (g *stubGateway) SetConnectivity(control.Connectivity) {}
func (g *stubGateway) Demands() []control.Demand            { return nil }
func (g *stubGateway) Usage() []usage.Counter               { return nil }
func (g *stubGateway) Explain(requestID string) []byte      { return []byte(`"` + requestID + `"`) }

func (*stubGateway) CrashEvidence(int, time.Duration) []poison.Evidence { return nil }

func (*stubGateway) MergeCrashEvidence([]poison.Evidence) {}

// freeAddress returns an address at which nothing listens. Its IP is not 127.0.0.1, which
// outgoing connections on loopback come from, so none of them can take the port before a
// controller listens at it.
func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.78.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// loadSettings writes the settings of a host's controller to a file, checks the file with
// --check and loads it.
func loadSettings(t *testing.T, directory, host, links string, seeds []string) *settings.Controller {
	raw, err := json.Marshal(map[string]any{
		"host": host, "zone": "riga-a", "region": "baltic", "operators": "127.0.0.1:0", "links": links, "seeds": seeds,
		"tls":      map[string]any{"certificate": filepath.Join(directory, host+".pem"), "key": filepath.Join(directory, host+"-key.pem"), "authority": filepath.Join(directory, "authority.pem")},
		"platform": map[string]any{"objects": "http://127.0.0.1:1", "targets": "http://127.0.0.1:1", "usage": "http://127.0.0.1:1", "hosts": "http://127.0.0.1:1"},
	})
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(directory, host+".json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := run([]string{"--settings", file, "--check"}); err != nil {
		t.Fatal(err)
	}
	s := &settings.Controller{}
	if err := settings.Load(file, s); err != nil {
		t.Fatal(err)
	}
	return s
}

// waitFor polls until a condition holds. It fails the test after waitTimeout.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what, "did not happen in time")
		}
	}
}

// TestControllersOverTLS runs three controllers and the uplink of a gateway over TCP and
// mutual TLS. It checks that the gateway gets the configuration, that status and explain
// requests are answered, and that a leaving controller is seen as leaving by the others.
func TestControllersOverTLS(t *testing.T) {
	is := is.New(t)
	directory := t.TempDir()
	authority, err := certs.NewAuthority()
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	defer func() { cancel(); loops.Wait() }()
	seeds := []string{freeAddress(t), freeAddress(t), freeAddress(t)}
	objectStore := objects.New()
	var running []*controller.Controller
	var stops []context.CancelFunc
	for i, address := range seeds {
		host := fmt.Sprint("host-", i)
		is.NoErr(authority.WriteHost(directory, host, machine.Gateway, machine.Controller, machine.Operator))
		config, _, err := configure(loadSettings(t, directory, host, address, seeds), prometheus.NewRegistry())
		is.NoErr(err)
		log := zerolog.Nop()
		config.Store, config.Hosts, config.Log = objectStore, nil, &log
		k := controller.New(config)
		controllerCtx, stop := context.WithCancel(ctx)
		running, stops = append(running, k), append(stops, stop)
		loops.Go(func() { is.NoErr(k.Run(controllerCtx)) })
	}
	proposal := configuration.Proposal{ID: "first", Fleet: &contract.Fleet{Zones: []zone.Zone{{Name: "riga-a", Region: "baltic"}}}}
	_, err = configuration.Accept(ctx, objectStore, proposal, time.Now())
	is.NoErr(err)

	g := &stubGateway{}
	self := machine.Process{Host: "host-0", Role: machine.Gateway, Incarnation: 7, Zone: zone.Zone{Name: "riga-a", Region: "baltic"}}
	log := zerolog.Nop()
	certificates, err := yamuxlink.LoadCertificates(loadSettings(t, directory, "host-0", seeds[0], seeds).TLS, self, &log)
	is.NoErr(err)
	clientTLS := certificates.TLS()
	network := &yamuxlink.Network{Self: self, TLS: clientTLS, Log: &log}
	u := uplink.New(uplink.Config{Self: self, LocalController: seeds[0], Seeds: seeds[1:], Network: network, Log: &log})
	loops.Go(func() { is.NoErr(u.Run(ctx, g)) })
	waitFor(t, "the configuration at the gateway", func() bool { return g.revision.Load() == 1 })
	for _, k := range running {
		waitFor(t, "a ready controller that knows all members", func() bool { return k.Ready() == nil && len(k.Members()) == 4 })
	}

	operator := machine.Process{Host: "host-0", Role: machine.Operator, Incarnation: 8}
	l, err := (&yamuxlink.Network{Self: operator, TLS: clientTLS, Log: &log}).Dial(ctx, seeds[2], link.HandlerFunc(nil))
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	requestStatus := func(topic, argument string) (*wire.Envelope, error) {
		q := &wire.StatusRequest{Topic: topic, Argument: argument}
		return l.Call(ctx, &wire.Envelope{Body: &wire.Envelope_StatusRequest{StatusRequest: q}})
	}
	for _, topic := range []string{controller.TopicMembers, controller.TopicTargets, controller.TopicConfig, controller.TopicGrants, controller.TopicLinks} {
		reply, err := requestStatus(topic, "")
		is.NoErr(err)
		is.True(json.Valid(reply.GetStatusReply().Json))
	}
	_, err = requestStatus("weather", "")
	is.Equal(result.CodeOf(err), result.NoSuchTopic)
	waitFor(t, "the answer of the gateway to explain", func() bool {
		reply, err := requestStatus(controller.TopicExplain, self.ID()+" request-9")
		return err == nil && string(reply.GetStatusReply().Json) == `"request-9"`
	})

	running[1].Leave(ctx)
	stops[1]()
	is.True(running[1].Ready() != nil)
	waitFor(t, "the departure", func() bool { return isLeaving(running[0], "host-1") && isLeaving(running[2], "host-1") })
}

// isLeaving reports whether a controller knows that another host's controller is leaving
// or has left.
func isLeaving(k *controller.Controller, host machine.HostID) bool {
	for _, m := range k.Members() {
		if m.Process.Host == host && m.Process.Role == machine.Controller {
			return m.Leaving
		}
	}
	return true
}

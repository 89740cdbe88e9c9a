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
	"zinniapin/result"
	"zinniapin/settings"
	"zinniapin/uplink"
	"zinniapin/usage"
	"zinniapin/wire"
	"zinniapin/zone"
)

// generous is how long a test waits for something that must come.
const generous = 40 * time.Second

// quietGateway notes the revision in force and asks for nothing.
type quietGateway struct {
	control.Gateway
	revision atomic.Uint64
}

func (g *quietGateway) PoolLoads() []control.PoolLoad { return nil }

func (g *quietGateway) Configure(s *contract.Snapshot)       { g.revision.Store(uint64(s.Revision)) }
func (g *quietGateway) Observe([]control.TargetState)        {}
func (g *quietGateway) SetConnectivity(control.Connectivity) {}
func (g *quietGateway) Demands() []control.Demand            { return nil }
func (g *quietGateway) Usage() []usage.Counter               { return nil }
func (g *quietGateway) Explain(requestID string) []byte      { return []byte(`"` + requestID + `"`) }

// freeAddress returns an address that nobody listens at. Outgoing connections on
// loopback come from 127.0.0.1, so none can take the port before it is used.
func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.78.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// settingsOf writes and loads the settings of a host.
func settingsOf(t *testing.T, directory, host, links string, seeds []string) *settings.Controller {
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

// await polls until a condition holds.
func await(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(generous); !condition(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal(what, "did not come")
		}
	}
}

// TestControllersOverTLS runs three controllers and a gateway's uplink over
// TCP and mutual TLS: configuration, status, a question about a request, and
// the leaving of one controller.
func TestControllersOverTLS(t *testing.T) {
	is := is.New(t)
	directory := t.TempDir()
	authority, err := certs.NewAuthority()
	is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	defer func() { cancel(); loops.Wait() }()
	seeds := []string{freeAddress(t), freeAddress(t), freeAddress(t)}
	kept := objects.New()
	var running []*controller.Controller
	var stops []context.CancelFunc
	for i, address := range seeds {
		host := fmt.Sprint("host-", i)
		is.NoErr(authority.WriteHost(directory, host, machine.Gateway, machine.Controller, machine.Operator))
		config, err := configure(settingsOf(t, directory, host, address, seeds), prometheus.NewRegistry())
		is.NoErr(err)
		log := zerolog.Nop()
		config.Store, config.Hosts, config.Log = kept, nil, &log
		k := controller.New(config)
		one, stop := context.WithCancel(ctx)
		running, stops = append(running, k), append(stops, stop)
		loops.Go(func() { is.NoErr(k.Run(one)) })
	}
	proposal := configuration.Proposal{ID: "first", Fleet: &contract.Fleet{Zones: []zone.Zone{{Name: "riga-a", Region: "baltic"}}}}
	_, err = configuration.Accept(ctx, kept, proposal, time.Now())
	is.NoErr(err)

	g := &quietGateway{}
	self := machine.Process{Host: "host-0", Role: machine.Gateway, Incarnation: 7, Zone: zone.Zone{Name: "riga-a", Region: "baltic"}}
	log := zerolog.Nop()
	certificates, err := yamuxlink.LoadCertificates(settingsOf(t, directory, "host-0", seeds[0], seeds).TLS, self, &log)
	is.NoErr(err)
	secured := certificates.TLS()
	network := &yamuxlink.Network{Self: self, TLS: secured, Log: &log}
	u := uplink.New(uplink.Config{Self: self, LocalController: seeds[0], Seeds: seeds[1:], Network: network, Log: &log})
	loops.Go(func() { is.NoErr(u.Run(ctx, g)) })
	await(t, "the configuration at the gateway", func() bool { return g.revision.Load() == 1 })
	for _, k := range running {
		await(t, "a ready controller that knows all", func() bool { return k.Ready() == nil && len(k.Members()) == 4 })
	}

	operator := machine.Process{Host: "host-0", Role: machine.Operator, Incarnation: 8}
	l, err := (&yamuxlink.Network{Self: operator, TLS: secured, Log: &log}).Dial(ctx, seeds[2], link.HandlerFunc(nil))
	is.NoErr(err)
	defer func() { _ = l.Close() }()
	ask := func(topic, argument string) (*wire.Envelope, error) {
		q := &wire.StatusRequest{Topic: topic, Argument: argument}
		return l.Call(ctx, &wire.Envelope{Body: &wire.Envelope_StatusRequest{StatusRequest: q}})
	}
	for _, topic := range []string{controller.TopicMembers, controller.TopicTargets, controller.TopicConfig, controller.TopicGrants, controller.TopicLinks} {
		reply, err := ask(topic, "")
		is.NoErr(err)
		is.True(json.Valid(reply.GetStatusReply().Json))
	}
	_, err = ask("weather", "")
	is.Equal(result.CodeOf(err), result.NoSuchTopic)
	await(t, "the way to the gateway", func() bool {
		reply, err := ask(controller.TopicExplain, self.ID()+" request-9")
		return err == nil && string(reply.GetStatusReply().Json) == `"request-9"`
	})

	running[1].Leave(ctx)
	stops[1]()
	is.True(running[1].Ready() != nil)
	await(t, "the departure", func() bool { return leaving(running[0], "host-1") && leaving(running[2], "host-1") })
}

// leaving tells whether a controller knows that a host's controller leaves.
func leaving(k *controller.Controller, host machine.HostID) bool {
	for _, m := range k.Members() {
		if m.Process.Host == host && m.Process.Role == machine.Controller {
			return m.Leaving
		}
	}
	return true
}

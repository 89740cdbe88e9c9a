package main

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"os"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"zinniapin/claim"
	"zinniapin/daemon"
	"zinniapin/event"
	"zinniapin/gateway"
	"zinniapin/link/yamuxlink"
	"zinniapin/machine"
	"zinniapin/result"
	"zinniapin/settings"
	"zinniapin/store/budget"
	"zinniapin/store/httpstore"
	"zinniapin/target"
	"zinniapin/target/httpengine"
	"zinniapin/targetlink"
	"zinniapin/uplink"
	"zinniapin/zone"
)

// secrets are the contents of the key and certificate files that the settings name.
type secrets struct {
	resumeKey []byte
	links     *yamuxlink.Certificates // nil for plaintext
	callers   *tls.Config             // nil for plaintext
	operators *tls.Config             // nil for plaintext
}

// loadSecrets reads the key and certificate files that the settings name. Its errors name
// the field of the settings.
func loadSecrets(s settings.Gateway, self machine.Process, log *zerolog.Logger) (*secrets, error) {
	key, err := os.ReadFile(s.ResumeKeyFile)
	if err != nil {
		return nil, result.Wrap(err, result.BadSettings, "cannot read the key").At("resume_key_file")
	}
	links, err := yamuxlink.LoadCertificates(s.TLS, self, log)
	if err != nil {
		return nil, err
	}
	callers, err := daemon.ServerTLS("listen_tls", s.ListenTLS, log)
	if err != nil {
		return nil, err
	}
	operators, err := daemon.ServerTLS("operators_tls", s.OperatorsTLS, log)
	if err != nil {
		return nil, err
	}
	return &secrets{key, links, callers, operators}, nil
}

// newProcess returns the identity of the gateway, with a random incarnation.
func newProcess(s settings.Gateway) machine.Process {
	return machine.Process{
		Host:        machine.HostID(s.Host),
		Role:        machine.Gateway,
		Incarnation: rand.Uint64(),
		Zone:        zone.Zone{Name: s.Zone, Region: s.Region},
		Address:     s.Listen,
	}
}

// parts are the options of the gateway and the adapters that must be closed after it.
type parts struct {
	options gateway.Options
	claims  *claim.StoreRegistry
	engines *httpengine.Client
	objects *httpstore.Store
}

// close stores the outcomes of claims that the object API has not confirmed yet, for at
// most the flush time of the settings, and closes the adapters.
func (p *parts) close(immediate context.Context, s settings.Gateway) error {
	ctx, cancel := context.WithTimeout(immediate, settings.Millis(s.FlushMillis))
	defer cancel()
	err := p.claims.Drain(ctx)
	p.engines.Close()
	p.objects.Close()
	return trace.Wrap(err)
}

// assemble makes the parts of the gateway. Only here are the adapters of outside systems
// chosen.
func assemble(s settings.Gateway, self machine.Process, loaded *secrets, log zerolog.Logger, registry *prometheus.Registry) *parts {
	registry.MustRegister(loaded.links)
	p := &parts{objects: httpstore.New(s.Platform.Objects, settings.Millis(s.Platform.TimeoutMillis))}
	p.claims = newClaims(s, p.objects, &log, registry)
	up := newUplink(s, self, loaded.links, &log)
	var services *gateway.HTTPServices
	links := targetlink.New(targetlink.Options{Zone: s.Zone, Link: up.Link, Log: &log, OnLost: func(map[string]bool, map[target.ID]bool) {
		p.engines.CloseIdle() // idle connections over lost links may be silent, those through controllers are no longer needed
		services.CloseIdle()
	}})
	links.AskHosts(up.Controllers)
	links.Register(registry)
	p.engines = httpengine.New(httpengine.Options{Dial: links.DialContext, OnSilent: links.CheckSilent})
	services = gateway.NewHTTPServices(links)
	p.options = gateway.Options{
		Process:   self,
		Settings:  s,
		ResumeKey: loaded.resumeKey,
		Engines:   p.engines,
		Services:  services,
		Links:     links,
		Claims:    p.claims,
		Uplink:    up,
		Log:       log,
		Registry:  registry,
		Seed:      rand.Uint64(),
	}
	return p
}

// newClaims returns the registry of claims. Its calls to the object API are rate limited.
func newClaims(s settings.Gateway, objects *httpstore.Store, log *zerolog.Logger, registry *prometheus.Registry) *claim.StoreRegistry {
	limitedStore := budget.New(objects, budget.Options{
		Rate:    s.ObjectCallsPerSecond,
		Burst:   int(s.ObjectCallsPerSecond) + 1,
		Seed:    rand.Uint64(),
		OnState: func(reachable bool) { event.StoreStateChanged.Log(log).Bool("reachable", reachable).Send() },
	})
	registry.MustRegister(limitedStore.Collector())
	return claim.NewStoreRegistry(limitedStore, claim.Options{Log: log})
}

// newUplink returns the gateway's uplink to the controllers. The first controller of the
// settings is the one on the gateway's own host.
func newUplink(s settings.Gateway, self machine.Process, certificates *yamuxlink.Certificates, log *zerolog.Logger) *uplink.Uplink {
	return uplink.New(uplink.Config{
		Self:            self,
		LocalController: s.Controllers[0],
		Seeds:           s.Controllers[1:],
		Network:         &yamuxlink.Network{Self: self, TLS: certificates.TLS(), Log: log},
		Log:             log,
	})
}

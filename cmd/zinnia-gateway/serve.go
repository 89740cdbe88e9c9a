package main

import (
	"context"
	"errors"
	"math/rand/v2"
	"os"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"zinniapin/claim"
	"zinniapin/daemon"
	"zinniapin/event"
	"zinniapin/gateway"
	"zinniapin/invariant"
	"zinniapin/link/yamuxlink"
	"zinniapin/machine"
	"zinniapin/result"
	"zinniapin/settings"
	"zinniapin/store/budget"
	"zinniapin/store/httpstore"
	"zinniapin/target/httpengine"
	"zinniapin/uplink"
	"zinniapin/zone"
)

// serve runs the gateway until a signal ends it.
func serve(parent context.Context, s settings.Gateway) error {
	graceful, immediate, stop := daemon.Signals(parent)
	defer stop()
	log := daemon.NewLogger(os.Stderr, s.Log.Level, "zinnia-gateway", s.Host)
	invariant.SetLogger(&log)
	registry := daemon.NewRegistry()
	parts, err := assemble(s, log, registry)
	if err != nil {
		return err
	}
	g, err := gateway.New(parts.options)
	if err != nil {
		return err
	}
	operators, err := daemon.NewOperators(s.Operators, registry, g.Ready)
	if err != nil {
		return err
	}
	listener, err := daemon.Listen("listen", s.Listen)
	if err != nil {
		return errors.Join(err, operators.Close())
	}
	go func() { _ = operators.Serve() }() // it ends with Close below
	claims, endClaims := context.WithCancel(context.WithoutCancel(parent))
	defer endClaims()
	go parts.claims.Run(claims)
	err = g.Run(graceful, immediate, listener)
	err = errors.Join(err, parts.end(immediate, s), operators.Close())
	return trace.Wrap(err)
}

// parts are what the daemon keeps of the gateway's parts.
type parts struct {
	options gateway.Options
	claims  *claim.Stored
	engines *httpengine.Client
	objects *httpstore.Store
}

// end records the outcomes of claims that the object API has not confirmed
// yet and closes the adapters.
func (p *parts) end(immediate context.Context, s settings.Gateway) error {
	ctx, cancel := context.WithTimeout(immediate, settings.Millis(s.FlushMillis))
	defer cancel()
	err := p.claims.Drain(ctx)
	p.engines.Close()
	p.objects.Close()
	return trace.Wrap(err)
}

// assemble makes the parts of the gateway. It is the one place that names the
// adapters of the outside systems.
func assemble(s settings.Gateway, log zerolog.Logger, registry *prometheus.Registry) (*parts, error) {
	key, err := os.ReadFile(s.ResumeKeyFile)
	if err != nil {
		return nil, result.Wrap(err, result.BadSettings, "cannot read the key").At("resume_key_file")
	}
	self := machine.Process{
		Host:        machine.HostID(s.Host),
		Role:        machine.Gateway,
		Incarnation: rand.Uint64(),
		Zone:        zone.Zone{Name: s.Zone, Region: s.Region},
		Address:     s.Listen,
	}
	certificates, err := yamuxlink.LoadCertificates(s.TLS, self, &log)
	if err != nil {
		return nil, err
	}
	registry.MustRegister(certificates)
	objects := httpstore.New(s.Platform.Objects, settings.Millis(s.Platform.TimeoutMillis))
	limited := budget.New(objects, budget.Options{
		Rate:    s.ObjectCallsPerSecond,
		Burst:   int(s.ObjectCallsPerSecond) + 1,
		Seed:    rand.Uint64(),
		OnState: func(reachable bool) { event.StoreStateChanged.Log(&log).Bool("reachable", reachable).Send() },
	})
	registry.MustRegister(limited.Collector())
	claims := claim.NewStored(limited, claim.Options{Log: &log})
	links := uplink.New(uplink.Config{
		Self:    self,
		Own:     s.Controllers[0],
		Seeds:   s.Controllers[1:],
		Network: &yamuxlink.Network{Self: self, TLS: certificates.TLS(), Log: &log},
		Log:     &log,
	})
	engines := httpengine.New(httpengine.Options{})
	return &parts{
		options: gateway.Options{
			Process:   self,
			Settings:  s,
			ResumeKey: key,
			Engines:   engines,
			Claims:    claims,
			Uplink:    links,
			Log:       log,
			Registry:  registry,
			Seed:      rand.Uint64(),
		},
		claims:  claims,
		engines: engines,
		objects: objects,
	}, nil
}

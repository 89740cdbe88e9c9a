package main

import (
	"context"
	"errors"
	"math/rand/v2"
	"os"

	"github.com/gravitational/trace"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"zinniapin/daemon"
	"zinniapin/gateway"
	"zinniapin/invariant"
	"zinniapin/machine"
	"zinniapin/result"
	"zinniapin/settings"
	"zinniapin/zone"
)

// serve runs the gateway until a signal ends it.
func serve(parent context.Context, s settings.Gateway) error {
	graceful, immediate, stop := daemon.Signals(parent)
	defer stop()
	log := daemon.NewLogger(os.Stderr, s.Log.Level, "zinnia-gateway", s.Host)
	invariant.SetLogger(&log)
	registry := daemon.NewRegistry()
	options, err := assemble(s, log, registry)
	if err != nil {
		return err
	}
	g, err := gateway.New(options)
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
	err = g.Run(graceful, immediate, listener)
	return trace.Wrap(errors.Join(err, operators.Close()))
}

// assemble makes the parts of the gateway. It is the one place that names the
// adapters of the outside systems.
func assemble(s settings.Gateway, log zerolog.Logger, registry *prometheus.Registry) (gateway.Options, error) {
	key, err := os.ReadFile(s.ResumeKeyFile)
	if err != nil {
		return gateway.Options{}, result.Wrap(err, result.BadSettings, "cannot read the key").At("resume_key_file")
	}
	self := machine.Process{
		Host:        machine.HostID(s.Host),
		Role:        machine.Gateway,
		Incarnation: rand.Uint64(),
		Zone:        zone.Zone{Name: s.Zone, Region: s.Region},
		Address:     s.Listen,
	}
	return gateway.Options{
		Process:   self,
		Settings:  s,
		ResumeKey: key,
		Log:       log,
		Registry:  registry,
		Seed:      rand.Uint64(),
	}, nil
}

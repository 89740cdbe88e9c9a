package main

import (
	"context"
	"errors"
	"os"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"zinniapin/daemon"
	"zinniapin/gateway"
	"zinniapin/intake"
	"zinniapin/invariant"
	"zinniapin/settings"
)

// newLogger returns the gateway's logger.
func newLogger(s settings.Gateway) zerolog.Logger {
	return daemon.NewLogger(os.Stderr, s.Log.Level, "zinnia-gateway", s.Host)
}

// check reads all key and certificate files that the settings name.
func check(s settings.Gateway) error {
	log := newLogger(s)
	_, err := loadSecrets(s, newProcess(s), &log)
	return err
}

// serve runs the gateway until a signal or the end of parent stops it. It then stores the
// outcomes of claims and closes what it has opened.
func serve(parent context.Context, s settings.Gateway) error {
	graceful, immediate, stop := daemon.Signals(parent)
	defer stop()
	log := newLogger(s)
	invariant.SetLogger(&log)
	self := newProcess(s)
	loaded, err := loadSecrets(s, self, &log)
	if err != nil {
		return err
	}
	daemon.LimitMemory(s.MemoryMB)
	registry := daemon.NewRegistry()
	bounds := intake.New(intake.Options{MemoryMB: s.MemoryMB, Descriptors: s.Descriptors, Log: &log, Registry: registry})
	parts := assemble(s, self, loaded, log, registry)
	g, err := gateway.New(parts.options)
	if err != nil {
		return err
	}
	operators, err := daemon.NewOperatorsServer(s.Operators, loaded.operators, bounds, registry, &log, g.Ready)
	if err != nil {
		return err
	}
	listener, err := daemon.ListenTLS("listen", s.Listen, loaded.callers, bounds, intake.Callers)
	if err != nil {
		return errors.Join(err, operators.Close())
	}
	go func() { _ = operators.Serve() }() // ends with operators.Close below
	claimsCtx, endClaims := context.WithCancel(context.WithoutCancel(parent))
	defer endClaims()
	go parts.claims.Run(claimsCtx)
	err = g.Run(graceful, immediate, listener)
	err = errors.Join(err, parts.close(immediate, s), operators.Close())
	return trace.Wrap(err)
}

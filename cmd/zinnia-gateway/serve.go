package main

import (
	"context"
	"errors"
	"os"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"zinniapin/daemon"
	"zinniapin/gateway"
	"zinniapin/invariant"
	"zinniapin/settings"
)

// newLogger returns the gateway's logger.
func newLogger(s settings.Gateway) zerolog.Logger {
	return daemon.NewLogger(os.Stderr, s.Log.Level, "zinnia-gateway", s.Host)
}

// check reads all files that the settings name.
func check(s settings.Gateway) error {
	log := newLogger(s)
	_, err := loadSecrets(s, processOf(s), &log)
	return err
}

// serve runs the gateway until a signal ends it.
func serve(parent context.Context, s settings.Gateway) error {
	graceful, immediate, stop := daemon.Signals(parent)
	defer stop()
	log := newLogger(s)
	invariant.SetLogger(&log)
	self := processOf(s)
	files, err := loadSecrets(s, self, &log)
	if err != nil {
		return err
	}
	registry := daemon.NewRegistry()
	parts := assemble(s, self, files, log, registry)
	g, err := gateway.New(parts.options)
	if err != nil {
		return err
	}
	operators, err := daemon.NewOperatorsServer(s.Operators, files.operators, registry, g.Ready)
	if err != nil {
		return err
	}
	listener, err := daemon.ListenTLS("listen", s.Listen, files.callers)
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

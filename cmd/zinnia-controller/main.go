// Command zinnia-controller runs a controller. One runs on every entry host, and all have
// the same role.
package main

import (
	"context"
	"crypto/tls"
	"fmt"
	"math/rand/v2"
	"os"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/rs/zerolog"

	"zinniapin/controller"
	"zinniapin/daemon"
	"zinniapin/event"
	"zinniapin/intake"
	"zinniapin/invariant"
	"zinniapin/link/yamuxlink"
	"zinniapin/machine"
	"zinniapin/provider/httpapi"
	"zinniapin/settings"
	"zinniapin/store/budget"
	"zinniapin/store/httpstore"
	"zinniapin/target"
	"zinniapin/target/httpengine"
	"zinniapin/targetlink"
	"zinniapin/zone"
)

// main runs the controller and exits with the code of its result.
func main() {
	os.Exit(daemon.Exit(run(os.Args[1:])))
}

// run parses the command line and runs the controller. With --check it only checks the
// settings and the files that they name.
func run(arguments []string) error {
	line, err := daemon.ParseCommandLine(arguments)
	if err != nil || line == nil {
		return err
	}
	s := &settings.Controller{}
	if err := settings.Load(line.Settings, s); err != nil {
		return err
	}
	metrics := daemon.NewRegistry()
	config, bounds, err := configure(s, metrics)
	if err != nil {
		return err
	}
	operatorsTLS, err := daemon.ServerTLS("operators_tls", s.OperatorsTLS, config.Log)
	if err != nil {
		return err
	}
	if line.Check {
		fmt.Println(settings.Valid)
		return nil
	}
	daemon.SetGCPercent(s.GCPercent)
	daemon.LimitMemory(s.MemoryMB)
	return serve(s, config, operatorsTLS, bounds, metrics)
}

// Limits on the calls of one controller to the object API.
const (
	storeRate  = 20  // calls per second
	storeBurst = 300 // calls, enough for all parts of a configuration
)

// configure returns the controller's configuration, with the adapters of outside systems,
// and the bounds of what others make it hold. It registers the metrics of both, of the
// certificates and of the object API.
func configure(s *settings.Controller, metrics *prometheus.Registry) (controller.Config, *intake.Budget, error) {
	log := daemon.NewLogger(os.Stderr, s.Log.Level, "zinnia-controller", s.Host)
	self := machine.Process{
		Host:        machine.HostID(s.Host),
		Role:        machine.Controller,
		Incarnation: rand.Uint64(),
		Zone:        zone.Zone{Name: s.Zone, Region: s.Region},
		Address:     s.Links,
	}
	certificates, err := yamuxlink.LoadCertificates(s.TLS, self, &log)
	if err != nil {
		return controller.Config{}, nil, err
	}
	metrics.MustRegister(certificates)
	seed := rand.Uint64()
	timeout := time.Duration(s.Platform.TimeoutMillis) * time.Millisecond
	objects := budget.New(httpstore.New(s.Platform.Objects, timeout), budget.Options{Rate: storeRate, Burst: storeBurst, Seed: seed})
	metrics.MustRegister(objects.Collector())
	bounds := intake.New(intake.Options{MemoryMB: s.MemoryMB, Descriptors: s.Descriptors, Log: &log, Registry: metrics})
	network := &yamuxlink.Network{Self: self, TLS: certificates.TLS(), Log: &log, Intake: bounds, Kind: intake.ControllerLinks}
	var engines *httpengine.Client
	links := targetlink.New(targetlink.Options{Zone: s.Zone, Network: network, Handler: controller.NoCalls, MaxTunnels: bounds.Tunnels(), Log: &log, OnLost: func(map[string]bool, map[target.ID]bool) {
		engines.CloseIdle() // idle connections over lost links may be silent, those through others are no longer needed
	}})
	links.Register(metrics)
	engines = httpengine.New(httpengine.Options{Dial: links.DialContext, OnSilent: links.CheckSilent})
	return controller.Config{
		Self:         self,
		Seeds:        s.Seeds,
		Network:      network,
		Links:        links,
		Store:        objects,
		Hosts:        httpapi.NewHosts(s.Platform.Hosts, timeout),
		Orders:       engines,
		Reports:      httpapi.NewUsage(s.Platform.Usage, timeout),
		TargetOrders: httpapi.NewTargets(s.Platform.Targets, timeout),
		Seed:         seed,
		Log:          &log,
	}, bounds, nil
}

// serve runs the controller until a signal ends it. The operators' address uses TLS unless
// operatorsTLS is nil.
func serve(s *settings.Controller, config controller.Config, operatorsTLS *tls.Config, bounds *intake.Budget, metrics *prometheus.Registry) error {
	log := config.Log
	invariant.SetLogger(log)
	graceful, immediate, stopSignals := daemon.Signals(context.Background())
	defer stopSignals()
	k := controller.New(config)
	if err := k.Register(metrics); err != nil {
		return err
	}
	operators, err := daemon.NewOperatorsServer(s.Operators, operatorsTLS, bounds, metrics, log, k.Ready)
	if err != nil {
		return err
	}
	defer func() { _ = operators.Close() }()
	go func() { _ = operators.Serve() }()
	running, stop := context.WithCancel(immediate)
	defer stop()
	go shutDownOnSignal(graceful, immediate, s.Shutdown(), k, log, stop)
	event.ProcessStarted.Log(log).Str("links", s.Links).Str("operators", operators.Address()).Send()
	err = k.Run(running)
	event.ProcessStopped.Log(log).Err(err).Send()
	return err
}

// shutDownOnSignal waits for the first signal and then shuts the controller down: it
// announces that the controller leaves, waits until other controllers can have taken over
// its work, and calls stop. A second signal or the limit ends the wait.
func shutDownOnSignal(graceful, immediate context.Context, limit time.Duration, k *controller.Controller, log *zerolog.Logger, stop func()) {
	<-graceful.Done()
	event.ProcessStopping.Log(log).Send()
	bounded, cancel := context.WithTimeout(immediate, limit)
	defer cancel()
	k.Leave(bounded)
	stop()
}

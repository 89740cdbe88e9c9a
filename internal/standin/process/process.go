// Package process runs the simulated engines, services and platform that a settings file
// lists, all in one process.
package process

import (
	"net"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"zinniapin/event"
	"zinniapin/internal/standin/engine"
	"zinniapin/internal/standin/platform"
	"zinniapin/internal/standin/service"
	"zinniapin/provider"
	"zinniapin/result"
	"zinniapin/settings"
	"zinniapin/target"
)

// Process is a set of simulated engines, services and a platform that run in this process.
// It is safe for concurrent use.
type Process struct {
	log      *zerolog.Logger
	settings *settings.Standin

	mu sync.Mutex
	// Platform is nil when the settings have none.
	Platform *platform.Server
	engines  map[target.ID]*engine.Server
	services []*service.Server
}

// Start starts everything that the settings list. If one part fails to start, it stops
// those that run and returns the error.
func Start(s *settings.Standin, log *zerolog.Logger) (*Process, error) {
	p := &Process{log: log, settings: s, engines: map[target.ID]*engine.Server{}}
	if err := p.start(); err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

// start starts the engines, the services and then the platform.
func (p *Process) start() error {
	for i := range p.settings.Engines {
		e := &p.settings.Engines[i]
		if _, err := p.startEngine(e.ID, e.Address, engineOptions(e)); err != nil {
			return err
		}
	}
	for _, s := range p.settings.Services {
		if err := p.startService(s.Address); err != nil {
			return err
		}
	}
	if p.settings.Platform != nil {
		return p.startPlatform(p.settings.Platform)
	}
	return nil
}

// logStarted logs that a part listens at an address.
func (p *Process) logStarted(kind, address string) {
	event.StandinStarted.Log(p.log).Str("kind", kind).Str("address", address).Send()
}

// startEngine starts an engine and returns its address.
func (p *Process) startEngine(id target.ID, address string, o engine.Options) (string, error) {
	o.ID = id
	if o.Seed == 0 {
		o.Seed = xxhash.Sum64String(string(id))
	}
	s, err := engine.Start(address, o)
	if err != nil {
		return "", result.Wrap(err, result.AddressInUse, "cannot start engine %s", id).At(address)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.engines[id] = s
	p.logStarted("engine", s.Address())
	return s.Address(), nil
}

// startService starts a plain service.
func (p *Process) startService(address string) error {
	s, err := service.Start(address)
	if err != nil {
		return result.Wrap(err, result.AddressInUse, "cannot start the service").At(address)
	}
	p.services = append(p.services, s)
	p.logStarted("service", s.Address())
	return nil
}

// startPlatform starts the platform.
func (p *Process) startPlatform(s *settings.StandinPlatform) error {
	o := platform.Options{
		Hosts:          hostList(s.Hosts),
		HostLag:        millis(s.HostLagMillis),
		ProvisionDelay: millis(s.ProvisionMillis),
		WeightReads:    s.WeightReadsPerSecond,
	}
	if s.Bought != nil {
		o.Provider = (*engineProvider)(p)
	}
	server, err := platform.Start(s.Address, o)
	if err != nil {
		return result.Wrap(err, result.AddressInUse, "cannot start the platform").At("platform.address")
	}
	p.Platform = server
	p.logStarted("platform", server.Address())
	return nil
}

// Engine returns the running engine with an id, or nil.
func (p *Process) Engine(id target.ID) *engine.Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.engines[id]
}

// Engines returns all running engines in no particular order.
func (p *Process) Engines() []*engine.Engine {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []*engine.Engine
	for _, s := range p.engines {
		all = append(all, s.Engine)
	}
	return all
}

// Services returns the running plain services.
func (p *Process) Services() []*service.Server {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.services)
}

// Close stops all parts.
func (p *Process) Close() {
	if p.Platform != nil {
		p.Platform.Close()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, e := range p.engines {
		e.Close()
	}
	for _, s := range p.services {
		s.Close()
	}
}

// engineProvider starts and stops the engines that the platform sells. They run in this
// process.
type engineProvider Process

// Start implements platform.Provider.
func (v *engineProvider) Start(id target.ID, o provider.TargetOrder) (string, error) {
	p := (*Process)(v)
	bought := p.settings.Platform
	address := net.JoinHostPort(bought.BoughtIP, "0")
	listening, err := p.startEngine(id, address, engineOptions(bought.Bought))
	if err != nil {
		return "", err
	}
	event.StandinBought.Log(p.log).Str("target", string(id)).Str("pool", o.Pool).Str("zone", string(o.Zone)).Send()
	return listening, nil
}

// ChecksFence implements platform.Provider.
func (v *engineProvider) ChecksFence() bool {
	return v.settings.Platform.Bought.ChecksFence
}

// Stop implements platform.Provider.
func (v *engineProvider) Stop(id target.ID) {
	p := (*Process)(v)
	p.mu.Lock()
	e, ok := p.engines[id]
	delete(p.engines, id)
	p.mu.Unlock()
	if ok {
		e.Close()
		event.StandinEnded.Log(p.log).Str("target", string(id)).Send()
	}
}

// millis converts a number of milliseconds to a duration.
func millis(n int) time.Duration {
	return time.Duration(n) * time.Millisecond
}

// engineOptions returns the options of an engine with these settings.
func engineOptions(e *settings.StandinEngine) engine.Options {
	return engine.Options{
		Seed: e.Seed, Role: e.Role, Models: e.Models,
		ChecksFence: e.ChecksFence, AnyRole: e.AnyRole,
		Capacity: e.Capacity, PrefillRate: e.PrefillRate, DecodeRate: e.DecodeRate,
		KVPieces: e.KVPieces, RoleChangeTime: millis(e.ChangeMillis),
		ModelChangeTime: millis(e.ChangeMillis), ReportLag: millis(e.ReportLagMillis),
	}
}

// hostList returns the list of hosts that the settings describe.
func hostList(rows []settings.StandinHost) []provider.Host {
	list := make([]provider.Host, len(rows))
	for i, row := range rows {
		list[i] = provider.Host{ID: row.ID, State: provider.Live, Zone: row.Zone}
		if t := row.Target; t != nil {
			list[i].Target = &target.Target{
				ID: t.ID, Kind: t.Kind, Class: t.Class, Pool: t.Pool,
				Zone: row.Zone, Address: t.Address, ChecksFence: t.ChecksFence,
			}
		}
	}
	return list
}

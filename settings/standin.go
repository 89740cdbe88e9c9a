package settings

import (
	"fmt"
	"net/netip"

	"zinniapin/target"
	"zinniapin/zone"
)

// Standin holds the settings of zinnia-standin, a simulator of the platform, of
// engines and of services, any of which one process can run.
type Standin struct {
	// Log sets what is logged.
	Log Log `json:"log"`
	// Platform is the simulated platform to run, if any.
	Platform *StandinPlatform `json:"platform,omitempty"`
	// Engines are the simulated engines to run.
	Engines []StandinEngine `json:"engines,omitempty"`
	// Services are the simulated services, which are no engines, to run.
	Services []StandinService `json:"services,omitempty"`
}

// StandinPlatform describes a simulated platform.
type StandinPlatform struct {
	// Address is the IP:port of all interfaces of the platform.
	Address string `json:"address"`
	// Hosts is the list of hosts at the start.
	Hosts []StandinHost `json:"hosts,omitempty"`
	// HostLagMillis is how far the list of hosts that callers get lags behind, in
	// milliseconds. Default 0.
	HostLagMillis int `json:"host_lag_ms,omitempty"`
	// ProvisionMillis is the time from an order for targets until they are running,
	// in milliseconds. Default 0.
	ProvisionMillis int `json:"provision_ms,omitempty"`
	// WeightReadsPerSecond is the rate of reads that the weight store allows.
	// Default 2.
	WeightReadsPerSecond float64 `json:"weight_reads_per_second,omitempty"`
	// Bought describes the engines that orders create; without it no engine can be
	// ordered. Its id and address are not used.
	Bought *StandinEngine `json:"bought,omitempty"`
	// BoughtIP is the IP address at which engines that orders created listen.
	// Default 127.0.0.1.
	BoughtIP string `json:"bought_ip,omitempty"`
}

// StandinHost is a row of the list of hosts.
type StandinHost struct {
	// ID is the id of the host.
	ID string `json:"id"`
	// Zone is the availability zone of the host.
	Zone zone.Name `json:"zone"`
	// Target is the target on the host; an entry host has none.
	Target *StandinTarget `json:"target,omitempty"`
}

// StandinTarget describes a target in the list of hosts.
type StandinTarget struct {
	// ID is the id of the target.
	ID target.ID `json:"id"`
	// Kind is engine or service.
	Kind target.Kind `json:"kind"`
	// Class is reserved, on-demand or reclaimable.
	Class target.Class `json:"class"`
	// Pool is the pool of engines, or the name of the service.
	Pool string `json:"pool"`
	// Address is the IP:port of the target.
	Address string `json:"address"`
	// ChecksFence declares that the target refuses an old fencing token.
	ChecksFence bool `json:"checks_fence,omitempty"`
}

// StandinEngine describes a simulated engine.
type StandinEngine struct {
	// ID is the id of the target.
	ID target.ID `json:"id,omitempty"`
	// Address is the IP:port of the engine.
	Address string `json:"address,omitempty"`
	// Seed is the random seed for boot ids. Default: derived from the id.
	Seed uint64 `json:"seed,omitempty"`
	// Role is prefill, decode or mixed. Default mixed.
	Role target.Role `json:"role,omitempty"`
	// Models are the names of the models that are loaded at the start.
	Models []string `json:"models"`
	// ChecksFence makes the engine refuse an old fencing token.
	ChecksFence bool `json:"checks_fence,omitempty"`
	// AnyRole lets the engine run prefill and decode in every role.
	AnyRole bool `json:"any_role,omitempty"`
	// Capacity is the number of requests that run concurrently. Default 16.
	Capacity int `json:"capacity,omitempty"`
	// PrefillRate is the prefill speed in prompt tokens a second. Default 20000.
	PrefillRate float64 `json:"prefill_tokens_per_second,omitempty"`
	// DecodeRate is the decode speed of the whole batch in output tokens a second.
	// Default 2000.
	DecodeRate float64 `json:"decode_tokens_per_second,omitempty"`
	// KVPieces is the size of the KV cache in pieces of 2,000 tokens. Default 256.
	KVPieces int `json:"kv_pieces,omitempty"`
	// ChangeMillis is how long a role or model change takes, in milliseconds.
	// Default 3000.
	ChangeMillis int `json:"change_ms,omitempty"`
	// ReportLagMillis is how far the content of a report lags behind, in
	// milliseconds. Default 0.
	ReportLagMillis int `json:"report_lag_ms,omitempty"`
}

// StandinService describes a simulated service.
type StandinService struct {
	// Address is the IP:port of the service.
	Address string `json:"address"`
}

// Check records every mistake in the settings and sets the defaults.
func (s *Standin) Check(p *Problems) {
	s.Log.check(p)
	if s.Platform == nil && len(s.Engines) == 0 && len(s.Services) == 0 {
		p.Add("platform", "nothing to run: give a platform, engines or services")
	}
	if s.Platform != nil {
		s.Platform.check(p)
	}
	for i := range s.Engines {
		path := fmt.Sprintf("engines[%d]", i)
		p.Required(path+".id", string(s.Engines[i].ID))
		p.Address(path+".address", s.Engines[i].Address)
		s.Engines[i].check(p, path)
	}
	for i := range s.Services {
		p.Address(fmt.Sprintf("services[%d].address", i), s.Services[i].Address)
	}
}

// defaultBoughtIP is the default of BoughtIP.
const defaultBoughtIP = "127.0.0.1"

// check records the mistakes in the settings of a platform and sets their
// defaults.
func (s *StandinPlatform) check(p *Problems) {
	p.Address("platform.address", s.Address)
	notNegative(p, "platform.host_lag_ms", s.HostLagMillis)
	notNegative(p, "platform.provision_ms", s.ProvisionMillis)
	notNegative(p, "platform.weight_reads_per_second", s.WeightReadsPerSecond)
	if s.BoughtIP == "" {
		s.BoughtIP = defaultBoughtIP
	}
	if _, err := netip.ParseAddr(s.BoughtIP); err != nil {
		p.Add("platform.bought_ip", "%q is not an IP address", s.BoughtIP)
	}
	if s.Bought != nil {
		s.Bought.check(p, "platform.bought")
	}
	for i := range s.Hosts {
		s.Hosts[i].check(p, fmt.Sprintf("platform.hosts[%d]", i))
	}
}

// check records the mistakes in the settings of a host at a path.
func (h *StandinHost) check(p *Problems, path string) {
	p.Required(path+".id", h.ID)
	p.Required(path+".zone", string(h.Zone))
	if h.Target != nil {
		h.Target.check(p, path+".target")
	}
}

// check records the mistakes in the settings of a target at a path.
func (t *StandinTarget) check(p *Problems, path string) {
	p.Required(path+".id", string(t.ID))
	p.Required(path+".pool", t.Pool)
	p.Address(path+".address", t.Address)
	if t.Kind != target.Engine && t.Kind != target.Service {
		p.Add(path+".kind", "%q is not engine or service", t.Kind)
	}
	switch t.Class {
	case target.Reserved, target.OnDemand, target.Reclaimable:
	default:
		p.Add(path+".class", "%q is not reserved, on-demand or reclaimable", t.Class)
	}
}

// check records the mistakes in the settings of an engine at a path.
func (e *StandinEngine) check(p *Problems, path string) {
	if len(e.Models) == 0 {
		p.Add(path+".models", "is missing")
	}
	switch e.Role {
	case "", target.Prefill, target.Decode, target.Mixed:
	default:
		p.Add(path+".role", "%q is not prefill, decode or mixed", e.Role)
	}
	notNegative(p, path+".capacity", e.Capacity)
	notNegative(p, path+".prefill_tokens_per_second", e.PrefillRate)
	notNegative(p, path+".decode_tokens_per_second", e.DecodeRate)
	notNegative(p, path+".kv_pieces", e.KVPieces)
	notNegative(p, path+".change_ms", e.ChangeMillis)
	notNegative(p, path+".report_lag_ms", e.ReportLagMillis)
}

// notNegative records a mistake if a number is below 0.
func notNegative[T int | float64](p *Problems, path string, value T) {
	if value < 0 {
		p.Add(path, "must not be below 0")
	}
}

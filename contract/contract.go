// Package contract defines the configuration that operators write: a contract for each
// organisation and a description of the fleet. A Snapshot is an accepted revision of both.
package contract

import (
	"time"

	"zinniapin/target"
	"zinniapin/zone"
)

// Contract is the agreement with one organisation: its keys, what it may use, its limits and its
// prices.
type Contract struct {
	// Organisation names the organisation; letters, digits, '-' and '_'.
	Organisation string `json:"organisation"`
	// Keys are the keys with which callers act for the organisation.
	Keys []Key `json:"keys"`
	// Models are the models that the organisation may use.
	Models []string `json:"models"`
	// Services are the plain services that the organisation may call.
	Services []string `json:"services"`
	// Limits bound the organisation's use.
	Limits Limits `json:"limits"`
	// Weight is the organisation's relative share of scarce targets. Default 1.
	Weight float64 `json:"weight,omitempty"`
	// Priority orders requests at engines; higher goes first. Default 0.
	Priority int `json:"priority,omitempty"`
	// StableOnly keeps the organisation's work off reclaimable targets.
	StableOnly bool `json:"stable_only,omitempty"`
	// Prices are what the organisation is billed.
	Prices Prices `json:"prices"`
}

// Key identifies a caller's key by its fingerprint. The key itself is never stored.
type Key struct {
	// Fingerprint is the lower-case hexadecimal SHA-256 of the key.
	Fingerprint string `json:"fingerprint"`
	// Label tells the operator what the key is for.
	Label string `json:"label,omitempty"`
	// Withdrawn keys no longer work.
	Withdrawn bool `json:"withdrawn,omitempty"`
}

// Limits bound the use of an organisation, summed over all gateways.
type Limits struct {
	// RequestsPerSecond is the sustained rate.
	RequestsPerSecond float64 `json:"requests_per_second"`
	// Burst is the number of requests that may come at once. Default: one
	// second's worth, at least 1.
	Burst int `json:"burst,omitempty"`
	// Concurrency is the number of requests in progress at once.
	Concurrency int `json:"concurrency"`
	// TokensPerMinute bounds prompt and output tokens together; 0 means none.
	TokensPerMinute int `json:"tokens_per_minute,omitempty"`
}

// Prices are in millionths of the currency unit.
type Prices struct {
	// PromptMicros is the price of 1,000 prompt tokens.
	PromptMicros uint64 `json:"prompt_micros_per_1000"`
	// OutputMicros is the price of 1,000 output tokens.
	OutputMicros uint64 `json:"output_micros_per_1000"`
	// CallMicros is the price of one call of a plain service.
	CallMicros uint64 `json:"call_micros"`
}

// Fleet is the operator's description of the zones, models, services and pools.
type Fleet struct {
	// Zones are the availability zones of the fleet.
	Zones []zone.Zone `json:"zones"`
	// Models are the models that engines may serve.
	Models []Model `json:"models"`
	// Services are the plain services.
	Services []Service `json:"services"`
	// Pools are the pools of engines.
	Pools []Pool `json:"pools"`
	// Drained are the targets that get no new work.
	Drained []target.ID `json:"drained,omitempty"`
	// UsageWindowSeconds is the length of a usage window. Default 60. It
	// cannot be changed once accepted.
	UsageWindowSeconds int `json:"usage_window_seconds,omitempty"`
}

// defaultUsageWindow is the length of a usage window when none is given.
const defaultUsageWindow = time.Minute

// UsageWindow returns the length of a usage window.
func (f *Fleet) UsageWindow() time.Duration {
	if f.UsageWindowSeconds == 0 {
		return defaultUsageWindow
	}
	return time.Duration(f.UsageWindowSeconds) * time.Second
}

// Model is a model that callers may name.
type Model struct {
	// Name is what callers put into the field "model".
	Name string `json:"name"`
	// Pool is the pool of engines that serves the model.
	Pool string `json:"pool"`
	// MaxPromptTokens bounds a prompt. Default 131072.
	MaxPromptTokens int `json:"max_prompt_tokens,omitempty"`
	// MaxOutputTokens bounds an answer. Default 4096.
	MaxOutputTokens int `json:"max_output_tokens,omitempty"`
}

// Service is a plain HTTP service, one without a model, to which the system routes calls.
type Service struct {
	// Name is the path segment after /v1/services/.
	Name string `json:"name"`
	// Routes are matched in order; a call that matches none is refused.
	Routes []Route `json:"routes"`
}

// Route describes the calls of a plain service that have the same method and path.
type Route struct {
	// Method is the HTTP method.
	Method string `json:"method"`
	// Path is the path below the service; a final "*" matches any rest.
	Path string `json:"path"`
	// Repeatable calls may be sent again after a failure. Default false.
	Repeatable bool `json:"repeatable,omitempty"`
	// Open routes need no key.
	Open bool `json:"open,omitempty"`
	// TimeoutMillis bounds a call. Default 30000.
	TimeoutMillis int `json:"timeout_ms,omitempty"`
}

// Pool is a set of engines that serve the same models, and the bounds on the engines that may be
// ordered for it.
type Pool struct {
	// Name is unique in the fleet.
	Name string `json:"name"`
	// MinOnDemand and MaxOnDemand bound the on-demand engines of the pool.
	MinOnDemand int `json:"min_on_demand,omitempty"`
	MaxOnDemand int `json:"max_on_demand,omitempty"`
	// MaxReclaimable bounds the reclaimable engines of the pool.
	MaxReclaimable int `json:"max_reclaimable,omitempty"`
	// Disaggregated lets engines of the pool take the roles prefill and
	// decode; otherwise all stay mixed.
	Disaggregated bool `json:"disaggregated,omitempty"`
	// Targets are the reserved targets of the pool, which the platform also
	// lists.
	Targets []target.ID `json:"targets,omitempty"`
}

// Revision numbers accepted configurations. It rises by one with each of them.
type Revision uint64

// Snapshot is an accepted configuration. It is immutable.
type Snapshot struct {
	Revision  Revision
	Fleet     Fleet
	Contracts map[string]*Contract // by organisation

	keys     *keyIndex
	models   map[string]*Model
	services map[string]*Service
	zones    map[zone.Name]zone.Zone
}

// NewSnapshot indexes a configuration, which must be valid.
func NewSnapshot(r Revision, f Fleet, contracts []*Contract) *Snapshot {
	s := newSnapshot(r, f)
	s.Contracts = make(map[string]*Contract, len(contracts))
	for _, c := range contracts {
		s.Contracts[c.Organisation] = c
	}
	s.keys = newKeyIndex(contracts)
	return s
}

// newSnapshot returns a snapshot that indexes the description of a fleet, without contracts.
func newSnapshot(r Revision, f Fleet) *Snapshot {
	s := &Snapshot{
		Revision: r,
		Fleet:    f,
		models:   make(map[string]*Model, len(f.Models)),
		services: make(map[string]*Service, len(f.Services)),
		zones:    make(map[zone.Name]zone.Zone, len(f.Zones)),
	}
	for i := range f.Models {
		s.models[f.Models[i].Name] = &f.Models[i]
	}
	for i := range f.Services {
		s.services[f.Services[i].Name] = &f.Services[i]
	}
	for _, z := range f.Zones {
		s.zones[z.Name] = z
	}
	return s
}

// Model returns the model with the given name, or nil.
func (s *Snapshot) Model(name string) *Model {
	return s.models[name]
}

// Service returns the plain service with the given name, or nil.
func (s *Snapshot) Service(name string) *Service {
	return s.services[name]
}

// Zone returns the zone with its region, and false if the fleet has no such zone.
func (s *Snapshot) Zone(name zone.Name) (zone.Zone, bool) {
	z, ok := s.zones[name]
	return z, ok
}

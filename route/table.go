package route

import (
	"fmt"
	"hash/fnv"
	"sort"
	"strings"
)

// Table is a Configuration prepared for look-ups. It is immutable and safe
// for concurrent use.
type Table struct {
	configuration *Configuration
	byHost        map[string][]*Route // longest prefix first
	services      map[string]*Service
	byKey         map[string]*Organisation
}

// NewTable checks a configuration and prepares it. The error names the place
// of the first mistake.
func NewTable(c *Configuration) (*Table, error) {
	t := &Table{
		configuration: c,
		byHost:        make(map[string][]*Route),
		services:      make(map[string]*Service, len(c.Services)),
		byKey:         make(map[string]*Organisation),
	}
	for i := range c.Services {
		s := &c.Services[i]
		if s.Name == "" {
			return nil, fmt.Errorf("services[%d].name: is missing", i)
		}
		t.services[s.Name] = s
	}
	for i := range c.Routes {
		if err := t.addRoute(i, &c.Routes[i]); err != nil {
			return nil, err
		}
	}
	for i := range c.Organisations {
		o := &c.Organisations[i]
		for _, key := range o.Keys {
			t.byKey[key] = o
		}
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	return t, nil
}

// addRoute checks one route and adds it.
func (t *Table) addRoute(i int, r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return fmt.Errorf("routes[%d].prefix: %q does not begin and end with a slash", i, r.Prefix)
	}
	if len(r.Backends) == 0 {
		return fmt.Errorf("routes[%d].backends: is missing", i)
	}
	for j, b := range r.Backends {
		if t.services[b.Service] == nil {
			return fmt.Errorf("routes[%d].backends[%d].service: no service is named %q", i, j, b.Service)
		}
	}
	host := strings.ToLower(r.Host)
	t.byHost[host] = append(t.byHost[host], r)
	return nil
}

// Version returns the version of the configuration.
func (t *Table) Version() uint64 { return t.configuration.Version }

// Configuration returns the configuration, which must not be changed.
func (t *Table) Configuration() *Configuration { return t.configuration }

// Limits returns the limits for callers.
func (t *Table) Limits() Limits { return t.configuration.Limits }

// RequiresKeys tells whether requests carry keys.
func (t *Table) RequiresKeys() bool { return len(t.configuration.Organisations) > 0 }

// Match returns the route of a request by host, with or without a port, and
// by the longest prefix of its path, or nil.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	routes, ok := t.byHost[host]
	if !ok {
		if colon := strings.LastIndexByte(host, ':'); colon >= 0 {
			routes = t.byHost[host[:colon]]
		}
	}
	for _, r := range routes {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns the service of a name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// OrganisationByKey returns the organisation that holds a key, or nil.
func (t *Table) OrganisationByKey(key string) *Organisation {
	if key == "" {
		return nil
	}
	return t.byKey[key]
}

// SelectService picks the service of a request on a route. The same request id picks
// the same service while the weights stay.
func (t *Table) SelectService(r *Route, requestID string) *Service {
	if len(r.Backends) == 1 {
		return t.services[r.Backends[0].Service]
	}
	total := 0
	for _, b := range r.Backends {
		total += max(b.Weight, 0)
	}
	if total == 0 {
		return t.services[r.Backends[0].Service]
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(requestID)) // never fails
	at := int(h.Sum32() % uint32(total))
	for _, b := range r.Backends {
		if at < max(b.Weight, 0) {
			return t.services[b.Service]
		}
		at -= max(b.Weight, 0)
	}
	return nil
}

// Priority returns the rank of a request: the organisation's where it has one,
// else the route's.
func Priority(r *Route, o *Organisation) int {
	if o != nil && o.Priority != nil {
		return *o.Priority
	}
	return r.Priority
}

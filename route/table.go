package route

import (
	"fmt"
	"hash/fnv"
	"sort"
	"strings"
)

// Table indexes a Configuration for lookups. It is immutable and safe for concurrent use.
type Table struct {
	configuration *Configuration
	byHost        map[string][]*Route // longest prefix first
	services      map[string]*Service
	byKey         map[string]*Organisation
}

// NewTable validates and indexes a configuration. The error names the first invalid field.
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

// addRoute validates the route with index i and adds it to the table.
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

// Configuration returns the indexed configuration, which must not be modified.
func (t *Table) Configuration() *Configuration { return t.configuration }

// Limits returns the limits of callers' requests.
func (t *Table) Limits() Limits { return t.configuration.Limits }

// RequiresKeys tells whether requests on routes that are not open must carry a key.
func (t *Table) RequiresKeys() bool { return len(t.configuration.Organisations) > 0 }

// Match returns the route with the host, given with or without a port, and the longest prefix of
// the path, or nil if there is none.
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

// Service returns the service with the name, or nil.
func (t *Table) Service(name string) *Service { return t.services[name] }

// OrganisationByKey returns the organisation that holds a key, or nil.
func (t *Table) OrganisationByKey(key string) *Organisation {
	if key == "" {
		return nil
	}
	return t.byKey[key]
}

// SelectService picks one of the services of a route by weight. It picks the same service for the
// same request id as long as the weights stay the same.
func (t *Table) SelectService(r *Route, requestID string) *Service {
	if len(r.Backends) == 1 {
		return t.services[r.Backends[0].Service]
	}
	var total uint64
	for _, b := range r.Backends {
		total += b.share()
	}
	if total == 0 {
		return t.services[r.Backends[0].Service]
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(requestID)) // never fails
	point := uint64(h.Sum32()) % total
	for _, b := range r.Backends {
		if point < b.share() {
			return t.services[b.Service]
		}
		point -= b.share()
	}
	return nil
}

// maxShare bounds the weight of a backend to that of the hashes by which requests are divided, so that sums of weights
// do not overflow.
const maxShare = 1 << 31

// share returns the weight of a backend, from 0 to maxShare.
func (b *Backend) share() uint64 { return uint64(min(max(b.Weight, 0), maxShare)) }

// Priority returns the priority of a request: that of the organisation if it has one, or else that
// of the route.
func Priority(r *Route, o *Organisation) int {
	if o != nil && o.Priority != nil {
		return *o.Priority
	}
	return r.Priority
}

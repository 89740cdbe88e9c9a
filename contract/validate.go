package contract

import (
	"fmt"
	"regexp"
	"strings"

	"zinniapin/result"
	"zinniapin/zone"
)

// Limits of a configuration.
const (
	maxOrganisations = 100_000
	maxKeysEach      = 64 // keys of one contract
	maxNameBytes     = 64
)

// namePattern matches the names that an operator may choose.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// fingerprintPattern matches the fingerprint of a key.
var fingerprintPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

// problems collects the mistakes in a configuration, each with its path.
type problems struct {
	found []string
}

// add records a mistake.
func (p *problems) add(path, format string, args ...any) {
	p.found = append(p.found, path+": "+fmt.Sprintf(format, args...))
}

// name records a mistake if a name is not valid.
func (p *problems) name(path, name string) {
	if len(name) > maxNameBytes || !namePattern.MatchString(name) {
		p.add(path, "%q is not a name of 1 to %d letters, digits, '.', '_' or '-'", name, maxNameBytes)
	}
}

// Validate checks a whole configuration. It returns an error with the code
// result.BadConfiguration that lists every mistake with its path.
func Validate(f *Fleet, contracts []*Contract) error {
	p := &problems{}
	validateFleet(p, f)
	validateContracts(p, f, contracts)
	if len(p.found) == 0 {
		return nil
	}
	return result.New(result.BadConfiguration, "%d mistakes: %s", len(p.found), strings.Join(p.found, "; "))
}

// validateFleet checks the description of the fleet.
func validateFleet(p *problems, f *Fleet) {
	zones := map[zone.Name]bool{}
	for i, z := range f.Zones {
		path := fmt.Sprintf("fleet.zones[%d]", i)
		p.name(path+".name", string(z.Name))
		p.name(path+".region", string(z.Region))
		if zones[z.Name] {
			p.add(path+".name", "%q is listed twice", z.Name)
		}
		zones[z.Name] = true
	}
	if len(f.Zones) == 0 {
		p.add("fleet.zones", "there must be at least one")
	}
	if f.UsageWindowSeconds < 0 {
		p.add("fleet.usage_window_seconds", "must not be negative")
	}
	pools := validatePools(p, f.Pools)
	validateModels(p, f.Models, pools)
	validateServices(p, f.Services)
}

// validatePools checks the pools and returns their names.
func validatePools(p *problems, pools []Pool) map[string]bool {
	names := map[string]bool{}
	for i, pool := range pools {
		path := fmt.Sprintf("fleet.pools[%d]", i)
		p.name(path+".name", pool.Name)
		if names[pool.Name] {
			p.add(path+".name", "%q is listed twice", pool.Name)
		}
		names[pool.Name] = true
		if pool.MinOnDemand < 0 || pool.MaxOnDemand < pool.MinOnDemand {
			p.add(path+".max_on_demand", "must be at least min_on_demand, and neither negative")
		}
		if pool.MaxReclaimable < 0 {
			p.add(path+".max_reclaimable", "must not be negative")
		}
	}
	return names
}

// validateModels checks the models.
func validateModels(p *problems, models []Model, pools map[string]bool) {
	names := map[string]bool{}
	for i, m := range models {
		path := fmt.Sprintf("fleet.models[%d]", i)
		p.name(path+".name", m.Name)
		if names[m.Name] {
			p.add(path+".name", "%q is listed twice", m.Name)
		}
		names[m.Name] = true
		if !pools[m.Pool] {
			p.add(path+".pool", "no pool %q", m.Pool)
		}
		if m.MaxPromptTokens < 0 || m.MaxOutputTokens < 0 {
			p.add(path, "token limits must not be negative")
		}
	}
}

// validateServices checks the plain services.
func validateServices(p *problems, services []Service) {
	names := map[string]bool{}
	for i, s := range services {
		path := fmt.Sprintf("fleet.services[%d]", i)
		p.name(path+".name", s.Name)
		if names[s.Name] {
			p.add(path+".name", "%q is listed twice", s.Name)
		}
		names[s.Name] = true
		for j, r := range s.Routes {
			validateRoute(p, fmt.Sprintf("%s.routes[%d]", path, j), r)
		}
	}
}

// validateRoute checks one route.
func validateRoute(p *problems, path string, r Route) {
	switch r.Method {
	case "GET", "HEAD", "POST", "PUT", "PATCH", "DELETE":
	default:
		p.add(path+".method", "%q is not one of GET, HEAD, POST, PUT, PATCH, DELETE", r.Method)
	}
	if !strings.HasPrefix(r.Path, "/") {
		p.add(path+".path", "%q does not begin with '/'", r.Path)
	}
	if star := strings.IndexByte(r.Path, '*'); star >= 0 && star != len(r.Path)-1 {
		p.add(path+".path", "'*' is allowed only at the end")
	}
	if r.TimeoutMillis < 0 {
		p.add(path+".timeout_ms", "must not be negative")
	}
	if r.Open && !r.Repeatable && r.Method != "GET" && r.Method != "HEAD" {
		p.add(path+".open", "an open route must be repeatable or a GET or HEAD, since claims belong to an organisation")
	}
}

// validateContracts checks the contracts against the fleet.
func validateContracts(p *problems, f *Fleet, contracts []*Contract) {
	if len(contracts) > maxOrganisations {
		p.add("contracts", "more than %d", maxOrganisations)
	}
	models := map[string]bool{}
	for _, m := range f.Models {
		models[m.Name] = true
	}
	services := map[string]bool{}
	for _, s := range f.Services {
		services[s.Name] = true
	}
	organisations := map[string]bool{}
	keyOwners := map[string]string{}
	for _, c := range contracts {
		path := "contracts[" + c.Organisation + "]"
		p.name(path+".organisation", c.Organisation)
		if organisations[c.Organisation] {
			p.add(path+".organisation", "is listed twice")
		}
		organisations[c.Organisation] = true
		validateKeys(p, path, c, keyOwners)
		validateLimits(p, path, c)
		validateKnown(p, path+".models", c.Models, models, "model")
		validateKnown(p, path+".services", c.Services, services, "service")
	}
}

// validateKeys checks the keys of a contract and adds them to owners, which holds the organisation
// of each fingerprint seen so far.
func validateKeys(p *problems, path string, c *Contract, owners map[string]string) {
	if len(c.Keys) > maxKeysEach {
		p.add(path+".keys", "more than %d", maxKeysEach)
	}
	for i, k := range c.Keys {
		keyPath := fmt.Sprintf("%s.keys[%d].fingerprint", path, i)
		if !fingerprintPattern.MatchString(k.Fingerprint) {
			p.add(keyPath, "not a lower-case hexadecimal SHA-256")
		}
		if owner, taken := owners[k.Fingerprint]; taken {
			p.add(keyPath, "the key already belongs to %s", owner)
		}
		owners[k.Fingerprint] = c.Organisation
	}
}

// validateLimits checks the limits of a contract.
func validateLimits(p *problems, path string, c *Contract) {
	if c.Limits.RequestsPerSecond <= 0 {
		p.add(path+".limits.requests_per_second", "must be above 0")
	}
	if c.Limits.Concurrency <= 0 {
		p.add(path+".limits.concurrency", "must be above 0")
	}
	if c.Limits.Burst < 0 {
		p.add(path+".limits.burst", "must not be negative")
	}
	if c.Limits.TokensPerMinute < 0 {
		p.add(path+".limits.tokens_per_minute", "must not be negative")
	}
	if c.Weight < 0 {
		p.add(path+".weight", "must not be negative")
	}
}

// validateKnown checks that every name is a known model or service; what says which.
func validateKnown(p *problems, path string, names []string, known map[string]bool, what string) {
	for i, name := range names {
		if !known[name] {
			p.add(fmt.Sprintf("%s[%d]", path, i), "no %s %q", what, name)
		}
	}
}

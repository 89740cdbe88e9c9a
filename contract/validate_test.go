package contract

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"zinniapin/result"
	"zinniapin/zone"
)

// validConfiguration returns a configuration without mistakes.
func validConfiguration() (*Fleet, []*Contract) {
	fleet := &Fleet{
		Zones:    []zone.Zone{{Name: "riga-a", Region: "baltic"}},
		Pools:    []Pool{{Name: "assistant", MinOnDemand: 1, MaxOnDemand: 2}},
		Models:   []Model{{Name: "assistant", Pool: "assistant"}},
		Services: []Service{{Name: "desk", Routes: []Route{{Method: "POST", Path: "/deposits"}, {Method: "GET", Path: "/status/*", Open: true}}}},
	}
	one := &Contract{
		Organisation: "portal", Keys: []Key{{Fingerprint: Fingerprint("one")}},
		Models: []string{"assistant"}, Services: []string{"desk"},
		Limits: Limits{RequestsPerSecond: 1, Concurrency: 1},
	}
	other := &Contract{Organisation: "triage", Keys: []Key{{Fingerprint: Fingerprint("two")}}, Limits: Limits{RequestsPerSecond: 1, Concurrency: 1}}
	return fleet, []*Contract{one, other}
}

// TestValidateNamesEveryMistake checks the error for each mistake alone, and for three at once.
func TestValidateNamesEveryMistake(t *testing.T) {
	is := is.New(t)
	is.NoErr(Validate(validConfiguration()))
	long := strings.Repeat("a", maxNameBytes+1)
	route := "fleet.services[0].routes[0]"
	portal := "contracts[portal]"
	mistakes := []struct {
		want  string
		apply func(f *Fleet, c []*Contract)
	}{
		{"fleet.zones: there must be at least one", func(f *Fleet, _ []*Contract) { f.Zones = nil }},
		{`fleet.zones[0].region: "" is not a name`, func(f *Fleet, _ []*Contract) { f.Zones[0].Region = "" }},
		{`fleet.zones[1].name: "riga-a" is listed twice`, func(f *Fleet, _ []*Contract) { f.Zones = append(f.Zones, f.Zones[0]) }},
		{"fleet.usage_window_seconds: must not be negative", func(f *Fleet, _ []*Contract) { f.UsageWindowSeconds = -1 }},
		{`fleet.pools[1].name: "assistant" is listed twice`, func(f *Fleet, _ []*Contract) { f.Pools = append(f.Pools, f.Pools[0]) }},
		{"fleet.pools[0].max_on_demand: must be at least min_on_demand", func(f *Fleet, _ []*Contract) { f.Pools[0].MaxOnDemand = 0 }},
		{"fleet.pools[0].max_reclaimable: must not be negative", func(f *Fleet, _ []*Contract) { f.Pools[0].MaxReclaimable = -1 }},
		{`fleet.models[0].pool: no pool "none"`, func(f *Fleet, _ []*Contract) { f.Models[0].Pool = "none" }},
		{"fleet.models[0]: token limits must not be negative", func(f *Fleet, _ []*Contract) { f.Models[0].MaxOutputTokens = -1 }},
		{`fleet.models[1].name: "assistant" is listed twice`, func(f *Fleet, _ []*Contract) { f.Models = append(f.Models, f.Models[0]) }},
		{`fleet.services[0].name: "` + long + `" is not a name`, func(f *Fleet, _ []*Contract) { f.Services[0].Name = long }},
		{`fleet.services[1].name: "desk" is listed twice`, func(f *Fleet, _ []*Contract) { f.Services = append(f.Services, f.Services[0]) }},
		{route + `.method: "post" is not one of`, func(f *Fleet, _ []*Contract) { f.Services[0].Routes[0].Method = "post" }},
		{route + `.path: "deposits" does not begin with '/'`, func(f *Fleet, _ []*Contract) { f.Services[0].Routes[0].Path = "deposits" }},
		{route + ".path: '*' is allowed only at the end", func(f *Fleet, _ []*Contract) { f.Services[0].Routes[0].Path = "/*/a" }},
		{route + ".timeout_ms: must not be negative", func(f *Fleet, _ []*Contract) { f.Services[0].Routes[0].TimeoutMillis = -1 }},
		{route + ".open: an open route must be repeatable", func(f *Fleet, _ []*Contract) { f.Services[0].Routes[0].Open = true }},
		{"contracts[portal].organisation: is listed twice", func(_ *Fleet, c []*Contract) { c[1].Organisation = "portal" }},
		{"contracts[a b].organisation: ", func(_ *Fleet, c []*Contract) { c[1].Organisation = "a b" }},
		{portal + ".keys[0].fingerprint: not a lower-case", func(_ *Fleet, c []*Contract) { c[0].Keys[0].Fingerprint = strings.Repeat("A", 64) }},
		{"contracts[triage].keys[0].fingerprint: the key already belongs to portal", func(_ *Fleet, c []*Contract) { c[1].Keys = c[0].Keys }},
		{portal + ".keys: more than 64", func(_ *Fleet, c []*Contract) { c[0].Keys = make([]Key, maxKeysEach+1) }},
		{portal + ".limits.requests_per_second: must be above 0", func(_ *Fleet, c []*Contract) { c[0].Limits.RequestsPerSecond = 0 }},
		{portal + ".limits.concurrency: must be above 0", func(_ *Fleet, c []*Contract) { c[0].Limits.Concurrency = 0 }},
		{portal + ".limits.burst: must not be negative", func(_ *Fleet, c []*Contract) { c[0].Limits.Burst = -1 }},
		{portal + ".limits.tokens_per_minute: must not be negative", func(_ *Fleet, c []*Contract) { c[0].Limits.TokensPerMinute = -1 }},
		{portal + ".weight: must not be negative", func(_ *Fleet, c []*Contract) { c[0].Weight = -1 }},
		{portal + `.models[0]: no model "none"`, func(_ *Fleet, c []*Contract) { c[0].Models = []string{"none"} }},
		{portal + `.services[0]: no service "none"`, func(_ *Fleet, c []*Contract) { c[0].Services = []string{"none"} }},
	}
	for _, m := range mistakes {
		fleet, contracts := validConfiguration()
		m.apply(fleet, contracts)
		err := Validate(fleet, contracts)
		is.Equal(result.CodeOf(err), result.BadConfiguration)
		if !strings.Contains(err.Error(), m.want) {
			t.Errorf("%q is not in %q", m.want, err)
		}
	}
	fleet, contracts := validConfiguration()
	fleet.UsageWindowSeconds, contracts[0].Weight, contracts[1].Weight = -1, -1, -1
	is.True(strings.Contains(Validate(fleet, contracts).Error(), "3 mistakes: "))
}

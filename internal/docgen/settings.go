package main

import (
	"fmt"
	"regexp"
	"strings"

	"zinniapin/contract"
	"zinniapin/result"
	"zinniapin/settings"
	"zinniapin/target"
	"zinniapin/zone"
)

// section is a kind of file on the page.
type section struct {
	title string
	text  string
	root  string // struct of the whole file
	// missing are the mistakes that files without any value have; the fields
	// that they name must be given.
	missing []error
	// change tells what a change of a field needs.
	change func(path string) string
}

// restart is what every field of a settings file needs.
func restart(string) string { return "restart" }

// taken are the settings of a node that Node.Reload takes over while it runs.
var taken = map[string]bool{
	"seeds": true, "memory_mb": true, "duties.usage": true, "duties.scaling": true,
	"bounds.grace_seconds": true, "bounds.usage_late_seconds": true,
}

// reload is what a field of a node's settings needs.
func reload(path string) string {
	if taken[path] {
		return "none"
	}
	return "restart"
}

// none is what fields of the configuration need, but for one.
func none(path string) string {
	if path == "fleet.usage_window_seconds" {
		return "cannot be changed"
	}
	return "none"
}

// checker is a settings struct.
type checker interface {
	Check(p *settings.Problems)
}

// mistakes returns what the check of a settings struct finds.
func mistakes(c checker) []error {
	p := &settings.Problems{}
	c.Check(p)
	return []error{p.Err("")}
}

// emptyStandin returns stand-in settings with one of each and no values.
func emptyStandin() *settings.Standin {
	return &settings.Standin{
		Platform: &settings.StandinPlatform{
			Hosts:  []settings.StandinHost{{Target: &settings.StandinTarget{}}},
			Bought: &settings.StandinEngine{},
		},
		Engines:  []settings.StandinEngine{{}},
		Services: []settings.StandinService{{}},
	}
}

// emptyConfigurations returns the mistakes of an empty configuration and of
// one with one of each and no values.
func emptyConfigurations() []error {
	model := contract.Validate(&contract.Fleet{Models: []contract.Model{{}}}, nil)
	fleet := &contract.Fleet{
		Zones:    []zone.Zone{{}},
		Models:   []contract.Model{{}},
		Services: []contract.Service{{Routes: []contract.Route{{}}}},
		Pools:    []contract.Pool{{Targets: []target.ID{}}},
	}
	return []error{model, contract.Validate(fleet, []*contract.Contract{{Keys: []contract.Key{{}}}})}
}

// emptyGateway returns the settings of a gateway with one of each and no values.
func emptyGateway() *settings.Gateway {
	return &settings.Gateway{Common: emptyCommon(), ListenTLS: &settings.ServerTLS{}}
}

// emptyController returns the settings of a controller, likewise.
func emptyController() *settings.Controller {
	return &settings.Controller{Common: emptyCommon()}
}

// emptyCommon returns the settings of every daemon, likewise.
func emptyCommon() settings.Common {
	return settings.Common{OperatorsTLS: &settings.ServerTLS{}}
}

// sections returns the sections of the page.
func sections() []section {
	return []section{
		{"Gateway", "Read by `zinnia-gateway --settings FILE`.", "settings.Gateway", mistakes(emptyGateway()), restart},
		{"Controller", "Read by `zinnia-controller --settings FILE`.", "settings.Controller", mistakes(emptyController()), restart},
		{"Operator", "Read by `zinniactl --settings FILE`, or the file that `ZINNIACTL_SETTINGS` names, or `zinniactl.json`. Each command reads it anew.", "settings.Operator", mistakes(&settings.Operator{}), none},
		{"Node", "Read by `zinnia-node --settings FILE`, and again at SIGHUP or when the file has changed.", "settings.Node", mistakes(&settings.Node{}), reload},
		{"Stand-ins", "Read by `zinnia-standin --settings FILE`, for tests and the examples only.", "settings.Standin", mistakes(emptyStandin()), restart},
		{"Configuration", "The file of `zinniactl config apply`. It is checked as a whole and in force on every host within seconds; `zinniactl config check FILE` checks it without changing anything.", "operator.Document", emptyConfigurations(), none},
	}
}

// settingsPage returns the content of docs/SETTINGS.md.
func settingsPage(root string) (string, error) {
	source, err := readSources(root, "settings", "contract", "operator", "target", "zone")
	if err != nil {
		return "", err
	}
	var b strings.Builder
	b.WriteString("# Settings\n\n")
	b.WriteString("Generated from the structs in packages `settings`, `contract` and `operator` by `make docs`.\n\n")
	b.WriteString("All files are JSON. A field that the program does not know is a mistake, and every mistake is named by its path. ")
	b.WriteString("The daemons check a file without starting with `--check`; they print `" + settings.Valid + "` and end with 0.\n\n")
	b.WriteString("The column \"default\" says \"required\" where a file without the field is refused. ")
	b.WriteString("The fields of an object that is itself optional are required only within it, and `tls.certificate`, `tls.key` and `tls.authority` only without `tls.plaintext`.\n")
	for _, s := range sections() {
		if err := s.write(&b, source); err != nil {
			return "", err
		}
	}
	return b.String(), nil
}

// write writes a section.
func (s section) write(b *strings.Builder, source sources) error {
	all, err := source.fields(s.root, "")
	if err != nil {
		return err
	}
	required := pathsOf(s.missing...)
	fmt.Fprintf(b, "\n## %s\n\n%s\n\n", s.title, s.text)
	b.WriteString("| field | type | unit | default | a change needs | meaning |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, f := range all {
		value, meaning := defaultOf(f)
		if required[strings.TrimSuffix(f.path, "[]")] {
			value = "required"
		}
		fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s | %s |\n", f.path, f.kind, unitOf(f), value, s.change(f.path), meaning)
	}
	return nil
}

// mistakePattern finds the path of a mistake.
var mistakePattern = regexp.MustCompile(`(?:^|; |mistakes: )([a-z][a-z_.0-9\[\]]*): `)

// indexPattern finds the index into a list.
var indexPattern = regexp.MustCompile(`\[\d*\]`)

// pathsOf returns the fields that a check names.
func pathsOf(all ...error) map[string]bool {
	paths := map[string]bool{}
	for _, err := range all {
		e := result.Of(err)
		if e == nil {
			continue
		}
		for _, match := range mistakePattern.FindAllStringSubmatch(e.Message, -1) {
			paths[indexPattern.ReplaceAllString(match[1], "[]")] = true
		}
	}
	return paths
}

// defaultPattern finds the default in a doc comment.
var defaultPattern = regexp.MustCompile(`\s*Default:? (.+?)\.(?:\s|$)`)

// defaultOf returns the default of a field and its meaning without it.
func defaultOf(f field) (value, meaning string) {
	if match := defaultPattern.FindStringSubmatch(f.doc); match != nil {
		return match[1], strings.TrimSpace(defaultPattern.ReplaceAllString(f.doc, " "))
	}
	switch f.kind {
	case "boolean":
		return "false", f.doc
	case "integer", "number":
		return "0", f.doc
	case "object":
		return "", f.doc
	default:
		return "empty", f.doc
	}
}

// units name the unit of a field by the end of its name; the first match
// counts.
var units = []struct{ end, unit string }{
	{"_ms", "ms"},
	{"tokens_per_second", "tokens/s"},
	{"retry_ratio", "repeats for each request"},
	{"retry_slack", "repeats"},
	{"memory_mb", "MB"},
	{"requests_per_second", "requests/s"},
	{"_per_second", "calls/s"},
	{"tokens_per_minute", "tokens/min"},
	{"_seconds", "s"},
	{"_tokens", "tokens"},
	{"_micros_per_1000", "millionths of the currency unit for 1,000 tokens"},
	{"call_micros", "millionths of the currency unit"},
	{"_percent", "%"},
	{"kv_pieces", "pieces of 2,000 tokens"},
	{"concurrency", "requests"},
	{"burst", "requests"},
	{"capacity", "requests"},
	{"queue_length", "requests"},
	{"_on_demand", "engines"},
	{"_reclaimable", "engines"},
}

// unitOf returns the unit of a field, or nothing.
func unitOf(f field) string {
	for _, u := range units {
		if strings.HasSuffix(f.path, u.end) && (f.kind == "integer" || f.kind == "number") {
			return u.unit
		}
	}
	return ""
}

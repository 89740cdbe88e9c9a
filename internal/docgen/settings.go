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

// section is a section of the settings page, which describes one kind of file.
type section struct {
	title      string
	text       string
	rootStruct string // name of the struct that describes the file
	// emptyErrors are the validation errors of files without values, or whose lists have
	// one element without values. The fields that they name are required.
	emptyErrors []error
	// changeNeed returns what a change of a field needs, such as "restart".
	changeNeed func(path string) string
}

// restartNeeded is the changeNeed of settings that a program reads only at its start.
func restartNeeded(string) string { return "restart" }

// reloadable are the settings of a node that Node.Reload applies while the node runs.
var reloadable = map[string]bool{
	"seeds": true, "memory_mb": true, "duties.usage": true, "duties.scaling": true,
	"bounds.grace_seconds": true, "bounds.usage_late_seconds": true,
}

// nodeChangeNeed is the changeNeed of a node's settings.
func nodeChangeNeed(path string) string {
	if reloadable[path] {
		return "none"
	}
	return "restart"
}

// configurationChangeNeed is the changeNeed of files that a command reads anew each time: the
// operator's settings and the configuration, in which one field cannot be changed.
func configurationChangeNeed(path string) string {
	if path == "fleet.usage_window_seconds" {
		return "cannot be changed"
	}
	return "none"
}

// checker is a settings struct that can be validated.
type checker interface {
	Check(p *settings.Problems)
}

// checkErrors returns the errors that the validation of a settings struct finds.
func checkErrors(c checker) []error {
	p := &settings.Problems{}
	c.Check(p)
	return []error{p.Err("")}
}

// emptyStandin returns stand-in settings with one element in each list and optional object, all
// without values.
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

// emptyConfigurations returns the validation errors of two configurations: one with an empty
// model only, and one with one element without values in each list. In the second the empty pool
// name is that of a pool, so that only the first names the pool of a model as missing.
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

// emptyGateway returns gateway settings with every optional object, all without values.
func emptyGateway() *settings.Gateway {
	return &settings.Gateway{Common: emptyCommon(), ListenTLS: &settings.ServerTLS{}}
}

// emptyController returns controller settings with every optional object, all without values.
func emptyController() *settings.Controller {
	return &settings.Controller{Common: emptyCommon()}
}

// emptyCommon returns the settings that all daemons share with every optional object, all
// without values.
func emptyCommon() settings.Common {
	return settings.Common{OperatorsTLS: &settings.ServerTLS{}}
}

// sections returns the sections of the page.
func sections() []section {
	return []section{
		{"Gateway", "Read by `zinnia-gateway --settings FILE`.", "settings.Gateway", checkErrors(emptyGateway()), restartNeeded},
		{"Controller", "Read by `zinnia-controller --settings FILE`.", "settings.Controller", checkErrors(emptyController()), restartNeeded},
		{"Operator", "Read by `zinniactl --settings FILE`, or the file that `ZINNIACTL_SETTINGS` names, or `zinniactl.json`. Each command reads it anew.", "settings.Operator", checkErrors(&settings.Operator{}), configurationChangeNeed},
		{"Node", "Read by `zinnia-node --settings FILE`, and again at SIGHUP or when the file has changed.", "settings.Node", checkErrors(&settings.Node{}), nodeChangeNeed},
		{"Stand-ins", "Read by `zinnia-standin --settings FILE`, for tests and the examples only.", "settings.Standin", checkErrors(emptyStandin()), restartNeeded},
		{"Configuration", "The file of `zinniactl config apply`. It is checked as a whole and in force on every host within seconds; `zinniactl config check FILE` checks it without changing anything.", "operator.Document", emptyConfigurations(), configurationChangeNeed},
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
		if err := s.writeTo(&b, source); err != nil {
			return "", err
		}
	}
	return b.String(), nil
}

// writeTo writes the section with the table of its fields.
func (s section) writeTo(b *strings.Builder, source sources) error {
	all, err := source.fields(s.rootStruct, "")
	if err != nil {
		return err
	}
	required := pathsOf(s.emptyErrors...)
	fmt.Fprintf(b, "\n## %s\n\n%s\n\n", s.title, s.text)
	b.WriteString("| field | type | unit | default | a change needs | meaning |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, f := range all {
		value, meaning := defaultOf(f)
		if required[strings.TrimSuffix(f.path, "[]")] {
			value = "required"
		}
		fmt.Fprintf(b, "| `%s` | %s | %s | %s | %s | %s |\n", f.path, f.kind, unitOf(f), value, s.changeNeed(f.path), meaning)
	}
	return nil
}

// errorPathPattern matches the path of a field in a validation error.
var errorPathPattern = regexp.MustCompile(`(?:^|; |mistakes: )([a-z][a-z_.0-9\[\]]*): `)

// indexPattern matches the index of a list element.
var indexPattern = regexp.MustCompile(`\[\d*\]`)

// pathsOf returns the paths of the fields that validation errors name.
func pathsOf(all ...error) map[string]bool {
	paths := map[string]bool{}
	for _, err := range all {
		e := result.Of(err)
		if e == nil {
			continue
		}
		for _, match := range errorPathPattern.FindAllStringSubmatch(e.Message, -1) {
			paths[indexPattern.ReplaceAllString(match[1], "[]")] = true
		}
	}
	return paths
}

// defaultPattern matches the default value in a doc comment.
var defaultPattern = regexp.MustCompile(`\s*Default:? (.+?)\.(?:\s|$)`)

// defaultOf returns the default value of a field, and its doc comment without it.
func defaultOf(f fieldEntry) (value, meaning string) {
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

// units maps the end of a field's path to its unit. The first match applies.
var units = []struct{ suffix, unit string }{
	{"_ms", "ms"},
	{"tokens_per_second", "tokens/s"},
	{"retry_ratio", "repeats for each request"},
	{"retry_slack", "repeats"},
	{"limit_overage", "share of the limit"},
	{"limit_slack", "units of the limit"},
	{"memory_mb", "MB"}, {"descriptors", "descriptors"},
	{"requests_per_second", "requests/s"},
	{"_per_second", "calls/s"},
	{"tokens_per_minute", "tokens/min"},
	{"_seconds", "s"},
	{"_tokens", "tokens"},
	{"_micros_per_1000", "millionths of the currency unit for 1,000 tokens"},
	{"call_micros", "millionths of the currency unit"},
	{"_mbps", "Mbit/s"},
	{"_percent", "%"},
	{"kv_pieces", "pieces of 2,000 tokens"},
	{"concurrency", "requests"},
	{"burst", "requests"},
	{"capacity", "requests"},
	{"queue_length", "requests"},
	{"_on_demand", "engines"},
	{"_reclaimable", "engines"},
}

// unitOf returns the unit of a numeric field, or "".
func unitOf(f fieldEntry) string {
	for _, u := range units {
		if strings.HasSuffix(f.path, u.suffix) && (f.kind == "integer" || f.kind == "number") {
			return u.unit
		}
	}
	return ""
}

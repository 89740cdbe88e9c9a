package operator

import (
	"context"
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/gravitational/trace"

	"zinniapin/configuration"
	"zinniapin/contract"
	"zinniapin/result"
	"zinniapin/strictjson"
)

// contractCommands are the commands on contracts.
type contractCommands struct {
	List   contractList   `command:"list" description:"List contracts"`
	Show   contractShow   `command:"show" description:"Show a contract" long-description:"Example: zinniactl contract show acme"`
	Create contractCreate `command:"create" description:"Create a contract from a file" long-description:"Example: zinniactl contract create acme.json --wait"`
	Apply  contractApply  `command:"apply" description:"Create or replace a contract from a file" long-description:"Keys in the accepted contract that the file lacks are refused unless --keys-from-file is given.\nExample: zinniactl contract apply acme.json --base 41"`
	Set    contractSet    `command:"set" description:"Change single fields of a contract" long-description:"Example: zinniactl contract set acme limits.requests_per_second=20 weight=2"`
	Diff   contractDiff   `command:"diff" description:"Compare a file with the accepted contract" long-description:"Example: zinniactl contract diff acme.json"`
	Remove contractRemove `command:"remove" description:"End a contract; its keys stop working" long-description:"Example: zinniactl contract remove acme --yes"`
}

// bind sets the shared state in every command.
func (c *contractCommands) bind(a *app) {
	c.List.app = a
	c.Show.app = a
	c.Create.app = a
	c.Apply.app = a
	c.Set.app = a
	c.Diff.app = a
	c.Remove.app = a
}

// organisationArgument is the argument that names an organisation.
type organisationArgument struct {
	Organisation string `positional-arg-name:"ORGANISATION" required:"yes"`
}

// fileArgument is the argument that names an input file.
type fileArgument struct {
	File string `positional-arg-name:"FILE" required:"yes" description:"JSON file; - is standard input"`
}

// baseOption is the option that names the revision a change is based on.
type baseOption struct {
	Base uint64 `long:"base" value-name:"REVISION" description:"refuse unless this is the accepted revision (default: whatever is accepted)"`
}

// revision returns the base revision: that of the option, or else that of the snapshot.
func (o baseOption) revision(s *contract.Snapshot) contract.Revision {
	if o.Base != 0 {
		return contract.Revision(o.Base)
	}
	return s.Revision
}

// contractList lists contracts.
type contractList struct {
	app *app
}

// Execute implements flags.Commander.
func (c *contractList) Execute([]string) error {
	return c.app.withBackend(func(ctx context.Context, b *Backend) error {
		s, err := loadSnapshot(ctx, b)
		if err != nil {
			return err
		}
		all := sortedContracts(s)
		t := &table{header: []string{"organisation", "keys", "requests/s", "concurrency", "tokens/min", "weight"}}
		for _, x := range all {
			t.add(x.Organisation, len(x.Keys), x.Limits.RequestsPerSecond, x.Limits.Concurrency, x.Limits.TokensPerMinute, x.Weight)
		}
		return c.app.print(all, t)
	})
}

// sortedContracts returns all contracts in order of organisation.
func sortedContracts(s *contract.Snapshot) []*contract.Contract {
	all := make([]*contract.Contract, 0, len(s.Contracts))
	for _, c := range s.Contracts {
		all = append(all, c)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Organisation < all[j].Organisation })
	return all
}

// contractShow shows a contract.
type contractShow struct {
	app  *app
	Args organisationArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *contractShow) Execute([]string) error {
	return c.app.withBackend(func(ctx context.Context, b *Backend) error {
		s, err := loadSnapshot(ctx, b)
		if err != nil {
			return err
		}
		found, err := findContract(s, c.Args.Organisation)
		if err != nil {
			return err
		}
		return c.app.printJSON(found)
	})
}

// contractCreate creates a contract.
type contractCreate struct {
	app *app
	waitOptions
	Args fileArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *contractCreate) Execute([]string) error {
	return c.app.withBackend(func(ctx context.Context, b *Backend) error {
		wanted, err := readContract(c.Args.File)
		if err != nil {
			return err
		}
		create := func(s *contract.Snapshot) (configuration.Proposal, error) {
			p := configuration.Proposal{Contracts: []*contract.Contract{wanted}, Summary: "create contract " + wanted.Organisation}
			if s.Contracts[wanted.Organisation] != nil {
				return p, result.New(result.ContractExists, "the contract exists; contract apply replaces it").At(wanted.Organisation)
			}
			return p, nil
		}
		return c.app.changeAndPrint(ctx, b, baseOption{}, c.waitOptions, noConflict, create)
	})
}

// contractApply creates or replaces a contract.
type contractApply struct {
	app *app
	waitOptions
	baseOption
	KeysFromFile bool         `long:"keys-from-file" description:"let the file drop keys of the accepted contract"`
	Args         fileArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *contractApply) Execute([]string) error {
	return c.app.withBackend(func(ctx context.Context, b *Backend) error {
		wanted, err := readContract(c.Args.File)
		if err != nil {
			return err
		}
		replace := func(s *contract.Snapshot) (configuration.Proposal, error) {
			p := configuration.Proposal{Contracts: []*contract.Contract{wanted}, Summary: "apply contract " + wanted.Organisation}
			if c.KeysFromFile {
				return p, nil
			}
			return p, checkKeys(s.Contracts[wanted.Organisation], wanted)
		}
		return c.app.changeAndPrint(ctx, b, c.baseOption, c.waitOptions, conflictOnContractChange(wanted.Organisation), replace)
	})
}

// checkKeys refuses a contract that lacks a key of the accepted contract or restores a
// withdrawn one, for example one from a file that is out of date.
func checkKeys(old, wanted *contract.Contract) error {
	if old == nil {
		return nil
	}
	inFile := map[string]contract.Key{}
	for _, k := range wanted.Keys {
		inFile[k.Fingerprint] = k
	}
	for _, k := range old.Keys {
		updated, ok := inFile[k.Fingerprint]
		if !ok {
			return result.New(result.BadConfiguration, "the file drops the key %s; --keys-from-file allows that", shortFingerprint(k.Fingerprint)).At(wanted.Organisation + ".keys")
		}
		if k.Withdrawn && !updated.Withdrawn {
			return result.New(result.BadConfiguration, "the file restores the withdrawn key %s; --keys-from-file allows that", shortFingerprint(k.Fingerprint)).At(wanted.Organisation + ".keys")
		}
	}
	return nil
}

// readContract reads one contract from a file.
func readContract(file string) (*contract.Contract, error) {
	data, err := readFile(file)
	if err != nil {
		return nil, err
	}
	c := &contract.Contract{}
	if err := strictjson.Decode(data, c, result.BadConfiguration); err != nil {
		return nil, err
	}
	return c, nil
}

// contractSet changes single fields of a contract.
type contractSet struct {
	app *app
	waitOptions
	baseOption
	Args struct {
		Organisation string   `positional-arg-name:"ORGANISATION" required:"yes"`
		Fields       []string `positional-arg-name:"FIELD=VALUE" required:"1"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *contractSet) Execute([]string) error {
	return c.app.withBackend(func(ctx context.Context, b *Backend) error {
		return c.app.changeAndPrint(ctx, b, c.baseOption, c.waitOptions, conflictOnContractChange(c.Args.Organisation), c.set)
	})
}

// set returns the proposal that sets the fields given on the command line.
func (c *contractSet) set(s *contract.Snapshot) (configuration.Proposal, error) {
	old, err := findContract(s, c.Args.Organisation)
	if err != nil {
		return configuration.Proposal{}, err
	}
	wanted, err := setFields(old, c.Args.Fields)
	if err != nil {
		return configuration.Proposal{}, err
	}
	summary := fmt.Sprintf("set %s of %s", strings.Join(c.Args.Fields, ", "), old.Organisation)
	return configuration.Proposal{Contracts: []*contract.Contract{wanted}, Summary: summary}, nil
}

// setFields returns a copy of a contract with fields set. Each element of fields is
// PATH=VALUE, where PATH is the JSON field names joined by dots.
func setFields(c *contract.Contract, fields []string) (*contract.Contract, error) {
	document, err := toDocument(c)
	if err != nil {
		return nil, err
	}
	for _, field := range fields {
		path, value, ok := strings.Cut(field, "=")
		if !ok {
			return nil, result.New(result.BadUsage, "want FIELD=VALUE").At(field)
		}
		if path == "keys" || path == "organisation" {
			return nil, result.New(result.BadUsage, "contract set does not change this field; see key and contract create").At(path)
		}
		if err := setPath(document, strings.Split(path, "."), parseValue(value)); err != nil {
			return nil, err
		}
	}
	data, err := json.Marshal(document)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	changed := &contract.Contract{}
	if err := strictjson.Decode(data, changed, result.BadConfiguration); err != nil {
		return nil, err
	}
	return changed, nil
}

// toDocument converts a value to a JSON object.
func toDocument(v any) (map[string]any, error) {
	data, err := json.Marshal(v)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	document := map[string]any{}
	return document, trace.Wrap(json.Unmarshal(data, &document))
}

// parseValue parses a value as JSON. Text that is not JSON is taken as a string.
func parseValue(text string) any {
	var value any
	if json.Unmarshal([]byte(text), &value) == nil {
		return value
	}
	return text
}

// setPath sets the field at a path in a JSON object. All objects on the path must exist.
func setPath(document map[string]any, path []string, value any) error {
	for _, name := range path[:len(path)-1] {
		next, ok := document[name].(map[string]any)
		if !ok {
			return result.New(result.BadConfiguration, "the contract has no such object").At(strings.Join(path, "."))
		}
		document = next
	}
	document[path[len(path)-1]] = value
	return nil
}

// contractDiff compares a file with the accepted contract.
type contractDiff struct {
	app  *app
	Args fileArgument `positional-args:"yes"`
}

// difference is a field that differs between the accepted contract and a file.
type difference struct {
	Field    string `json:"field"`
	Accepted any    `json:"accepted"`
	File     any    `json:"file"`
}

// Execute implements flags.Commander.
func (c *contractDiff) Execute([]string) error {
	return c.app.withBackend(func(ctx context.Context, b *Backend) error {
		wanted, err := readContract(c.Args.File)
		if err != nil {
			return err
		}
		s, err := loadSnapshot(ctx, b)
		if err != nil {
			return err
		}
		differences, err := diff(s.Contracts[wanted.Organisation], wanted)
		if err != nil {
			return err
		}
		t := &table{header: []string{"field", "accepted", "file"}}
		for _, d := range differences {
			t.add(d.Field, formatValue(d.Accepted), formatValue(d.File))
		}
		return c.app.print(differences, t)
	})
}

// diff returns the fields in which two contracts differ, in order of name. accepted may
// be nil.
func diff(accepted, file *contract.Contract) ([]difference, error) {
	if accepted == nil {
		accepted = &contract.Contract{}
	}
	a, err := toDocument(accepted)
	if err != nil {
		return nil, err
	}
	b, err := toDocument(file)
	if err != nil {
		return nil, err
	}
	return diffDocuments("", a, b), nil
}

// diffDocuments returns the fields in which two JSON objects differ, in order of name.
// The prefix is put before each name.
func diffDocuments(prefix string, a, b map[string]any) []difference {
	names := map[string]bool{}
	for name := range a {
		names[name] = true
	}
	for name := range b {
		names[name] = true
	}
	found := []difference{}
	for name := range names {
		found = append(found, diffField(prefix+name, a[name], b[name])...)
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Field < found[j].Field })
	return found
}

// diffField returns the differences in one field; objects are compared field by field.
func diffField(path string, a, b any) []difference {
	objectA, isA := a.(map[string]any)
	objectB, isB := b.(map[string]any)
	if isA && isB {
		return diffDocuments(path+".", objectA, objectB)
	}
	if reflect.DeepEqual(a, b) {
		return nil
	}
	return []difference{{path, a, b}}
}

// contractRemove removes a contract.
type contractRemove struct {
	app *app
	waitOptions
	baseOption
	Yes  bool                 `long:"yes" description:"do it"`
	Args organisationArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *contractRemove) Execute([]string) error {
	if !c.Yes {
		return result.New(result.BadUsage, "the keys of %s would stop working; give --yes", c.Args.Organisation)
	}
	return c.app.withBackend(func(ctx context.Context, b *Backend) error {
		remove := func(s *contract.Snapshot) (configuration.Proposal, error) {
			_, err := findContract(s, c.Args.Organisation)
			return configuration.Proposal{Remove: []string{c.Args.Organisation}, Summary: "remove contract " + c.Args.Organisation}, err
		}
		return c.app.changeAndPrint(ctx, b, c.baseOption, c.waitOptions, conflictOnContractChange(c.Args.Organisation), remove)
	})
}

package operator

import (
	"context"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"zinniapin/configuration"
	"zinniapin/contract"
	"zinniapin/result"
	"zinniapin/strictjson"
)

// configCommands are the commands on the whole configuration.
type configCommands struct {
	Check   configCheck   `command:"check" description:"Check a file and name every mistake; nothing is changed" long-description:"Example: zinniactl config check deployment.json"`
	Apply   configApply   `command:"apply" description:"Make a file the accepted configuration" long-description:"Contracts that the file lacks stay unless --prune is given. Keys that the file lacks are refused unless --keys-from-file is given; config show prints a file with all keys.\nExample: zinniactl config apply deployment.json --wait"`
	Show    configShow    `command:"show" description:"Print the accepted configuration as a file"`
	History configHistory `command:"history" description:"List the latest accepted changes"`
	Wait    configWait    `command:"wait" description:"Wait until a revision is in force on every live host" long-description:"Example: zinniactl config wait 42"`
}

// bind sets the shared state in every command.
func (c *configCommands) bind(a *app) {
	c.Check.app = a
	c.Apply.app = a
	c.Show.app = a
	c.History.app = a
	c.Wait.app = a
}

// Document is a configuration file: the whole configuration.
type Document struct {
	// Fleet describes zones, models, services and pools.
	Fleet contract.Fleet `json:"fleet"`
	// Contracts are the contracts of all organisations.
	Contracts []*contract.Contract `json:"contracts"`
}

// ReadDocument decodes and validates a configuration file.
func ReadDocument(data []byte) (*Document, error) {
	d := &Document{}
	if err := strictjson.Decode(data, d, result.BadConfiguration); err != nil {
		return nil, err
	}
	if err := contract.Validate(&d.Fleet, d.Contracts); err != nil {
		return nil, err
	}
	return d, nil
}

// configCheck checks a file.
type configCheck struct {
	app  *app
	Args fileArgument `positional-args:"yes"`
}

// checkSummary counts the entries of a valid file; config check prints it.
type checkSummary struct {
	Contracts int `json:"contracts"`
	Models    int `json:"models"`
	Services  int `json:"services"`
	Zones     int `json:"zones"`
}

// Execute implements flags.Commander.
func (c *configCheck) Execute([]string) error {
	d, err := readDocumentFile(c.Args.File)
	if err != nil {
		return err
	}
	summary := checkSummary{len(d.Contracts), len(d.Fleet.Models), len(d.Fleet.Services), len(d.Fleet.Zones)}
	t := &table{header: []string{"contracts", "models", "services", "zones"}}
	t.add(summary.Contracts, summary.Models, summary.Services, summary.Zones)
	return c.app.print(summary, t)
}

// readDocumentFile reads a configuration file.
func readDocumentFile(file string) (*Document, error) {
	data, err := readFile(file)
	if err != nil {
		return nil, err
	}
	return ReadDocument(data)
}

// configApply makes a file the accepted configuration.
type configApply struct {
	app *app
	waitOptions
	baseOption
	Prune        bool         `long:"prune" description:"end contracts that the file lacks"`
	KeysFromFile bool         `long:"keys-from-file" description:"let the file drop keys and restore withdrawn ones"`
	Args         fileArgument `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *configApply) Execute([]string) error {
	return c.app.withBackend(func(ctx context.Context, b *Backend) error {
		d, err := readDocumentFile(c.Args.File)
		if err != nil {
			return err
		}
		replace := func(s *contract.Snapshot) (configuration.Proposal, error) {
			p := configuration.Proposal{Fleet: &d.Fleet, Contracts: d.Contracts}
			if c.Prune {
				p.Remove = organisationsMissingIn(s, d)
			}
			p.Summary = fmt.Sprintf("apply a configuration of %d contracts", len(d.Contracts))
			return p, c.checkKeys(s, d)
		}
		return c.app.changeAndPrint(ctx, b, c.baseOption, c.waitOptions, conflictOnAnyChange, replace)
	})
}

// checkKeys refuses a file that would drop keys or restore withdrawn ones, unless
// --keys-from-file is given.
func (c *configApply) checkKeys(s *contract.Snapshot, d *Document) error {
	if c.KeysFromFile {
		return nil
	}
	for _, wanted := range d.Contracts {
		if err := checkKeys(s.Contracts[wanted.Organisation], wanted); err != nil {
			return err
		}
	}
	return nil
}

// organisationsMissingIn returns the organisations that have an accepted contract but
// none in the file.
func organisationsMissingIn(s *contract.Snapshot, d *Document) []string {
	inFile := map[string]bool{}
	for _, c := range d.Contracts {
		inFile[c.Organisation] = true
	}
	var missing []string
	for _, c := range sortedContracts(s) {
		if !inFile[c.Organisation] {
			missing = append(missing, c.Organisation)
		}
	}
	return missing
}

// configShow prints the accepted configuration.
type configShow struct {
	app *app
}

// Execute implements flags.Commander.
func (c *configShow) Execute([]string) error {
	return c.app.withBackend(func(ctx context.Context, b *Backend) error {
		s, err := loadSnapshot(ctx, b)
		if err != nil {
			return err
		}
		return c.app.printJSON(Document{s.Fleet, sortedContracts(s)})
	})
}

// configHistory lists the latest accepted changes.
type configHistory struct {
	app *app
}

// Execute implements flags.Commander.
func (c *configHistory) Execute([]string) error {
	return c.app.withBackend(func(ctx context.Context, b *Backend) error {
		bundle, err := loadConfiguration(ctx, b)
		if err != nil {
			return err
		}
		changes := []configuration.Change{}
		if bundle != nil {
			changes = bundle.Root.Recent
		}
		t := &table{header: []string{"revision", "time", "author", "change"}}
		for _, change := range changes {
			at := time.UnixMilli(change.UnixMS).UTC().Format(time.RFC3339)
			t.add(change.Revision, at, change.Author, change.Summary)
		}
		return c.app.print(changes, t)
	})
}

// configWait waits until a revision is in force.
type configWait struct {
	app     *app
	Timeout time.Duration `long:"timeout" default:"30s" description:"how long to wait"`
	Args    struct {
		Revision uint64 `positional-arg-name:"REVISION" required:"yes"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *configWait) Execute([]string) error {
	return c.app.withBackend(func(ctx context.Context, b *Backend) error {
		revision := contract.Revision(c.Args.Revision)
		if err := waitInForce(ctx, b, revision, c.Timeout); err != nil {
			return err
		}
		return trace.Wrap(c.app.printAccepted(changeResult{revision, "asked for", true}))
	})
}

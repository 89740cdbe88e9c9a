package operator

import (
	"context"
	"fmt"
	"slices"
	"strings"

	"github.com/gravitational/trace"

	"zinniapin/configuration"
	"zinniapin/contract"
	"zinniapin/result"
)

// fingerprintShown is the number of characters of a fingerprint that tables and summaries
// show.
const fingerprintShown = 16

// minFingerprintPrefix is the least number of leading characters of a fingerprint by which
// the command "key withdraw" identifies a key. A longer prefix is refused as well if several
// fingerprints begin with it.
const minFingerprintPrefix = 8

// keyCommands are the commands on keys.
type keyCommands struct {
	Issue    keyIssue    `command:"issue" description:"Issue a key; it is shown once" long-description:"Example: zinniactl key issue acme --label desk --wait"`
	Withdraw keyWithdraw `command:"withdraw" description:"Withdraw a key" long-description:"Example: zinniactl key withdraw 3f2a9c01 --wait"`
	List     keyList     `command:"list" description:"List keys by fingerprint" long-description:"Example: zinniactl key list acme"`
}

// bind sets the shared state in every command.
func (c *keyCommands) bind(a *app) {
	c.Issue.app = a
	c.Withdraw.app = a
	c.List.app = a
}

// keyIssue issues a key.
type keyIssue struct {
	app *app
	waitOptions
	Label string               `long:"label" description:"what the key is for"`
	Args  organisationArgument `positional-args:"yes"`
}

// issuedKey is what the command "key issue" prints. It is the only output that contains the
// key itself; the configuration holds its fingerprint only.
type issuedKey struct {
	Key         string            `json:"key"`
	Fingerprint string            `json:"fingerprint"`
	Revision    contract.Revision `json:"revision"`
	InForce     bool              `json:"in_force"`
}

// Execute implements flags.Commander.
func (c *keyIssue) Execute([]string) error {
	return c.app.withBackend(func(ctx context.Context, b *Backend) error {
		key := contract.NewKey()
		entry := contract.Key{Fingerprint: contract.Fingerprint(key), Label: c.Label}
		issue := func(s *contract.Snapshot) (configuration.Proposal, error) {
			return c.issue(s, entry)
		}
		outcome, err := c.app.change(ctx, b, baseOption{}, c.waitOptions, noConflict, issue)
		if outcome.Revision == 0 {
			return err
		}
		// The key is printed even if the wait has failed: it is accepted, and
		// cannot be shown again.
		if printErr := c.print(issuedKey{key, entry.Fingerprint, outcome.Revision, outcome.InForce}); printErr != nil {
			return printErr
		}
		return err
	})
}

// issue returns the proposal that adds a key to those of the contract.
func (c *keyIssue) issue(s *contract.Snapshot, entry contract.Key) (configuration.Proposal, error) {
	old, err := findContract(s, c.Args.Organisation)
	if err != nil {
		return configuration.Proposal{}, err
	}
	changed := *old
	changed.Keys = append(slices.Clone(old.Keys), entry)
	summary := "issue key " + shortFingerprint(entry.Fingerprint) + " of " + old.Organisation
	return configuration.Proposal{Contracts: []*contract.Contract{&changed}, Summary: summary}, nil
}

// print prints an issued key.
func (c *keyIssue) print(k issuedKey) error {
	if c.app.options.JSON {
		return c.app.printJSON(k)
	}
	_, err := fmt.Fprintf(c.app.out, "key %s\nfingerprint %s\nrevision %d\n", k.Key, k.Fingerprint, k.Revision)
	return trace.Wrap(err)
}

// shortFingerprint returns the first fingerprintShown characters of a fingerprint.
func shortFingerprint(fingerprint string) string {
	if len(fingerprint) < fingerprintShown {
		return fingerprint
	}
	return fingerprint[:fingerprintShown]
}

// keyWithdraw withdraws a key.
type keyWithdraw struct {
	app *app
	waitOptions
	Args struct {
		Fingerprint string `positional-arg-name:"FINGERPRINT" required:"yes" description:"at least the first 8 characters"`
	} `positional-args:"yes"`
}

// Execute implements flags.Commander.
func (c *keyWithdraw) Execute([]string) error {
	return c.app.withBackend(func(ctx context.Context, b *Backend) error {
		return c.app.changeAndPrint(ctx, b, baseOption{}, c.waitOptions, noConflict, c.withdraw)
	})
}

// withdraw returns the proposal that marks one key as withdrawn. It changes nothing else,
// so concurrent withdrawals all take effect.
func (c *keyWithdraw) withdraw(s *contract.Snapshot) (configuration.Proposal, error) {
	owner, index, err := findKey(s, c.Args.Fingerprint)
	if err != nil {
		return configuration.Proposal{}, err
	}
	changed := *owner
	changed.Keys = slices.Clone(owner.Keys)
	changed.Keys[index].Withdrawn = true
	summary := "withdraw key " + shortFingerprint(changed.Keys[index].Fingerprint) + " of " + owner.Organisation
	return configuration.Proposal{Contracts: []*contract.Contract{&changed}, Summary: summary}, nil
}

// findKey returns the contract and the index of the key whose fingerprint begins with
// prefix. If several do, the error is a result.BadUsage.
func findKey(s *contract.Snapshot, prefix string) (*contract.Contract, int, error) {
	if len(prefix) < minFingerprintPrefix {
		return nil, 0, result.New(result.BadUsage, "give at least %d characters of the fingerprint", minFingerprintPrefix)
	}
	var owner *contract.Contract
	index := 0
	for _, c := range s.Contracts {
		for i, k := range c.Keys {
			if !strings.HasPrefix(k.Fingerprint, prefix) {
				continue
			}
			if owner != nil {
				return nil, 0, result.New(result.BadUsage, "several fingerprints begin with this; give more characters").At(prefix)
			}
			owner, index = c, i
		}
	}
	if owner == nil {
		return nil, 0, result.New(result.NoSuchKey, "no fingerprint begins with this").At(prefix)
	}
	return owner, index, nil
}

// keyList lists keys.
type keyList struct {
	app  *app
	Args struct {
		Organisation string `positional-arg-name:"ORGANISATION"`
	} `positional-args:"yes"`
}

// listedKey is a row of what the command "key list" prints.
type listedKey struct {
	Organisation string `json:"organisation"`
	contract.Key
}

// Execute implements flags.Commander.
func (c *keyList) Execute([]string) error {
	return c.app.withBackend(func(ctx context.Context, b *Backend) error {
		s, err := loadSnapshot(ctx, b)
		if err != nil {
			return err
		}
		if c.Args.Organisation != "" {
			if _, err := findContract(s, c.Args.Organisation); err != nil {
				return err
			}
		}
		listed := []listedKey{}
		t := &table{header: []string{"organisation", "fingerprint", "state", "label"}}
		for _, owner := range sortedContracts(s) {
			if c.Args.Organisation != "" && owner.Organisation != c.Args.Organisation {
				continue
			}
			for _, k := range owner.Keys {
				listed = append(listed, listedKey{owner.Organisation, k})
				t.add(owner.Organisation, shortFingerprint(k.Fingerprint), keyState(k), k.Label)
			}
		}
		return c.app.print(listed, t)
	})
}

// keyState returns the name of a key's state.
func keyState(k contract.Key) string {
	if k.Withdrawn {
		return "withdrawn"
	}
	return "valid"
}

package operator

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"zinniapin/configuration"
	"zinniapin/contract"
	"zinniapin/result"
	"zinniapin/store"
)

// waitOptions are the options of a command that can wait until its change is in
// force.
type waitOptions struct {
	Wait        bool          `long:"wait" description:"wait until the change is in force on every live host"`
	WaitTimeout time.Duration `long:"wait-timeout" default:"30s" description:"how long to wait"`
}

// changeResult describes an accepted change; it is what the command prints.
type changeResult struct {
	Revision contract.Revision `json:"revision"`
	Change   string            `json:"change"`
	InForce  bool              `json:"in_force"`
}

// loadConfiguration reads the accepted configuration. It returns nil if none has been
// accepted yet. The bundle is cached in the backend, so that later calls read only the
// parts that have changed.
func loadConfiguration(ctx context.Context, b *Backend) (*configuration.Bundle, error) {
	bundle, _, err := configuration.Load(ctx, b.Store, b.cachedBundle.Load())
	if errors.Is(err, store.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, store.Describe(err)
	}
	b.cachedBundle.Store(bundle)
	return bundle, nil
}

// loadSnapshot reads the accepted configuration and indexes it. If none has been
// accepted yet it returns an empty snapshot with revision 0.
func loadSnapshot(ctx context.Context, b *Backend) (*contract.Snapshot, error) {
	bundle, err := loadConfiguration(ctx, b)
	if err != nil {
		return nil, err
	}
	if bundle == nil {
		return contract.NewSnapshot(0, contract.Fleet{}, nil), nil
	}
	return bundle.Snapshot()
}

// findContract returns the contract of an organisation, or a result.NoSuchContract.
func findContract(s *contract.Snapshot, organisation string) (*contract.Contract, error) {
	c := s.Contracts[organisation]
	if c == nil {
		return nil, result.New(result.NoSuchContract, "the organisation has no contract").At(organisation)
	}
	return c, nil
}

// newChangeID returns a random id for a change, by which a repeated proposal is
// recognised.
func newChangeID() string {
	return rand.Text()
}

// changeAndPrint makes a change, waits until it is in force if the options say so, and
// prints the outcome.
func (a *app) changeAndPrint(ctx context.Context, b *Backend, base baseOption, w waitOptions, check conflictCheck, build proposalFunc) error {
	outcome, err := a.change(ctx, b, base, w, check, build)
	if err != nil {
		return err
	}
	return a.printAccepted(outcome)
}

// propose proposes a change once and, with --wait, waits until the accepted revision is
// in force. If only the wait fails, it returns the accepted change and an error.
func (a *app) propose(ctx context.Context, b *Backend, p configuration.Proposal, w waitOptions) (changeResult, error) {
	p.ID = newChangeID()
	p.Author = b.Author
	p.Cached = b.cachedBundle.Load()
	call, cancel := context.WithTimeout(ctx, b.Timeout)
	defer cancel()
	revision, err := configuration.Accept(call, b.Store, p, a.now())
	if err != nil {
		return changeResult{}, err
	}
	if p.Cached != nil && p.Cached.Root.Revision == p.Base {
		// Parts that are not collected stay in the store and do no harm, so a
		// failure here does not make the accepted change fail.
		_ = configuration.CollectGarbage(call, b.Store, p.Cached, a.now())
	}
	outcome := changeResult{Revision: revision, Change: p.Summary}
	if !w.Wait {
		return outcome, nil
	}
	if err := waitInForce(ctx, b, revision, w.WaitTimeout); err != nil {
		return outcome, err
	}
	outcome.InForce = true
	return outcome, nil
}

// printAccepted prints an accepted change, with --json as JSON.
func (a *app) printAccepted(outcome changeResult) error {
	if a.options.JSON {
		return a.printJSON(outcome)
	}
	state := "accepted"
	if outcome.InForce {
		state = "in force on every live host"
	}
	_, err := fmt.Fprintf(a.out, "revision %d %s: %s\n", outcome.Revision, state, outcome.Change)
	return trace.Wrap(err)
}

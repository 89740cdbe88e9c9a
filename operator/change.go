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

// waitOptions let a command wait until its change is in force.
type waitOptions struct {
	Wait        bool          `long:"wait" description:"wait until the change is in force on every live host"`
	WaitTimeout time.Duration `long:"wait-timeout" default:"30s" description:"how long to wait"`
}

// accepted is what a command that changed the configuration prints.
type accepted struct {
	Revision contract.Revision `json:"revision"`
	Change   string            `json:"change"`
	InForce  bool              `json:"in_force"`
}

// load reads the accepted configuration; none yet is an empty one. The backend
// remembers it, so that its parts are not read again.
func load(ctx context.Context, b *Backend) (*configuration.Bundle, error) {
	bundle, _, err := configuration.Load(ctx, b.Store, b.known.Load())
	if errors.Is(err, store.ErrNotFound) {
		return nil, nil
	}
	if err != nil {
		return nil, store.Describe(err)
	}
	b.known.Store(bundle)
	return bundle, nil
}

// snapshot reads the accepted configuration and indexes it.
func snapshot(ctx context.Context, b *Backend) (*contract.Snapshot, error) {
	bundle, err := load(ctx, b)
	if err != nil {
		return nil, err
	}
	if bundle == nil {
		return contract.NewSnapshot(0, contract.Fleet{}, nil), nil
	}
	return bundle.Snapshot()
}

// contractOf returns the contract of an organisation.
func contractOf(s *contract.Snapshot, organisation string) (*contract.Contract, error) {
	c := s.Contracts[organisation]
	if c == nil {
		return nil, result.New(result.NoSuchContract, "no contract").At(organisation)
	}
	return c, nil
}

// newChangeID draws the id of a change.
func newChangeID() string {
	return rand.Text()
}

// accept makes a change, prints the revision and waits if asked to.
func (a *app) accept(ctx context.Context, b *Backend, base baseOption, w waitOptions, may guard, build edit) error {
	done, err := a.change(ctx, b, base, w, may, build)
	if err != nil {
		return err
	}
	return a.printAccepted(done)
}

// propose proposes a change and waits if asked to.
func (a *app) propose(ctx context.Context, b *Backend, p configuration.Proposal, w waitOptions) (accepted, error) {
	p.ID = newChangeID()
	p.Author = b.Author
	p.Cached = b.known.Load()
	call, cancel := context.WithTimeout(ctx, b.Timeout)
	defer cancel()
	revision, err := configuration.Accept(call, b.Store, p, a.now())
	if err != nil {
		return accepted{}, err
	}
	if p.Cached != nil && p.Cached.Root.Revision == p.Base {
		// What is not collected stays in the store and harms nothing, so the
		// change is reported as accepted all the same.
		_ = configuration.CollectGarbage(call, b.Store, p.Cached, a.now())
	}
	done := accepted{Revision: revision, Change: p.Summary}
	if !w.Wait {
		return done, nil
	}
	if err := waitInForce(ctx, b, revision, w.WaitTimeout); err != nil {
		return done, err
	}
	done.InForce = true
	return done, nil
}

// printAccepted prints an accepted change.
func (a *app) printAccepted(done accepted) error {
	if a.options.JSON {
		return a.printJSON(done)
	}
	state := "accepted"
	if done.InForce {
		state = "in force on every live host"
	}
	_, err := fmt.Fprintf(a.out, "revision %d %s: %s\n", done.Revision, state, done.Change)
	return trace.Wrap(err)
}

package operator

import (
	"context"
	"fmt"
	"reflect"
	"strings"

	"zinniapin/configuration"
	"zinniapin/contract"
	"zinniapin/result"
)

// maxRedo bounds how often a change that lost a race is made anew.
const maxRedo = 8

// edit makes a change against an accepted configuration. It must depend on
// nothing else, so that a change that lost a race can be made anew.
type edit func(s *contract.Snapshot) (configuration.Proposal, error)

// guard decides whether an edit may be made anew after others changed the
// configuration from before to now. It returns what speaks against it.
type guard func(before, now *contract.Snapshot) ([]movedField, error)

// movedField is a field that another operator changed in the meantime.
type movedField struct {
	Field  string `json:"field"`
	Before any    `json:"before"`
	Now    any    `json:"now"`
}

// lostRace is a change that was refused since others were accepted first.
type lostRace struct {
	cause *result.Error
	// winners are the changes that were accepted meanwhile, newest first.
	winners []configuration.Change
	// moved are the fields that they changed under the refused change.
	moved []movedField
	// differences are the fields of the refused contracts that differ from
	// the accepted ones.
	differences []difference
}

// Error implements error.
func (l *lostRace) Error() string {
	lines := []string{l.cause.Error()}
	for _, w := range l.winners {
		lines = append(lines, fmt.Sprintf("  accepted meanwhile: revision %d by %s: %s", w.Revision, w.Author, w.Summary))
	}
	for _, m := range l.moved {
		lines = append(lines, fmt.Sprintf("  differs: %s was %s, is %s", m.Field, shown(m.Before), shown(m.Now)))
	}
	for _, d := range l.differences {
		lines = append(lines, fmt.Sprintf("  differs: %s is accepted as %s, the change has %s", d.Field, shown(d.Accepted), shown(d.File)))
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the numbered result.
func (l *lostRace) Unwrap() error {
	return l.cause
}

// change makes an edit against the accepted configuration and proposes it. A
// change that loses a race is made anew on the newest revision as long as the
// guard allows it; with an explicit base it is refused at once. No accepted
// change is overwritten: each proposal names the revision that it was made
// against.
func (a *app) change(ctx context.Context, b *Backend, base baseOption, w waitOptions, may guard, build edit) (accepted, error) {
	s, err := snapshot(ctx, b)
	if err != nil {
		return accepted{}, err
	}
	first := s
	for range maxRedo {
		p, err := build(s)
		if err != nil {
			return accepted{}, err
		}
		p.Base = base.revision(s)
		done, err := a.propose(ctx, b, p, w)
		if !isLostRace(err) {
			return done, err
		}
		newest, loadErr := load(ctx, b)
		if loadErr != nil {
			return done, loadErr
		}
		if s, loadErr = newest.Snapshot(); loadErr != nil {
			return done, loadErr
		}
		moved, guardErr := may(first, s)
		if guardErr != nil {
			return done, guardErr
		}
		if base.Base != 0 || len(moved) > 0 {
			return done, describeRace(err, newest, s, p, moved)
		}
	}
	return accepted{}, result.New(result.RevisionConflict, "others changed the configuration %d times in a row; nothing was changed", maxRedo)
}

// describeRace tells who won and what differs.
func describeRace(err error, newest *configuration.Bundle, now *contract.Snapshot, p configuration.Proposal, moved []movedField) error {
	lost := &lostRace{cause: result.Of(err), winners: since(newest, p.Base), moved: moved}
	if len(moved) > 0 {
		return lost
	}
	for _, wanted := range p.Contracts {
		differences, err := diff(now.Contracts[wanted.Organisation], wanted)
		if err != nil {
			return err
		}
		for _, d := range differences {
			d.Field = wanted.Organisation + "." + d.Field
			lost.differences = append(lost.differences, d)
		}
	}
	return lost
}

// isLostRace tells whether a proposal was refused for its base.
func isLostRace(err error) bool {
	return err != nil && result.CodeOf(err) == result.RevisionConflict
}

// since returns the changes that the root remembers after a revision.
func since(bundle *configuration.Bundle, base contract.Revision) []configuration.Change {
	var found []configuration.Change
	for _, change := range bundle.Root.Recent {
		if change.Revision > base {
			found = append(found, change)
		}
	}
	return found
}

// contractUnchanged guards a change of a whole contract or of fields that an
// operator weighed against the rest of it.
func contractUnchanged(organisation string) guard {
	return func(before, now *contract.Snapshot) ([]movedField, error) {
		return movedFields(before.Contracts[organisation], now.Contracts[organisation])
	}
}

// movedFields returns the fields in which two states of a contract differ.
func movedFields(before, now *contract.Contract) ([]movedField, error) {
	if reflect.DeepEqual(before, now) {
		return nil, nil
	}
	if now == nil {
		return []movedField{{"organisation", before.Organisation, "no contract"}}, nil
	}
	differences, err := diff(before, now)
	moved := make([]movedField, 0, len(differences))
	for _, d := range differences {
		moved = append(moved, movedField{d.Field, d.Accepted, d.File})
	}
	return moved, err
}

// mergesAlways guards an edit that takes in whatever others changed, such as
// one more withdrawn key.
func mergesAlways(_, _ *contract.Snapshot) ([]movedField, error) {
	return nil, nil
}

// nothingChanged guards a change of the whole configuration.
func nothingChanged(before, now *contract.Snapshot) ([]movedField, error) {
	if before.Revision == now.Revision {
		return nil, nil
	}
	return []movedField{{"revision", before.Revision, now.Revision}}, nil
}

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

// maxChangeAttempts is the number of times that a change is proposed if other changes are
// accepted first each time.
const maxChangeAttempts = 8

// proposalFunc builds a proposal on an accepted configuration. It must depend on nothing
// else, since it is called again on a newer configuration after a conflict.
type proposalFunc func(s *contract.Snapshot) (configuration.Proposal, error)

// conflictCheck decides whether a proposal may be built again after other operators
// changed the configuration from before to now. It returns the fields whose change
// forbids that; none if the proposal may be built again.
type conflictCheck func(before, now *contract.Snapshot) ([]changedField, error)

// changedField is a field that another operator changed after this command had read the
// configuration.
type changedField struct {
	Field  string `json:"field"`
	Before any    `json:"before"`
	Now    any    `json:"now"`
}

// conflictError reports a change that was refused because other changes were accepted
// after its base revision.
type conflictError struct {
	cause *result.Error
	// winners are the changes that were accepted since the base, newest first.
	winners []configuration.Change
	// changed are the fields that they changed and that forbid a new attempt.
	changed []changedField
	// differences are the fields in which the refused contracts differ from the
	// accepted ones. They are set only if changed is empty.
	differences []difference
}

// Error implements error.
func (e *conflictError) Error() string {
	lines := []string{e.cause.Error()}
	for _, w := range e.winners {
		lines = append(lines, fmt.Sprintf("  accepted meanwhile: revision %d by %s: %s", w.Revision, w.Author, w.Summary))
	}
	for _, c := range e.changed {
		lines = append(lines, fmt.Sprintf("  differs: %s was %s, is %s", c.Field, formatValue(c.Before), formatValue(c.Now)))
	}
	for _, d := range e.differences {
		lines = append(lines, fmt.Sprintf("  differs: %s is accepted as %s, the change has %s", d.Field, formatValue(d.Accepted), formatValue(d.File)))
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the result.RevisionConflict.
func (e *conflictError) Unwrap() error {
	return e.cause
}

// change builds a proposal on the accepted configuration and proposes it. If another
// change was accepted first, it builds the proposal again on the newest revision, as long
// as check finds no conflict; with --base it returns the conflict at once. Accepted
// changes are never overwritten, since each proposal names its base revision.
func (a *app) change(ctx context.Context, b *Backend, base baseOption, w waitOptions, check conflictCheck, build proposalFunc) (changeResult, error) {
	s, err := loadSnapshot(ctx, b)
	if err != nil {
		return changeResult{}, err
	}
	original := s
	for range maxChangeAttempts {
		p, err := build(s)
		if err != nil {
			return changeResult{}, err
		}
		p.Base = base.revision(s)
		outcome, err := a.propose(ctx, b, p, w)
		if !isConflict(err) {
			return outcome, err
		}
		newest, loadErr := loadConfiguration(ctx, b)
		if loadErr != nil {
			return outcome, loadErr
		}
		if s, loadErr = newest.Snapshot(); loadErr != nil {
			return outcome, loadErr
		}
		changed, checkErr := check(original, s)
		if checkErr != nil {
			return outcome, checkErr
		}
		if base.Base != 0 || len(changed) > 0 {
			return outcome, newConflictError(err, newest, s, p, changed)
		}
	}
	return changeResult{}, result.New(result.RevisionConflict, "other operators changed the configuration %d times in a row; nothing was changed", maxChangeAttempts)
}

// newConflictError returns the error for a refused proposal: the changes that were
// accepted since its base, and the fields that conflict or differ.
func newConflictError(err error, newest *configuration.Bundle, now *contract.Snapshot, p configuration.Proposal, changed []changedField) error {
	conflict := &conflictError{cause: result.Of(err), winners: changesSince(newest, p.Base), changed: changed}
	if len(changed) > 0 {
		return conflict
	}
	for _, wanted := range p.Contracts {
		differences, err := diff(now.Contracts[wanted.Organisation], wanted)
		if err != nil {
			return err
		}
		for _, d := range differences {
			d.Field = wanted.Organisation + "." + d.Field
			conflict.differences = append(conflict.differences, d)
		}
	}
	return conflict
}

// isConflict reports whether a proposal was refused because its base is not the newest
// revision.
func isConflict(err error) bool {
	return err != nil && result.CodeOf(err) == result.RevisionConflict
}

// changesSince returns the changes after a revision, as far as the recent changes in the
// root object reach back.
func changesSince(bundle *configuration.Bundle, base contract.Revision) []configuration.Change {
	var found []configuration.Change
	for _, change := range bundle.Root.Recent {
		if change.Revision > base {
			found = append(found, change)
		}
	}
	return found
}

// conflictOnContractChange returns the check for a change of one contract: it conflicts
// with any other change of that contract, since the operator may have chosen the new
// values in view of the old ones.
func conflictOnContractChange(organisation string) conflictCheck {
	return func(before, now *contract.Snapshot) ([]changedField, error) {
		return changedFields(before.Contracts[organisation], now.Contracts[organisation])
	}
}

// changedFields returns the fields in which two versions of a contract differ. diff calls the
// value before Accepted and the value now File.
func changedFields(before, now *contract.Contract) ([]changedField, error) {
	if reflect.DeepEqual(before, now) {
		return nil, nil
	}
	if now == nil {
		return []changedField{{"organisation", before.Organisation, "no contract"}}, nil
	}
	differences, err := diff(before, now)
	changed := make([]changedField, 0, len(differences))
	for _, d := range differences {
		changed = append(changed, changedField{d.Field, d.Accepted, d.File})
	}
	return changed, err
}

// noConflict is the check for a change that can be applied to any configuration, such as
// the withdrawal of a key.
func noConflict(_, _ *contract.Snapshot) ([]changedField, error) {
	return nil, nil
}

// conflictOnAnyChange is the check for a change of the whole configuration. It conflicts
// with any other change.
func conflictOnAnyChange(before, now *contract.Snapshot) ([]changedField, error) {
	if before.Revision == now.Revision {
		return nil, nil
	}
	return []changedField{{"revision", before.Revision, now.Revision}}, nil
}

package configuration

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/gravitational/trace"

	"zinniapin/contract"
	"zinniapin/result"
	"zinniapin/store"
)

// Proposal is a change of the configuration that an operator requests.
type Proposal struct {
	// ID identifies the change. It stays the same when the proposal is sent again.
	ID      string
	Author  string
	Summary string
	// Base is the revision on which the change is based. The proposal is refused if another
	// revision is the accepted one.
	Base contract.Revision
	// Fleet, if set, replaces the description of the fleet.
	Fleet *contract.Fleet
	// Contracts are added, or replace the contracts of the same organisations.
	Contracts []*contract.Contract
	// Remove lists the organisations whose contracts are removed.
	Remove []string
	// Cached is a configuration of any revision whose parts need not be read from the store
	// again. It may be nil.
	Cached *Bundle
}

// acceptAttempts limits the attempts at a proposal while the outcome of its update is unknown.
const acceptAttempts = 5

// Accept validates the configuration that results from a proposal and makes it the accepted one
// by a conditional update of the root object. It returns the revision that contains the change.
// If another revision than p.Base is accepted, the error has the code result.RevisionConflict.
// If the outcome of the update remains unknown, it has the code result.StoreUnknown; sending
// the same proposal again is then safe.
func Accept(ctx context.Context, s store.Store, p Proposal, now time.Time) (contract.Revision, error) {
	var unknown error
	for range acceptAttempts {
		revision, err := tryAccept(ctx, s, &p, now)
		if errors.Is(err, store.ErrUnknown) {
			unknown = err
			continue
		}
		if err == nil || unknown == nil || result.Of(err) != nil {
			return revision, store.Describe(err)
		}
		// An earlier update may have taken effect, and this failure of the store does not
		// tell whether it did.
	}
	return 0, store.Describe(unknown)
}

// tryAccept makes one attempt at a proposal. It sets p.Cached to the configuration that it reads.
func tryAccept(ctx context.Context, s store.Store, p *Proposal, now time.Time) (contract.Revision, error) {
	current, version, err := Load(ctx, s, p.Cached)
	if errors.Is(err, store.ErrNotFound) {
		current, version, err = &Bundle{Root: &Root{}, Parts: Parts{}}, store.Absent, nil
	}
	if err != nil {
		return 0, trace.Wrap(err)
	}
	p.Cached = current
	content, err := p.content()
	if err != nil {
		return 0, trace.Wrap(err)
	}
	if accepted := current.Root.findChange(p.ID); accepted != nil {
		return accepted.Revision, checkSame(accepted, p, content)
	}
	if current.Root.Revision > p.Base+recentChanges {
		return 0, baseTooOld(current.Root, p.Base)
	}
	if current.Root.Revision != p.Base {
		return 0, baseConflict(current.Root, p.Base)
	}
	next, err := apply(ctx, s, current, *p, content, now)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	raw, err := json.Marshal(next)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	_, err = s.Put(ctx, store.PurposeConfiguration, RootKey, raw, version)
	if errors.Is(err, store.ErrConflict) {
		// Either another proposal was accepted or an earlier attempt at this one took effect.
		// The next attempt reads which.
		return 0, store.ErrUnknown
	}
	return next.Revision, trace.Wrap(err)
}

// baseTooOld returns the error for a proposal whose base is so old that the root does not list
// the changes accepted since then. Whether the proposal was accepted is unknown.
func baseTooOld(root *Root, base contract.Revision) error {
	return result.New(result.StoreUnknown, "revision %d is accepted, which is too far from revision %d to tell whether it contains the change", root.Revision, base)
}

// baseConflict returns the error for a proposal whose base is not the accepted revision. It
// names the newest accepted change.
func baseConflict(root *Root, base contract.Revision) error {
	if len(root.Recent) == 0 {
		return result.New(result.RevisionConflict, "revision %d is accepted, the change is against %d", root.Revision, base)
	}
	newest := root.Recent[0]
	return result.New(result.RevisionConflict, "revision %d by %s (%s) is accepted, the change is against %d",
		root.Revision, newest.Author, newest.Summary, base)
}

// content identifies what the proposal changes, and who proposes it. The base is no part of it.
func (p *Proposal) content() (Digest, error) {
	value, err := json.Marshal(struct {
		Author, Summary string
		Fleet           *contract.Fleet
		Contracts       []*contract.Contract
		Remove          []string
	}{p.Author, p.Summary, p.Fleet, p.Contracts, p.Remove})
	return DigestOf(value), trace.Wrap(err)
}

// checkSame returns an error unless an accepted change with the id of a proposal is that proposal.
func checkSame(accepted *Change, p *Proposal, content Digest) error {
	same := accepted.Author == p.Author && accepted.Summary == p.Summary
	if same && (accepted.Content == "" || accepted.Content == content) {
		return nil
	}
	return result.New(result.RevisionConflict, "revision %d by %s (%s) was accepted under the same id as this change", accepted.Revision, accepted.Author, accepted.Summary)
}

// apply validates the configuration that results from a proposal, stores the parts that the
// proposal changes, and returns the root of the next configuration.
func apply(ctx context.Context, s store.Store, current *Bundle, p Proposal, content Digest, now time.Time) (*Root, error) {
	fleet, contracts, err := merge(current, p)
	if err != nil {
		return nil, err
	}
	if err := contract.Validate(&fleet, contracts); err != nil {
		return nil, err
	}
	if err := checkUsageWindow(current, &fleet); err != nil {
		return nil, err
	}
	next := *current.Root
	next.Buckets = append([]Bucket(nil), current.Root.Buckets...)
	next.Revision++
	if p.Fleet != nil {
		if next.Fleet, err = putJSON(ctx, s, fleet); err != nil {
			return nil, err
		}
	}
	if err := putBuckets(ctx, s, &next, contracts, changedBuckets(p)); err != nil {
		return nil, err
	}
	next.addRecent(Change{ID: p.ID, Revision: next.Revision, Author: p.Author, Summary: p.Summary, UnixMS: now.UnixMilli(), Content: content})
	return &next, nil
}

// checkUsageWindow refuses a change of the length of usage windows once a configuration has been
// accepted, since open windows would overlap closed ones.
func checkUsageWindow(current *Bundle, next *contract.Fleet) error {
	if current.Root.Revision == 0 {
		return nil
	}
	fleet, err := current.Fleet()
	if err != nil {
		return err
	}
	if fleet.UsageWindow() == next.UsageWindow() {
		return nil
	}
	return result.New(result.BadConfiguration, "the length is %s and cannot be changed", fleet.UsageWindow()).At("fleet.usage_window_seconds")
}

// putJSON stores a value, encoded as JSON, as a part.
func putJSON(ctx context.Context, s store.Store, value any) (Digest, error) {
	part, err := json.Marshal(value)
	if err != nil {
		return "", trace.Wrap(err)
	}
	return putPart(ctx, s, part)
}

// merge returns the fleet and the contracts with a proposal applied.
func merge(current *Bundle, p Proposal) (contract.Fleet, []*contract.Contract, error) {
	var fleet contract.Fleet
	var contracts []*contract.Contract
	var err error
	if current.Root.Revision > 0 {
		if fleet, err = current.Fleet(); err != nil {
			return fleet, nil, err
		}
		if contracts, err = current.Contracts(); err != nil {
			return fleet, nil, err
		}
	}
	if p.Fleet != nil {
		fleet = *p.Fleet
	}
	merged, err := mergeContracts(contracts, p)
	return fleet, merged, err
}

// mergeContracts replaces, adds and removes contracts.
func mergeContracts(contracts []*contract.Contract, p Proposal) ([]*contract.Contract, error) {
	replaced := map[string]*contract.Contract{}
	for _, c := range p.Contracts {
		replaced[c.Organisation] = c
	}
	removed := map[string]bool{}
	for _, organisation := range p.Remove {
		removed[organisation] = true
	}
	var merged []*contract.Contract
	for _, c := range contracts {
		if removed[c.Organisation] {
			delete(removed, c.Organisation)
			continue
		}
		if _, ok := replaced[c.Organisation]; !ok {
			merged = append(merged, c)
		}
	}
	for organisation := range removed {
		return nil, result.New(result.NoSuchContract, "no contract to remove").At(organisation)
	}
	return append(merged, p.Contracts...), nil
}

// changedBuckets returns the numbers of the buckets that a proposal changes.
func changedBuckets(p Proposal) map[int]bool {
	buckets := map[int]bool{}
	for _, c := range p.Contracts {
		buckets[bucketOf(c.Organisation)] = true
	}
	for _, organisation := range p.Remove {
		buckets[bucketOf(organisation)] = true
	}
	return buckets
}

// putBuckets stores the given buckets and sets their digests in the root.
func putBuckets(ctx context.Context, s store.Store, root *Root, contracts []*contract.Contract, buckets map[int]bool) error {
	content := map[int][]*contract.Contract{}
	for _, c := range contracts {
		if number := bucketOf(c.Organisation); buckets[number] {
			content[number] = append(content[number], c)
		}
	}
	for number := range buckets {
		part, err := encodeBucket(content[number])
		if err != nil {
			return trace.Wrap(err)
		}
		digest, err := putPart(ctx, s, part)
		if err != nil {
			return err
		}
		root.setBucket(number, digest)
	}
	return nil
}

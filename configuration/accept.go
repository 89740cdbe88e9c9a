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

// Proposal is a change that an operator asks for.
type Proposal struct {
	// ID is unique to this change; a repeated proposal keeps it.
	ID      string
	Author  string
	Summary string
	// Base is the revision that the change was made against; a proposal on
	// another revision is refused.
	Base contract.Revision
	// Fleet replaces the description of the fleet when set.
	Fleet *contract.Fleet
	// Contracts replaces or adds these contracts.
	Contracts []*contract.Contract
	// Remove names organisations whose contracts end.
	Remove []string
	// Cached is a configuration that the caller holds, of any revision; its
	// parts are not read again. It may be nil.
	Cached *Bundle
}

// acceptAttempts bounds how often a lost answer is followed up.
const acceptAttempts = 5

// Accept validates a proposal as a whole and makes it the accepted
// configuration by one conditional update of the root. It returns the
// revision that holds the change. A lost race is a result.RevisionConflict;
// an answer that stays lost is a result.StoreUnknown, and repeating the same
// proposal is safe.
func Accept(ctx context.Context, s store.Store, p Proposal, now time.Time) (contract.Revision, error) {
	var unknown error
	for range acceptAttempts {
		revision, err := accept(ctx, s, &p, now)
		if errors.Is(err, store.ErrUnknown) {
			unknown = err
			continue
		}
		if err == nil || unknown == nil || result.Of(err) != nil {
			return revision, store.Describe(err)
		}
		// The store failed after an update that may have taken effect, so
		// this failure says nothing about that update.
	}
	return 0, store.Describe(unknown)
}

// accept makes one attempt at a proposal. What it reads becomes known.
func accept(ctx context.Context, s store.Store, p *Proposal, now time.Time) (contract.Revision, error) {
	current, version, err := Load(ctx, s, p.Cached)
	if errors.Is(err, store.ErrNotFound) {
		current, version, err = &Bundle{Root: &Root{}, Parts: Parts{}}, store.Absent, nil
	}
	if err != nil {
		return 0, trace.Wrap(err)
	}
	p.Cached = current
	if done := current.Root.change(p.ID); done != nil {
		return done.Revision, nil
	}
	if current.Root.Revision > p.Base+recentChanges {
		return 0, forgotten(current.Root, p.Base)
	}
	if current.Root.Revision != p.Base {
		return 0, raceLost(current.Root, p.Base)
	}
	next, err := apply(ctx, s, current, *p, now)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	raw, err := json.Marshal(next)
	if err != nil {
		return 0, trace.Wrap(err)
	}
	_, err = s.Put(ctx, store.PurposeConfiguration, RootKey, raw, version)
	if errors.Is(err, store.ErrConflict) {
		// Either another operator won or an earlier attempt of this very
		// proposal took effect: the next read tells which.
		return 0, store.ErrUnknown
	}
	return next.Revision, trace.Wrap(err)
}

// forgotten reports a proposal so old that the root no longer remembers
// whether it was accepted.
func forgotten(root *Root, base contract.Revision) error {
	return result.New(result.StoreUnknown, "revision %d is accepted, too far from %d to tell whether the change is in it", root.Revision, base)
}

// raceLost names the winner of a race.
func raceLost(root *Root, base contract.Revision) error {
	if len(root.Recent) == 0 {
		return result.New(result.RevisionConflict, "revision %d is accepted, the change is against %d", root.Revision, base)
	}
	winner := root.Recent[0]
	return result.New(result.RevisionConflict, "revision %d by %s (%s) is accepted, the change is against %d",
		root.Revision, winner.Author, winner.Summary, base)
}

// apply stores the parts of the next configuration and returns its root.
func apply(ctx context.Context, s store.Store, current *Bundle, p Proposal, now time.Time) (*Root, error) {
	fleet, contracts, err := merge(current, p)
	if err != nil {
		return nil, err
	}
	if err := contract.Validate(&fleet, contracts); err != nil {
		return nil, err
	}
	if err := checkWindow(current, &fleet); err != nil {
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
	if err := putBuckets(ctx, s, &next, contracts, touched(p)); err != nil {
		return nil, err
	}
	next.remember(Change{p.ID, next.Revision, p.Author, p.Summary, now.UnixMilli()})
	return &next, nil
}

// checkWindow refuses to change the length of usage windows once a
// configuration is accepted: open windows would overlap closed ones.
func checkWindow(current *Bundle, next *contract.Fleet) error {
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

// putJSON stores a value as a part.
func putJSON(ctx context.Context, s store.Store, value any) (Digest, error) {
	part, err := json.Marshal(value)
	if err != nil {
		return "", trace.Wrap(err)
	}
	return putPart(ctx, s, part)
}

// merge returns the configuration with the proposal applied.
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

// touched returns the buckets that a proposal changes.
func touched(p Proposal) map[int]bool {
	buckets := map[int]bool{}
	for _, c := range p.Contracts {
		buckets[bucketOf(c.Organisation)] = true
	}
	for _, organisation := range p.Remove {
		buckets[bucketOf(organisation)] = true
	}
	return buckets
}

// putBuckets stores the touched buckets and points the root at them.
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

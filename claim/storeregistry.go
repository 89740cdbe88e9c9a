package claim

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"github.com/rs/zerolog"

	"zinniapin/event"
	"zinniapin/invariant"
	"zinniapin/result"
	"zinniapin/store"
)

// ErrPending means that the object API has not yet confirmed the end of a
// claim. The registry keeps trying; the claim never runs twice meanwhile.
var ErrPending = errors.New("claim: end not yet confirmed")

// ErrNotHeld means that the ticket was already used to end its claim.
var ErrNotHeld = errors.New("claim: ticket not held")

// Options are the settings of a StoreRegistry registry. Zero values take defaults.
type Options struct {
	// OrphanAfter is the age at which a claim that nobody ended becomes
	// unknown. Default 15 minutes; it should exceed the longest call.
	OrphanAfter time.Duration
	// RetryAfter is what callers are told to wait. Default 2 seconds.
	RetryAfter time.Duration
	// MaxAnswerBytes is the largest answer body kept. Default 256 KiB.
	MaxAnswerBytes int
	// MaxPending is the number of unconfirmed ends kept. Default 4096.
	MaxPending int
	// MaxPendingBytes bounds the answers among them. Default 16 MiB.
	MaxPendingBytes int
	// RetryEvery is the pause between passes over them. Default 1 second.
	RetryEvery time.Duration
	// Now is the clock. Default time.Now.
	Now func() time.Time
	// Log receives events. Default none.
	Log *zerolog.Logger
}

// Defaults of Options.
const (
	defaultOrphanAfter     = 15 * time.Minute
	defaultRetryAfter      = 2 * time.Second
	defaultMaxAnswerBytes  = 256 << 10
	defaultMaxPending      = 4096
	defaultMaxPendingBytes = 16 << 20
	defaultRetryEvery      = time.Second
)

// withDefaults fills the zero values.
func (o Options) withDefaults() Options {
	o.OrphanAfter = cmp.Or(o.OrphanAfter, defaultOrphanAfter)
	o.RetryAfter = cmp.Or(o.RetryAfter, defaultRetryAfter)
	o.MaxAnswerBytes = cmp.Or(o.MaxAnswerBytes, defaultMaxAnswerBytes)
	o.MaxPending = cmp.Or(o.MaxPending, defaultMaxPending)
	o.MaxPendingBytes = cmp.Or(o.MaxPendingBytes, defaultMaxPendingBytes)
	o.RetryEvery = cmp.Or(o.RetryEvery, defaultRetryEvery)
	if o.Now == nil {
		o.Now = time.Now
	}
	if o.Log == nil {
		none := zerolog.Nop()
		o.Log = &none
	}
	return o
}

// held is a claim that this process holds a ticket for.
type held struct {
	key     string
	version store.Version
	record  record
}

// StoreRegistry is a Registry that keeps claims in the object API. Run must be
// running for ends that the object API did not confirm to be retried.
type StoreRegistry struct {
	objects store.Store
	options Options

	mu      sync.Mutex
	tickets map[string]held // by attempt
	pending *backlog
	passing chan struct{} // holds the one right to pass over the pending ends
}

var _ Registry = (*StoreRegistry)(nil)

// NewStoreRegistry returns a registry over the object API.
func NewStoreRegistry(objects store.Store, options Options) *StoreRegistry {
	options = options.withDefaults()
	return &StoreRegistry{
		objects: objects,
		options: options,
		tickets: map[string]held{},
		pending: newBacklog(options.MaxPending, options.MaxPendingBytes),
		passing: make(chan struct{}, 1),
	}
}

// newAttempt returns a name for a ticket that is unique over time.
func newAttempt() string {
	var random [16]byte
	_, _ = rand.Read(random[:]) // never fails
	return hex.EncodeToString(random[:])
}

// maxBeginTries bounds the updates of one Begin.
const maxBeginTries = 4

// beginning is one Begin under way.
type beginning struct {
	id     ID
	key    string
	digest string
	// want is the record that claims the request.
	want record
	// version is the one that the claim replaces.
	version store.Version
	// doubtful is set once an update of ours may yet take effect.
	doubtful bool
}

// Begin implements Registry.
func (s *StoreRegistry) Begin(ctx context.Context, id ID, digest [32]byte) (Outcome, error) {
	b := &beginning{id: id, key: objectKey(id), digest: hex.EncodeToString(digest[:])}
	b.want = record{
		Organisation: id.Organisation,
		Digest:       b.digest,
		State:        Claimed,
		Attempt:      newAttempt(),
		Claimed:      s.options.Now().UTC(),
	}
	for range maxBeginTries {
		outcome, done, err := s.try(ctx, b)
		if done || err != nil {
			s.withdraw(b, outcome)
			return outcome, err
		}
	}
	s.withdraw(b, Outcome{})
	return Outcome{}, s.unavailable(store.ErrUnknown)
}

// Lookup implements Registry. It leaves a claim that is too old as it is.
func (s *StoreRegistry) Lookup(ctx context.Context, id ID, digest [32]byte) (Outcome, bool, error) {
	object, err := s.objects.Get(ctx, store.PurposeClaim, objectKey(id))
	if errors.Is(err, store.ErrNotFound) {
		return Outcome{}, false, nil
	}
	if err != nil {
		return Outcome{}, false, s.unavailable(err)
	}
	found, err := decodeRecord(object.Value)
	if err != nil {
		return Outcome{}, false, trace.Wrap(err)
	}
	if found.Digest != hex.EncodeToString(digest[:]) {
		return Outcome{}, false, mismatch()
	}
	switch found.State {
	case NotRun:
		return Outcome{}, false, nil
	case Done:
		return s.replay(found)
	case Claimed:
		return Outcome{State: Claimed, RetryAfter: s.options.RetryAfter}, true, nil
	default:
		return Outcome{State: Unknown}, true, nil
	}
}

// mismatch returns the refusal of another request under the same key.
func mismatch() error {
	return result.New(result.ClaimMismatch, "the key belongs to another request").At("Idempotency-Key")
}

// unavailable returns the refusal of a request that was not claimed.
func (s *StoreRegistry) unavailable(err error) error {
	return result.Wrap(err, result.StoreUnavailable, "the claim was not confirmed").Retry(s.options.RetryAfter)
}

// try makes one update. It is done when the outcome stands.
func (s *StoreRegistry) try(ctx context.Context, b *beginning) (Outcome, bool, error) {
	value, err := b.want.encode()
	if err != nil {
		return Outcome{}, false, trace.Wrap(err)
	}
	version, err := s.objects.Put(ctx, store.PurposeClaim, b.key, value, b.version)
	switch {
	case err == nil:
		return s.ticket(b, version), true, nil
	case errors.Is(err, store.ErrConflict):
		return s.examine(ctx, b)
	case errors.Is(err, store.ErrUnknown):
		// A read that shows nothing would prove nothing. The same update again
		// settles it: either it succeeds, or its conflict names who was first.
		b.doubtful = true
		return Outcome{}, false, nil
	default:
		return Outcome{}, false, s.unavailable(err)
	}
}

// ticket hands out the right to send for a claim that the store confirmed.
func (s *StoreRegistry) ticket(b *beginning, version store.Version) Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tickets[b.want.Attempt] = held{key: b.key, version: version, record: b.want}
	return Outcome{Ticket: &Ticket{ID: b.id, Attempt: b.want.Attempt}, State: Claimed}
}

// examine reads the claim that stood in the way.
func (s *StoreRegistry) examine(ctx context.Context, b *beginning) (Outcome, bool, error) {
	object, err := s.objects.Get(ctx, store.PurposeClaim, b.key)
	if errors.Is(err, store.ErrNotFound) {
		b.version = store.Absent
		return Outcome{}, false, nil
	}
	if err != nil {
		return Outcome{}, false, s.unavailable(err)
	}
	found, err := decodeRecord(object.Value)
	if err != nil {
		return Outcome{}, false, trace.Wrap(err)
	}
	if found.Attempt == b.want.Attempt && found.State == Claimed {
		return s.ticket(b, object.Version), true, nil
	}
	if found.Digest != b.digest {
		return Outcome{}, false, mismatch()
	}
	return s.judge(ctx, b, object, found)
}

// judge decides what another attempt's claim means for this one.
func (s *StoreRegistry) judge(ctx context.Context, b *beginning, object store.Object, found record) (Outcome, bool, error) {
	switch found.State {
	case NotRun:
		b.version = object.Version
		return Outcome{}, false, nil
	case Done:
		return s.replay(found)
	case Claimed:
		return s.waitOrOrphan(ctx, b, object, found)
	default:
		return Outcome{State: Unknown}, true, nil
	}
}

// replay answers from a claim that is done.
func (s *StoreRegistry) replay(found record) (Outcome, bool, error) {
	if found.Answer == nil {
		err := result.New(result.ClaimAnswerNotKept, "the request ran at %s", found.Settled.Format(time.RFC3339))
		err.Execution = result.Ran
		return Outcome{}, false, err
	}
	return Outcome{State: Done, Answer: found.Answer}, true, nil
}

// waitOrOrphan tells the caller to wait, or gives up a claim that is too old.
// The age only decides what repeats are told: neither answer lets one run.
func (s *StoreRegistry) waitOrOrphan(ctx context.Context, b *beginning, object store.Object, found record) (Outcome, bool, error) {
	wait := Outcome{State: Claimed, RetryAfter: s.options.RetryAfter}
	now := s.options.Now()
	if now.Sub(found.Claimed) < s.options.OrphanAfter {
		return wait, true, nil
	}
	orphan := found.settled(Unknown, now)
	orphan.Orphaned = true
	value, err := orphan.encode()
	if err != nil {
		return Outcome{}, false, trace.Wrap(err)
	}
	if _, err := s.objects.Put(ctx, store.PurposeClaim, b.key, value, object.Version); err != nil {
		return wait, true, nil
	}
	event.ClaimOrphaned.Log(s.options.Log).Str("organisation", found.Organisation).Str("claim", b.key).Send()
	return Outcome{State: Unknown}, true, nil
}

// withdraw sees to it that an update of ours that may yet take effect leaves
// no claim without a holder.
func (s *StoreRegistry) withdraw(b *beginning, outcome Outcome) {
	if !b.doubtful || outcome.Ticket != nil {
		return
	}
	s.postpone(ending{
		held:    held{key: b.key, version: b.version, record: b.want},
		desired: b.want.settled(NotRun, s.options.Now()),
	})
}

// take removes and returns the claim of a ticket.
func (s *StoreRegistry) take(t Ticket) (held, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.tickets[t.Attempt]
	if !ok {
		return held{}, trace.Wrap(ErrNotHeld)
	}
	delete(s.tickets, t.Attempt)
	invariant.Check(h.key == objectKey(t.ID), "claim_ticket_identity", "ticket %s names another claim", t.Attempt)
	return h, nil
}

// Finish implements Registry. It returns ErrPending when the object API has
// not confirmed the end yet.
func (s *StoreRegistry) Finish(ctx context.Context, t Ticket, a Answer) error {
	h, err := s.take(t)
	if err != nil {
		return err
	}
	desired := h.record.settled(Done, s.options.Now()).withAnswer(a, s.options.MaxAnswerBytes)
	if desired.AnswerDropped {
		event.ClaimAnswerDropped.Log(s.options.Log).Str("claim", h.key).Int("bytes", len(a.Body)).Send()
	}
	return s.end(ctx, h, desired)
}

// Release implements Registry. It returns ErrPending when the object API has
// not confirmed the end yet.
func (s *StoreRegistry) Release(ctx context.Context, t Ticket) error {
	h, err := s.take(t)
	if err != nil {
		return err
	}
	return s.end(ctx, h, h.record.settled(NotRun, s.options.Now()))
}

// Abandon implements Registry. It returns ErrPending when the object API has
// not confirmed the end yet.
func (s *StoreRegistry) Abandon(ctx context.Context, t Ticket) error {
	h, err := s.take(t)
	if err != nil {
		return err
	}
	return s.end(ctx, h, h.record.settled(Unknown, s.options.Now()))
}

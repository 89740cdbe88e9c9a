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

// ErrPending means that the object API has not yet confirmed the final state of a claim. The
// registry keeps trying. The request does not run twice in the meantime.
var ErrPending = errors.New("claim: final state not yet confirmed by the object API")

// ErrNotHeld means that the ticket is unknown or has already been used to end its claim.
var ErrNotHeld = errors.New("claim: ticket unknown or already used")

// Options are the settings of a StoreRegistry. Zero values take the defaults.
type Options struct {
	// OrphanAfter is the age at which a claim that its holder has not ended becomes Unknown.
	// Default 15 minutes. It should exceed the duration of the longest call.
	OrphanAfter time.Duration
	// RetryAfter is the retry-after time that callers are given. Default 2 seconds.
	RetryAfter time.Duration
	// MaxAnswerBytes is the largest answer body that is stored. Default 256 KiB.
	MaxAnswerBytes int
	// MaxPending is the largest number of pending final states. Default 4096.
	MaxPending int
	// MaxPendingBytes limits the size of the answers of the pending final states. Default 16
	// MiB.
	MaxPendingBytes int
	// RetryEvery is the interval at which pending final states are retried. Default 1 second.
	RetryEvery time.Duration
	// Now returns the current time. Default time.Now.
	Now func() time.Time
	// Log receives the events. Default none.
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

// withDefaults replaces zero values with the defaults.
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

// heldClaim is a claim that this process made, with what it needs to write the final state.
type heldClaim struct {
	key     string        // of the object
	version store.Version // required of the object by the update that ends the claim
	record  record
}

// StoreRegistry is a Registry that stores claims in the object API. Run must be running so
// that final states which the object API did not confirm are retried.
type StoreRegistry struct {
	objects store.Store
	options Options

	mu       sync.Mutex
	tickets  map[string]heldClaim // claims whose Ticket was issued and not yet used, by Ticket.Attempt
	pending  *pendingQueue
	flushing chan struct{} // semaphore of size 1: one pass over the pending updates at a time
}

var _ Registry = (*StoreRegistry)(nil)

// NewStoreRegistry returns a registry that stores claims in the given object API.
func NewStoreRegistry(objects store.Store, options Options) *StoreRegistry {
	options = options.withDefaults()
	return &StoreRegistry{
		objects:  objects,
		options:  options,
		tickets:  map[string]heldClaim{},
		pending:  newPendingQueue(options.MaxPending, options.MaxPendingBytes),
		flushing: make(chan struct{}, 1),
	}
}

// newAttempt returns a random ID for a ticket.
func newAttempt() string {
	var random [16]byte
	_, _ = rand.Read(random[:]) // never fails
	return hex.EncodeToString(random[:])
}

// maxBeginTries limits the updates of one Begin.
const maxBeginTries = 4

// beginState is the state of one Begin in progress.
type beginState struct {
	id     ID
	key    string
	digest string
	// claimed is the record that claims the request.
	claimed record
	// version is the object version that the claim replaces.
	version store.Version
	// mayTakeEffect is set if the result of an update is unknown, so that it may still take
	// effect later.
	mayTakeEffect bool
}

// Begin implements Registry.
func (s *StoreRegistry) Begin(ctx context.Context, id ID, digest [32]byte) (Outcome, error) {
	b := &beginState{id: id, key: objectKey(id), digest: hex.EncodeToString(digest[:])}
	b.claimed = record{
		Organisation: id.Organisation,
		Digest:       b.digest,
		State:        Claimed,
		Attempt:      newAttempt(),
		Claimed:      s.options.Now().UTC(),
	}
	for range maxBeginTries {
		outcome, done, err := s.tryClaim(ctx, b)
		if done || err != nil {
			s.withdrawUnconfirmed(b, outcome)
			return outcome, err
		}
	}
	s.withdrawUnconfirmed(b, Outcome{})
	return Outcome{}, s.unavailableError(store.ErrUnknown)
}

// Lookup implements Registry. Unlike Begin it does not set a claim that is too old to Unknown.
func (s *StoreRegistry) Lookup(ctx context.Context, id ID, digest [32]byte) (Outcome, bool, error) {
	object, err := s.objects.Get(ctx, store.PurposeClaim, objectKey(id))
	if errors.Is(err, store.ErrNotFound) {
		return Outcome{}, false, nil
	}
	if err != nil {
		return Outcome{}, false, s.unavailableError(err)
	}
	found, err := decodeRecord(object.Value)
	if err != nil {
		return Outcome{}, false, trace.Wrap(err)
	}
	if found.Digest != hex.EncodeToString(digest[:]) {
		return Outcome{}, false, mismatchError()
	}
	switch found.State {
	case NotRun:
		return Outcome{}, false, nil
	case Done:
		return s.answerDone(found)
	case Claimed:
		return Outcome{State: Claimed, RetryAfter: s.options.RetryAfter}, true, nil
	default:
		return Outcome{State: Unknown}, true, nil
	}
}

// mismatchError returns the error for a key that is claimed by a request with another digest.
func mismatchError() error {
	return result.New(result.ClaimMismatch, "the idempotency key was used for another request").At("Idempotency-Key")
}

// unavailableError returns the error for a request that could not be claimed.
func (s *StoreRegistry) unavailableError(err error) error {
	return result.Wrap(err, result.StoreUnavailable, "the object API did not confirm the claim").Retry(s.options.RetryAfter)
}

// tryClaim makes one attempt to write the claim. It returns true if the outcome is final, and
// false if the caller must try again.
func (s *StoreRegistry) tryClaim(ctx context.Context, b *beginState) (Outcome, bool, error) {
	value, err := b.claimed.encode()
	if err != nil {
		return Outcome{}, false, trace.Wrap(err)
	}
	version, err := s.objects.Put(ctx, store.PurposeClaim, b.key, value, b.version)
	switch {
	case err == nil:
		return s.issueTicket(b, version), true, nil
	case errors.Is(err, store.ErrConflict):
		return s.readExisting(ctx, b)
	case errors.Is(err, store.ErrUnknown):
		// A read that finds no claim would not show that the update failed: it may still
		// take effect. Trying the same update again decides it, since the update either
		// succeeds or conflicts with the claim that came first.
		b.mayTakeEffect = true
		return Outcome{}, false, nil
	default:
		return Outcome{}, false, s.unavailableError(err)
	}
}

// issueTicket returns the ticket for a claim that the store has confirmed.
func (s *StoreRegistry) issueTicket(b *beginState, version store.Version) Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tickets[b.claimed.Attempt] = heldClaim{key: b.key, version: version, record: b.claimed}
	return Outcome{Ticket: &Ticket{ID: b.id, Attempt: b.claimed.Attempt}, State: Claimed}
}

// readExisting reads the claim that caused a version conflict and decides how to go on.
func (s *StoreRegistry) readExisting(ctx context.Context, b *beginState) (Outcome, bool, error) {
	object, err := s.objects.Get(ctx, store.PurposeClaim, b.key)
	if errors.Is(err, store.ErrNotFound) {
		b.version = store.Absent
		return Outcome{}, false, nil
	}
	if err != nil {
		return Outcome{}, false, s.unavailableError(err)
	}
	found, err := decodeRecord(object.Value)
	if err != nil {
		return Outcome{}, false, trace.Wrap(err)
	}
	if found.sameAs(b.claimed) {
		return s.issueTicket(b, object.Version), true, nil
	}
	if found.Digest != b.digest {
		return Outcome{}, false, mismatchError()
	}
	return s.resolveExisting(ctx, b, object, found)
}

// resolveExisting decides what the claim of another attempt means for this one.
func (s *StoreRegistry) resolveExisting(ctx context.Context, b *beginState, object store.Object, found record) (Outcome, bool, error) {
	switch found.State {
	case NotRun:
		b.version = object.Version
		return Outcome{}, false, nil
	case Done:
		return s.answerDone(found)
	case Claimed:
		return s.waitOrOrphan(ctx, b, object, found)
	default:
		return Outcome{State: Unknown}, true, nil
	}
}

// answerDone returns the stored answer of a claim that is done.
func (s *StoreRegistry) answerDone(found record) (Outcome, bool, error) {
	if found.Answer == nil {
		err := result.New(result.ClaimAnswerNotKept, "the request ran at %s and its answer was not stored", found.Settled.Format(time.RFC3339))
		err.Execution = result.Ran
		return Outcome{}, false, err
	}
	return Outcome{State: Done, Answer: found.Answer}, true, nil
}

// waitOrOrphan tells the caller to wait, or sets a claim that is too old to Unknown. The age
// only affects what callers are told; in neither case may they send the request.
func (s *StoreRegistry) waitOrOrphan(ctx context.Context, b *beginState, object store.Object, found record) (Outcome, bool, error) {
	wait := Outcome{State: Claimed, RetryAfter: s.options.RetryAfter}
	now := s.options.Now()
	if now.Sub(found.Claimed) < s.options.OrphanAfter {
		return wait, true, nil
	}
	orphan := found.withFinalState(Unknown, now)
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

// withdrawUnconfirmed queues the release of a claim whose update may still take effect
// although Begin returned no ticket. Otherwise the claim would remain without a holder.
func (s *StoreRegistry) withdrawUnconfirmed(b *beginState, outcome Outcome) {
	if !b.mayTakeEffect || outcome.Ticket != nil {
		return
	}
	s.enqueue(finalUpdate{
		heldClaim: heldClaim{key: b.key, version: b.version, record: b.claimed},
		final:     b.claimed.withFinalState(NotRun, s.options.Now()),
	})
}

// takeTicket removes and returns the claim that belongs to a ticket.
func (s *StoreRegistry) takeTicket(t Ticket) (heldClaim, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.tickets[t.Attempt]
	if !ok {
		return heldClaim{}, trace.Wrap(ErrNotHeld)
	}
	delete(s.tickets, t.Attempt)
	invariant.Check(h.key == objectKey(t.ID), "claim_ticket_identity", "ticket %s belongs to another claim", t.Attempt)
	return h, nil
}

// Finish implements Registry. It returns ErrPending if the object API has not confirmed the
// final state yet.
func (s *StoreRegistry) Finish(ctx context.Context, t Ticket, a Answer) error {
	h, err := s.takeTicket(t)
	if err != nil {
		return err
	}
	final := h.record.withFinalState(Done, s.options.Now()).withAnswer(a, s.options.MaxAnswerBytes)
	if final.AnswerDropped {
		event.ClaimAnswerDropped.Log(s.options.Log).Str("claim", h.key).Int("bytes", len(a.Body)).Send()
	}
	return s.writeFinal(ctx, h, final)
}

// Release implements Registry. It returns ErrPending if the object API has not confirmed the
// final state yet.
func (s *StoreRegistry) Release(ctx context.Context, t Ticket) error {
	h, err := s.takeTicket(t)
	if err != nil {
		return err
	}
	return s.writeFinal(ctx, h, h.record.withFinalState(NotRun, s.options.Now()))
}

// Abandon implements Registry. It returns ErrPending if the object API has not confirmed the
// final state yet.
func (s *StoreRegistry) Abandon(ctx context.Context, t Ticket) error {
	h, err := s.takeTicket(t)
	if err != nil {
		return err
	}
	return s.writeFinal(ctx, h, h.record.withFinalState(Unknown, s.options.Now()))
}

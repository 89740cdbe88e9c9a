package claim

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/gravitational/trace"
)

// Prefix is the prefix of the keys of all claims in the object API.
const Prefix = "claims/"

// Shards is the number of shards over which claims are distributed.
const Shards = 256

// ShardPrefix returns the key prefix of one shard, from 0 to Shards-1.
func ShardPrefix(shard int) string {
	return fmt.Sprintf("%s%02x/", Prefix, shard)
}

// objectKey returns the key of a claim in the object API: a hash of organisation and
// idempotency key, with the shard as prefix. The length of the organisation keeps the hash
// input unambiguous.
func objectKey(id ID) string {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%d:%s", len(id.Organisation), id.Organisation)
	h.Write([]byte(id.IdempotencyKey))
	sum := h.Sum(nil)
	return ShardPrefix(int(sum[0])) + hex.EncodeToString(sum)
}

// record is a claim as stored in the object API.
type record struct {
	Organisation string `json:"organisation"`
	// Digest is the SHA-256 of the request in lower-case hexadecimal.
	Digest  string `json:"digest"`
	State   State  `json:"state"`
	Attempt string `json:"attempt"`
	// Claimed and Settled are when the claim was made and when it got its final state, by the
	// clock of the process that wrote them.
	Claimed time.Time `json:"claimed"`
	Settled time.Time `json:"settled,omitzero"`
	// Orphaned marks a claim that was set to Unknown because it was too old. Its holder never
	// ended it and may still send the request.
	Orphaned bool `json:"orphaned,omitempty"`
	// AnswerDropped marks a claim that is done and whose answer was not stored.
	AnswerDropped bool    `json:"answer_dropped,omitempty"`
	Answer        *Answer `json:"answer,omitempty"`
}

// encode returns the stored form of the record.
func (r record) encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, trace.Wrap(err)
}

// decodeRecord decodes the stored form of a record.
func decodeRecord(value []byte) (record, error) {
	var r record
	err := json.Unmarshal(value, &r)
	return r, trace.Wrap(err)
}

// sameAs tells whether the record agrees with another one in every field. The time of a record that was read has
// another form in memory, so that the stored forms are compared.
func (r record) sameAs(other record) bool {
	one, errOne := r.encode()
	two, errTwo := other.encode()
	return errOne == nil && errTwo == nil && bytes.Equal(one, two)
}

// withFinalState returns the record with the final state set by its holder.
func (r record) withFinalState(s State, now time.Time) record {
	r.State = s
	r.Settled = now.UTC()
	r.Orphaned = false
	return r
}

// withAnswer returns the record with an answer, or marked as AnswerDropped if the body exceeds
// limit bytes.
func (r record) withAnswer(a Answer, limit int) record {
	if len(a.Body) > limit {
		return r.withoutAnswer()
	}
	a.Body = append([]byte(nil), a.Body...)
	r.Answer = &a
	r.AnswerDropped = false
	return r
}

// withoutAnswer returns the record without its answer and marked as AnswerDropped.
func (r record) withoutAnswer() record {
	r.Answer = nil
	r.AnswerDropped = true
	return r
}

// replaceableBy reports whether the holder of the attempt may replace the record with its own
// final state.
func (r record) replaceableBy(attempt string, final State) bool {
	if r.Attempt != attempt {
		return false
	}
	if r.State == Claimed {
		return true
	}
	// The holder of an orphaned claim knows whether the request ran. Only Done may replace
	// Unknown: callers have been told that the request is never sent again.
	return r.State == Unknown && r.Orphaned && final == Done
}

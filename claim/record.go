package claim

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/gravitational/trace"
)

// Prefix begins the keys of all claims in the object API.
const Prefix = "claims/"

// Shards is the number of shards that claims are spread over.
const Shards = 256

// ShardPrefix returns the prefix of the keys of one shard, 0 to Shards-1.
func ShardPrefix(shard int) string {
	return fmt.Sprintf("%s%02x/", Prefix, shard)
}

// objectKey returns the key of a claim in the object API.
func objectKey(id ID) string {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%d:%s", len(id.Organisation), id.Organisation)
	h.Write([]byte(id.IdempotencyKey))
	sum := h.Sum(nil)
	return ShardPrefix(int(sum[0])) + hex.EncodeToString(sum)
}

// record is a claim as the object API holds it.
type record struct {
	Organisation string `json:"organisation"`
	// Digest is the SHA-256 of the request, lower-case hexadecimal.
	Digest  string `json:"digest"`
	State   State  `json:"state"`
	Attempt string `json:"attempt"`
	// Claimed and Settled are by the clock of the process that wrote them.
	Claimed time.Time `json:"claimed"`
	Settled time.Time `json:"settled,omitzero"`
	// Orphaned marks an unknown outcome whose holder never ended the claim
	// and so may still be running.
	Orphaned bool `json:"orphaned,omitempty"`
	// AnswerDropped marks a claim that is done but whose answer was not kept.
	AnswerDropped bool    `json:"answer_dropped,omitempty"`
	Answer        *Answer `json:"answer,omitempty"`
}

// encode returns the stored form of a record.
func (r record) encode() ([]byte, error) {
	value, err := json.Marshal(r)
	return value, trace.Wrap(err)
}

// decodeRecord reads the stored form of a record.
func decodeRecord(value []byte) (record, error) {
	var r record
	err := json.Unmarshal(value, &r)
	return r, trace.Wrap(err)
}

// settled returns the record with the final state that its holder gives it.
func (r record) settled(s State, now time.Time) record {
	r.State = s
	r.Settled = now.UTC()
	r.Orphaned = false
	return r
}

// withAnswer returns the record with an answer, or with the mark that the
// answer was dropped when it exceeds limit bytes.
func (r record) withAnswer(a Answer, limit int) record {
	if len(a.Body) > limit {
		return r.withoutAnswer()
	}
	a.Body = append([]byte(nil), a.Body...)
	r.Answer = &a
	r.AnswerDropped = false
	return r
}

// withoutAnswer returns the record with the mark that the answer was dropped.
func (r record) withoutAnswer() record {
	r.Answer = nil
	r.AnswerDropped = true
	return r
}

// replaceable tells whether the holder of the attempt may still replace the
// record with its own final state.
func (r record) replaceable(attempt string, by State) bool {
	if r.Attempt != attempt {
		return false
	}
	if r.State == Claimed {
		return true
	}
	// The holder knows better than whoever gave it up, but only a known end
	// may replace the unknown one: repeats were told that it never runs again.
	return r.State == Unknown && r.Orphaned && by == Done
}

package control

import (
	"math/rand/v2"
	"time"
)

// MaxEvidence bounds the requests on which one heartbeat carries evidence.
const MaxEvidence = 8

const (
	// evidenceNews is how long evidence is passed on after something new was learnt.
	evidenceNews = 10 * time.Second
	// evidenceRepeat is how seldom, in heartbeats on the mean, older evidence is passed on too,
	// for processes that missed it.
	evidenceRepeat = 16
	// oldestEvidence is older than any evidence that is kept.
	oldestEvidence = time.Hour
)

// EvidenceAge returns the age up to which the next heartbeat carries evidence.
func EvidenceAge() time.Duration {
	if rand.IntN(evidenceRepeat) == 0 {
		return oldestEvidence
	}
	return evidenceNews
}

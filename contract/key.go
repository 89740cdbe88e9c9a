package contract

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"

	"zinniapin/result"
)

// keyBytes is the length of the random part of a key, in bytes.
const keyBytes = 24

// keyPrefix begins every key, so that a leaked one can be recognised.
const keyPrefix = "zk_"

// NewKey returns a new random key. Only its fingerprint may be stored.
func NewKey() string {
	random := make([]byte, keyBytes)
	_, _ = rand.Read(random) // crypto/rand.Read never returns an error
	return keyPrefix + base64.RawURLEncoding.EncodeToString(random)
}

// Fingerprint returns the lower-case hexadecimal SHA-256 of a key.
func Fingerprint(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Authenticate returns the contract to which the key with the given fingerprint belongs. It
// refuses unknown and withdrawn keys with the same error, so that a caller cannot learn which
// keys exist.
func (s *Snapshot) Authenticate(fingerprint string) (*Contract, error) {
	owner, key := s.keys.find(fingerprint)
	if key == nil || key.Withdrawn {
		return nil, result.New(result.BadKey, "the key is not valid").At("header Authorization")
	}
	return owner, nil
}

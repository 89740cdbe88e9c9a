package gateway

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/binary"
	"hash"
	"time"

	"zinniapin/result"
)

// MinResumeKeyBytes is the least length of the key that signs resume tokens.
const MinResumeKeyBytes = 32

// Layout of a resume token: version, expiry, offset, three digests, signature.
const (
	resumeVersion      = 1
	resumeDigestBytes  = 16
	resumePayloadBytes = 1 + 8 + 4 + 3*resumeDigestBytes
	resumeTokenBytes   = resumePayloadBytes + sha256.Size
)

// resumeDigest is a truncated SHA-256.
type resumeDigest [resumeDigestBytes]byte

// resumeDigestOf returns the digest of the parts. The length of each part is hashed too, so
// that different parts never give the same input.
func resumeDigestOf(parts ...string) resumeDigest {
	h := sha256.New()
	var length [8]byte
	for _, part := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	return truncatedSum(h)
}

// truncatedSum returns the truncated digest of what has been written to a hash.
func truncatedSum(h hash.Hash) resumeDigest {
	var d resumeDigest
	var sum [sha256.Size]byte
	copy(d[:], h.Sum(sum[:0]))
	return d
}

// resumePoint is the content of a resume token: how far an answer was delivered. Gateways
// store no state for it; any gateway with the signing key can verify it.
type resumePoint struct {
	expires      time.Time // to the second
	offset       uint32    // output tokens delivered
	organisation resumeDigest
	request      resumeDigest
	delivered    resumeDigest // of the text delivered
}

// resumeSigner signs the resume tokens of one answer. It reuses its hash and buffer.
type resumeSigner struct {
	mac   hash.Hash
	token [resumeTokenBytes]byte
}

// newResumeSigner returns a signer that uses the key.
func newResumeSigner(key []byte) *resumeSigner {
	return &resumeSigner{mac: hmac.New(sha256.New, key)}
}

// appendToken appends the signed token of a resume point to dst.
func (s *resumeSigner) appendToken(dst []byte, p resumePoint) []byte {
	token := append(s.token[:0], resumeVersion)
	token = binary.BigEndian.AppendUint64(token, uint64(p.expires.Unix()))
	token = binary.BigEndian.AppendUint32(token, p.offset)
	token = append(token, p.organisation[:]...)
	token = append(token, p.request[:]...)
	token = append(token, p.delivered[:]...)
	s.mac.Reset()
	s.mac.Write(token)
	token = s.mac.Sum(token)
	return base64.RawURLEncoding.AppendEncode(dst, token)
}

// resumeSignature returns the signature of a token's payload.
func resumeSignature(key, payload []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(payload)
	return mac.Sum(nil)
}

// decodeResume verifies a token's signature and expiry and returns its resume point.
func decodeResume(key []byte, text string, now time.Time) (resumePoint, error) {
	var p resumePoint
	rejected := result.New(result.ResumeRejected, "the resume token is not valid").At("header Last-Event-ID")
	if len(text) != base64.RawURLEncoding.EncodedLen(resumeTokenBytes) {
		return p, rejected
	}
	token, err := base64.RawURLEncoding.Strict().DecodeString(text)
	if err != nil || token[0] != resumeVersion {
		return p, rejected
	}
	payload, signature := token[:resumePayloadBytes], token[resumePayloadBytes:]
	if subtle.ConstantTimeCompare(signature, resumeSignature(key, payload)) != 1 {
		return p, rejected
	}
	p.expires = time.Unix(int64(binary.BigEndian.Uint64(payload[1:])), 0)
	p.offset = binary.BigEndian.Uint32(payload[9:])
	digests := payload[13:]
	copy(p.organisation[:], digests)
	copy(p.request[:], digests[resumeDigestBytes:])
	copy(p.delivered[:], digests[2*resumeDigestBytes:])
	if now.After(p.expires) {
		return p, result.New(result.ResumeRejected, "the resume token has expired").At("header Last-Event-ID")
	}
	return p, nil
}

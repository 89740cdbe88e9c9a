package gateway

import (
	"bytes"
	"net/http"
	"net/url"
	"strings"

	"zinniapin/contract"
	"zinniapin/result"
)

// Headers in which a key is accepted. No other place is.
const (
	headerAuthorization = "Authorization"
	headerAPIKey        = "X-Api-Key"
	bearerPrefix        = "Bearer "
)

// credential is a caller's key and its fingerprint. The key is kept only to
// find it where it must not stand.
type credential struct {
	key         string
	fingerprint string
}

// takeCredential reads the key and removes every header that may hold it. The
// result is nil when no key came.
func takeCredential(h http.Header) (*credential, error) {
	bearer := h.Values(headerAuthorization)
	plain := h.Values(headerAPIKey)
	h.Del(headerAuthorization)
	h.Del(headerAPIKey)
	var keys []string
	for _, value := range bearer {
		if len(value) > len(bearerPrefix) && strings.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
			keys = append(keys, strings.TrimSpace(value[len(bearerPrefix):]))
		}
	}
	keys = append(keys, plain...)
	if len(keys) == 0 {
		return nil, nil
	}
	for _, key := range keys[1:] {
		if key != keys[0] {
			return nil, result.New(result.BadKey, "two different keys came").At("header " + headerAuthorization)
		}
	}
	if keys[0] == "" {
		return nil, nil
	}
	return &credential{keys[0], contract.Fingerprint(keys[0])}, nil
}

// authenticate returns the contract of the key, which must have come.
func authenticate(s *contract.Snapshot, c *credential) (*contract.Contract, error) {
	if c == nil {
		return nil, result.New(result.BadKey, "no key came").At("header " + headerAuthorization)
	}
	return s.Authenticate(c.fingerprint)
}

// within tells whether the key stands in any of the texts.
func (c *credential) within(texts ...string) bool {
	for _, text := range texts {
		if c != nil && strings.Contains(text, c.key) {
			return true
		}
	}
	return false
}

// refuseKeyIn refuses a call whose path, query or body holds the key: those
// parts go to the target as they are.
func (c *credential) refuseKeyIn(u *url.URL, body []byte) error {
	if c == nil {
		return nil
	}
	if c.within(u.Path, u.RawQuery) || queryHolds(c, u.Query()) {
		return result.New(result.KeyInContent, "the key stands in the path or query").At("path")
	}
	if bytes.Contains(body, []byte(c.key)) {
		return result.New(result.KeyInContent, "the key stands in the body").At("body")
	}
	return nil
}

// queryHolds tells whether the key stands in a query once it is decoded.
func queryHolds(c *credential, query url.Values) bool {
	for name, values := range query {
		if c.within(name) || c.within(values...) {
			return true
		}
	}
	return false
}

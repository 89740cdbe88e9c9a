package gateway

import (
	"bytes"
	"net/http"
	"net/url"
	"strings"
	"time"

	"zinniapin/contract"
	"zinniapin/result"
	"zinniapin/settings"
)

// Headers that may carry an API key. Keys are accepted nowhere else.
const (
	headerAuthorization = "Authorization"
	headerAPIKey        = "X-Api-Key"
	bearerPrefix        = "Bearer "
)

// credential is a caller's API key and its fingerprint. The key itself is kept only to
// detect it in content that reaches targets or logs.
type credential struct {
	key         string
	fingerprint string
}

// takeCredential reads the key and removes all headers that may contain it. It returns nil
// if there is no key.
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
			return nil, result.New(result.BadKey, "the request has two different keys").At("header " + headerAuthorization)
		}
	}
	if keys[0] == "" {
		return nil, nil
	}
	return &credential{keys[0], contract.Fingerprint(keys[0])}, nil
}

// authenticate returns the contract that the key belongs to. A missing key is an error.
func authenticate(s *contract.Snapshot, c *credential) (*contract.Contract, error) {
	if c == nil {
		return nil, result.New(result.BadKey, "the request has no key").At("header " + headerAuthorization)
	}
	return s.Authenticate(c.fingerprint)
}

// appearsIn tells whether the key is part of any of the texts.
func (c *credential) appearsIn(texts ...string) bool {
	for _, text := range texts {
		if c != nil && strings.Contains(text, c.key) {
			return true
		}
	}
	return false
}

// refuseKeyIn returns an error if the path, query or body of a call contains the key, since
// these are forwarded to the target unchanged.
func (c *credential) refuseKeyIn(u *url.URL, body []byte) error {
	if c == nil {
		return nil
	}
	if c.appearsIn(u.Path, u.RawQuery) || queryContainsKey(c, u.Query()) {
		return result.New(result.KeyInContent, "the path or query contains the API key").At("path")
	}
	if bytes.Contains(body, []byte(c.key)) {
		return result.New(result.KeyInContent, "the body contains the API key").At("body")
	}
	return nil
}

// queryContainsKey tells whether the decoded query contains the key.
func queryContainsKey(c *credential, query url.Values) bool {
	for name, values := range query {
		if c.appearsIn(name) || c.appearsIn(values...) {
			return true
		}
	}
	return false
}

// checkWithdrawn returns an error once the key of a stream has been withdrawn for longer
// than the setting allows. Without the setting the answer is completed: it was admitted with
// a valid key, its length is limited and most of the engine's work is done, while cutting it
// would harm a caller whose key was merely rotated. An operator who withdraws leaked keys
// sets the limit.
func (gen *generation) checkWithdrawn() error {
	bound := settings.Millis(gen.gateway.options.Settings.WithdrawnStreamMillis)
	if bound == 0 {
		return nil
	}
	if s := gen.gateway.snapshot.Load(); s != gen.checkedSnapshot {
		gen.checkedSnapshot = s
		_, err := authenticate(s, gen.call.credential)
		switch {
		case err == nil:
			gen.withdrawnAt = time.Time{}
		case gen.withdrawnAt.IsZero():
			gen.withdrawnAt = time.Now()
		}
	}
	if !gen.withdrawnAt.IsZero() && time.Since(gen.withdrawnAt) >= bound {
		return result.New(result.KeyWithdrawn, "the stream was ended %s after the withdrawal", bound)
	}
	return nil
}

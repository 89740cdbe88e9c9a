package gateway

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"zinniapin/routing"
)

// TestResumeElsewhere checks that a stream that breaks after any event can be resumed at
// another gateway, with each token exactly once.
func TestResumeElsewhere(t *testing.T) {
	is := is.New(t)
	first, second := newTestGateway(t, nil, "e1"), newTestGateway(t, nil, "e1")
	want, _ := engineText("resumed")
	_, body := first.chat("resumed", true)
	all := parseEvents(body)
	for cut := 1; cut < len(all); cut++ {
		delivered := streamText(all[:cut])
		response, rest := second.send("POST", "/v1/chat/completions", testKey,
			resumeRequest("resumed", true, &delivered), "Last-Event-ID", all[cut-1].id)
		is.Equal(response.StatusCode, 200)
		is.Equal(delivered+streamText(parseEvents(rest)), want)
		is.True(strings.HasSuffix(strings.TrimSpace(rest), "[DONE]"))
	}
	usage := second.g.Usage()[0].Amount
	is.Equal(usage.Requests, uint64(0)) // counted by the gateway that served the first part
}

// TestResumeRejected checks requests that must not be resumed.
func TestResumeRejected(t *testing.T) {
	tg := newTestGateway(t, nil, "e1")
	_, body := tg.chat("mine", true)
	all := parseEvents(body)
	token, delivered := all[2].id, streamText(all[:3])
	wrong := delivered + "x"
	for name, c := range map[string]struct{ key, body, token string }{
		"without the text":     {testKey, resumeRequest("mine", true, nil), token},
		"with another text":    {testKey, resumeRequest("mine", true, &wrong), token},
		"another request":      {testKey, resumeRequest("yours", true, &delivered), token},
		"another organisation": {otherKey, resumeRequest("mine", true, &delivered), token},
		"a forged token":       {testKey, resumeRequest("mine", true, &delivered), token[:20] + "__" + token[22:]},
		"no token":             {testKey, resumeRequest("mine", true, &delivered), ""},
		"not a stream":         {testKey, resumeRequest("mine", false, &delivered), token},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			response, answer := tg.send("POST", "/v1/chat/completions", c.key, c.body, "Last-Event-ID", c.token)
			is.Equal(response.StatusCode, 400)
			is.Equal(errorOf(answer).Code, "resume_rejected")
			is.Equal(errorOf(answer).Execution, "not_run")
		})
	}
}

// TestResumeExpires checks that a token is rejected after its expiry and under another key.
func TestResumeExpires(t *testing.T) {
	is := is.New(t)
	key, now := bytes.Repeat([]byte("k"), 32), time.Unix(1000, 0)
	token := encodeResume(key, resumePoint{expires: now, offset: 7})
	p, err := decodeResume(key, token, now)
	is.NoErr(err)
	is.Equal(p.offset, uint32(7))
	_, err = decodeResume(key, token, now.Add(time.Second))
	is.True(err != nil)
	_, err = decodeResume(bytes.Repeat([]byte("x"), 32), token, now)
	is.True(err != nil)
}

// FuzzResumeToken checks that only signed tokens are accepted, and only in the exact
// encoding that was issued.
func FuzzResumeToken(f *testing.F) {
	key, now := bytes.Repeat([]byte("k"), 32), time.Unix(1000, 0)
	good := encodeResume(key, resumePoint{expires: now, offset: 7})
	f.Add(good)
	f.Add("")
	f.Add(good[:len(good)-1] + "_")
	f.Add(strings.Repeat("A", len(good)))
	f.Fuzz(func(t *testing.T, text string) {
		p, err := decodeResume(key, text, now)
		if err == nil && encodeResume(key, p) != text {
			t.Fatalf("accepted %q", text)
		}
	})
}

// encodeResume returns the signed token of a resume point.
func encodeResume(key []byte, p resumePoint) string {
	return string(newResumeSigner(key).appendToken(nil, p))
}

// TestSignerIsReused checks that each of several tokens from one signer is valid.
func TestSignerIsReused(t *testing.T) {
	is := is.New(t)
	key := bytes.Repeat([]byte("k"), MinResumeKeyBytes)
	s := newResumeSigner(key)
	now := time.Unix(1_800_000_000, 0)
	for i := range uint32(3) {
		p, err := decodeResume(key, string(s.appendToken(nil, resumePoint{expires: now, offset: i})), now)
		is.NoErr(err)
		is.Equal(p.offset, i)
	}
}

// TestTextEventEqualsEncodedChunk checks that an event written with the precomputed beginning and
// end equals the JSON encoding of the complete chunk, for any text.
func TestTextEventEqualsEncodedChunk(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := httptest.NewRecorder()
		a := &chatResponse{w: w, control: http.NewResponseController(w), gateway: &Gateway{}, delivered: sha256.New(),
			signer: newResumeSigner([]byte("k")), generation: &generation{call: &call{id: "r"}, query: routing.Request{Model: rapid.String().Draw(rt, "model")}}}
		for range 2 {
			text := rapid.String().Draw(rt, "text")
			w.Body.Reset()
			if err := a.writeText(text); err != nil {
				rt.Fatal(err)
			}
			want, _ := json.Marshal(a.newChunk(&chatDelta{Content: &text}, nil))
			_, got, _ := strings.Cut(w.Body.String(), "\ndata: ")
			if got != string(want)+"\n\n" {
				rt.Fatalf("%s, want %s", got, want)
			}
		}
	})
}

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

// TestResumeElsewhere checks that a caller cut off at any event gets the rest
// from another gateway, each token once.
func TestResumeElsewhere(t *testing.T) {
	is := is.New(t)
	first, second := newRig(t, nil, "e1"), newRig(t, nil, "e1")
	want, _ := wholeText("resumed")
	_, body := first.chat("resumed", true)
	all := events(body)
	for cut := 1; cut < len(all); cut++ {
		delivered := streamText(all[:cut])
		response, rest := second.send("POST", "/v1/chat/completions", testKey,
			chatRequestWith("resumed", true, &delivered), "Last-Event-ID", all[cut-1].id)
		is.Equal(response.StatusCode, 200)
		is.Equal(delivered+streamText(events(rest)), want)
		is.True(strings.HasSuffix(strings.TrimSpace(rest), "[DONE]"))
	}
	usage := second.g.Usage()[0].Amount
	is.Equal(usage.Requests, uint64(0)) // counted where it was cut
}

// TestResumeRejected checks what does not resume.
func TestResumeRejected(t *testing.T) {
	r := newRig(t, nil, "e1")
	_, body := r.chat("mine", true)
	all := events(body)
	token, delivered := all[2].id, streamText(all[:3])
	wrong := delivered + "x"
	for name, c := range map[string]struct{ key, body, token string }{
		"without the text":     {testKey, chatRequestWith("mine", true, nil), token},
		"with another text":    {testKey, chatRequestWith("mine", true, &wrong), token},
		"another request":      {testKey, chatRequestWith("yours", true, &delivered), token},
		"another organisation": {otherKey, chatRequestWith("mine", true, &delivered), token},
		"a forged token":       {testKey, chatRequestWith("mine", true, &delivered), token[:20] + "__" + token[22:]},
		"no token":             {testKey, chatRequestWith("mine", true, &delivered), ""},
		"not a stream":         {testKey, chatRequestWith("mine", false, &delivered), token},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			response, answer := r.send("POST", "/v1/chat/completions", c.key, c.body, "Last-Event-ID", c.token)
			is.Equal(response.StatusCode, 400)
			is.Equal(failure(answer).Code, "resume_rejected")
			is.Equal(failure(answer).Execution, "not_run")
		})
	}
}

// TestResumeExpires checks the expiry of a token.
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

// FuzzResumeToken checks that only tokens that were signed are accepted, and
// only in the one form in which they were signed.
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

// encodeResume signs a resume point.
func encodeResume(key []byte, p resumePoint) string {
	return string(newResumeSigner(key).appendToken(nil, p))
}

// TestSignerIsReused checks that each token of a signer is good by itself.
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

// TestTokenEventIsTheChunk checks that the event encoded in parts is the one
// that the whole chunk gives, whatever the text holds.
func TestTokenEventIsTheChunk(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := httptest.NewRecorder()
		a := &chatAnswer{w: w, control: http.NewResponseController(w), gateway: &Gateway{}, delivered: sha256.New(),
			signer: newResumeSigner([]byte("k")), n: &generation{call: &call{id: "r"}, query: routing.Request{Model: rapid.String().Draw(rt, "model")}}}
		for range 2 {
			text := rapid.String().Draw(rt, "text")
			w.Body.Reset()
			if err := a.token(text); err != nil {
				rt.Fatal(err)
			}
			want, _ := json.Marshal(a.chunk(&chatDelta{Content: &text}, nil))
			_, got, _ := strings.Cut(w.Body.String(), "\ndata: ")
			if got != string(want)+"\n\n" {
				rt.Fatalf("%s, want %s", got, want)
			}
		}
	})
}

package gateway

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	_ "zinniapin/internal/fixedseed"
	"zinniapin/result"
)

// FuzzChatBody checks that any body is parsed or refused as a bad request, and that a parsed
// body renders to a prompt of bounded length.
func FuzzChatBody(f *testing.F) {
	f.Add([]byte(chatRequest("hello", true)))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}]}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}],"n":2}`))
	f.Add([]byte(`{"model":"m","messages":[{"role":"tool","content":null}],"max_tokens":0}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := parseChat(data)
		if err != nil {
			if status := result.CodeOf(err).Definition().Status; status != 400 {
				t.Fatalf("status %d for %v", status, err)
			}
			return
		}
		if len(b.prompt()) > 8*len(data)+64 {
			t.Fatalf("%d bytes became a prompt of %d", len(data), len(b.prompt()))
		}
	})
}

// TestPromptIsUnambiguous checks that only equal conversations render to equal prompts, even
// if their contents look like message headers.
func TestPromptIsUnambiguous(t *testing.T) {
	content := rapid.StringOfN(rapid.SampledFrom([]rune("user 10\nast")), 0, 12, -1)
	messages := rapid.SliceOfN(rapid.Custom(func(rt *rapid.T) chatMessage {
		return chatMessage{rapid.SampledFrom([]string{"user", "assistant", "system"}).Draw(rt, "role"), chatContent(content.Draw(rt, "content"))}
	}), 1, 3)
	rapid.Check(t, func(rt *rapid.T) {
		a := chatBody{Messages: messages.Draw(rt, "a")}
		b := chatBody{Messages: messages.Draw(rt, "b")}
		left, _ := json.Marshal(a.Messages)
		right, _ := json.Marshal(b.Messages)
		if (string(left) == string(right)) != (a.prompt() == b.prompt()) {
			rt.Fatalf("%s and %s", left, right)
		}
	})
}

// TestUnsupportedIsRefused checks that parameters that would change the form of the answer
// are refused instead of ignored.
func TestUnsupportedIsRefused(t *testing.T) {
	is := is.New(t)
	for _, field := range []string{`"n":2`, `"stop":"x"`, `"tools":[{}]`, `"logprobs":true`, `"response_format":{"type":"json_object"}`} {
		_, err := parseChat([]byte(`{"model":"m","messages":[{"role":"user","content":"a"}],` + field + `}`))
		is.Equal(result.CodeOf(err), result.UnsupportedParameter)
	}
	_, err := parseChat([]byte(`{"model":"m","messages":[{"role":"user","content":"a"}],"temperature":0.5,"n":1,"stop":null,"tools":[]}`))
	is.NoErr(err)
}

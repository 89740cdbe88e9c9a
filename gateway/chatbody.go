package gateway

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"zinniapin/result"
)

// Bounds of a chat request.
const (
	maxMessages        = 4096
	bytesPerToken      = 4 // to estimate tokens before an engine counts them
	defaultMaxTokens   = 1024
	affinityPieceBytes = 2000 * bytesPerToken // the leading prompt piece
)

// chatBody is the body of a chat request. Fields that only shape sampling,
// such as temperature and seed, are accepted and left to the engine's own
// settings; fields that would change the form of the answer are refused.
type chatBody struct {
	Model               string          `json:"model"`
	Messages            []chatMessage   `json:"messages"`
	Stream              bool            `json:"stream"`
	StreamOptions       *streamOptions  `json:"stream_options"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	N                   *int            `json:"n"`
	Stop                json.RawMessage `json:"stop"`
	Tools               json.RawMessage `json:"tools"`
	Functions           json.RawMessage `json:"functions"`
	Logprobs            *bool           `json:"logprobs"`
	ResponseFormat      json.RawMessage `json:"response_format"`
	// Delivered is the text that a resumed stream had delivered.
	Delivered *string `json:"zinnia_delivered"`
}

// streamOptions are options of a streamed answer.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// chatMessage is a message of the conversation.
type chatMessage struct {
	Role    string      `json:"role"`
	Content chatContent `json:"content"`
}

// chatContent is the text of a message, sent as a string or as text parts.
type chatContent string

// contentPart is a part of a message.
type contentPart struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *chatContent) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err == nil {
		*c = chatContent(text)
		return nil
	}
	var parts []contentPart
	if err := json.Unmarshal(data, &parts); err != nil {
		return fmt.Errorf("content is neither text nor an array of text parts")
	}
	var b strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return fmt.Errorf("content part of type %q", part.Type)
		}
		b.WriteString(part.Text)
	}
	*c = chatContent(b.String())
	return nil
}

// parseChat decodes and checks a chat request.
func parseChat(body []byte) (*chatBody, error) {
	b := &chatBody{}
	if err := json.Unmarshal(body, b); err != nil {
		return nil, result.New(result.BadRequest, "%s", err).At("body")
	}
	if b.Model == "" {
		return nil, result.New(result.BadRequest, "the field is missing").At("model")
	}
	if len(b.Messages) == 0 || len(b.Messages) > maxMessages {
		return nil, result.New(result.BadRequest, "there must be 1 to %d messages", maxMessages).At("messages")
	}
	for i, m := range b.Messages {
		switch m.Role {
		case "system", "developer", "user", "assistant":
		default:
			return nil, result.New(result.BadRequest, "%.32q is not a role", m.Role).At(fmt.Sprintf("messages[%d].role", i))
		}
	}
	if err := b.checkTokens(); err != nil {
		return nil, err
	}
	return b, b.checkSupported()
}

// checkTokens checks the bounds of the answer.
func (b *chatBody) checkTokens() error {
	if b.MaxTokens != nil && *b.MaxTokens < 1 {
		return result.New(result.BadRequest, "must be at least 1").At("max_tokens")
	}
	if b.MaxCompletionTokens != nil && *b.MaxCompletionTokens < 1 {
		return result.New(result.BadRequest, "must be at least 1").At("max_completion_tokens")
	}
	return nil
}

// checkSupported refuses what would silently give another answer than asked
// for.
func (b *chatBody) checkSupported() error {
	if b.N != nil && *b.N != 1 {
		return result.New(result.UnsupportedParameter, "one answer is given for a request").At("n")
	}
	if b.Logprobs != nil && *b.Logprobs {
		return result.New(result.UnsupportedParameter, "there are no log probabilities").At("logprobs")
	}
	for name, raw := range map[string]json.RawMessage{"stop": b.Stop, "tools": b.Tools, "functions": b.Functions} {
		if given(raw) {
			return result.New(result.UnsupportedParameter, "not offered").At(name)
		}
	}
	var format struct {
		Type string `json:"type"`
	}
	if given(b.ResponseFormat) && (json.Unmarshal(b.ResponseFormat, &format) != nil || format.Type != "text") {
		return result.New(result.UnsupportedParameter, "only text is offered").At("response_format")
	}
	return nil
}

// given tells whether a raw field holds anything.
func given(raw json.RawMessage) bool {
	text := string(raw)
	return text != "" && text != "null" && text != "[]"
}

// outputLimit returns the bound on the answer, given the model's.
func (b *chatBody) outputLimit(modelLimit int) int {
	limit := min(defaultMaxTokens, modelLimit)
	if b.MaxTokens != nil {
		limit = min(*b.MaxTokens, modelLimit)
	}
	if b.MaxCompletionTokens != nil {
		limit = min(*b.MaxCompletionTokens, modelLimit)
	}
	return limit
}

// prompt renders the conversation. Each message is preceded by its role and
// length in bytes, so that no content can pass for another message and two
// conversations never render alike.
func (b *chatBody) prompt() string {
	var p strings.Builder
	for _, m := range b.Messages {
		p.WriteString(m.Role)
		p.WriteByte(' ')
		p.WriteString(strconv.Itoa(len(m.Content)))
		p.WriteByte('\n')
		p.WriteString(string(m.Content))
		p.WriteByte('\n')
	}
	p.WriteString("assistant\n")
	return p.String()
}

// estimateTokens estimates the tokens of a text.
func estimateTokens(text string) int {
	return len(text)/bytesPerToken + 1
}

package gateway

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"unicode/utf8"

	"zinniapin/result"
)

// Limits and defaults of a chat request.
const (
	maxMessages         = 4096
	maxMessageHeadBytes = 32 // role and length of a message in a prompt
	bytesPerToken       = 4  // for the token estimate, which is used until an engine reports a count
	defaultMaxTokens    = 1024
	affinityPrefixBytes = 2000 * bytesPerToken // leading part of the prompt that selects an engine
)

// chatBody is the body of a chat request. Fields that only affect sampling, such as
// temperature and seed, are accepted but not forwarded: the engine uses its own settings.
// Fields that would change the form of the answer are refused.
type chatBody struct {
	Model               string          `json:"model"`
	Messages            chatMessages    `json:"messages"`
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
	// Delivered is the text that the caller received before the stream broke.
	Delivered *string `json:"zinnia_delivered"`
}

// streamOptions are the options of a streamed answer.
type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

// chatMessages are the messages of the conversation, or the first maxMessages + 1 of them if there are more. They are
// decoded one by one, since many empty ones would take far more memory than the body.
type chatMessages []chatMessage

// UnmarshalJSON implements json.Unmarshaler.
func (m *chatMessages) UnmarshalJSON(data []byte) error {
	*m = nil
	return decodeElements(data, func(d *json.Decoder) error {
		if len(*m) > maxMessages {
			return errEnough
		}
		var next chatMessage
		if err := d.Decode(&next); err != nil {
			return err
		}
		*m = append(*m, next)
		return nil
	})
}

// errEnough ends decodeElements without an error.
var errEnough = errors.New("no more elements are needed")

// decodeElements calls next for each element of a JSON array, which it decodes. null has no elements.
func decodeElements(data []byte, next func(*json.Decoder) error) error {
	if string(data) == "null" {
		return nil
	}
	d := json.NewDecoder(bytes.NewReader(data))
	if start, err := d.Token(); err != nil || start != json.Delim('[') {
		return errors.Join(errors.New("not an array"), err)
	}
	for d.More() {
		if err := next(d); errors.Is(err, errEnough) {
			return nil
		} else if err != nil {
			return err
		}
	}
	return nil
}

// chatMessage is a message of the conversation.
type chatMessage struct {
	Role    string      `json:"role"`
	Content chatContent `json:"content"`
}

// chatContent is the text of a message, sent as a string or as an array of text parts.
type chatContent string

// contentPart is an element of a message's content array.
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
	var b strings.Builder
	other := ""
	err := decodeElements(data, func(d *json.Decoder) error {
		var part contentPart
		if err := d.Decode(&part); err != nil {
			return err
		}
		if part.Type != "text" && other == "" {
			other = fmt.Sprintf("content part of type %q", part.Type)
		}
		b.WriteString(part.Text)
		return nil
	})
	if err != nil {
		return fmt.Errorf("content is neither text nor an array of text parts")
	}
	if other != "" {
		return errors.New(other)
	}
	*c = chatContent(b.String())
	return nil
}

// parseChat decodes and validates a chat request.
func parseChat(body []byte) (*chatBody, error) {
	if !utf8.Valid(body) {
		return nil, result.New(result.BadRequest, "the body is not UTF-8").At("body")
	}
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

// checkTokens checks the caller's limits on the answer's length.
func (b *chatBody) checkTokens() error {
	if b.MaxTokens != nil && *b.MaxTokens < 1 {
		return result.New(result.BadRequest, "must be at least 1").At("max_tokens")
	}
	if b.MaxCompletionTokens != nil && *b.MaxCompletionTokens < 1 {
		return result.New(result.BadRequest, "must be at least 1").At("max_completion_tokens")
	}
	return nil
}

// checkSupported refuses parameters that, if ignored, would give an answer other than the
// one requested.
func (b *chatBody) checkSupported() error {
	if b.N != nil && *b.N != 1 {
		return result.New(result.UnsupportedParameter, "only one answer per request is supported").At("n")
	}
	if b.Logprobs != nil && *b.Logprobs {
		return result.New(result.UnsupportedParameter, "log probabilities are not supported").At("logprobs")
	}
	for name, raw := range map[string]json.RawMessage{"stop": b.Stop, "tools": b.Tools, "functions": b.Functions} {
		if isSet(raw) {
			return result.New(result.UnsupportedParameter, "the parameter is not supported").At(name)
		}
	}
	var format struct {
		Type string `json:"type"`
	}
	if isSet(b.ResponseFormat) && (json.Unmarshal(b.ResponseFormat, &format) != nil || format.Type != "text") {
		return result.New(result.UnsupportedParameter, "only the type text is supported").At("response_format")
	}
	return nil
}

// isSet tells whether a raw JSON field is present and neither null nor an empty array.
func isSet(raw json.RawMessage) bool {
	text := string(raw)
	return text != "" && text != "null" && text != "[]"
}

// outputLimit returns the largest number of output tokens, given the model's limit.
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

// prompt renders the conversation. Each message is preceded by its role and its length in
// bytes, so that no content can be mistaken for another message and two different
// conversations never render to the same prompt.
func (b *chatBody) prompt() string {
	var p strings.Builder
	size := 0
	for _, m := range b.Messages {
		size += len(m.Content) + maxMessageHeadBytes
	}
	p.Grow(size)
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

// estimateTokens estimates the number of tokens in a text.
func estimateTokens(text string) int {
	return len(text)/bytesPerToken + 1
}

package gateway

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"hash"
	"net/http"
	"strconv"
	"time"

	"zinniapin/result"
	"zinniapin/settings"
)

// chatResponse writes the response to a chat request, either as one JSON document or as a
// stream of server-sent events.
//
// The id of each event is a resume token. To resume a broken stream the caller sends the
// same request again, to any gateway, with the token as Last-Event-ID and the text received
// so far in the field zinnia_delivered, and gets the rest. The caller supplies the text
// because gateways store none and because an engine that generates the answer again may
// produce other tokens. A digest in the token proves that the text is what was delivered. A
// request to resume without the text is refused, unless nothing had been delivered.
type chatResponse struct {
	gateway       *Gateway
	w             http.ResponseWriter
	control       *http.ResponseController
	generation    *generation
	stream        bool
	includeUsage  bool         // the stream contains an event with the token counts
	created       int64        // Unix time of the request, in seconds
	started       bool         // emit or finishStream was called
	outputTokens  int          // output tokens written, those of the text being written included
	delivered     hash.Hash    // over the text delivered
	organisation  resumeDigest // of the name, for the resume tokens
	request       resumeDigest // of model, prompt and token limit, for the resume tokens
	echoedText    *string      // the field zinnia_delivered of the request; nil if it has none
	resumed       bool         // the response continues an earlier stream
	signer        *resumeSigner
	textChunkHead []byte    // encoded beginning of a text chunk, up to the text
	buffer        []byte    // holds the event being written
	deadlineSetAt time.Time // when the write deadline was last extended
}

// JSON bodies of responses and of stream events.
type (
	chatCompletion struct {
		ID      string       `json:"id"`
		Object  string       `json:"object"`
		Created int64        `json:"created"`
		Model   string       `json:"model"`
		Choices []chatChoice `json:"choices"`
		Usage   *chatUsage   `json:"usage,omitempty"`
	}
	chatChoice struct {
		Index        int        `json:"index"`
		Message      *chatDelta `json:"message,omitempty"`
		Delta        *chatDelta `json:"delta,omitempty"`
		FinishReason *string    `json:"finish_reason"`
	}
	chatDelta struct {
		Role    string  `json:"role,omitempty"`
		Content *string `json:"content,omitempty"`
	}
	chatUsage struct {
		PromptTokens     int `json:"prompt_tokens"`
		CompletionTokens int `json:"completion_tokens"`
		TotalTokens      int `json:"total_tokens"`
	}
)

// newChatResponse returns the response writer for a request.
func newChatResponse(g *Gateway, w http.ResponseWriter, gen *generation, b *chatBody) *chatResponse {
	return &chatResponse{
		gateway:      g,
		w:            w,
		control:      http.NewResponseController(w),
		generation:   gen,
		stream:       b.Stream,
		includeUsage: b.StreamOptions != nil && b.StreamOptions.IncludeUsage,
		created:      time.Now().Unix(),
		delivered:    sha256.New(),
		organisation: resumeDigestOf(gen.contract.Organisation),
		request:      resumeDigestOf(gen.query.Model, gen.prompt, strconv.Itoa(gen.limit)),
		echoedText:   b.Delivered,
		signer:       newResumeSigner(g.options.ResumeKey),
	}
}

// resume continues the answer at the point that a resume token names. An empty token starts
// at the beginning.
func (a *chatResponse) resume(token string) error {
	if token == "" {
		if a.echoedText != nil {
			return result.New(result.ResumeRejected, "zinnia_delivered needs the header Last-Event-ID").At("zinnia_delivered")
		}
		return nil
	}
	if !a.stream {
		return result.New(result.ResumeRejected, "only streams can be resumed").At("stream")
	}
	p, err := decodeResume(a.gateway.options.ResumeKey, token, time.Now())
	if err != nil {
		return err
	}
	if p.organisation != a.organisation || p.request != a.request {
		return result.New(result.ResumeRejected, "the token belongs to another request").At("header Last-Event-ID")
	}
	return a.resumeFrom(p)
}

// resumeFrom checks the text that the caller sent back against the token's digest and
// continues after it.
func (a *chatResponse) resumeFrom(p resumePoint) error {
	text := ""
	if a.echoedText != nil {
		text = *a.echoedText
	}
	a.delivered.Write([]byte(text))
	if truncatedSum(a.delivered) != p.delivered {
		return result.New(result.ResumeRejected, "the field must contain the text delivered so far").At("zinnia_delivered")
	}
	if int(p.offset) > a.generation.limit {
		return result.New(result.ResumeRejected, "the offset exceeds the limit on output tokens").At("header Last-Event-ID")
	}
	a.resumed = true
	a.outputTokens = int(p.offset)
	a.generation.assembly.received = a.outputTokens
	a.generation.text.WriteString(text)
	return nil
}

// emit delivers text to the caller; outputTokens is the number of output tokens up to and
// including it.
func (a *chatResponse) emit(text string, outputTokens int) error {
	if !a.started {
		a.started = true
		observeSince(a.gateway.metrics.firstToken, a.generation.call.arrived)
		a.startStream()
	}
	a.delivered.Write([]byte(text))
	a.outputTokens = outputTokens
	if !a.stream {
		return nil
	}
	return a.writeText(text)
}

// textChunkTail is the encoded end of a text chunk, after the text.
const textChunkTail = `},"finish_reason":null}]}`

// writeText sends an event with text. There is one for each chunk of the answer, so all
// parts of the event except the text are encoded only once.
func (a *chatResponse) writeText(text string) error {
	if a.textChunkHead == nil {
		empty := ""
		head, err := json.Marshal(a.newChunk(&chatDelta{Content: &empty}, nil))
		if err != nil {
			return result.Wrap(err, result.Internal, "cannot encode an event")
		}
		a.textChunkHead = bytes.TrimSuffix(head, []byte(`""`+textChunkTail))
	}
	encoded, err := json.Marshal(text)
	if err != nil {
		return result.Wrap(err, result.Internal, "cannot encode an event")
	}
	return a.writeEventParts(a.textChunkHead, encoded, []byte(textChunkTail))
}

// startStream sends the response header of a stream and the first event, which names the
// assistant's role.
func (a *chatResponse) startStream() {
	if !a.stream {
		return
	}
	h := a.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("X-Accel-Buffering", "no")
	a.w.WriteHeader(http.StatusOK)
	empty := ""
	_ = a.writeEvent(a.newChunk(&chatDelta{Role: "assistant", Content: &empty}, nil)) // a failed connection is reported by the next write
}

// newCompletion returns a response body or stream event without choices.
func (a *chatResponse) newCompletion(object string) chatCompletion {
	return chatCompletion{ID: "chatcmpl-" + a.generation.call.id, Object: object, Created: a.created, Model: a.generation.query.Model}
}

// newChunk returns a stream event with one choice.
func (a *chatResponse) newChunk(delta *chatDelta, finish *string) chatCompletion {
	c := a.newCompletion("chat.completion.chunk")
	c.Choices = []chatChoice{{Delta: delta, FinishReason: finish}}
	return c
}

// writeEvent encodes and sends an event, with a resume token for the position after it.
func (a *chatResponse) writeEvent(document any) error {
	encoded, err := json.Marshal(document)
	if err != nil {
		return result.Wrap(err, result.Internal, "cannot encode an event")
	}
	return a.writeEventParts(encoded)
}

// writeEventParts sends an event whose data is the concatenation of the encoded parts, with
// a resume token for the position after it.
func (a *chatResponse) writeEventParts(document ...[]byte) error {
	event := append(a.buffer[:0], "id: "...)
	event = a.signer.appendToken(event, resumePoint{
		expires:      time.Now().Add(settings.Millis(a.gateway.options.Settings.ResumeMillis)),
		offset:       uint32(max(0, a.outputTokens)),
		organisation: a.organisation,
		request:      a.request,
		delivered:    truncatedSum(a.delivered),
	})
	event = append(event, "\ndata: "...)
	for _, part := range document {
		event = append(event, part...)
	}
	event = append(event, "\n\n"...)
	a.buffer = event
	return a.write(event)
}

// writeDeadlineInterval is the least time between two extensions of the write deadline.
const writeDeadlineInterval = time.Second

// write sends part of a stream and flushes it.
func (a *chatResponse) write(piece []byte) error {
	if now := time.Now(); now.Sub(a.deadlineSetAt) >= writeDeadlineInterval {
		a.deadlineSetAt = now
		setWriteDeadline(a.w)
	}
	if _, err := a.w.Write(piece); err != nil {
		return result.Wrap(err, result.AnswerIncomplete, "the caller disconnected")
	}
	if err := a.control.Flush(); err != nil {
		return result.Wrap(err, result.AnswerIncomplete, "the caller disconnected")
	}
	return nil
}

// finish sends a complete answer, or the end of its stream.
func (a *chatResponse) finish() error {
	reason := finishReason(a.generation.finish)
	counts := &chatUsage{PromptTokens: a.generation.enginePromptTokens, CompletionTokens: a.generation.assembly.received}
	counts.TotalTokens = counts.PromptTokens + counts.CompletionTokens
	if !a.stream {
		text := a.generation.text.String()
		c := a.newCompletion("chat.completion")
		c.Choices = []chatChoice{{Message: &chatDelta{Role: "assistant", Content: &text}, FinishReason: &reason}}
		c.Usage = counts
		writeJSON(a.w, http.StatusOK, c)
		return nil
	}
	return answeredInStream(a.finishStream(reason, counts))
}

// finishStream sends the events that close a stream: finish reason, usage if requested,
// [DONE].
func (a *chatResponse) finishStream(reason string, counts *chatUsage) error {
	if !a.started {
		a.started = true
		a.startStream()
	}
	if err := a.writeEvent(a.newChunk(&chatDelta{}, &reason)); err != nil {
		return err
	}
	if a.includeUsage {
		c := a.newCompletion("chat.completion.chunk")
		c.Choices = []chatChoice{}
		c.Usage = counts
		if err := a.writeEvent(c); err != nil {
			return err
		}
	}
	return a.write([]byte("data: [DONE]\n\n"))
}

// fail ends an incomplete answer. If the stream has begun, fail sends an error event and no
// [DONE]; otherwise it returns the error, which is then sent as the response.
func (a *chatResponse) fail(err error) error {
	if !a.stream || !a.started {
		return err
	}
	e := result.Of(err)
	encoded, encodeErr := json.Marshal(newErrorBody(a.generation.call.id, e))
	if encodeErr != nil {
		return answeredInStream(err)
	}
	piece := append([]byte("event: error\ndata: "), encoded...)
	_ = a.write(append(piece, "\n\n"...)) // the caller may have disconnected
	return answeredInStream(err)
}

// answeredInStream marks an error that has been sent to the caller within a stream.
func answeredInStream(err error) error {
	if err == nil {
		return nil
	}
	return &streamedError{err}
}

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

// chatAnswer writes the answer to a chat request, whole or as a stream of
// server-sent events. Each event's id is a resume token: the caller sends the
// same request again, to any gateway, with the token as Last-Event-ID and the
// text it has so far in the field zinnia_delivered, and gets the rest. The
// text travels with the caller because gateways keep nothing and an engine
// that generates again need not give the same tokens; its digest in the token
// proves that it is what was delivered. Without the text the request is
// refused, unless nothing was delivered yet.
type chatAnswer struct {
	gateway      *Gateway
	w            http.ResponseWriter
	control      *http.ResponseController
	n            *generation
	stream       bool
	usage        bool
	created      int64
	began        bool
	have         int       // output tokens written, or on their way with the text
	delivered    hash.Hash // of the text delivered
	organisation resumeDigest
	request      resumeDigest
	echoed       *string
	resumed      bool
	signer       *resumeSigner
	head         []byte    // of a chunk with text, up to the text
	buffer       []byte    // of the event being written
	limited      time.Time // when the write deadline was last set
}

// Wire forms of answers.
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

// newChatAnswer prepares the answer to a request.
func newChatAnswer(g *Gateway, w http.ResponseWriter, n *generation, b *chatBody) *chatAnswer {
	return &chatAnswer{
		gateway:      g,
		w:            w,
		control:      http.NewResponseController(w),
		n:            n,
		stream:       b.Stream,
		usage:        b.StreamOptions != nil && b.StreamOptions.IncludeUsage,
		created:      time.Now().Unix(),
		delivered:    sha256.New(),
		organisation: resumeDigestOf(n.contract.Organisation),
		request:      resumeDigestOf(n.query.Model, n.prompt, strconv.Itoa(n.limit)),
		echoed:       b.Delivered,
		signer:       newResumeSigner(g.options.ResumeKey),
	}
}

// resume takes up an answer where a resume token says; an empty token starts
// from the beginning.
func (a *chatAnswer) resume(token string) error {
	if token == "" {
		if a.echoed != nil {
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

// resumeFrom checks the text that the caller sent back.
func (a *chatAnswer) resumeFrom(p resumePoint) error {
	text := ""
	if a.echoed != nil {
		text = *a.echoed
	}
	a.delivered.Write([]byte(text))
	if truncate(a.delivered) != p.delivered {
		return result.New(result.ResumeRejected, "the field must hold the text delivered so far").At("zinnia_delivered")
	}
	if int(p.offset) > a.n.limit {
		return result.New(result.ResumeRejected, "the offset exceeds the answer's bound").At("header Last-Event-ID")
	}
	a.resumed = true
	a.have = int(p.offset)
	a.n.assembly.have = a.have
	a.n.text.WriteString(text)
	return nil
}

// emit delivers text; have is the number of output tokens with it.
func (a *chatAnswer) emit(text string, have int) error {
	if !a.began {
		a.began = true
		since(a.gateway.metrics.firstToken, a.n.call.arrived)
		a.begin()
	}
	a.delivered.Write([]byte(text))
	a.have = have
	if !a.stream {
		return nil
	}
	return a.token(text)
}

// textTail ends a chunk with text.
const textTail = `},"finish_reason":null}]}`

// token sends an event with text, the one of which there are many: all but
// the text is encoded once.
func (a *chatAnswer) token(text string) error {
	if a.head == nil {
		empty := ""
		head, err := json.Marshal(a.chunk(&chatDelta{Content: &empty}, nil))
		if err != nil {
			return result.Wrap(err, result.Internal, "cannot encode an event")
		}
		a.head = bytes.TrimSuffix(head, []byte(`""`+textTail))
	}
	encoded, err := json.Marshal(text)
	if err != nil {
		return result.Wrap(err, result.Internal, "cannot encode an event")
	}
	return a.identified(a.head, encoded, []byte(textTail))
}

// begin sends the head of a stream and the event that names the role.
func (a *chatAnswer) begin() {
	if !a.stream {
		return
	}
	h := a.w.Header()
	h.Set("Content-Type", "text/event-stream")
	h.Set("Cache-Control", "no-store")
	h.Set("X-Accel-Buffering", "no")
	a.w.WriteHeader(http.StatusOK)
	empty := ""
	_ = a.event(a.chunk(&chatDelta{Role: "assistant", Content: &empty}, nil)) // the next event fails likewise
}

// completion returns the head of an answer.
func (a *chatAnswer) completion(object string) chatCompletion {
	return chatCompletion{ID: "chatcmpl-" + a.n.call.id, Object: object, Created: a.created, Model: a.n.query.Model}
}

// chunk returns an event of a stream.
func (a *chatAnswer) chunk(delta *chatDelta, finish *string) chatCompletion {
	c := a.completion("chat.completion.chunk")
	c.Choices = []chatChoice{{Delta: delta, FinishReason: finish}}
	return c
}

// event writes an event with the resume token of the point after it.
func (a *chatAnswer) event(document any) error {
	encoded, err := json.Marshal(document)
	if err != nil {
		return result.Wrap(err, result.Internal, "cannot encode an event")
	}
	return a.identified(encoded)
}

// identified writes an event that holds the document's parts, with the resume
// token of the point after it.
func (a *chatAnswer) identified(document ...[]byte) error {
	event := append(a.buffer[:0], "id: "...)
	event = a.signer.appendToken(event, resumePoint{
		expires:      time.Now().Add(settings.Millis(a.gateway.options.Settings.ResumeMillis)),
		offset:       uint32(max(0, a.have)),
		organisation: a.organisation,
		request:      a.request,
		delivered:    truncate(a.delivered),
	})
	event = append(event, "\ndata: "...)
	for _, part := range document {
		event = append(event, part...)
	}
	event = append(event, "\n\n"...)
	a.buffer = event
	return a.write(event)
}

// limitInterval is the time after which a write deadline is set anew.
const limitInterval = time.Second

// write sends a piece of a stream at once.
func (a *chatAnswer) write(piece []byte) error {
	if now := time.Now(); now.Sub(a.limited) >= limitInterval {
		a.limited = now
		limitWrite(a.w)
	}
	if _, err := a.w.Write(piece); err != nil {
		return result.Wrap(err, result.AnswerIncomplete, "the caller went away")
	}
	if err := a.control.Flush(); err != nil {
		return result.Wrap(err, result.AnswerIncomplete, "the caller went away")
	}
	return nil
}

// end ends a whole answer.
func (a *chatAnswer) end() error {
	reason := finishReason(a.n.finish)
	counts := &chatUsage{PromptTokens: a.n.prompted, CompletionTokens: a.n.assembly.have}
	counts.TotalTokens = counts.PromptTokens + counts.CompletionTokens
	if !a.stream {
		text := a.n.text.String()
		c := a.completion("chat.completion")
		c.Choices = []chatChoice{{Message: &chatDelta{Role: "assistant", Content: &text}, FinishReason: &reason}}
		c.Usage = counts
		writeJSON(a.w, http.StatusOK, c)
		return nil
	}
	return told(a.endStream(reason, counts))
}

// endStream sends the events that close a stream.
func (a *chatAnswer) endStream(reason string, counts *chatUsage) error {
	if !a.began {
		a.began = true
		a.begin()
	}
	if err := a.event(a.chunk(&chatDelta{}, &reason)); err != nil {
		return err
	}
	if a.usage {
		c := a.completion("chat.completion.chunk")
		c.Choices = []chatChoice{}
		c.Usage = counts
		if err := a.event(c); err != nil {
			return err
		}
	}
	return a.write([]byte("data: [DONE]\n\n"))
}

// fail ends an answer that is not whole: a stream that has begun with an
// error event and without [DONE], anything else with an error alone.
func (a *chatAnswer) fail(err error) error {
	if !a.stream || !a.began {
		return err
	}
	e := result.Of(err)
	encoded, encodeErr := json.Marshal(bodyOf(a.n.call.id, e))
	if encodeErr != nil {
		return told(err)
	}
	piece := append([]byte("event: error\ndata: "), encoded...)
	_ = a.write(append(piece, "\n\n"...)) // a caller that is gone cannot be told
	return told(err)
}

// told marks an error that was answered within a stream.
func told(err error) error {
	if err == nil {
		return nil
	}
	return &toldError{err}
}

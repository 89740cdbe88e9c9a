package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"zinniapin/control"
	"zinniapin/internal/oncehttp"
	"zinniapin/internal/standin/faulty"
	"zinniapin/internal/standin/otherhost"
	"zinniapin/target"
	"zinniapin/target/httpengine"
)

// attemptMark stands for the id of the attempt of a request to an engine, and has its length.
const attemptMark = "ATTEMPT------------------------------------"

// replaceAttempt puts the id of a request's attempt in the place of attemptMark.
func replaceAttempt(text string, r *http.Request) string {
	var body httpengine.Generate
	if json.NewDecoder(r.Body).Decode(&body) != nil || len(body.Attempt) != len(attemptMark) {
		return text // requests to services have no attempt
	}
	return strings.ReplaceAll(text, attemptMark, body.Attempt)
}

// newSequence returns a sequence of targets.
func newSequence(sound string, answers ...faulty.Answer) *faulty.Sequence {
	return &faulty.Sequence{
		Answers: answers, Sound: func(*http.Request) string { return sound }, Replace: replaceAttempt,
		Ignores: func(r *http.Request) bool { return r.Method == http.MethodDelete }, // cancels an attempt
	}
}

// ways are the ways to a target.
var ways = map[string]bool{"own links": false, "another host": true}

// newSequenceGateway returns a gateway whose services and engines play a sequence, over its own links or through another
// host.
func newSequenceGateway(t *testing.T, throughAnotherHost bool, s *faulty.Sequence) *testGateway {
	t.Helper()
	server := faulty.Start(s.Serve)
	t.Cleanup(server.Close)
	dial := oncehttp.Dial((&net.Dialer{}).DialContext)
	if throughAnotherHost {
		through, err := otherhost.Start(server.Address)
		if err != nil {
			t.Fatal(err)
		}
		dial = func(ctx context.Context, _, _ string) (net.Conn, error) { return through(ctx) }
	}
	engines := httpengine.New(httpengine.Options{Dial: dial})
	tg := newTestGateway(t, engines)
	tg.g.options.Services = &HTTPServices{oncehttp.New(oncehttp.Options{Dial: dial, Retires: mayRefuse})}
	tg.g.options.Refuses = func(context.Context, target.Target) bool { return false }
	tg.g.crashes = newCrashGuard(tg.g.options.Refuses, &tg.g.log)
	var view []control.TargetState
	for i := range maxAttempts {
		view = append(view, liveTarget(fmt.Sprint("desk", i), target.Service, "desk", server.Address), liveTarget(fmt.Sprint("e", i), target.Engine, "p", server.Address))
	}
	tg.g.Observe(view)
	return tg
}

// serviceBody is the whole answer of a service.
const serviceBody = "0123456789"

// failedCalls returns the answers of so many tries of a call before one that matters.
func failedCalls(n int) []faulty.Answer {
	return []faulty.Answer{
		{Name: "breaks off", Text: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 9\r\n\r\ntrouble"},
		{Name: "refuses", Text: "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nZinnia-Not-Run: true\r\nContent-Length: 0\r\n\r\n"},
		{Name: "closes"},
	}[:n]
}

// checkService fails the test unless a caller got the whole answer of a service, or a failure of the gateway.
func checkService(t *testing.T, response *http.Response, body string) {
	t.Helper()
	whole := response.StatusCode == http.StatusOK && body == serviceBody
	if !whole && (response.StatusCode < 500 || response.StatusCode > 599 || errorOf(body).Code == "") {
		t.Errorf("status %d, body %q", response.StatusCode, body)
	}
}

// Guards against a service that stops inside the head or the body of its answer, or sends a malformed one, whose part is taken
// for the whole answer (MIXED), whichever try it is.
func TestNoTryPassesOnAPartOfAServicesAnswer(t *testing.T) {
	sound := faulty.Framed("200 OK", "Connection: close\r\n", serviceBody)[faulty.ByLength]
	faults := append(faulty.CutHeads("", serviceBody), append(faulty.CutBodies("", serviceBody), faulty.Malformed("", serviceBody)...)...)
	for way, through := range ways {
		for before := range 4 {
			played := faults
			if before > 0 {
				played = faulty.Some(faults, before)
			}
			t.Run(fmt.Sprintf("%s, after %d tries", way, before), func(t *testing.T) {
				for _, fault := range played {
					t.Run(fault.Name, func(t *testing.T) {
						t.Parallel()
						s := newSequence(sound, append(failedCalls(before), fault)...)
						tg := newSequenceGateway(t, through, s)
						response, body := tg.send("POST", "/v1/services/desk/drafts", testKey, deposit)
						checkService(t, response, body)
						if asked := int(s.Asked.Load()); asked <= before {
							t.Errorf("%d targets were asked: status %d, body %q", asked, response.StatusCode, body)
						}
					})
				}
			})
		}
	}
}

// Guards against a part of a service's answer that is taken for the whole when it answers a long upload at once, and ends the
// connection while the upload is being written (MIXED), whichever try it is.
func TestNoTryPassesOnAServicesAnswerThatEndsDuringTheUpload(t *testing.T) {
	upload := strings.Repeat("p", maxBodyBytes-1)
	sound := faulty.Framed("200 OK", "Connection: close\r\n", serviceBody)[faulty.ByLength]
	for way, through := range ways {
		for before := range 3 {
			for name, end := range faulty.Ends {
				for framing, text := range faulty.Framed("200 OK", "", serviceBody) {
					for _, less := range []int{0, 1, 7} {
						if less == 0 && framing != faulty.ByClose {
							continue // whole by its length or its last chunk
						}
						t.Run(fmt.Sprintf("%s, after %d tries, %s, %s, %d bytes less", way, before, name, framing, less), func(t *testing.T) {
							s := newSequence(sound, append(failedCalls(before), faulty.Answer{Text: text[:len(text)-less], Early: true, End: end})...)
							response, body := newSequenceGateway(t, through, s).send("POST", "/v1/services/desk/drafts", testKey, upload)
							checkService(t, response, body)
						})
					}
				}
			}
		}
	}
}

// engineLine returns a line of an engine's answer, which is the last one if done is set.
func engineLine(offset int, text string, done bool) string {
	end := ""
	if done {
		end = fmt.Sprintf(`,"done":true,"finish":"stop","output_tokens":%d`, offset+1)
	}
	return fmt.Sprintf(`{"attempt":"`+attemptMark+`","offset":%d,"tokens":1,"text":%q%s}`, offset, text, end) + "\n"
}

// notAnAnswer returns what an engine in trouble sends in place of an answer that goes on.
func notAnAnswer() []faulty.Answer {
	var all []faulty.Answer
	texts := []string{"", "trouble", "trouble\n\n", "Internal Server Error\n\nat line 1\n\n", "<html>\n\n<h1>502 Bad Gateway</h1>\n\n</html>\n\n", `{"error":"trouble"}` + "\n", "null\n", "[]\n", "7\n", "data: trouble\n\n",
		"HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\ntrouble\n\n", `{"attempt":"` + attemptMark + `","offset":1,"tokens":1,"text":"trou`, `{"attempt":"other","offset":1,"tokens":1,"text":"trouble","done":true}` + "\n",
		`{"attempt":"` + attemptMark + `","offset":7,"tokens":1,"text":"trouble","done":true}` + "\n"}
	for _, status := range []string{"200 OK", "206 Partial Content", "302 Found", "404 Not Found", "429 Too Many Requests", "500 Internal Server Error", "503 Service Unavailable", "599 Trouble"} {
		for i, text := range texts {
			for _, framing := range faulty.Framings {
				all = append(all, faulty.Answer{Name: fmt.Sprintf("%s, %s, %d: %.20q", status, framing, i, text), Text: faulty.Framed(status, "", text)[framing]})
			}
		}
	}
	return all
}

// checkEvents fails the test unless a caller's stream holds only events, whose text is the beginning of the answer, and ends
// either with the whole answer or visibly without.
func checkEvents(t *testing.T, response *http.Response, body, whole string) {
	t.Helper()
	if response.StatusCode != http.StatusOK {
		if response.StatusCode < 500 || response.StatusCode > 599 || errorOf(body).Code == "" {
			t.Errorf("status %d, body %q", response.StatusCode, body)
		}
		return
	}
	failed, done := false, false
	for block := range strings.SplitSeq(strings.TrimSuffix(body, "\n\n"), "\n\n") {
		for line := range strings.Lines(block + "\n") {
			name, value, found := strings.Cut(strings.TrimSuffix(line, "\n"), ": ")
			switch {
			case found && name == "id":
			case found && name == "event" && value == "error":
				failed = true
			case found && name == "data" && value == "[DONE]":
				done = true
			case found && name == "data" && json.Valid([]byte(value)):
			default:
				t.Errorf("line %q in %q", line, body)
			}
		}
	}
	text := streamText(parseEvents(body))
	if !strings.HasPrefix(whole, text) || done == failed || done && text != whole || !strings.HasSuffix(body, "\n\n") {
		t.Errorf("text %q, done %v, failed %v: %q", text, done, failed, body)
	}
}

// Guards against the text, or the head, of an engine's error in the middle of a caller's stream, and against a stream that
// ends as if it were complete, when one engine has broken off and the next one answers with an error, stops inside its head
// or sends a malformed answer (ORDER, MIXED), whichever try it is.
func TestNoTryPutsAnythingButTheAnswerIntoAStream(t *testing.T) {
	const whole = "x y z "
	first, second := engineLine(0, "x ", false), engineLine(1, "y ", false)
	rest := second + engineLine(2, "z ", true)
	const last = "Connection: close\r\n"
	breaks := []faulty.Answer{
		{Name: "chunks, inside a line", Text: strings.TrimSuffix(faulty.Framed("200 OK", last, first+second[:20])[faulty.ByChunks], "\r\n0\r\n\r\n")},
		{Name: "chunks, inside a line, with the last chunk", Text: faulty.Framed("200 OK", last, first+second[:20])[faulty.ByChunks]},
		{Name: "chunks, after a line", Text: strings.TrimSuffix(faulty.Framed("200 OK", last, first)[faulty.ByChunks], "0\r\n\r\n")},
		{Name: "close, inside a line", Text: faulty.Framed("200 OK", last, first+second[:20])[faulty.ByClose]},
		{Name: "close, reset", Text: faulty.Framed("200 OK", last, first)[faulty.ByClose], End: faulty.Reset},
	}
	faults := append(append(faulty.CutHeads("", second), append(faulty.CutBodies("", second), faulty.Malformed("", second)...)...), notAnAnswer()...)
	for way, through := range ways {
		for i, begun := range breaks {
			for before := range 2 {
				played := faults
				if i+before > 0 {
					played = faulty.Some(faults, 2*i+before)
				}
				t.Run(fmt.Sprintf("%s, %s, %d more tries", way, begun.Name, before), func(t *testing.T) {
					for _, fault := range played {
						t.Run(fault.Name, func(t *testing.T) {
							t.Parallel()
							answers := append(append([]faulty.Answer{begun}, failedCalls(1)[:before]...), fault)
							s := newSequence(faulty.Framed("200 OK", last, rest)[faulty.ByLength], answers...)
							response, body := newSequenceGateway(t, through, s).chat("hello", true)
							checkEvents(t, response, body, whole)
							if int(s.Asked.Load()) > len(answers) && !strings.Contains(body, "[DONE]") {
								t.Errorf("a sound engine was asked: %q", body)
							}
						})
					}
				})
			}
		}
	}
}

// The same for an answer that is not streamed, and for a stream that has not begun.
func TestNoAnswerOfAnEngineBeginsWithAnythingElse(t *testing.T) {
	const whole = "x y z "
	body := engineLine(0, "x ", false) + engineLine(1, "y ", false) + engineLine(2, "z ", true)
	sound := faulty.Framed("200 OK", "Connection: close\r\n", body)[faulty.ByLength]
	faults := append(append(faulty.CutHeads("", engineLine(0, "x ", false)), append(faulty.CutBodies("", engineLine(0, "x ", false)), faulty.Malformed("", engineLine(0, "x ", false))...)...), notAnAnswer()...)
	for way, through := range ways {
		for before := range 2 {
			played := faults
			if before > 0 || through {
				played = faulty.Some(faults, before)
			}
			for _, stream := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, after %d tries, stream %v", way, before, stream), func(t *testing.T) {
					for _, fault := range played {
						t.Run(fault.Name, func(t *testing.T) {
							t.Parallel()
							s := newSequence(sound, append(failedCalls(before), fault)...)
							response, got := newSequenceGateway(t, through, s).chat("hello", stream)
							if int(s.Asked.Load()) > len(s.Answers) && (response.StatusCode != http.StatusOK || strings.Contains(got, "event: error")) {
								t.Errorf("a sound engine was asked: status %d, body %q", response.StatusCode, got)
							}
							if stream {
								checkEvents(t, response, got, whole)
								return
							}
							if response.StatusCode != http.StatusOK {
								checkService(t, response, got)
								return
							}
							var c chatCompletion
							if err := json.NewDecoder(bytes.NewReader([]byte(got))).Decode(&c); err != nil || *c.Choices[0].Message.Content != whole {
								t.Errorf("body %q, error %v", got, err)
							}
						})
					}
				})
			}
		}
	}
}

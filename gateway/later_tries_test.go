package gateway

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"zinniapin/control"
	"zinniapin/internal/oncehttp"
	"zinniapin/internal/standin/faulty"
	"zinniapin/link"
	"zinniapin/link/memlink"
	"zinniapin/machine"
	"zinniapin/target"
	"zinniapin/target/httpengine"
	"zinniapin/tunnel"
	"zinniapin/wire"
)

// attemptMark stands for the id of the attempt of a request to an engine, and has its length.
const attemptMark = "ATTEMPT------------------------------------"

// answer is what a target sends to one request and how it ends the connection; nil stands for closing it.
type answer struct {
	name, text string
	early      bool // it answers as soon as the head of the request has come
	end        func(*net.TCPConn)
}

// sequence plays targets of which the nth one that is tried gives the nth answer, and all later ones the sound one.
type sequence struct {
	answers []answer
	sound   string
	asked   atomic.Int32
}

// serve answers one request.
func (s *sequence) serve(c *net.TCPConn) {
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil || request.Method == http.MethodDelete { // the cancellation of an attempt
		return
	}
	n := int(s.asked.Add(1)) - 1
	a := answer{text: s.sound}
	if n < len(s.answers) {
		a = s.answers[n]
	}
	var body httpengine.Generate
	if !a.early {
		data, _ := io.ReadAll(request.Body)
		_ = json.Unmarshal(data, &body) // requests to services have no attempt
	}
	text := a.text
	if len(body.Attempt) == len(attemptMark) {
		text = strings.ReplaceAll(text, attemptMark, body.Attempt)
	}
	_, _ = io.WriteString(c, text) // the gateway may have left
	if a.early {
		time.Sleep(50 * time.Millisecond) // while the body is being written
	}
	if a.end != nil {
		a.end(c)
	}
}

// farHost serves requests for tunnels to a target.
type farHost struct {
	link.HandlerFunc
	server tunnel.Server
	target string // address
}

// Open implements link.StreamHandler.
func (f *farHost) Open(ctx context.Context, _ link.Link, request *wire.Envelope) (*wire.Envelope, func(net.Conn), error) {
	reply, serve := f.server.Open(ctx, request.GetTunnelRequest(), func(context.Context, *wire.TunnelRequest) (net.Conn, wire.TunnelReply_Outcome) {
		c, err := net.Dial("tcp", f.target)
		if err != nil {
			return nil, wire.TunnelReply_REFUSED
		}
		return c, wire.TunnelReply_CONNECTED
	})
	return reply, serve, nil
}

// dialThrough returns a function that connects to a target through another host.
func dialThrough(t *testing.T, address string) oncehttp.Dial {
	t.Helper()
	fabric := memlink.NewFabric()
	far := fabric.Network(machine.Process{Host: "far", Role: machine.Gateway})
	if _, _, err := far.Listen("far", &farHost{target: address}, func(link.Link) {}); err != nil {
		t.Fatal(err)
	}
	near := &tunnel.Client{Network: fabric.Network(machine.Process{Host: "near", Role: machine.Gateway})}
	return func(ctx context.Context, _, _ string) (net.Conn, error) {
		c, outcome, err := near.Open(ctx, "far", "", 0)
		if err == nil && outcome != wire.TunnelReply_CONNECTED {
			err = fmt.Errorf("outcome %v", outcome)
		}
		if err != nil {
			return nil, err
		}
		return c, nil
	}
}

// ways are the ways to a target.
var ways = map[string]bool{"own links": false, "another host": true}

// newSequenceGateway returns a gateway whose services and engines play a sequence, over its own links or through another
// host.
func newSequenceGateway(t *testing.T, throughAnotherHost bool, s *sequence) *testGateway {
	t.Helper()
	server := faulty.Start(s.serve)
	t.Cleanup(server.Close)
	dial := oncehttp.Dial((&net.Dialer{}).DialContext)
	if throughAnotherHost {
		dial = dialThrough(t, server.Address)
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

// framed returns a response in each framing: a length, chunks, and the end of the connection.
func framed(status, fields, body string) map[string]string {
	begin := "HTTP/1.1 " + status + "\r\n" + fields
	return map[string]string{
		"length": begin + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body,
		"chunks": begin + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		"close":  begin + "\r\n" + body,
	}
}

// reset makes the end of a connection a reset.
func reset(c *net.TCPConn) {
	time.Sleep(20 * time.Millisecond) // what was written arrives before it
	_ = c.SetLinger(0)
}

// cut returns answers that end at each place of their head and, where that can be told, of their body.
func cut(body string) []answer {
	var all []answer
	for name, text := range framed("200 OK", "", body) {
		begin := strings.Index(text, "\r\n\r\n") + 4
		for at := range len(text) {
			inHead := at < begin
			if inHead || name != "close" {
				all = append(all, answer{name: fmt.Sprintf("%s, cut at %d", name, at), text: text[:at]})
			}
			if inHead && at%4 == 0 || !inHead && name == "close" {
				all = append(all, answer{name: fmt.Sprintf("%s, reset at %d", name, at), text: text[:at], end: reset})
			}
		}
	}
	return all
}

// malformed returns the malformed answers of package faulty.
func malformed(body string) []answer {
	var all []answer
	for _, r := range faulty.Responses("", body) {
		all = append(all, answer{name: r.Name, text: r.Bytes})
	}
	return all
}

// some returns every seventh answer of a list, others for each number.
func some(all []answer, number int) []answer {
	var chosen []answer
	for i := number % 7; i < len(all); i += 7 {
		chosen = append(chosen, all[i])
	}
	return chosen
}

// serviceBody is the whole answer of a service.
const serviceBody = "0123456789"

// failedCalls returns the answers of so many tries of a call before one that matters.
func failedCalls(n int) []answer {
	return []answer{
		{name: "breaks off", text: "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 9\r\n\r\ntrouble"},
		{name: "refuses", text: "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nZinnia-Not-Run: true\r\nContent-Length: 0\r\n\r\n"},
		{name: "closes"},
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

// Guards against a service that stops inside the head or the body of its answer, or sends a malformed one, whose part passes
// for the whole answer (MIXED), whichever try it is.
func TestNoTryPassesOnAPartOfAServicesAnswer(t *testing.T) {
	sound := framed("200 OK", "Connection: close\r\n", serviceBody)["length"]
	faults := append(cut(serviceBody), malformed(serviceBody)...)
	for way, through := range ways {
		for before := range 4 {
			played := faults
			if before > 0 {
				played = some(faults, before)
			}
			t.Run(fmt.Sprintf("%s, after %d tries", way, before), func(t *testing.T) {
				for _, fault := range played {
					t.Run(fault.name, func(t *testing.T) {
						t.Parallel()
						s := &sequence{answers: append(failedCalls(before), fault), sound: sound}
						tg := newSequenceGateway(t, through, s)
						response, body := tg.send("POST", "/v1/services/desk/drafts", testKey, deposit)
						checkService(t, response, body)
						if asked := int(s.asked.Load()); asked <= before {
							t.Errorf("%d targets were asked: status %d, body %q", asked, response.StatusCode, body)
						}
					})
				}
			})
		}
	}
}

// Guards against a part of a service's answer that passes for the whole when it answers a long upload at once, and ends the
// connection while the upload is being written (MIXED), whichever try it is.
func TestNoTryPassesOnAServicesAnswerThatEndsDuringTheUpload(t *testing.T) {
	upload := strings.Repeat("p", maxBodyBytes-1)
	sound := framed("200 OK", "Connection: close\r\n", serviceBody)["length"]
	for way, through := range ways {
		for before := range 3 {
			for name, end := range faulty.Ends {
				for framing, text := range framed("200 OK", "", serviceBody) {
					for _, less := range []int{0, 1, 7} {
						if less == 0 && framing != "close" {
							continue // whole by its length or its last chunk
						}
						t.Run(fmt.Sprintf("%s, after %d tries, %s, %s, %d bytes less", way, before, name, framing, less), func(t *testing.T) {
							s := &sequence{answers: append(failedCalls(before), answer{text: text[:len(text)-less], early: true, end: end}), sound: sound}
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
func notAnAnswer() []answer {
	var all []answer
	texts := []string{"", "trouble", "trouble\n\n", "Internal Server Error\n\nat line 1\n\n", "<html>\n\n<h1>502 Bad Gateway</h1>\n\n</html>\n\n", `{"error":"trouble"}` + "\n", "null\n", "[]\n", "7\n", "data: trouble\n\n",
		"HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\ntrouble\n\n", `{"attempt":"` + attemptMark + `","offset":1,"tokens":1,"text":"trou`, `{"attempt":"other","offset":1,"tokens":1,"text":"trouble","done":true}` + "\n",
		`{"attempt":"` + attemptMark + `","offset":7,"tokens":1,"text":"trouble","done":true}` + "\n"}
	for _, status := range []string{"200 OK", "206 Partial Content", "302 Found", "404 Not Found", "429 Too Many Requests", "500 Internal Server Error", "503 Service Unavailable", "599 Trouble"} {
		for i, text := range texts {
			for framing, whole := range framed(status, "", text) {
				all = append(all, answer{name: fmt.Sprintf("%s, %s, %d: %.20q", status, framing, i, text), text: whole})
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
	breaks := []answer{
		{name: "chunks, inside a line", text: strings.TrimSuffix(framed("200 OK", last, first+second[:20])["chunks"], "\r\n0\r\n\r\n")},
		{name: "chunks, inside a line, with the last chunk", text: framed("200 OK", last, first+second[:20])["chunks"]},
		{name: "chunks, after a line", text: strings.TrimSuffix(framed("200 OK", last, first)["chunks"], "0\r\n\r\n")},
		{name: "close, inside a line", text: framed("200 OK", last, first+second[:20])["close"]},
		{name: "close, reset", text: framed("200 OK", last, first)["close"], end: reset},
	}
	faults := append(append(cut(second), malformed(second)...), notAnAnswer()...)
	for way, through := range ways {
		for i, begun := range breaks {
			for before := range 2 {
				played := faults
				if i+before > 0 {
					played = some(faults, 2*i+before)
				}
				t.Run(fmt.Sprintf("%s, %s, %d more tries", way, begun.name, before), func(t *testing.T) {
					for _, fault := range played {
						t.Run(fault.name, func(t *testing.T) {
							t.Parallel()
							answers := append(append([]answer{begun}, failedCalls(1)[:before]...), fault)
							s := &sequence{answers: answers, sound: framed("200 OK", last, rest)["length"]}
							response, body := newSequenceGateway(t, through, s).chat("hello", true)
							checkEvents(t, response, body, whole)
							if int(s.asked.Load()) > len(answers) && !strings.Contains(body, "[DONE]") {
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
	sound := framed("200 OK", "Connection: close\r\n", body)["length"]
	faults := append(append(cut(engineLine(0, "x ", false)), malformed(engineLine(0, "x ", false))...), notAnAnswer()...)
	for way, through := range ways {
		for before := range 2 {
			played := faults
			if before > 0 || through {
				played = some(faults, before)
			}
			for _, stream := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, after %d tries, stream %v", way, before, stream), func(t *testing.T) {
					for _, fault := range played {
						t.Run(fault.name, func(t *testing.T) {
							t.Parallel()
							s := &sequence{answers: append(failedCalls(before), fault), sound: sound}
							response, got := newSequenceGateway(t, through, s).chat("hello", stream)
							if int(s.asked.Load()) > len(s.answers) && (response.StatusCode != http.StatusOK || strings.Contains(got, "event: error")) {
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

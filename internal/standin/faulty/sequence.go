package faulty

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

// Answer is what a server does with one request of a sequence.
type Answer struct {
	Name string
	// Text is what it sends; ID in it stands for the id of the request.
	Text string
	// Early makes it answer as soon as the head of the request has come, while the body is being written.
	Early bool
	// End ends the connection; nil stands for closing it.
	End func(*net.TCPConn)
}

// Sequence plays servers of which the nth one that is tried gives the nth answer, and all later ones a sound one. Each
// connection carries one request.
type Sequence struct {
	Answers []Answer
	// Sound returns the sound answer to a request.
	Sound func(r *http.Request) string
	// Replace replaces in an answer what depends on the request, whose body may be read; nil replaces nothing.
	Replace func(text string, r *http.Request) string
	// Ignores tells which requests are no tries; nil stands for none.
	Ignores func(r *http.Request) bool
	// Asked counts the tries.
	Asked atomic.Int32
}

// Serve is the server's function.
func (s *Sequence) Serve(c *net.TCPConn) {
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil || s.Ignores != nil && s.Ignores(request) {
		return
	}
	n := int(s.Asked.Add(1)) - 1
	a := Answer{Text: s.Sound(request)}
	if n < len(s.Answers) {
		a = s.Answers[n]
	}
	if !a.Early {
		body, _ := io.ReadAll(request.Body) // the client may have left
		request.Body = io.NopCloser(bytes.NewReader(body))
		if s.Replace != nil {
			a.Text = s.Replace(a.Text, request)
		}
	}
	respond(c, a.Text, request)
	if a.Early {
		time.Sleep(settleTime)
	}
	if a.End != nil {
		a.End(c)
	}
}

// resetDelay is the time for bytes to arrive before a reset, which drops what has not been read.
const resetDelay = 20 * time.Millisecond

// Reset ends a connection by a reset.
func Reset(c *net.TCPConn) {
	time.Sleep(resetDelay)
	_ = c.SetLinger(0)
}

// Framings of responses. A body that ends with the connection has neither length nor chunks.
const (
	ByLength = "length"
	ByChunks = "chunks"
	ByClose  = "close"
)

// Framings are all framings, in a fixed order.
var Framings = []string{ByLength, ByChunks, ByClose}

// Framed returns a response with some fields and a body in each framing.
func Framed(status, fields, body string) map[string]string {
	begin := "HTTP/1.1 " + status + "\r\n" + fields
	return map[string]string{
		ByLength: begin + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body,
		ByChunks: begin + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		ByClose:  begin + "\r\n" + body,
	}
}

// CutHeads returns responses that end at each place of their head, by a close and at every fourth place by a reset.
func CutHeads(fields, body string) []Answer {
	var all []Answer
	for _, framing := range Framings {
		text := Framed("200 OK", fields, body)[framing]
		for at := range headBytes(text) {
			all = append(all, Answer{Name: fmt.Sprintf("%s, head cut at %d", framing, at), Text: text[:at]})
			if at%4 == 0 {
				all = append(all, Answer{Name: fmt.Sprintf("%s, head reset at %d", framing, at), Text: text[:at], End: Reset})
			}
		}
	}
	return all
}

// CutBodies returns responses that end at each place of their body. One that ends with its connection is told only by a
// reset.
func CutBodies(fields, body string) []Answer {
	var all []Answer
	for _, framing := range Framings {
		text := Framed("200 OK", fields, body)[framing]
		for at := headBytes(text); at < len(text); at++ {
			place := at - headBytes(text)
			if framing != ByClose {
				all = append(all, Answer{Name: fmt.Sprintf("%s, body cut at %d", framing, place), Text: text[:at]})
			}
			if framing == ByClose || place%4 == 0 {
				all = append(all, Answer{Name: fmt.Sprintf("%s, body reset at %d", framing, place), Text: text[:at], End: Reset})
			}
		}
	}
	return all
}

// headBytes returns the length of the head of a response.
func headBytes(response string) int { return strings.Index(response, "\r\n\r\n") + len("\r\n\r\n") }

// Malformed returns the malformed responses as answers of a sequence.
func Malformed(fields, body string) []Answer {
	var all []Answer
	for _, r := range Responses(fields, body) {
		all = append(all, Answer{Name: r.Name, Text: r.Bytes})
	}
	return all
}

// Some returns every seventh answer of a list, others for each number.
func Some(all []Answer, number int) []Answer {
	const step = 7
	var chosen []Answer
	for i := number % step; i < len(all); i += step {
		chosen = append(chosen, all[i])
	}
	return chosen
}

package forward_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"zinniapin/detour"
	"zinniapin/forward"
	"zinniapin/internal/standin/faulty"
	"zinniapin/internal/standin/prepared"
	"zinniapin/link"
	"zinniapin/link/memlink"
	"zinniapin/machine"
	"zinniapin/reach"
	"zinniapin/roster"
	"zinniapin/target"
	"zinniapin/tunnel"
	"zinniapin/upstream"
	"zinniapin/wire"
)

// answer is what a target does with one request of a sequence.
type answer struct {
	name string
	// text is what it sends, in which ID stands for the id of the request. It is ignored if sound is set.
	text string
	// sound makes it send the whole answer, from the event on that the request asks for.
	sound bool
	// early makes it answer as soon as the head of the request has come.
	early bool
	// end ends the connection; nil stands for closing it.
	end func(*net.TCPConn)
}

const (
	// sequenceEvents is the number of events of a whole stream.
	sequenceEvents = 4
	// sequenceBody is the whole answer of a plain service.
	sequenceBody = "0123456789"
)

// sequence plays targets of which the nth one that is tried gives the nth answer, and all later ones a sound one.
type sequence struct {
	answers []answer
	asked   atomic.Int32
}

// serve answers one request.
func (s *sequence) serve(c *net.TCPConn) {
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	n := int(s.asked.Add(1)) - 1
	a := answer{sound: true}
	if n < len(s.answers) {
		a = s.answers[n]
	}
	if !a.early {
		_, _ = io.Copy(io.Discard, request.Body)
	}
	text := a.text
	if a.sound {
		text = soundAnswer(request)
	}
	_, _ = io.WriteString(c, strings.ReplaceAll(text, "ID", request.Header.Get("X-Request-Id"))) // the host may have left
	if a.early {
		time.Sleep(50 * time.Millisecond) // while the body is being written
	}
	if a.end != nil {
		a.end(c)
	}
}

// soundAnswer returns the whole answer to a request.
func soundAnswer(request *http.Request) string {
	if request.Header.Get("X-Token-Count") == "" {
		return "HTTP/1.1" + head + "Connection: close\r\n" + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(sequenceBody)) + sequenceBody
	}
	var events strings.Builder
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	for i := last + 1; i <= sequenceEvents; i++ {
		events.WriteString(prepared.Event(i, ""))
	}
	return "HTTP/1.1" + head + "Content-Type: text/event-stream\r\nConnection: close\r\n" + fmt.Sprintf("Content-Length: %d\r\n\r\n", events.Len()) + events.String()
}

// otherHost connects to targets for a host that has lost its own links to them.
type otherHost struct{ client *tunnel.Client }

// Hosts implements detour.Hosts.
func (o *otherHost) Hosts(string) ([]reach.Host, string, string) {
	return []reach.Host{{Address: "far", Zone: "here"}}, "here", "here"
}

// Open implements detour.Hosts.
func (o *otherHost) Open(ctx context.Context, host, address string) (net.Conn, detour.Outcome) {
	c, outcome, err := o.client.Open(ctx, host, "", 0)
	if err != nil || outcome != wire.TunnelReply_CONNECTED {
		return nil, detour.NoAnswer
	}
	return c, detour.Connected
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

// lostLinks counts the addresses that were given out at which nothing listens.
var lostLinks atomic.Uint32

// playSequence gives a handler targets that play a sequence, over its own links or through another host.
func (h *testHandler) playSequence(s *sequence, service, stage string, throughAnotherHost bool) {
	server := faulty.Start(s.serve)
	h.t.Cleanup(server.Close)
	address := server.Address
	if throughAnotherHost {
		fabric := memlink.NewFabric()
		far := fabric.Network(machine.Process{Host: "far", Role: machine.Node})
		if _, _, err := far.Listen("far", &farHost{target: server.Address}, func(link.Link) {}); err != nil {
			h.t.Error(err)
		}
		near := &tunnel.Client{Network: fabric.Network(machine.Process{Host: "near", Role: machine.Node})}
		h.handler.Pool = upstream.NewPool(detour.New(detour.Options{Hosts: &otherHost{near}}))
		h.handler.Crashes = forward.NewCrashGuard(h.handler.Pool, time.Now, h.handler.Log)
		n := lostLinks.Add(1)
		address = fmt.Sprintf("127.201.%d.%d:1", n/250%250, 1+n%250)
	}
	for i := range sequenceTries {
		h.targets = append(h.targets, roster.Target{ID: target.ID(fmt.Sprint("t-", i)), Service: service, Address: address, Zone: "here", Slots: 8, Role: target.Role(stage)})
	}
	h.handler.Planner.SetTargets(time.Now(), h.targets)
}

// sequenceTries is the number of attempts of a request in tests of sequences.
const sequenceTries = 4

// callSequence sends a request to targets that play a sequence, and returns what the caller got and how many were asked.
func callSequence(t *testing.T, stream, throughAnotherHost bool, body string, answers ...answer) (callResult, int) {
	service, path, stage, headers := "desk", "/read/a", "", []string(nil)
	if stream {
		service, path, stage, headers = "model", "/draft/a", "decode", engineHeaders
	}
	h := newTestHandler(t, service)
	h.maxBody.Store(faulty.UploadBytes)
	c := configuration()
	for i := range c.Routes {
		c.Routes[i].Attempts = sequenceTries
	}
	h.setTable(c)
	s := &sequence{answers: answers}
	h.playSequence(s, service, stage, throughAnotherHost)
	return h.call(http.MethodPost, path, body, headers...), int(s.asked.Load())
}

// wholeEvents returns whether a body is the beginning of the stream of a sequence, in whole events, and whether it is all of it.
func wholeEvents(body string) (beginning, all bool) {
	whole := expectedStream(sequenceEvents)
	for n := range sequenceEvents + 1 {
		if body == expectedStream(n) {
			return true, body == whole
		}
	}
	return false, false
}

// reset makes the end of a connection a reset.
func reset(c *net.TCPConn) {
	time.Sleep(20 * time.Millisecond) // what was written arrives before it
	_ = c.SetLinger(0)
}

// framed returns an answer with a body in each framing: a length, chunks, and the end of the connection.
func framed(status, fields, body string) map[string]string {
	begin := "HTTP/1.1 " + status + "\r\nX-Request-Id: ID\r\nX-Response-Signature: s\r\n" + fields
	return map[string]string{
		"length": begin + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body,
		"chunks": begin + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body),
		"close":  begin + "\r\n" + body,
	}
}

// cutHeads returns answers that end at each place of their head.
func cutHeads(body string) []answer {
	var all []answer
	for name, text := range framed("200 OK", "", body) {
		end := strings.Index(text, "\r\n\r\n") + 4
		for at := range end {
			all = append(all, answer{name: fmt.Sprintf("%s, head cut at %d", name, at), text: text[:at]})
			if at%4 == 0 {
				all = append(all, answer{name: fmt.Sprintf("%s, head reset at %d", name, at), text: text[:at], end: reset})
			}
		}
	}
	return all
}

// cutBodies returns answers whose body ends before its end, at each place. One that ends with its connection can only be
// told by a reset.
func cutBodies(fields, body string) []answer {
	var all []answer
	for name, text := range framed("200 OK", fields, body) {
		begin := strings.Index(text, "\r\n\r\n") + 4
		for at := begin; at < len(text); at++ {
			if name != "close" {
				all = append(all, answer{name: fmt.Sprintf("%s, body cut at %d", name, at-begin), text: text[:at]})
			}
			if name == "close" || at%4 == 0 {
				all = append(all, answer{name: fmt.Sprintf("%s, body reset at %d", name, at-begin), text: text[:at], end: reset})
			}
		}
	}
	return all
}

// malformed returns the malformed answers of package faulty that carry a body.
func malformed(body string) []answer {
	var all []answer
	for _, r := range faulty.Responses("X-Request-Id: ID\r\nX-Response-Signature: s\r\n", body) {
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

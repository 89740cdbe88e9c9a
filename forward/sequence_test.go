package forward_test

import (
	"context"
	"fmt"
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
	"zinniapin/internal/standin/otherhost"
	"zinniapin/internal/standin/prepared"
	"zinniapin/reach"
	"zinniapin/roster"
	"zinniapin/target"
	"zinniapin/upstream"
)

const (
	// sequenceTries is the number of attempts of a request in tests of sequences.
	sequenceTries = 4
	// sequenceEvents is the number of events of a whole stream.
	sequenceEvents = 4
	// sequenceBody is the whole answer of a plain service.
	sequenceBody = "0123456789"
	// sequenceFields are fields of each answer.
	sequenceFields = "X-Request-Id: ID\r\nX-Response-Signature: s\r\n"
	// lastRequest is a field of answers after which the host does not use the connection again.
	lastRequest = "Connection: close\r\n"
)

// framed returns an answer in each framing.
func framed(status, fields, body string) map[string]string {
	return faulty.Framed(status, sequenceFields+fields, body)
}

// soundAnswer returns the whole answer to a request, or what remains of its stream.
func soundAnswer(request *http.Request) string {
	if request.Header.Get("X-Token-Count") == "" {
		return framed("200 OK", lastRequest, sequenceBody)[faulty.ByLength]
	}
	var events strings.Builder
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	for i := last + 1; i <= sequenceEvents; i++ {
		events.WriteString(prepared.Event(i, ""))
	}
	return framed("200 OK", lastRequest+"Content-Type: text/event-stream\r\n", events.String())[faulty.ByLength]
}

// dialHosts is another host to which all targets are open.
type dialHosts func(context.Context) (net.Conn, error)

// Hosts implements detour.Hosts.
func (dialHosts) Hosts(string) ([]reach.Host, string, string) {
	return []reach.Host{{Address: "far", Zone: "here"}}, "here", "here"
}

// Open implements detour.Hosts.
func (d dialHosts) Open(ctx context.Context, _, _ string) (net.Conn, detour.Outcome) {
	c, err := d(ctx)
	if err != nil {
		return nil, detour.NoAnswer
	}
	return c, detour.Connected
}

// lostLinks counts the addresses that were given out at which nothing listens.
var lostLinks atomic.Uint32

// playSequence gives a handler targets that play a sequence, over its own links or through another host.
func (h *testHandler) playSequence(s *faulty.Sequence, service, stage string, throughAnotherHost bool) {
	server := faulty.Start(s.Serve)
	h.t.Cleanup(server.Close)
	address := server.Address
	if throughAnotherHost {
		dial, err := otherhost.Start(server.Address)
		if err != nil {
			h.t.Fatal(err)
		}
		h.handler.Pool = upstream.NewPool(detour.New(detour.Options{Hosts: dialHosts(dial)}))
		h.handler.Crashes = forward.NewCrashGuard(h.handler.Pool, time.Now, h.handler.Log)
		n := lostLinks.Add(1)
		address = fmt.Sprintf("127.201.%d.%d:1", n/250%250, 1+n%250)
	}
	for i := range sequenceTries {
		h.targets = append(h.targets, roster.Target{ID: target.ID(fmt.Sprint("t-", i)), Service: service, Address: address, Zone: "here", Slots: 8, Role: target.Role(stage)})
	}
	h.handler.Planner.SetTargets(time.Now(), h.targets)
}

// callSequence sends a request to targets that play a sequence, and returns what the caller got and how many were asked.
func callSequence(t *testing.T, stream, throughAnotherHost bool, body string, answers ...faulty.Answer) (callResult, int) {
	t.Helper()
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
	s := &faulty.Sequence{Answers: answers, Sound: soundAnswer}
	h.playSequence(s, service, stage, throughAnotherHost)
	return h.call(http.MethodPost, path, body, headers...), int(s.Asked.Load())
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

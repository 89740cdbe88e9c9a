package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime/debug"
	"runtime/metrics"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/internal/standin/prepared"
	"zinniapin/target"
)

// scriptedTarget answers each request with a script and ends its connection in a given way.
type scriptedTarget struct {
	listener net.Listener
	answer   string        // ID stands for the id of the request
	endless  string        // written over and over after the answer, until the caller disconnects
	reset    bool          // the connection is reset instead of closed
	hold     bool          // the connection stays open until the caller disconnects
	asked    *atomic.Int32 // counts the requests, unless nil
}

// startScripted puts a scripted target in the place of the target of a handler.
func (h *testHandler) startScripted(s *scriptedTarget) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = l.Close() })
	s.listener = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	h.targets[0].Address = l.Addr().String()
	h.handler.Planner.SetTargets(time.Now(), h.targets)
}

// serve answers one request.
func (s *scriptedTarget) serve(c net.Conn) {
	defer c.Close() //nolint:errcheck // a test
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	if s.asked != nil {
		s.asked.Add(1)
	}
	_, err = io.WriteString(c, strings.ReplaceAll(s.answer, "ID", request.Header.Get("X-Request-Id")))
	for block := strings.Repeat(s.endless, 1+4096/max(len(s.endless), 1)); s.endless != "" && err == nil; {
		_, err = io.WriteString(c, block)
	}
	if s.hold {
		_, _ = io.Copy(io.Discard, c)
	}
	if s.reset {
		time.Sleep(30 * time.Millisecond) // what was written arrives before the reset
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// head is the beginning of the head of every scripted answer.
const head = " 200 OK\r\nX-Request-Id: ID\r\nX-Response-Signature: s\r\n"

// ending is a way in which a target frames and ends an answer.
type ending struct {
	name     string
	target   scriptedTarget
	complete bool // the caller gets the whole body and can tell so
}

// endingsOf returns the ways to frame and end an answer with a body that is divided in two pieces.
func endingsOf(one, two string) []ending {
	body := one + two
	length := fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body))
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	chunked := "HTTP/1.1" + head + "Transfer-Encoding: chunked\r\n\r\n"
	return []ending{
		{"length", scriptedTarget{answer: "HTTP/1.1" + head + length + body}, true},
		{"length and close", scriptedTarget{answer: "HTTP/1.1" + head + "Connection: close\r\n" + length + body}, true},
		{"length, too short", scriptedTarget{answer: "HTTP/1.1" + head + length + one}, false},
		{"length, reset", scriptedTarget{answer: "HTTP/1.1" + head + length + one, reset: true}, false},
		{"length, too many bytes", scriptedTarget{answer: "HTTP/1.1" + head + length + body + "more"}, true},
		{"chunks", scriptedTarget{answer: chunked + chunk(one) + chunk(two) + "0\r\n\r\n"}, true},
		{"chunks, trailer", scriptedTarget{answer: chunked + chunk(body) + "0\r\nX-Sum: 1\r\n\r\n"}, true},
		{"chunks without the last", scriptedTarget{answer: chunked + chunk(one) + chunk(two)}, false},
		{"chunks, in a chunk", scriptedTarget{answer: chunked + chunk(one) + fmt.Sprintf("%x\r\n%s", 2*len(two), two)}, false},
		{"chunks, in the head of a chunk", scriptedTarget{answer: chunked + chunk(body) + "0"}, false},
		{"chunks, reset", scriptedTarget{answer: chunked + chunk(one), reset: true}, false},
		{"neither", scriptedTarget{answer: "HTTP/1.1" + head + "\r\n" + body}, true},
		{"neither, Connection: close", scriptedTarget{answer: "HTTP/1.1" + head + "Connection: close\r\n\r\n" + body}, true},
		{"neither, reset", scriptedTarget{answer: "HTTP/1.1" + head + "\r\n" + body, reset: true}, false},
		{"HTTP/1.0", scriptedTarget{answer: "HTTP/1.0" + head + "\r\n" + body}, true},
		{"HTTP/1.0 with length", scriptedTarget{answer: "HTTP/1.0" + head + length + body}, true},
		{"HTTP/1.0 with length, too short", scriptedTarget{answer: "HTTP/1.0" + head + length + one}, false},
		{"head without end", scriptedTarget{answer: "HTTP/1.1" + head, endless: "X-More: 0123456789\r\n"}, false},
		{"status line without end", scriptedTarget{endless: "HTTP/1.1 2"}, false},
		{"interim answers without end", scriptedTarget{endless: "HTTP/1.1 103 Early Hints\r\n\r\n"}, false},
		{"chunk extension without end", scriptedTarget{answer: chunked + chunk(one) + "5;", endless: "ext=0123456789;"}, false},
		{"trailer without end", scriptedTarget{answer: chunked + chunk(body) + "0\r\n", endless: "X-More: 0123456789\r\n"}, false},
	}
}

// callVersion sends a request in a version of HTTP, "1.0" or "1.1", and returns the response.
func (h *testHandler) callVersion(version, method, path string, headers []string) callResult {
	h.t.Helper()
	c, err := net.Dial("tcp", h.address)
	if err != nil {
		h.t.Fatal(err)
	}
	defer c.Close() //nolint:errcheck // a test
	_, err = fmt.Fprintf(c, "%s %s HTTP/%s\r\nHost: shop.example\r\nX-Request-Id: id-1\r\nX-Deadline-Ms: 2000\r\nX-Credential: key-1\r\nContent-Length: 0\r\n%s\r\n\r\n", method, path, version, strings.Join(headers, "\r\n"))
	if err != nil {
		h.t.Fatal(err)
	}
	_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return callResult{err: err}
	}
	if version == "1.0" && len(response.TransferEncoding) > 0 {
		h.t.Error("a caller of HTTP/1.0 got chunks")
	}
	data, err := io.ReadAll(response.Body)
	return callResult{response.StatusCode, response.Header, string(data), err}
}

// For each way in which a target may frame and end an answer, plain or a stream, the caller gets
// either the whole body or an answer that is visibly no success or incomplete.
func TestEveryEndingOfAnAnswerIsToldApart(t *testing.T) {
	kinds := []struct {
		name, service, stage, path string
		headers                    []string
		endings                    []ending
	}{
		{"plain", "desk", "", "/take/a", []string{"X-Kind: plain"}, endingsOf("01234", "56789")},
		{"stream", "model", "decode", "/reply/a", engineHeaders, endingsOf(prepared.Event(1, ""), prepared.Event(2, "")+prepared.Event(3, ""))},
		{"stream in pieces of events", "model", "decode", "/reply/a", engineHeaders, endingsOf("id: 1\ndata: to", "ken 1\n\n"+prepared.Event(2, "")+prepared.Event(3, ""))},
	}
	whole := map[string]string{"desk": "0123456789", "model": expectedStream(3)}
	for _, kind := range kinds {
		for i := range kind.endings {
			for _, version := range []string{"1.1", "1.0"} {
				e := &kind.endings[i]
				t.Run(kind.name+", "+e.name+", "+version, func(t *testing.T) {
					h := newTestHandler(t, kind.service, engine("t-1", kind.stage))
					h.startScripted(&e.target)
					begun := time.Now()
					a := h.callVersion(version, http.MethodPost, kind.path, kind.headers)
					success := a.err == nil && a.status == http.StatusOK
					if success != e.complete || success && a.body != whole[kind.service] {
						t.Errorf("status %d, error %v, body %q; want complete: %v", a.status, a.err, a.body, e.complete)
					}
					if !success && a.status == http.StatusServiceUnavailable {
						t.Error("status 503 although the request ran")
					}
					if took := time.Since(begun); took > time.Second {
						t.Errorf("took %v", took)
					}
				})
			}
		}
	}
}

// A target refuses a request and never ends the body of the refusal. The request goes on at another
// target at once.
func TestEndlessRefusalDoesNotHoldTheRequest(t *testing.T) {
	is := is.New(t)
	h := newTestHandler(t, "desk", engine("t-1", ""), engine("t-2", ""))
	h.startScripted(&scriptedTarget{answer: "HTTP/1.1 503 Full\r\nX-Request-Id: ID\r\nX-Not-Executed: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n", hold: true})
	for range 10 {
		begun := time.Now()
		a := h.call(http.MethodGet, "/read/a", "")
		is.Equal(a.body, "answer of t-2")
		is.True(time.Since(begun) < 300*time.Millisecond)
	}
}

// endlessScripts returns targets that send bytes without end, in each place where an answer can hold them.
func endlessScripts() []*scriptedTarget {
	chunked := "HTTP/1.1" + head + "Transfer-Encoding: chunked\r\n\r\n"
	return []*scriptedTarget{
		{answer: "HTTP/1.1" + head, endless: "X-More: 0123456789\r\n"},
		{answer: "HTTP/1.1" + head + "\r\n", endless: "id: 1 without an end "},
		{answer: chunked, endless: "8\r\nid: 1 aa\r\n"},
		{endless: "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{answer: chunked + "5;", endless: "ext=0123456789;"},
		{answer: chunked + "5\r\nid: 1\r\n0\r\n", endless: "X-More: 0123456789\r\n"},
	}
}

// Many targets send bytes without end, in each place where an answer can hold them. The memory that a
// host needs for it stays bounded, and callers get their answers from a sound target.
func TestBytesWithoutEndAreBoundedInMemory(t *testing.T) {
	is := is.New(t)
	const connections, maxLiveBytes = 64, 64 << 20
	// A node on a host of 184 MB gives the runtime 110 MB, its soft limit, and collects less often.
	const hostBytes, softLimit, gcPercent = 184 << 20, 110 << 20, 200
	before, beforeLimit := debug.SetGCPercent(gcPercent), debug.SetMemoryLimit(softLimit)
	t.Cleanup(func() { debug.SetGCPercent(before); debug.SetMemoryLimit(beforeLimit) })
	var peakLive, peakTotal uint64 // what is reachable, and all that the process holds
	for i, script := range endlessScripts() {
		h := newTestHandler(t, "model", engine(fmt.Sprint("t-", i), "decode"))
		h.startScripted(script)
		stop := make(chan struct{})
		var sampled sync.WaitGroup
		sampled.Go(func() {
			m := []metrics.Sample{{Name: "/gc/heap/live:bytes"}, {Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
			for {
				metrics.Read(m)
				peakLive = max(peakLive, m[0].Value.Uint64())
				peakTotal = max(peakTotal, m[1].Value.Uint64()-m[2].Value.Uint64())
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
			}
		})
		var callers sync.WaitGroup
		for range connections {
			callers.Go(func() {
				if a := h.call(http.MethodPost, "/reply/a", "p", engineHeaders...); a.err == nil && a.status == http.StatusOK {
					t.Errorf("an endless answer looks complete: %d bytes", len(a.body))
				}
			})
		}
		callers.Wait()
		close(stop)
		sampled.Wait()
		h.targets[0].ID = target.ID(fmt.Sprint("sound-", i))
		sound := engine(string(h.targets[0].ID), "decode")
		t.Cleanup(sound.Close)
		h.targets[0].Address = sound.Address()
		h.handler.Planner.SetTargets(time.Now(), h.targets)
		a := h.call(http.MethodPost, "/reply/a", "p", engineHeaders...)
		is.NoErr(a.err)
		is.Equal(a.body, expectedStream(3))
	}
	t.Logf("peaks: %d MiB live, %d MiB in all", peakLive>>20, peakTotal>>20)
	is.True(peakLive < maxLiveBytes)
	is.True(peakTotal < hostBytes)
}

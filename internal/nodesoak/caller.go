package nodesoak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// attemptRecord is one request that a caller sent, and the status of its response.
type attemptRecord struct {
	id     string // request id
	kind   string // route: take (non-idempotent), read (idempotent) or draft (a stream)
	status int    // 0 if there was no complete response
	begun  time.Time
	key    string // API key
}

// attemptLog collects all attempts of a run, and the violations that callers detect.
type attemptLog struct {
	mu         sync.Mutex
	all        []attemptRecord
	violations []string
}

// add records an attempt.
func (l *attemptLog) add(s attemptRecord) {
	l.mu.Lock()
	l.all = append(l.all, s)
	l.mu.Unlock()
}

// addViolation records something that must not happen.
func (l *attemptLog) addViolation(format string, args ...any) {
	l.mu.Lock()
	l.violations = append(l.violations, fmt.Sprintf(format, args...))
	l.mu.Unlock()
}

// streamEvents is the number of events in a stream.
const streamEvents = 6

// wholeStream returns the body of a complete stream.
func wholeStream() string {
	var b strings.Builder
	for i := 1; i <= streamEvents; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", i, i)
	}
	return b.String()
}

// runCaller sends requests to nodes chosen at random until stop is closed. It keeps a
// connection open until the node closes it or a request fails on it.
func runCaller(r *rand.Rand, name string, nodes []*process, key func() string, l *attemptLog, stop <-chan struct{}) {
	var c net.Conn
	var reader *bufio.Reader
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(5+r.IntN(40)) * time.Millisecond):
		}
		if c == nil {
			var err error
			c, err = net.DialTimeout("tcp", nodes[r.IntN(len(nodes))].settings.Listen, 300*time.Millisecond)
			if err != nil {
				c = nil
				continue
			}
			reader = bufio.NewReader(c)
		}
		s := attemptRecord{id: fmt.Sprintf("%s-%d", name, n), kind: []string{"take", "take", "read", "draft"}[r.IntN(4)], begun: time.Now(), key: key()}
		if !sendRequest(c, reader, &s, l) {
			_ = c.Close()
			c = nil
		}
		l.add(s)
	}
}

// sendRequest sends one request, records its status in s and returns whether the
// connection can be used again. It reports a response with the wrong body as a violation.
func sendRequest(c net.Conn, reader *bufio.Reader, s *attemptRecord, l *attemptLog) bool {
	method, extra := http.MethodPost, "Content-Length: 4\r\n"
	body := "body"
	if s.kind == "read" {
		method, extra, body = http.MethodGet, "", ""
	}
	if s.kind == "draft" {
		extra += "X-Model: m\r\nX-Token-Count: 100,20\r\nX-Prompt-Prefix: aa:50,bb:50\r\n"
	}
	_ = c.SetDeadline(time.Now().Add(4 * time.Second))
	_, err := fmt.Fprintf(c, "%s /%s/a HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\nX-Credential: %s\r\n%s\r\n%s", method, s.kind, s.id, s.key, extra, body)
	if err != nil {
		return false
	}
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return false
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return false // the caller can tell that the body is incomplete
	}
	s.status = response.StatusCode
	if s.status == http.StatusOK {
		want := s.id
		if s.kind == "draft" {
			want = wholeStream()
		}
		if string(data) != want {
			l.addViolation("%s: unexpected response body %q", s.id, data)
		}
	}
	return !response.Close
}

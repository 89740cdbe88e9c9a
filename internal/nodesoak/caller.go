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

	"zinniapin/internal/standin/prepared"
)

// attemptRecord is one request that a caller sent, and the status of its response.
type attemptRecord struct {
	id     string // request id
	kind   string // route: take (non-idempotent), read (idempotent), draft or reply (streams)
	status int    // 0 if there was no complete response
	begun  time.Time
	key    string // API key
	closed bool   // the node closes the connection after the response
	node   *process
	part   string // part of the prompt that ends targets; empty in a sound request
}

// isStream tells whether the response is a stream. A node tries a draft at two targets, a reply at one.
func (s *attemptRecord) isStream() bool { return s.kind == "draft" || s.kind == "reply" }

// attemptLog collects all attempts of a run, and the violations that callers detect.
type attemptLog struct {
	mu         sync.Mutex
	all        []attemptRecord
	violations []string
	// takenUp and wentOn count the streams that callers took up, and those of them that ended whole.
	takenUp, wentOn int
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

// wholeStream returns the body of a complete stream of a software version.
func wholeStream(version string) string {
	var b strings.Builder
	for i := 1; i <= streamEvents; i++ {
		b.WriteString(prepared.Event(i, version))
	}
	return b.String()
}

// versions are the software versions of the targets that produce streams.
var versions = []string{"v1", "v2"}

// checkStream reports a violation if the events of a stream, in one answer or over several, are not
// those of one version in order. whole is set if the last answer was complete.
func (l *attemptLog) checkStream(id, body string, whole bool) {
	for _, version := range versions {
		if want := wholeStream(version); body == want || !whole && strings.HasPrefix(want, body) {
			return
		}
	}
	l.addViolation("%s: unexpected stream %q, complete %v", id, body, whole)
}

// takeUp takes up a stream that broke off, at nodes chosen at random.
func (l *attemptLog) takeUp(r *rand.Rand, nodes []*process, s attemptRecord, body string) {
	first := s.id
	for try := 1; try <= 2; try++ {
		s.node = nodes[r.IntN(len(nodes))]
		c, err := net.DialTimeout("tcp", s.node.settings.Listen, 300*time.Millisecond)
		if err != nil {
			continue
		}
		s.id = fmt.Sprintf("%s-again-%d", first, try)
		events := strings.Count(body, "\n\n")
		more, whole := s.exchange(c, bufio.NewReader(c), fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", events, first))
		_ = c.Close()
		l.add(s)
		l.mu.Lock()
		l.takenUp++
		if whole && s.status == http.StatusOK {
			l.wentOn++
		}
		l.mu.Unlock()
		if whole && s.status != http.StatusOK {
			continue
		}
		body += more
		l.checkStream(first, body, whole)
		if whole || events == streamEvents {
			return
		}
	}
}

// runCaller sends requests to nodes chosen at random until stop is closed. It keeps a
// connection open until the node closes it or a request fails on it.
func runCaller(r *rand.Rand, name string, nodes []*process, key, crashPart func() string, l *attemptLog, stop <-chan struct{}) {
	var c net.Conn
	var node *process
	var reader *bufio.Reader
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(5+r.IntN(40)) * time.Millisecond):
		}
		if c == nil {
			var err error
			node = nodes[r.IntN(len(nodes))]
			c, err = net.DialTimeout("tcp", node.settings.Listen, 300*time.Millisecond)
			if err != nil {
				c = nil
				continue
			}
			reader = bufio.NewReader(c)
		}
		s := attemptRecord{id: fmt.Sprintf("%s-%d", name, n), kind: []string{"take", "take", "read", "draft", "reply"}[r.IntN(5)], begun: time.Now(), key: key(), node: node}
		if s.isStream() && r.IntN(4) == 0 {
			s.part = crashPart()
		}
		reusable, rest := sendRequest(c, reader, &s, l)
		if !reusable {
			_ = c.Close()
			c = nil
		}
		l.add(s)
		if rest != "" {
			l.takeUp(r, nodes, s, rest)
		}
	}
}

// sendRequest sends one request and records its status in s. It reports a response with the wrong body
// as a violation. It returns whether the connection can be used again, and the events of a stream that
// broke off.
func sendRequest(c net.Conn, reader *bufio.Reader, s *attemptRecord, l *attemptLog) (reusable bool, begun string) {
	body, whole := s.exchange(c, reader, "")
	if s.isStream() && (s.status == http.StatusOK || !whole && body != "") {
		l.checkStream(s.id, body, whole)
	}
	if !whole {
		if s.isStream() {
			return false, body
		}
		return false, ""
	}
	if !s.isStream() && s.status == http.StatusOK && body != s.id {
		l.addViolation("%s: unexpected response body %q", s.id, body)
	}
	return !s.closed, ""
}

// exchange sends the request with further headers and reads the response. It returns the body, and
// whether the response is complete; only then it sets the status.
func (s *attemptRecord) exchange(c net.Conn, reader *bufio.Reader, headers string) (string, bool) {
	method, body := http.MethodPost, "body"
	extra := headers + "Content-Length: 4\r\n"
	if s.kind == "read" {
		method, extra, body = http.MethodGet, "", ""
	}
	if s.isStream() {
		parts := "aa:50,"
		if s.part != "" {
			parts += s.part + ":20,"
		}
		extra += "X-Model: m\r\nX-Token-Count: 100,20\r\nX-Prompt-Prefix: " + parts + "bb:30\r\n"
	}
	s.status = 0
	_ = c.SetDeadline(time.Now().Add(4 * time.Second))
	_, err := fmt.Fprintf(c, "%s /%s/a HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: 3000\r\nX-Credential: %s\r\n%s\r\n%s", method, s.kind, s.id, s.key, extra, body)
	if err != nil {
		return "", false
	}
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		return "", false
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return string(data), false
	}
	s.status, s.closed = response.StatusCode, response.Close
	return string(data), true
}

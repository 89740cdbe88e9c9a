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

	"zinniapin/internal/verdict"
)

// attemptLog collects all attempts of a run.
type attemptLog struct {
	mu  sync.Mutex
	all []verdict.Request
	// takenUp and wentOn count the streams that callers took up, and those of them that ended whole.
	takenUp, wentOn int
}

// add records an attempt.
func (l *attemptLog) add(s verdict.Request) {
	l.mu.Lock()
	l.all = append(l.all, s)
	l.mu.Unlock()
}

// streamEvents is the number of events in a stream.
const streamEvents = 6

// versions are the software versions of the targets that produce streams.
var versions = []string{"v1", "v2"}

// isStream tells whether the response of a route is a stream. A node tries a draft at two targets, a
// reply at one.
func isStream(route string) bool { return route == "draft" || route == "reply" }

// takeUp takes up a stream that broke off, at nodes chosen at random.
func (l *attemptLog) takeUp(r *rand.Rand, nodes []*process, s verdict.Request) {
	first, body := s.ID, s.Answer
	for try := 1; try <= 2; try++ {
		node := nodes[r.IntN(len(nodes))]
		c, err := net.DialTimeout("tcp", node.settings.Listen, 300*time.Millisecond)
		if err != nil {
			continue
		}
		s.ID, s.Resumes, s.Host, s.Kept = fmt.Sprintf("%s-again-%d", first, try), first, node.name, false
		events := strings.Count(body, "\n\n")
		exchange(c, bufio.NewReader(c), &s, fmt.Sprintf("Last-Event-Id: %d\r\nResumes: %s\r\n", events, first), callerTimeout)
		_ = c.Close()
		l.add(s)
		l.mu.Lock()
		l.takenUp++
		if s.Complete && s.Status == http.StatusOK {
			l.wentOn++
		}
		l.mu.Unlock()
		if s.Complete && s.Status != http.StatusOK {
			continue
		}
		body += s.Answer
		if s.Complete || events == streamEvents {
			return
		}
	}
}

const (
	// callerDeadline is the time that callers name, callerTimeout the time after which they leave.
	callerDeadline, callerTimeout = 3 * time.Second, 4 * time.Second
	// leavers is the number of requests of which one is left early, within leavingTime.
	leavers, leavingTime = 25, 400 * time.Millisecond
)

// runCaller sends requests to nodes chosen at random until stop is closed. It keeps a
// connection open until the node closes it or a request fails on it.
func runCaller(r *rand.Rand, name string, nodes []*process, key, crashPart func() string, l *attemptLog, stop <-chan struct{}) {
	var c net.Conn
	var node *process
	var reader *bufio.Reader
	kept := false
	leaving := rand.New(rand.NewPCG(r.Uint64(), 0))
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
			reader, kept = bufio.NewReader(c), false
		}
		s := verdict.Request{ID: fmt.Sprintf("%s-%d", name, n), Host: node.name, Route: []string{"take", "take", "read", "draft", "reply"}[r.IntN(5)], Key: key(), Kept: kept}
		if isStream(s.Route) {
			part := ""
			if r.IntN(4) == 0 {
				part = crashPart()
			}
			s.Prompt, s.Crashing = promptOf(part), part != ""
		}
		limit := callerTimeout
		if leaving.IntN(leavers) == 0 {
			limit = time.Duration(1 + leaving.Int64N(int64(leavingTime)))
		}
		kept = exchange(c, reader, &s, "", limit)
		if !kept {
			_ = c.Close()
			c = nil
		}
		l.add(s)
		if isStream(s.Route) && !s.Complete && s.Answer != "" && s.Left.IsZero() {
			l.takeUp(r, nodes, s)
		}
	}
}

// promptOf returns a prompt with a part that ends targets, unless it is empty.
func promptOf(crashPart string) verdict.Prompt {
	parts := "aa:50,"
	if crashPart != "" {
		parts += crashPart + ":20,"
	}
	return verdict.Prompt{Model: "m", Tokens: "100,20", Parts: parts + "bb:30"}
}

// exchange sends a request with further headers, reads the response and records both. It closes the
// connection when the caller's timeout has passed. It returns whether the connection can be used again.
func exchange(c net.Conn, reader *bufio.Reader, s *verdict.Request, headers string, limit time.Duration) (reusable bool) {
	s.Method, s.URI, s.Deadline = http.MethodPost, "/"+s.Route+"/a", callerDeadline
	if s.Body == "" {
		s.Body = "body"
	}
	extra := fmt.Sprintf("%sContent-Length: %d\r\n", headers, len(s.Body))
	if s.Route == "read" {
		s.Method, s.Body, extra = http.MethodGet, "", ""
	}
	if s.Prompt.Parts != "" {
		extra += fmt.Sprintf("X-Model: %s\r\nX-Token-Count: %s\r\nX-Prompt-Prefix: %s\r\n", s.Prompt.Model, s.Prompt.Tokens, s.Prompt.Parts)
	}
	s.Content = s.Body
	s.Status, s.Complete, s.Answer, s.AnswerID, s.Signature, s.Begun, s.Left = 0, false, "", "", "", time.Time{}, time.Time{}
	s.Sent = time.Now()
	_ = c.SetDeadline(s.Sent.Add(limit))
	defer func() {
		s.End = time.Now()
		if !s.Complete && s.End.Sub(s.Sent) >= limit {
			s.Left = s.End
			_ = c.Close()
		}
	}()
	_, err := fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Credential: %s\r\n%s\r\n%s",
		s.Method, s.URI, s.ID, callerDeadline.Milliseconds(), s.Key, extra, s.Body)
	if err != nil {
		return false
	}
	s.Whole = true
	response, err := http.ReadResponse(reader, &http.Request{Method: s.Method})
	if err != nil {
		return false
	}
	s.Begun, s.Status = time.Now(), response.StatusCode
	s.AnswerID, s.Signature = response.Header.Get("X-Request-Id"), response.Header.Get("X-Response-Signature")
	data, err := io.ReadAll(response.Body)
	s.Answer = string(data)
	if err != nil {
		return false
	}
	s.Complete, s.Extra = true, reader.Buffered() > 0
	return !response.Close
}

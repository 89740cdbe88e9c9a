package world

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// Attempt is one attempt of a client.
type Attempt struct {
	ID, Host, Route, Organisation string
	Kept                          bool // on a connection that had carried a request
	Sent, End                     time.Time
	Whole                         bool // the request was written
	Status                        int  // 0 without a head of an answer
	Complete                      bool // the answer came whole
	Left                          bool // the client gave up
}

// Attempts collects the attempts of all clients.
type Attempts struct {
	mu  sync.Mutex
	all []Attempt
}

// All returns the attempts.
func (a *Attempts) All() []Attempt {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]Attempt(nil), a.all...)
}

const (
	// Deadline is the time that clients wait.
	Deadline = time.Second
	// connectTimeout is the time that clients allow a new connection.
	connectTimeout = time.Second
	// connectionRequests is the mean number of requests that a client sends on a connection.
	connectionRequests = 2
)

// RunClient sends requests on a route at a mean interval until stop is closed. It keeps a connection for some
// requests, and goes on elsewhere after a failure.
func (w *World) RunClient(name, zone, route string, interval time.Duration, a *Attempts, stop <-chan struct{}) {
	var c net.Conn
	var reader *bufio.Reader
	var host *Node
	kept := false
	for i := 0; ; i++ {
		select {
		case <-stop:
			if c != nil {
				_ = c.Close()
			}
			return
		case <-time.After(interval/2 + rand.N(interval)):
		}
		if c == nil {
			candidates := w.Candidates(zone)
			if len(candidates) == 0 {
				continue
			}
			host = candidates[rand.IntN(len(candidates))]
			var err error
			if c, err = net.DialTimeout("tcp", host.Front, connectTimeout); err != nil {
				c = nil
				continue
			}
			reader, kept = bufio.NewReader(c), false
		}
		organisation := rand.IntN(Organisations)
		at := Attempt{ID: fmt.Sprintf("%s-%d", name, i), Host: host.Name, Route: route, Organisation: Organisation(organisation), Kept: kept}
		again := send(c, reader, &at, Key(organisation))
		a.mu.Lock()
		a.all = append(a.all, at)
		a.mu.Unlock()
		kept = true
		if !again || rand.IntN(connectionRequests) == 0 {
			_ = c.Close()
			c = nil
		}
	}
}

// send sends a request and reads the answer. It returns whether the connection can be used again.
func send(c net.Conn, reader *bufio.Reader, a *Attempt, key string) bool {
	a.Sent = time.Now()
	defer func() { a.End = time.Now() }()
	_ = c.SetDeadline(a.Sent.Add(Deadline))
	method, body := http.MethodGet, ""
	if a.Route == "take" {
		method, body = http.MethodPost, "Content-Length: 4\r\n"
	}
	text := fmt.Sprintf("%s /%s/1 HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\nX-Credential: %s\r\n%s\r\n",
		method, a.Route, a.ID, Deadline.Milliseconds(), key, body)
	if method == http.MethodPost {
		text += "body"
	}
	if _, err := io.WriteString(c, text); err != nil {
		return false
	}
	a.Whole = true
	response, err := http.ReadResponse(reader, &http.Request{Method: method})
	if err != nil {
		a.Left = isTimeout(err)
		return false
	}
	a.Status = response.StatusCode
	if _, err = io.Copy(io.Discard, response.Body); err != nil {
		a.Left = isTimeout(err)
		return false
	}
	a.Complete = true
	return !response.Close
}

// isTimeout tells whether the client's own deadline has passed.
func isTimeout(err error) bool {
	timeout, ok := err.(net.Error)
	return ok && timeout.Timeout()
}

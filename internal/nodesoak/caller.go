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

// sent is what a caller knows of one attempt.
type sent struct {
	id     string
	kind   string // take, read or draft
	status int    // 0 when there was no whole answer
	begun  time.Time
	key    string
}

// ledger keeps all attempts, and answers that were wrong.
type ledger struct {
	mu    sync.Mutex
	all   []sent
	wrong []string
}

// add keeps an attempt.
func (l *ledger) add(s sent) {
	l.mu.Lock()
	l.all = append(l.all, s)
	l.mu.Unlock()
}

// fault keeps what must not be.
func (l *ledger) fault(format string, args ...any) {
	l.mu.Lock()
	l.wrong = append(l.wrong, fmt.Sprintf(format, args...))
	l.mu.Unlock()
}

// events is the number of events of a stream.
const events = 6

// stream is what a whole stream looks like.
func stream() string {
	var b strings.Builder
	for i := 1; i <= events; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: token %d\n\n", i, i)
	}
	return b.String()
}

// call runs one caller until stop is closed. It keeps its connection until the
// node ends it.
func call(r *rand.Rand, name string, nodes []*process, key func() string, l *ledger, stop <-chan struct{}) {
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
		s := sent{id: fmt.Sprintf("%s-%d", name, n), kind: []string{"take", "take", "read", "draft"}[r.IntN(4)], begun: time.Now(), key: key()}
		if !attempt(c, reader, &s, l) {
			_ = c.Close()
			c = nil
		}
		l.add(s)
	}
}

// attempt makes one request and returns whether the connection goes on.
func attempt(c net.Conn, reader *bufio.Reader, s *sent, l *ledger) bool {
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
		return false // cut, and it shows
	}
	s.status = response.StatusCode
	if s.status == http.StatusOK {
		want := s.id
		if s.kind == "draft" {
			want = stream()
		}
		if string(data) != want {
			l.fault("%s: answered by %q", s.id, data)
		}
	}
	return !response.Close
}

package nodesoak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"zinniapin/internal/verdict"
)

// rudeID begins the ids of requests that no target may get.
const rudeID = "rude-"

// halfRequestTime is how long a caller that stops in a request keeps its connection open.
const halfRequestTime = 2 * time.Second

const (
	// fatalBody is the body of a request that crashes each target that begins to run it.
	fatalBody = "fatal"
	// fatalRestart is the time after which a target that crashed under it starts again.
	fatalRestart = time.Second
)

// rudeCaller sends requests that are unfinished, ambiguous, not allowed or fatal to targets. It belongs to
// one goroutine.
type rudeCaller struct {
	random *rand.Rand
	sent   int
}

// head returns the head of a request with a new id, without the blank line after it.
func (c *rudeCaller) head(path, key, headers string) string {
	c.sent++
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: shop.example\r\nX-Request-Id: %s%d\r\nX-Deadline-Ms: 3000\r\nX-Credential: %s\r\n%s", path, rudeID, c.sent, key, headers)
}

// sendHalf stops in the head or in the body of a request, and leaves later without having ended it.
func (c *rudeCaller) sendHalf(p *process, key string) {
	head := c.head("/take/a", key, "")
	request := head[:1+c.random.IntN(len(head)-1)]
	switch c.random.IntN(3) {
	case 0:
		request = head + "Content-Length: 100\r\n\r\nbegin"
	case 1:
		request = head + "Transfer-Encoding: chunked\r\n\r\n5\r\nbegin\r\n"
	}
	conn, err := net.DialTimeout("tcp", p.settings.Listen, 300*time.Millisecond)
	if err != nil {
		return // the node is down
	}
	_, _ = conn.Write([]byte(request)) // the node may end at any time
	time.AfterFunc(time.Duration(c.random.Int64N(int64(halfRequestTime))), func() { _ = conn.Close() })
}

// hidden returns a request whose end readers may see at different places, with another one where some would
// see the next.
func (c *rudeCaller) hidden(key string) string {
	inside := c.head("/take/b", key, "Content-Length: 0\r\n\r\n")
	headers := []string{
		"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
		"Content-Length: 4\r\nContent-Length: 5\r\n",
		"Transfer-Encoding: chunked, identity\r\n",
		"Transfer-Encoding : chunked\r\nContent-Length: 4\r\n",
		"Content-Length: +4\r\n",
	}
	return c.head("/take/a", key, headers[c.random.IntN(len(headers))]) + "\r\n0\r\n\r\n" + inside
}

// sendFatal sends the request that crashes targets, which is the same each time but for its id.
func (c *rudeCaller) sendFatal(p *process, key string, l *attemptLog) {
	c.sent++
	s := verdict.Request{ID: fmt.Sprint("fatal-", c.sent), Host: p.name, Route: "take", Body: fatalBody, Key: key, Crashing: true}
	go func() {
		conn, err := net.DialTimeout("tcp", p.settings.Listen, 300*time.Millisecond)
		if err != nil {
			return // the node is down
		}
		defer conn.Close() //nolint:errcheck // nothing more is written
		exchange(conn, bufio.NewReader(conn), &s, "", callerTimeout)
		l.add(s)
	}()
}

// statusOf sends a request on a connection of its own and returns the status of the answer; 0 if there is
// none.
func statusOf(p *process, request string) int {
	conn, err := net.DialTimeout("tcp", p.settings.Listen, 300*time.Millisecond)
	if err != nil {
		return 0
	}
	defer conn.Close() //nolint:errcheck // nothing more is written
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = conn.Write([]byte(request)) // the node may end at any time
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	return response.StatusCode
}

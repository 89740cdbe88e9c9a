package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"zinniapin/detour"
)

// FuzzResponse feeds bytes to the reader of responses as a target would send them before it closes its
// connection. A body with a length counts as complete only if it has that length, heads are bounded,
// and a connection with bytes left over is not used again.
func FuzzResponse(f *testing.F) {
	for _, seed := range []string{
		okHead + "Content-Length: 2\r\n\r\nok", okHead + "\r\nuntil close", okHead + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		okHead + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nok\r\n0\r\nX: y\r\n\r\n", okHead + "Content-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + okHead + "Content-Length: 0\r\n\r\n", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nok",
		okHead + "Content-Length: 5\r\n\r\nok", okHead + "Content-Length: -1\r\n\r\n", okHead + "Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n", "\x00\xff",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, answer []byte) {
		local, remote := net.Pipe()
		go func() {
			r := bufio.NewReader(remote)
			if _, err := http.ReadRequest(r); err == nil {
				_, _ = remote.Write(answer)
			}
			_ = remote.Close()
		}()
		p := NewPool(detour.New(detour.Options{}))
		p.put(newConnection(detour.Conn{Conn: local}, "target"))
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		response, err := p.Do(ctx, "target", &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
		if err != nil {
			return
		}
		body, err := io.ReadAll(io.LimitReader(response.Body, 1<<20))
		if len(body) > len(answer) {
			t.Errorf("%d bytes of a body from %d bytes", len(body), len(answer))
		}
		if err == nil && response.Length >= 0 && int64(len(body)) != response.Length {
			t.Errorf("complete with %d of %d bytes", len(body), response.Length)
		}
		left := response.conn.reader.Buffered()
		response.Close()
		if reused := len(p.idle["target"]) > 0; reused && (left > 0 || err != nil || response.Framing == FramedByClose) {
			t.Errorf("the connection is kept with %d bytes left, error %v, framing %s", left, err, response.Framing)
		}
	})
}

// okHead is the beginning of the head of a response.
const okHead = "HTTP/1.1 200 OK\r\n"

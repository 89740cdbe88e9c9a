package stricthttp

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"zinniapin/internal/standin/faulty"
)

// pieces is a connection from which text comes in pieces of a size.
type pieces struct {
	net.Conn
	text string
	size int
}

// Read implements io.Reader.
func (p *pieces) Read(b []byte) (int, error) {
	if p.text == "" {
		return 0, io.EOF
	}
	n := copy(b, p.text[:min(p.size, len(p.text))])
	p.text = p.text[n:]
	return n, nil
}

// read reads a response that comes in pieces and returns its status and body.
func read(method, text string, size int) (int, string, error) {
	c := NewConn(&pieces{text: text, size: size})
	c.Expect(method)
	c.Written(nil)
	r := bufio.NewReader(c)
	for {
		response, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			return 0, "", err
		}
		if response.StatusCode >= 200 {
			body, err := io.ReadAll(response.Body)
			return response.StatusCode, string(body), err
		}
	}
}

// Valid responses pass in pieces of any size.
func TestValidResponsesPass(t *testing.T) {
	for _, c := range []struct {
		method, text string
		status       int
		body         string
	}{
		{"GET", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Note:\tä \x80 \r\n\r\nhello", 200, "hello"},
		{"GET", "HTTP/1.1 200\r\ncontent-length:5\r\n!#$%&'*+-.^_`|~9aZ:\r\n\r\nhello", 200, "hello"},
		{"GET", "HTTP/1.1 200 OK\r\nTransfer-Encoding: CHUNKED\r\n\r\n3;a=\"b\"\r\nhel\r\n02\r\nlo\r\n000\r\nX-Sum: 1\r\n\r\n", 200, "hello"},
		{"GET", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 599 Odd\r\nContent-Length: 0\r\n\r\n", 599, ""},
		{"GET", "HTTP/1.1 200 OK\r\n\r\nhello", 200, "hello"},
		{"GET", "HTTP/1.0 200 OK\r\n\r\nhello", 200, "hello"},
		{"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n", 200, ""},
		{"GET", "HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", 304, ""},
		{"GET", "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", 204, ""},
	} {
		for size := 1; size <= len(c.text); size++ {
			is := is.New(t)
			status, body, err := read(c.method, c.text, size)
			is.NoErr(err)
			is.Equal(status, c.status)
			is.Equal(body, c.body)
		}
	}
}

// Malformed responses are found in pieces of any size, and so are heads that are too large.
func TestMalformedResponsesAreFound(t *testing.T) {
	for _, response := range faulty.Responses("X-Note: 1\r\n", "0123456789") {
		for size := 1; size <= len(response.Bytes); size++ {
			if status, body, err := read("GET", response.Bytes, size); err == nil {
				t.Fatalf("%s: status %d, body %q", response.Name, status, body)
			}
		}
	}
	is := is.New(t)
	for _, text := range []string{
		strings.Repeat("x", 1<<20), "HTTP/1.1 200 OK\r\n" + strings.Repeat("X: y\r\n", 1<<18), strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 1<<16),
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;" + strings.Repeat("x", 1<<20), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n" + strings.Repeat("X: y\r\n", 1<<18),
	} {
		c := NewConn(&pieces{text: text, size: 100})
		c.Expect("GET")
		n, err := io.Copy(io.Discard, c)
		is.True(errors.Is(err, ErrHeadTooLarge))
		is.True(n <= maxHeadBytes)
	}
}

// Bytes after a response are not passed on, whether they come with it or later, and make the connection unusable.
func TestBytesAfterAResponse(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
	for _, size := range []int{1, len(response), 2 * len(response)} {
		is := is.New(t)
		c := NewConn(&pieces{text: response + response, size: size})
		c.Expect("GET")
		got, err := io.ReadAll(c)
		is.Equal(string(got), response)
		is.True(errors.Is(err, ErrExtraBytes))
		is.True(!c.Usable())
	}
}

// A response that ends with its connection is complete only if its request was written and the connection was not reset.
func TestEndOfAConnection(t *testing.T) {
	failed := errors.New("failed")
	for name, c := range map[string]struct {
		written func(*Conn)
		reset   bool
		want    error
	}{
		"written":                  {func(c *Conn) { c.Written(nil) }, false, nil},
		"written, reset":           {func(c *Conn) { c.Written(nil) }, true, syscall.ECONNRESET},
		"writing failed":           {func(c *Conn) { c.Written(failed) }, false, failed},
		"written in part":          {func(*Conn) {}, false, io.ErrUnexpectedEOF},
		"written later":            {func(c *Conn) { go c.Written(nil) }, false, nil},
		"written in part and read": {func(*Conn) {}, true, io.ErrUnexpectedEOF},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := faulty.Start(func(peer *net.TCPConn) {
				_, _ = io.WriteString(peer, "HTTP/1.1 200 OK\r\n\r\nhello")
				_, _ = peer.Read(make([]byte, 1))
				if c.reset {
					_ = peer.SetLinger(0)
				}
			})
			defer s.Close()
			raw, err := net.Dial("tcp", s.Address)
			is.NoErr(err)
			conn := NewConn(raw)
			defer conn.Close() //nolint:errcheck // a test
			conn.Expect("GET")
			_, err = conn.Write([]byte("x"))
			is.NoErr(err)
			c.written(conn)
			got, err := io.ReadAll(conn)
			is.Equal(string(got), "HTTP/1.1 200 OK\r\n\r\nhello")
			is.True(c.want == nil && err == nil || c.want != nil && (errors.Is(err, c.want) || errors.Is(err, syscall.ECONNRESET) && c.reset))
		})
	}
}

// FuzzResponse checks that a response means the same in pieces of any size.
func FuzzResponse(f *testing.F) {
	for _, response := range faulty.Responses("X-Note: 1\r\n", "0123456789") {
		f.Add(response.Bytes, 3)
	}
	f.Fuzz(func(t *testing.T, text string, size int) {
		status, body, err := read("GET", text, len(text)+1)
		status2, body2, err2 := read("GET", text, max(1, size))
		if (err == nil) != (err2 == nil) || err == nil && (status != status2 || body != body2) {
			t.Errorf("%d %q %v, in pieces %d %q %v", status, body, err, status2, body2, err2)
		}
	})
}

package ingress_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"zinniapin/ingress"
	"zinniapin/intake"
)

// handler records requests and responds by calling do, or with the body of the request.
type handler struct {
	mu       sync.Mutex
	requests []*ingress.Request
	do       func(ctx context.Context, r *ingress.Request, w *ingress.Writer)
}

// Serve implements ingress.Handler.
func (h *handler) Serve(ctx context.Context, r *ingress.Request, w *ingress.Writer) {
	h.mu.Lock()
	h.requests = append(h.requests, r)
	h.mu.Unlock()
	if h.do != nil {
		h.do(ctx, r, w)
		return
	}
	_ = w.Start(http.StatusOK, nil, int64(len(r.Body)))
	_, _ = w.Write(r.Body)
}

// count returns how many requests the handler got.
func (h *handler) count() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.requests)
}

// start starts a server with a handler and returns the server and a function that connects to it.
func start(t *testing.T, h *handler) (*ingress.Server, func() (net.Conn, *bufio.Reader)) {
	t.Helper()
	s := &ingress.Server{Handler: h, Limits: func() ingress.Limits {
		return ingress.Limits{HeadBytes: 2000, BodyBytes: 10_000, HeadTimeout: 300 * time.Millisecond, IdleTimeout: time.Second}
	}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	log := zerolog.Nop()
	bounded := intake.New(intake.Options{MemoryMB: 64, Descriptors: 256, Log: &log}).Listen(l, intake.Callers)
	go func() { _ = s.Serve(bounded) }()
	return s, func() (net.Conn, *bufio.Reader) {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		return c, bufio.NewReader(c)
	}
}

// Parsers may disagree on where the body of these requests ends. They are refused, so that the
// GET /admin after the head never becomes a request.
func TestAmbiguousRequestsAreRefused(t *testing.T) {
	smuggled := "GET /admin HTTP/1.1\r\nHost: h\r\n\r\n"
	for name, head := range map[string]string{
		"length and chunks":  "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
		"two lengths":        "Content-Length: 4\r\nContent-Length: 40\r\n",
		"equal lengths":      "Content-Length: 0\r\nContent-Length: 0\r\n",
		"signed length":      "Content-Length: +4\r\n",
		"other coding":       "Transfer-Encoding: xchunked\r\n",
		"two codings":        "Transfer-Encoding: gzip, chunked\r\n",
		"space before colon": "Content-Length : 4\r\n",
		"folded line":        "X-A: b\r\n Content-Length: 4\r\n",
		"bare return":        "X-A: b\rContent-Length: 4\r\n",
		"two hosts":          "Host: other\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := &handler{}
			_, dial := start(t, h)
			c, r := dial()
			fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: h\r\n%s\r\n0\r\n\r\n%s", head, smuggled)
			response, err := http.ReadResponse(r, nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, http.StatusBadRequest)
			_, err = http.ReadResponse(r, nil)
			is.True(err != nil) // the connection is closed
			is.Equal(h.count(), 0)
		})
	}
}

func TestBodiesWithLengthAndInChunks(t *testing.T) {
	is := is.New(t)
	h := &handler{}
	_, dial := start(t, h)
	c, r := dial()
	for i, request := range []string{
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
		"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nhe\r\n3\r\nllo\r\n0\r\n\r\n",
		"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nExpect: 100-continue\r\n\r\nhello",
	} {
		_, err := io.WriteString(c, request)
		is.NoErr(err)
		response, err := http.ReadResponse(r, nil)
		is.NoErr(err)
		if response.StatusCode == http.StatusContinue {
			response, err = http.ReadResponse(r, nil)
			is.NoErr(err)
		}
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(string(body), "hello")
		is.Equal(h.requests[i].ConnReused, i > 0)
	}
}

func TestLimits(t *testing.T) {
	for name, test := range map[string]struct {
		request string
		status  int
	}{
		"head":  {"GET / HTTP/1.1\r\nHost: h\r\nX-A: " + strings.Repeat("a", 3000) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"body":  {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10001\r\n\r\n", http.StatusRequestEntityTooLarge},
		"chunk": {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2800\r\n" + strings.Repeat("a", 0x2800) + "\r\n0\r\n\r\n", http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := &handler{}
			_, dial := start(t, h)
			c, r := dial()
			_, err := io.WriteString(c, test.request)
			is.NoErr(err)
			response, err := http.ReadResponse(r, nil)
			is.NoErr(err)
			is.Equal(response.StatusCode, test.status)
			is.Equal(h.count(), 0)
		})
	}
}

// A connection whose head is not complete within HeadTimeout is closed.
func TestSlowHeadEndsTheConnection(t *testing.T) {
	is := is.New(t)
	_, dial := start(t, &handler{})
	c, r := dial()
	_, err := io.WriteString(c, "GET / HT")
	is.NoErr(err)
	start := time.Now()
	_, err = r.ReadByte()
	is.True(err != nil)
	is.True(time.Since(start) < 900*time.Millisecond) // HeadTimeout applies, not IdleTimeout
}

// The context of a request is cancelled when its caller disconnects.
func TestCallerDisconnectCancelsContext(t *testing.T) {
	is := is.New(t)
	cancelled := make(chan error, 1)
	h := &handler{do: func(ctx context.Context, _ *ingress.Request, w *ingress.Writer) {
		select {
		case <-ctx.Done():
			cancelled <- ctx.Err()
		case <-time.After(3 * time.Second):
			cancelled <- nil
		}
		w.Abort()
	}}
	_, dial := start(t, h)
	c, _ := dial()
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	is.NoErr(c.Close())
	is.True(errors.Is(<-cancelled, context.Canceled))
}

// A response that the handler aborts ends with a read error at the caller.
func TestAbortedResponseFailsAtCaller(t *testing.T) {
	is := is.New(t)
	h := &handler{do: func(_ context.Context, _ *ingress.Request, w *ingress.Writer) {
		_ = w.Start(http.StatusOK, nil, -1)
		_, _ = w.Write([]byte("half"))
		w.Abort()
	}}
	_, dial := start(t, h)
	c, r := dial()
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	response, err := http.ReadResponse(r, nil)
	is.NoErr(err)
	_, err = io.ReadAll(response.Body)
	is.True(err != nil)
}

// A handler writes less than the length that it announced. The caller gets an unexpected end of
// file instead of waiting for the rest.
func TestAnswerShorterThanItsLengthEndsTheConnection(t *testing.T) {
	is := is.New(t)
	h := &handler{do: func(_ context.Context, _ *ingress.Request, w *ingress.Writer) {
		_ = w.Start(http.StatusOK, nil, 10)
		_, _ = w.Write([]byte("half"))
	}}
	_, dial := start(t, h)
	c, r := dial()
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	response, err := http.ReadResponse(r, nil)
	is.NoErr(err)
	_, err = io.ReadAll(response.Body)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
}

// After Drain, responses carry Connection: close.
func TestDrainSendsConnectionClose(t *testing.T) {
	is := is.New(t)
	s, dial := start(t, &handler{})
	c, r := dial()
	s.Drain()
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	response, err := http.ReadResponse(r, nil)
	is.NoErr(err)
	is.True(response.Close)
}

// A request arrives while idle connections are being closed. Either it is not read at all or it
// gets a complete response.
func TestClosingOfIdleConnectionsCutsNoRequest(t *testing.T) {
	is := is.New(t)
	for range 30 {
		h := &handler{}
		s, dial := start(t, h)
		c, r := dial()
		ready := make(chan struct{})
		go func() {
			close(ready)
			s.CloseIdle()
		}()
		<-ready
		_, _ = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nok")
		response, err := http.ReadResponse(r, nil)
		if h.count() == 0 {
			continue
		}
		is.NoErr(err)
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		is.Equal(string(body), "ok")
	}
}

// Wait returns only after the response to the last request in progress.
func TestWaitReturnsAfterLastResponse(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	h := &handler{do: func(_ context.Context, _ *ingress.Request, w *ingress.Writer) {
		<-release
		w.Refuse(http.StatusOK, nil)
	}}
	s, dial := start(t, h)
	c, _ := dial()
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	s.Drain()
	s.CloseIdle()
	short, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	s.Wait(short)
	is.True(short.Err() != nil) // the response is not written yet
	close(release)
	long, cancelLong := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancelLong()
	s.Wait(long)
	is.NoErr(long.Err())
}

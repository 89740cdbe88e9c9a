package httpengine

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/target"
)

// newRawServer starts a TCP server that passes each accepted connection to serve.
func newRawServer(t *testing.T, serve func(net.Conn)) target.Target {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return target.Target{Address: listener.Addr().String()}
}

// newHandlerServer starts an HTTP server with a handler.
func newHandlerServer(t *testing.T, h http.HandlerFunc) target.Target {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return target.Target{Address: s.Listener.Addr().String()}
}

// newClient returns a client that is closed at the end of the test.
func newClient(t *testing.T) *Client {
	t.Helper()
	c := New(Options{CallTimeout: 500 * time.Millisecond})
	t.Cleanup(c.Close)
	return c
}

// doneLine is the complete answer to request, in one chunk.
const doneLine = `{"attempt":"a","offset":0,"tokens":1,"text":"x ","done":true,"finish":"stop"}` + "\n"

// request returns a request for one token.
func request() target.GenerateRequest {
	return target.GenerateRequest{Attempt: "a", Model: "m", Prompt: "p", MaxTokens: 1}
}

// TestNothingListensIsNotSent checks that requests and orders to an address without a
// listener fail with ErrNotSent.
func TestNothingListensIsNotSent(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	listener.Close()
	c := newClient(t)
	_, err = c.Generate(t.Context(), target.Target{Address: address}, request())
	is.True(errors.Is(err, target.ErrNotSent))
	is.True(errors.Is(c.Send(t.Context(), target.Target{Address: address}, target.Order{}), target.ErrNotSent))
}

// TestOnlyNotRunBodyIsRefusal checks that a status other than 200 counts as a refusal
// only if the engine's JSON body has not_run set.
func TestOnlyNotRunBodyIsRefusal(t *testing.T) {
	cases := []struct {
		status int
		body   string
		want   error
	}{
		{503, `{"not_run":true,"message":"changing"}`, target.ErrRefused},
		{503, `{"message":"overloaded"}`, target.ErrIncomplete},
		{503, `upstream failed`, target.ErrIncomplete},
		{502, ``, target.ErrIncomplete},
		{429, `{}`, target.ErrIncomplete},
	}
	for _, each := range cases {
		is := is.New(t)
		at := newHandlerServer(t, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(each.status)
			_, _ = io.WriteString(w, each.body)
		})
		_, err := newClient(t).Generate(t.Context(), at, request())
		is.True(errors.Is(err, each.want)) // exactly one of the errors of package target
		is.Equal(errors.Is(err, target.ErrRefused), errors.Is(each.want, target.ErrRefused))
		is.True(!errors.Is(err, target.ErrNotSent))
	}
}

// TestReusedConnectionIsNeverResent checks that net/http does not resend a
// request when the reused connection breaks.
func TestReusedConnectionIsNeverResent(t *testing.T) {
	is := is.New(t)
	var received, connections atomic.Int32
	at := newRawServer(t, func(conn net.Conn) {
		defer conn.Close()
		connections.Add(1)
		reader := bufio.NewReader(conn)
		for answered := 0; ; answered++ {
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			received.Add(1)
			if answered == 1 {
				return
			}
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: "+strconv.Itoa(len(doneLine))+"\r\n\r\n"+doneLine)
		}
	})
	c := newClient(t)
	stream, err := c.Generate(t.Context(), at, request())
	is.NoErr(err)
	_, err = stream.Next()
	is.NoErr(err)
	_, err = stream.Next()
	is.Equal(err, io.EOF)
	is.NoErr(stream.Close())
	_, err = c.Generate(t.Context(), at, request())
	is.True(errors.Is(err, target.ErrIncomplete))
	is.Equal(connections.Load(), int32(1)) // the second request reused the connection
	is.Equal(received.Load(), int32(2))
}

// TestCancelledRequestIsNotSent checks that a request cancelled before anything is
// written is reported as not sent, and that the engine receives nothing.
func TestCancelledRequestIsNotSent(t *testing.T) {
	is := is.New(t)
	var received atomic.Int32
	at := newHandlerServer(t, func(http.ResponseWriter, *http.Request) { received.Add(1) })
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := newClient(t).Generate(ctx, at, request())
	is.True(errors.Is(err, target.ErrNotSent))
	is.Equal(received.Load(), int32(0))
}

// TestAnswerWithoutItsEndIsBroken checks that an answer without its own end marker fails
// with ErrIncomplete, even if it holds the end marker of another attempt.
func TestAnswerWithoutItsEndIsBroken(t *testing.T) {
	is := is.New(t)
	at := newHandlerServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost {
			_, _ = io.WriteString(w, `{"attempt":"other","offset":0,"tokens":1,"text":"y ","done":true}`+"\n")
			_, _ = io.WriteString(w, `{"attempt":"a","offset":0,"tokens":1,"text":"x "}`+"\n")
		}
	})
	stream, err := newClient(t).Generate(t.Context(), at, request())
	is.NoErr(err)
	defer stream.Close()
	chunk, err := stream.Next()
	is.NoErr(err)
	is.Equal(chunk.Attempt, "other") // the end marker of another attempt does not end this stream
	_, err = stream.Next()
	is.NoErr(err)
	_, err = stream.Next()
	is.True(errors.Is(err, target.ErrIncomplete))
}

// TestLongChunkIsBroken checks that a chunk longer than MaxLineBytes fails the stream.
func TestLongChunkIsBroken(t *testing.T) {
	is := is.New(t)
	at := newHandlerServer(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, MaxLineBytes+1))
	})
	stream, err := newClient(t).Generate(t.Context(), at, request())
	is.NoErr(err)
	defer stream.Close()
	_, err = stream.Next()
	is.True(errors.Is(err, target.ErrIncomplete))
	is.True(errors.Is(err, errLineTooLong))
}

// TestCloseCancelsTheAttempt checks that closing an unfinished stream cancels its attempt at
// the engine.
func TestCloseCancelsTheAttempt(t *testing.T) {
	is := is.New(t)
	cancelled := make(chan string, 1)
	at := newHandlerServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodDelete {
			cancelled <- r.URL.Path
			return
		}
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	stream, err := newClient(t).Generate(t.Context(), at, request())
	is.NoErr(err)
	is.NoErr(stream.Close())
	is.Equal(<-cancelled, GeneratePath+"/a")
}

// TestUnansweredOrderIsReset checks that the connection of an unanswered order
// is reset before Send returns, so that nothing remains in the send buffer.
func TestUnansweredOrderIsReset(t *testing.T) {
	is := is.New(t)
	ended := make(chan error, 2)
	at := newRawServer(t, func(conn net.Conn) {
		defer conn.Close()
		r, err := http.ReadRequest(bufio.NewReader(conn))
		if err == nil {
			_, _ = io.Copy(io.Discard, r.Body)
			_, err = conn.Read(make([]byte, 1))
		}
		ended <- err
	})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	err := newClient(t).Send(ctx, at, target.Order{ID: "o"})
	is.True(errors.Is(err, target.ErrIncomplete))
	err = <-ended
	is.True(err != nil && !errors.Is(err, io.EOF)) // reset, not an orderly close
}

// TestOrdersToOneEngineGoOneByOne checks that concurrent orders to one engine are sent one
// after the other.
func TestOrdersToOneEngineGoOneByOne(t *testing.T) {
	is := is.New(t)
	var open, most atomic.Int32
	at := newHandlerServer(t, func(w http.ResponseWriter, _ *http.Request) {
		most.Store(max(most.Load(), open.Add(1)))
		time.Sleep(5 * time.Millisecond)
		open.Add(-1)
		_, _ = io.WriteString(w, `{"applied":true}`)
	})
	c := newClient(t)
	results := make(chan error, 4)
	for range cap(results) {
		go func() { results <- c.Send(t.Context(), at, target.Order{}) }()
	}
	for range cap(results) {
		is.NoErr(<-results)
	}
	is.Equal(most.Load(), int32(1))
}

// TestStaleFenceIsReported checks that an order with a fencing number that is too low fails with
// ErrStaleFence.
func TestStaleFenceIsReported(t *testing.T) {
	is := is.New(t)
	at := newHandlerServer(t, func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusConflict)
		_, _ = io.WriteString(w, `{"stale_fence":true,"message":"1 is below 2"}`)
	})
	is.True(errors.Is(newClient(t).Send(t.Context(), at, target.Order{}), target.ErrStaleFence))
}

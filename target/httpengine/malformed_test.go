package httpengine

import (
	"context"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/internal/standin/faulty"
	"zinniapin/target"
)

// faultyEngine returns an engine that a faulty server plays.
func faultyEngine(t *testing.T, serve func(*net.TCPConn)) target.Target {
	t.Helper()
	s := faulty.Start(serve)
	t.Cleanup(s.Close)
	return target.Target{Address: s.Address}
}

// A malformed response to an order, a report or a request is none. What comes after the end of a request's output does
// not matter.
func TestMalformedResponsesOfEnginesAreNone(t *testing.T) {
	for body, call := range map[string]func(*Client, target.Target) error{
		`{"applied":true}`: func(c *Client, e target.Target) error { return c.Send(t.Context(), e, target.Order{ID: "o"}) },
		`{}`: func(c *Client, e target.Target) error {
			_, err := c.Report(t.Context(), e)
			return err
		},
		doneLine: func(c *Client, e target.Target) error {
			s, err := c.Generate(t.Context(), e, request())
			if err == nil {
				_, err = s.Next()
			}
			return err
		},
	} {
		for _, response := range faulty.Responses("Content-Type: application/json\r\n", body) {
			err := call(newClient(t), faultyEngine(t, faulty.Respond(response.Bytes)))
			passed := err == nil && response.AfterBody
			if !errors.Is(err, target.ErrIncomplete) && !passed {
				t.Errorf("%s, body %q: error %v", response.Name, body, err)
			}
		}
	}
}

// An engine that answers an order with a head that never ends does not fill the memory.
func TestHeadOfAReplyIsBounded(t *testing.T) {
	is := is.New(t)
	const most = 8 << 20 // what sockets and buffers hold, far more than a head may have
	sent := make(chan int, 1)
	engine := faultyEngine(t, func(c *net.TCPConn) {
		n, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		for field := []byte("X-More: " + strings.Repeat("x", 16<<10) + "\r\n"); err == nil && n < 64<<20; n += len(field) {
			_, err = c.Write(field)
		}
		sent <- n
	})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	is.True(errors.Is(newClient(t).Send(ctx, engine, target.Order{ID: "o"}), target.ErrIncomplete))
	is.True(<-sent < most)
}

// An engine sends a refusal once more, late. The next request, which it runs, is not taken for refused.
func TestLateCopyOfARefusalOfAnEngine(t *testing.T) {
	is := is.New(t)
	copier := faulty.Copier{
		Refusal:  "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 16\r\n\r\n{\"not_run\":true}",
		Response: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(doneLine) + "0\r\n\r\n",
	}
	engine, client := faultyEngine(t, copier.Serve), newClient(t)
	_, err := client.Generate(t.Context(), engine, request())
	is.True(errors.Is(err, target.ErrRefused))
	s, err := client.Generate(t.Context(), engine, request())
	is.NoErr(err)
	chunk, err := s.Next()
	is.NoErr(err)
	is.True(chunk.Done)
	is.Equal(copier.Runs.Load(), int32(1))
}

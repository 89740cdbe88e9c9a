package httpengine

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"zinniapin/target"
)

// For each way in which an engine may frame and end its answer, the answer counts as complete only if
// its end marker came, and otherwise as incomplete, so that the caller never takes it for whole.
func TestEveryEndingOfAnEnginesAnswerIsToldApart(t *testing.T) {
	const first = `{"attempt":"a","offset":0,"tokens":1,"text":"x "}` + "\n"
	const last = `{"attempt":"a","offset":1,"tokens":1,"text":"y ","done":true,"finish":"stop"}` + "\n"
	bodies := map[string]struct {
		sent     string
		complete bool
	}{"whole": {first + last, true}, "without the end marker": {first, false}, "inside the end marker": {first + last[:20], false}, "empty": {"", false}}
	framings := map[string]func(sent string) string{
		"length": func(s string) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(s), s)
		},
		"length, too short": func(s string) string {
			return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(s)+50, s)
		},
		"chunks": func(s string) string {
			return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(s) + "0\r\n\r\n"
		},
		"chunks, not ended": func(s string) string { return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(s) },
		"neither":           func(s string) string { return "HTTP/1.1 200 OK\r\n\r\n" + s },
		"HTTP/1.0, neither": func(s string) string { return "HTTP/1.0 200 OK\r\n\r\n" + s },
		"connection: close": func(s string) string { return "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + s },
		"chunk without head": func(s string) string {
			return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks(s) + "5"
		},
	}
	for framing, frame := range framings {
		for body, b := range bodies {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, reset %v", framing, body, reset), func(t *testing.T) {
					engine := newRawServer(t, func(c net.Conn) { answerOnce(c, frame(b.sent), reset) })
					ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
					defer cancel()
					s, err := newClient(t).Generate(ctx, engine, request())
					done := false
					for err == nil {
						var chunk target.Chunk
						if chunk, err = s.Next(); err == nil {
							done = done || chunk.Done
						}
					}
					if done != b.complete {
						t.Errorf("end marker seen: %v, want %v (%v)", done, b.complete, err)
					}
					if !done && !errors.Is(err, target.ErrIncomplete) {
						t.Errorf("error %v, want ErrIncomplete", err)
					}
				})
			}
		}
	}
}

// chunks returns a text as one chunk, or none if it is empty.
func chunks(s string) string {
	if s == "" {
		return ""
	}
	return fmt.Sprintf("%x\r\n%s\r\n", len(s), s)
}

// answerOnce reads one request, answers it and closes or resets the connection.
func answerOnce(c net.Conn, answer string, reset bool) {
	defer c.Close() //nolint:errcheck // a test
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, request.Body)
	_, _ = io.WriteString(c, answer)
	if tcp, ok := c.(*net.TCPConn); ok && reset {
		time.Sleep(20 * time.Millisecond) // the answer arrives before the reset
		_ = tcp.SetLinger(0)
	}
}

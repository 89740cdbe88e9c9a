package ingress_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/ingress"
	"zinniapin/invariant"
)

// Guards against a handler whose failure ends the process: the connection of its caller is closed, and others are served.
func TestPanicOfTheHandlerClosesItsConnectionOnly(t *testing.T) {
	invariant.Tolerate(t)
	is := is.New(t)
	h := &handler{do: func(_ context.Context, r *ingress.Request, w *ingress.Writer) {
		if r.Path == "/panic" {
			panic("provoked")
		}
		w.Refuse(http.StatusNoContent, nil)
	}}
	server, connect := start(t, h)
	other, reader := connect()
	for range 3 {
		c, _ := connect()
		_, err := fmt.Fprint(c, "GET /panic HTTP/1.1\r\nHost: a\r\n\r\n")
		is.NoErr(err)
		_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
		data, err := io.ReadAll(c)
		is.NoErr(err)
		is.Equal(len(data), 0)
		_, err = fmt.Fprint(other, "GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
		is.NoErr(err)
		response, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		is.Equal(response.StatusCode, http.StatusNoContent)
	}
	for end := time.Now().Add(time.Second); server.Connections() > 1; time.Sleep(time.Millisecond) {
		is.True(time.Now().Before(end)) // the closed ones are forgotten
	}
}

package daemon

import (
	"context"
	"io"
	"net/http"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"zinniapin/intake"
	"zinniapin/result"
)

func TestListenNamesTheField(t *testing.T) {
	is := is.New(t)
	first, err := Listen("listen", "127.0.0.1:0", nil, intake.Operators)
	is.NoErr(err)
	defer func() { _ = first.Close() }()
	_, err = Listen("operators", first.Addr().String(), nil, intake.Operators)
	is.Equal(result.CodeOf(err), result.AddressInUse)
	is.Equal(result.Of(err).Place, "operators")
	_, err = Listen("operators", "127.0.0.1", nil, intake.Operators)
	is.Equal(result.CodeOf(err), result.BadSettings)
	is.Equal(result.Of(err).Place, "operators")
}

// TestSignals checks that the first signal cancels only the first context, that
// the second signal cancels the other one, and that no goroutine is left after
// stop.
func TestSignals(t *testing.T) {
	is := is.New(t)
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent(), goleak.IgnoreAnyFunction("os/signal.loop"))
	graceful, immediate, stop := Signals(context.Background())
	is.NoErr(syscall.Kill(syscall.Getpid(), syscall.SIGTERM))
	<-graceful.Done()
	is.NoErr(immediate.Err())
	is.NoErr(syscall.Kill(syscall.Getpid(), syscall.SIGINT))
	<-immediate.Done()
	stop()

	graceful, immediate, stop = Signals(context.Background())
	stop()
	<-graceful.Done()
	<-immediate.Done()
}

func TestOperators(t *testing.T) {
	is := is.New(t)
	var notReady error = result.New(result.NotReady, "no configuration")
	server, err := NewOperatorsServer("127.0.0.1:0", nil, nil, NewRegistry(), new(zerolog.Nop()), func() error { return notReady })
	is.NoErr(err)
	served := make(chan error, 1)
	go func() { served <- server.Serve() }()
	get := func(path string) (int, string) {
		response, err := http.Get("http://" + server.Address() + path)
		is.NoErr(err)
		defer func() { _ = response.Body.Close() }()
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		return response.StatusCode, string(body)
	}
	status, _ := get("/healthz")
	is.Equal(status, http.StatusOK)
	status, body := get("/readyz")
	is.Equal(status, http.StatusServiceUnavailable)
	is.True(body != "")
	notReady = nil
	status, _ = get("/readyz")
	is.Equal(status, http.StatusOK)
	status, _ = get("/metrics")
	is.Equal(status, http.StatusOK)
	is.NoErr(server.Close())
	is.NoErr(<-served)
}

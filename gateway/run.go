package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"zinniapin/event"
	"zinniapin/settings"
)

// Run serves callers on the listener until graceful ends, and then shuts down
// so that no request is cut: the gateway is not ready at once, serves on
// while the balancer takes note, stops accepting, finishes every request and
// hands its usage over. When immediate ends first, what still runs is cut and
// the log says how much.
//
// The one request that a shutdown can still meet is one on its way over an
// idle connection at the moment when that is closed; during the delay every
// answer therefore closes its connection, and a balancer that heeds readiness
// opens none.
func (g *Gateway) Run(graceful, immediate context.Context, listener net.Listener) error {
	background, stop := context.WithCancel(context.WithoutCancel(immediate))
	var tasks sync.WaitGroup
	defer tasks.Wait()
	defer stop()
	tasks.Go(func() { g.maintain(background) })
	tasks.Go(func() { g.runUplink(background) })
	server := &http.Server{
		Handler:           g,
		ReadHeaderTimeout: headerReadTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(listener) }()
	event.ProcessStarted.Log(&g.log).Str("address", listener.Addr().String()).Send()
	select {
	case err := <-served:
		return trace.Wrap(err)
	case <-immediate.Done():
	case <-graceful.Done():
	}
	return g.shutDown(immediate, server)
}

// runUplink keeps the links to the controllers until ctx ends.
func (g *Gateway) runUplink(ctx context.Context) {
	if g.options.Uplink == nil {
		return
	}
	err := g.options.Uplink.Run(ctx, g)
	if err != nil && ctx.Err() == nil {
		event.UplinkEnded.Log(&g.log).Err(err).Send()
	}
}

// leaver is an uplink that tells the controllers that the gateway leaves, so
// that its share of the limits goes to the others.
type leaver interface {
	Leave()
}

// shutDown ends the server, gracefully until immediate ends.
func (g *Gateway) shutDown(immediate context.Context, server *http.Server) error {
	g.draining.Store(true)
	event.ProcessStopping.Log(&g.log).Int64("running", g.inFlight.Load()).Send()
	if l, ok := g.options.Uplink.(leaver); ok {
		l.Leave()
	}
	delay := time.NewTimer(settings.Millis(g.options.Settings.DrainDelayMillis))
	defer delay.Stop()
	select {
	case <-delay.C:
	case <-immediate.Done():
	}
	err := server.Shutdown(immediate)
	if err != nil {
		event.ShutdownCutRequest.Log(&g.log).Int64("requests", g.inFlight.Load()).Send()
		err = errors.Join(err, server.Close())
	}
	g.flush(immediate)
	event.ProcessStopped.Log(&g.log).Int64("cut", g.inFlight.Load()).Send()
	return trace.Wrap(err)
}

// flush hands the usage over.
func (g *Gateway) flush(immediate context.Context) {
	if g.options.Uplink == nil {
		return
	}
	ctx, cancel := context.WithTimeout(immediate, settings.Millis(g.options.Settings.FlushMillis))
	defer cancel()
	if err := g.options.Uplink.Flush(ctx, g); err != nil {
		event.UsageNotFlushed.Log(&g.log).Int("counters", len(g.Usage())).Err(err).Send()
	}
}

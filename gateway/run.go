package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gravitational/trace"

	"zinniapin/daemon"
	"zinniapin/event"
	"zinniapin/intake"
	"zinniapin/settings"
)

// Run serves callers on the listener until graceful ends. It then shuts down without cutting
// off any request: the gateway reports that it is not ready, keeps serving until the load
// balancer has noticed, stops accepting connections, completes all requests and hands over
// its usage. If immediate ends first, the remaining requests are cut off and their number is
// logged.
//
// A shutdown can still lose a request that is being sent on an idle connection at the moment
// when that connection is closed. During the delay each response therefore closes its
// connection, and a load balancer that observes readiness opens no new ones.
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
		ErrorLog:          daemon.ServerErrors(&g.log),
	}
	intake.Bound(server)
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

// runUplink runs the links to the controllers until ctx ends.
func (g *Gateway) runUplink(ctx context.Context) {
	if g.options.Uplink == nil {
		return
	}
	err := g.options.Uplink.Run(ctx, g)
	if err != nil && ctx.Err() == nil {
		event.UplinkEnded.Log(&g.log).Err(err).Send()
	}
}

// leaver is an uplink that can announce to the controllers that the gateway is leaving, so
// that its share of the limits goes to the other gateways.
type leaver interface {
	Leave()
}

// shutDown stops the server, gracefully unless immediate ends first.
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
	g.flushUsage(immediate)
	event.ProcessStopped.Log(&g.log).Int64("cut", g.inFlight.Load()).Send()
	return trace.Wrap(err)
}

// flushUsage hands the remaining usage over to the controllers.
func (g *Gateway) flushUsage(immediate context.Context) {
	if g.options.Uplink == nil {
		return
	}
	ctx, cancel := context.WithTimeout(immediate, settings.Millis(g.options.Settings.FlushMillis))
	defer cancel()
	if err := g.options.Uplink.Flush(ctx, g); err != nil {
		event.UsageNotFlushed.Log(&g.log).Int("counters", len(g.Usage())).Err(err).Send()
	}
}

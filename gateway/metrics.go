package gateway

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// metrics are the gateway's metrics. No label names an organisation, so that the number of
// time series is bounded.
type metrics struct {
	requests      *prometheus.CounterVec
	attempts      *prometheus.CounterVec
	droppedChunks prometheus.Counter
	firstToken    prometheus.Histogram
	queueWait     prometheus.Histogram
	tokens        prometheus.Counter
}

// latencyBuckets are histogram bounds in seconds, densest around the latency objectives.
var latencyBuckets = []float64{.005, .02, .05, .1, .25, .5, 1, 1.5, 2, 3, 5, 10, 30}

// newMetrics registers the metrics of a gateway.
func newMetrics(r *prometheus.Registry, g *Gateway) *metrics {
	m := &metrics{
		requests:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "zinnia_gateway_requests_total", Help: "Requests ended, by kind and result."}, []string{"kind", "result"}),
		attempts:      prometheus.NewCounterVec(prometheus.CounterOpts{Name: "zinnia_gateway_attempts_total", Help: "Attempts ended, by outcome."}, []string{"outcome"}),
		droppedChunks: prometheus.NewCounter(prometheus.CounterOpts{Name: "zinnia_gateway_chunks_dropped_total", Help: "Chunks of another attempt or delivered before."}),
		firstToken:    prometheus.NewHistogram(prometheus.HistogramOpts{Name: "zinnia_gateway_first_token_seconds", Help: "Time from a request's arrival to its first token.", Buckets: latencyBuckets}),
		queueWait:     prometheus.NewHistogram(prometheus.HistogramOpts{Name: "zinnia_gateway_queue_wait_seconds", Help: "Time from admission to dispatch.", Buckets: latencyBuckets}),
		tokens:        prometheus.NewCounter(prometheus.CounterOpts{Name: "zinnia_gateway_output_tokens_total", Help: "Output tokens delivered."}),
	}
	inFlight := prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "zinnia_gateway_requests_in_flight", Help: "Requests in progress."}, func() float64 {
		return float64(g.inFlight.Load())
	})
	revision := prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "zinnia_gateway_configuration_revision", Help: "Revision of the configuration in force."}, func() float64 {
		if s := g.snapshot.Load(); s != nil {
			return float64(s.Revision)
		}
		return 0
	})
	r.MustRegister(m.requests, m.attempts, m.droppedChunks, m.firstToken, m.queueWait, m.tokens, inFlight, revision)
	return m
}

// observeSince observes the time elapsed since start.
func observeSince(h prometheus.Histogram, start time.Time) {
	h.Observe(time.Since(start).Seconds())
}

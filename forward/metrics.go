package forward

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics are the metrics of forwarded requests.
type Metrics struct {
	requests       *prometheus.CounterVec
	latency        *prometheus.HistogramVec
	firstEvent     *prometheus.HistogramVec
	failedAttempts *prometheus.CounterVec
	retriesDenied  *prometheus.CounterVec
	moves          *prometheus.CounterVec
}

// latencyBuckets are histogram bounds in seconds. Latency objectives lie between 0.1 s and 1 s.
var latencyBuckets = []float64{.01, .025, .05, .1, .15, .2, .3, .4, .6, .8, 1, 1.5, 2.5, 5, 10}

// NewMetrics returns metrics that are registered with r.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "zinnia_requests_total", Help: "Requests by route, status and result code; 0 is an answer of a target.",
		}, []string{"route", "status", "code"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "zinnia_request_seconds", Help: "Time to the end of an answer.", Buckets: latencyBuckets,
		}, []string{"route"}),
		firstEvent: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "zinnia_first_event_seconds", Help: "Time to the first event of a stream, or to a plain answer.", Buckets: latencyBuckets,
		}, []string{"route"}),
		failedAttempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "zinnia_attempts_failed_total", Help: "Attempts at targets without a whole answer, by how they ended.",
		}, []string{"service", "how"}),
		retriesDenied: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "zinnia_retries_denied_total", Help: "Repeats that the retry budget did not allow.",
		}, []string{"service"}),
		moves: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "zinnia_stream_moves_total", Help: "Streams at leaving engines, by whether another engine has gone on with them.",
		}, []string{"service", "how"}),
	}
	r.MustRegister(m.requests, m.latency, m.firstEvent, m.failedAttempts, m.retriesDenied, m.moves)
	return m
}

// observe records a request that has ended after elapsed.
func (m *Metrics) observe(r *request, elapsed time.Duration) {
	name := "none"
	if r.route != nil {
		name = r.route.Name
	}
	m.requests.WithLabelValues(name, strconv.Itoa(r.summary.status), strconv.Itoa(int(r.summary.code))).Inc()
	m.latency.WithLabelValues(name).Observe(elapsed.Seconds())
	if r.summary.firstEvent > 0 {
		m.firstEvent.WithLabelValues(name).Observe(r.summary.firstEvent.Seconds())
	}
}

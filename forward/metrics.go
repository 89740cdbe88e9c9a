package forward

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// Metrics count what happens to requests.
type Metrics struct {
	requests    *prometheus.CounterVec
	latency     *prometheus.HistogramVec
	first       *prometheus.HistogramVec
	attempts    *prometheus.CounterVec
	budgetEmpty *prometheus.CounterVec
}

// latencyBuckets are seconds; objectives lie between 0.1 and 1.
var latencyBuckets = []float64{.01, .025, .05, .1, .15, .2, .3, .4, .6, .8, 1, 1.5, 2.5, 5, 10}

// NewMetrics returns metrics in a registry.
func NewMetrics(r prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "zinnia_requests_total", Help: "Requests by route, status and result code; 0 is an answer of a target.",
		}, []string{"route", "status", "code"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "zinnia_request_seconds", Help: "Time to the end of an answer.", Buckets: latencyBuckets,
		}, []string{"route"}),
		first: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "zinnia_first_event_seconds", Help: "Time to the first event of a stream, or to a plain answer.", Buckets: latencyBuckets,
		}, []string{"route"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "zinnia_attempts_failed_total", Help: "Attempts at targets without a whole answer, by how they ended.",
		}, []string{"service", "how"}),
		budgetEmpty: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "zinnia_retries_denied_total", Help: "Repeats that the retry budget did not allow.",
		}, []string{"service"}),
	}
	r.MustRegister(m.requests, m.latency, m.first, m.attempts, m.budgetEmpty)
	return m
}

// observe counts a request that has ended.
func (m *Metrics) observe(r *request, spent time.Duration) {
	name := "none"
	if r.route != nil {
		name = r.route.Name
	}
	m.requests.WithLabelValues(name, strconv.Itoa(r.trail.status), strconv.Itoa(int(r.trail.code))).Inc()
	m.latency.WithLabelValues(name).Observe(spent.Seconds())
	if r.trail.first > 0 {
		m.first.WithLabelValues(name).Observe(r.trail.first.Seconds())
	}
}

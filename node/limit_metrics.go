package node

import (
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"zinniapin/wire"
)

// messageCount counts messages in one direction.
type messageCount struct{ messages, bytes atomic.Int64 }

// add counts a datagram.
func (c *messageCount) add(d *wire.HostDigest) {
	c.messages.Add(1)
	c.bytes.Add(int64(proto.Size(d)))
}

// limitMessageCounts counts the messages about limits.
type limitMessageCounts struct {
	sent, received messageCount
	malformed      atomic.Int64
}

// Metrics of the limits of organisations.
var (
	limitRateMetric      = newLimitMetric("rate", "Limit of the organisation over all hosts, in units a second.", "organisation")
	limitUsedMetric      = newLimitMetric("used_units", "Units that this host admitted in the last window.", "organisation")
	limitBalanceMetric   = newLimitMetric("balance_units", "Units that were granted to this host and not used yet.", "organisation")
	limitGrantedMetric   = newLimitMetric("granted_units", "Units that this host granted in the last window.", "organisation")
	limitRefusedMetric   = newLimitMetric("refused_total", "Admissions that this host refused.", "organisation", "reason")
	limitLentMetric      = newLimitMetric("share_lent", "Whether this host has lent its base share of all limits, 0 or 1.")
	limitMessagesMetric  = newLimitMetric("messages_total", "Datagrams about limits.", "direction")
	limitBytesMetric     = newLimitMetric("message_bytes_total", "Bytes of datagrams about limits, without headers of IP and UDP.", "direction")
	limitMalformedMetric = newLimitMetric("messages_malformed_total", "Datagrams about limits that were dropped because they are malformed.")
)

// newLimitMetric describes a metric of the limits of organisations.
func newLimitMetric(name, help string, labels ...string) *prometheus.Desc {
	return prometheus.NewDesc("zinnia_limit_"+name, help, labels, nil)
}

// Describe implements prometheus.Collector.
func (l *organisationLimits) Describe(descs chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{
		limitRateMetric, limitUsedMetric, limitBalanceMetric, limitGrantedMetric, limitRefusedMetric, limitLentMetric, limitMessagesMetric, limitBytesMetric, limitMalformedMetric,
	} {
		descs <- d
	}
}

// Collect implements prometheus.Collector. Organisations without a limit have no metrics, and there are none at
// all before the first limit.
func (l *organisationLimits) Collect(metrics chan<- prometheus.Metric) {
	var all []prometheus.Metric
	put := func(d *prometheus.Desc, kind prometheus.ValueType, value float64, labels ...string) {
		all = append(all, prometheus.MustNewConstMetric(d, kind, value, labels...))
	}
	counts := &l.messages
	if l.active() || counts.sent.messages.Load() > 0 {
		for direction, c := range map[string]*messageCount{"sent": &counts.sent, "received": &counts.received} {
			put(limitMessagesMetric, prometheus.CounterValue, float64(c.messages.Load()), direction)
			put(limitBytesMetric, prometheus.CounterValue, float64(c.bytes.Load()), direction)
		}
		put(limitMalformedMetric, prometheus.CounterValue, float64(counts.malformed.Load()))
	}
	if l.active() {
		l.collectOrganisations(put)
	}
	for _, m := range all {
		metrics <- m
	}
}

// collectOrganisations passes on the metrics of the organisations that have a limit.
func (l *organisationLimits) collectOrganisations(put func(d *prometheus.Desc, kind prometheus.ValueType, value float64, labels ...string)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := l.core.Status(l.now())
	lent := 0.0
	if lentTo(all) != "" {
		lent = 1
	}
	put(limitLentMetric, prometheus.GaugeValue, lent)
	for _, s := range all {
		if !l.Limited(s.Organisation) {
			continue
		}
		put(limitRateMetric, prometheus.GaugeValue, s.Limit.Rate, s.Organisation)
		put(limitUsedMetric, prometheus.GaugeValue, float64(s.Used), s.Organisation)
		put(limitBalanceMetric, prometheus.GaugeValue, float64(s.Balance), s.Organisation)
		put(limitGrantedMetric, prometheus.GaugeValue, float64(s.Granted), s.Organisation)
		for reason, n := range l.refusals[s.Organisation] {
			put(limitRefusedMetric, prometheus.CounterValue, float64(n), s.Organisation, string(reason))
		}
	}
}

package controller

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/protobuf/proto"

	"zinniapin/machine"
	"zinniapin/wire"
)

// Values of metric labels.
const (
	labelGateway    = "gateway"
	labelController = "controller"
	labelTemporary  = "temporary"
	labelSent       = "sent"
	labelReceived   = "received"
	labelAnswered   = "answered"
	labelFailed     = "failed"
	labelGranted    = "granted"
	labelWaiting    = "waiting"
)

// metrics are the counters of a controller. No label holds the name of a process,
// a target or an organisation, so the number of series is bounded.
type metrics struct {
	heartbeats     *prometheus.CounterVec
	heartbeatBytes *prometheus.CounterVec
	grants         *prometheus.CounterVec
}

// newMetrics returns metrics whose counters are zero.
func newMetrics() *metrics {
	return &metrics{
		heartbeats: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "zinnia_controller_heartbeats_total", Help: "Heartbeats sent to other controllers, by outcome.",
		}, []string{"outcome"}),
		heartbeatBytes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "zinnia_controller_heartbeat_bytes_total", Help: "Bytes of heartbeats and their replies without framing, by direction.",
		}, []string{"direction"}),
		grants: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "zinnia_controller_grants_total", Help: "Demands answered as their grantor, by outcome.",
		}, []string{"outcome"}),
	}
}

// countHeartbeatBytes counts the bytes of a heartbeat and its reply.
func (m *metrics) countHeartbeatBytes(sent, received *wire.Heartbeat) {
	m.heartbeatBytes.WithLabelValues(labelSent).Add(float64(proto.Size(sent)))
	m.heartbeatBytes.WithLabelValues(labelReceived).Add(float64(proto.Size(received)))
}

// countHeartbeat counts a heartbeat that was sent, by outcome.
func (m *metrics) countHeartbeat(err error) {
	if err != nil {
		m.heartbeats.WithLabelValues(labelFailed).Inc()
		return
	}
	m.heartbeats.WithLabelValues(labelAnswered).Inc()
}

// countGrant counts a gateway's demand that this controller answered as grantor; ok
// tells whether it gave a grant.
func (m *metrics) countGrant(ok bool) {
	if ok {
		m.grants.WithLabelValues(labelGranted).Inc()
		return
	}
	m.grants.WithLabelValues(labelWaiting).Inc()
}

// Descriptions of the gauges whose values are read at each scrape.
var (
	linksDesc = prometheus.NewDesc("zinnia_controller_links", "Open links, by kind of peer; temporary ones are to controllers.", []string{"kind"}, nil)
	// membersDesc counts the processes that this controller considers live.
	membersDesc       = prometheus.NewDesc("zinnia_controller_members", "Processes that pass for live, by role.", []string{"role"}, nil)
	knownDesc         = prometheus.NewDesc("zinnia_controller_members_known", "Hosts remembered, live or not, by role.", []string{"role"}, nil)
	targetsDesc       = prometheus.NewDesc("zinnia_controller_targets", "Targets of the region that are not gone.", nil, nil)
	organisationsDesc = prometheus.NewDesc("zinnia_controller_granted_organisations", "Organisations that this controller grants for.", nil, nil)
	revisionDesc      = prometheus.NewDesc("zinnia_controller_configuration_revision", "Revision of the configuration in force.", nil, nil)
	confirmedDesc     = prometheus.NewDesc("zinnia_controller_confirmation_age_seconds", "Time since the store was last known to hold no newer revision; absent if never.", nil, nil)
)

// collector reads gauges from the current state of a controller.
type collector struct {
	k *Controller
}

// Register registers the controller's metrics. It returns the error of the
// registry.
func (k *Controller) Register(r prometheus.Registerer) error {
	for _, c := range []prometheus.Collector{k.metrics.heartbeats, k.metrics.heartbeatBytes, k.metrics.grants, collector{k}} {
		if err := r.Register(c); err != nil {
			return err
		}
	}
	return nil
}

// Describe implements prometheus.Collector.
func (c collector) Describe(descriptions chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{linksDesc, membersDesc, knownDesc, targetsDesc, organisationsDesc, revisionDesc, confirmedDesc} {
		descriptions <- d
	}
}

// Collect implements prometheus.Collector.
func (c collector) Collect(found chan<- prometheus.Metric) {
	gauge := func(d *prometheus.Desc, value int, labels ...string) {
		found <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, float64(value), labels...)
	}
	gateways, peers, temporary := c.k.links.counts()
	gauge(linksDesc, gateways, labelGateway)
	gauge(linksDesc, peers, labelController)
	gauge(linksDesc, temporary, labelTemporary)
	now := time.Now()
	live := map[machine.Role]int{}
	for _, m := range c.k.Members() {
		live[m.Process.Role]++
	}
	for _, role := range []machine.Role{machine.Gateway, machine.Controller} {
		c.k.mu.Lock()
		known := c.k.members.KnownHostCount(now, role)
		c.k.mu.Unlock()
		gauge(membersDesc, live[role], string(role))
		gauge(knownDesc, known, string(role))
	}
	gauge(targetsDesc, len(c.k.Targets()))
	gauge(organisationsDesc, c.k.grants.size())
	gauge(revisionDesc, int(c.k.replica.Revision()))
	if confirmed := c.k.replica.Confirmed().At; !confirmed.IsZero() {
		found <- prometheus.MustNewConstMetric(confirmedDesc, prometheus.GaugeValue, now.Sub(confirmed).Seconds())
	}
}

// size returns the number of organisations whose state the grantor holds.
func (g *grantor) size() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.organisations)
}

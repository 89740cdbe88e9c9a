package controller

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"zinniapin/control"
)

// valuesOf returns the values in a registry by metric name and label values.
func valuesOf(t *testing.T, r *prometheus.Registry) map[string]float64 {
	families, err := r.Gather()
	if err != nil {
		t.Fatal(err)
	}
	values := map[string]float64{}
	for _, family := range families {
		for _, m := range family.Metric {
			name := family.GetName()
			for _, label := range m.Label {
				name += "/" + label.GetValue()
			}
			values[name] = m.GetGauge().GetValue() + m.GetCounter().GetValue()
		}
	}
	return values
}

// TestMetricsShowTheMesh checks the metrics of links, members, grants and
// heartbeats in a fleet of seven hosts.
func TestMetricsShowTheMesh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 7)
		first := f.accept(0, 100)
		r := prometheus.NewRegistry()
		is.NoErr(f.running[0].Register(r))
		for _, g := range f.gateways {
			g.mu.Lock()
			g.demands = []control.Demand{{Organisation: "svetki", RequestsPerSecond: 1, Concurrency: 1}}
			g.mu.Unlock()
		}
		time.Sleep(time.Minute)
		values := valuesOf(t, r)
		is.Equal(values["zinnia_controller_links/controller"], 6.0)
		is.True(values["zinnia_controller_links/gateway"] >= 1)
		is.Equal(values["zinnia_controller_members/gateway"], 7.0)
		is.Equal(values["zinnia_controller_members_known/controller"], 7.0)
		is.Equal(values["zinnia_controller_configuration_revision"], float64(first))
		is.True(values["zinnia_controller_heartbeats_total/answered"] > 100)
		is.True(values["zinnia_controller_heartbeat_bytes_total/sent"] > 1000)
		is.True(values["zinnia_controller_heartbeat_bytes_total/received"] > 1000)
		granted := 0.0
		for _, k := range f.running {
			one := prometheus.NewRegistry()
			if err := k.Register(one); err != nil {
				t.Fatal(err)
			}
			granted += valuesOf(t, one)["zinnia_controller_grants_total/granted"]
		}
		is.True(granted > 100)
	})
}

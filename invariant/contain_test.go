package invariant

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	dto "github.com/prometheus/client_model/go"
	"github.com/rs/zerolog"
)

// Guards against tests that pass although something panicked: outside of tests that provoke it, a contained panic goes on.
func TestPanicGoesOnInTests(t *testing.T) {
	is := is.New(t)
	defer func() { is.True(strings.Contains(recover().(string), "no_panic")) }()
	func() {
		defer Contain("request", nil)
		panic("provoked")
	}()
	t.Error("the panic was swallowed")
}

// panics returns how many panics were counted.
func panics(t *testing.T) float64 {
	t.Helper()
	var m dto.Metric
	if err := Violations.WithLabelValues("no_panic").Write(&m); err != nil {
		t.Fatal(err)
	}
	return m.GetCounter().GetValue()
}

// A contained panic is counted and logged with its cause and stack, and what was being served is ended.
func TestPanicIsContained(t *testing.T) {
	Tolerate(t)
	is := is.New(t)
	var lines bytes.Buffer
	log := zerolog.New(&lines)
	SetLogger(&log)
	t.Cleanup(func() { SetLogger(nil) })
	before := panics(t)
	ended := 0
	for _, serve := range []func(){func() {}, func() { panic("provoked") }} {
		func() {
			defer Contain("request", func() { ended++ })
			serve()
		}()
	}
	is.Equal(ended, 1)
	is.Equal(panics(t), before+1)
	is.True(strings.Contains(lines.String(), "request: provoked"))
	is.True(strings.Contains(lines.String(), "contain_test.go"))
}

package yamuxlink

import (
	"context"
	"encoding/binary"
	"strings"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"zinniapin/intake"
	"zinniapin/link"
)

// heldBytes returns what accepted connections make the process hold.
func heldBytes(t *testing.T, r *prometheus.Registry) float64 {
	t.Helper()
	all, err := r.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range all {
		if m.GetName() == "zinnia_intake_bytes" {
			return m.GetMetric()[0].GetGauge().GetValue()
		}
	}
	t.Fatal("no metric of the bytes held")
	return 0
}

// TestLinksCountWhatTheyHold checks that calls give back what they held, that input is counted although nobody reads it or
// this process has closed its stream, and that nothing is counted once the link has ended.
func TestLinksCountWhatTheyHold(t *testing.T) {
	is := is.New(t)
	registry := prometheus.NewRegistry()
	server := newNetwork("host-b", nil)
	server.Intake = intake.New(intake.Options{MemoryMB: 128, Descriptors: 256, Log: server.Log, Registry: registry})
	server.Kind = intake.Links
	address, accepted := listen(t, server)
	l, err := newNetwork("host-a", nil).Dial(context.Background(), address, echo)
	is.NoErr(err)
	<-accepted
	idle := heldBytes(t, registry)
	settles := func(want float64) {
		t.Helper()
		for end := time.Now().Add(eventTimeout); heldBytes(t, registry) != want; time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("%v bytes are held, want %v", heldBytes(t, registry), want)
			}
		}
	}
	for range 20 {
		_, err := l.Call(context.Background(), statusRequest("", strings.Repeat("a", 200<<10)))
		is.NoErr(err)
	}
	settles(idle)

	stream, err := l.(*session).mux.OpenStream()
	is.NoErr(err)
	_, err = stream.Write(binary.BigEndian.AppendUint32(nil, link.MaxMessageBytes+1)) // refused: this process closes the stream
	is.NoErr(err)
	_, err = stream.Read(make([]byte, 1))
	is.True(err != nil)
	_, err = stream.Write(make([]byte, 100<<10))
	is.NoErr(err)
	settles(idle + streamBytes + bufferCopies*(100<<10))
	is.NoErr(stream.Close())
	settles(idle)

	var open []*yamux.Stream
	for range 4 {
		s, err := l.(*session).mux.OpenStream()
		is.NoErr(err)
		_, err = s.Write(binary.BigEndian.AppendUint32(nil, link.MaxMessageBytes))
		is.NoErr(err)
		open = append(open, s)
	}
	for _, s := range open {
		_, err := s.Write(make([]byte, 100<<10))
		is.NoErr(err)
	}
	is.NoErr(l.Close())
	settles(0)
}

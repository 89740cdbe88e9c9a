package timeline_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"zinniapin/timeline"
)

// Logs of two hosts. The second has a prefix before a line and two lines that cannot be read.
const (
	logOne = `{"level":"info","process":"node","host":"h1","event":7010,"name":"configuration_taken","configuration":4,"from":"store","time":"2026-03-01T12:00:00Z"}
{"level":"warn","process":"node","host":"h1","event":7014,"name":"store_lost","collection":"servers","error":"timed out","time":"2026-03-01T12:00:55Z"}
{"level":"warn","process":"node","host":"h1","event":7001,"name":"attempt_ended","request":"r-1","target":"i-1","how":"broken","time":"2026-03-01T12:01:00.200Z"}
{"level":"info","process":"node","host":"h1","event":7000,"name":"request_done","request":"r-2","status":200,"ms":5,"time":"2026-03-01T12:01:00.210Z"}
{"level":"info","process":"node","host":"h1","event":7000,"name":"request_done","request":"r-1","status":502,"ms":300.5,"reason":"outcome_unknown","time":"2026-03-01T12:01:00.300Z"}
`
	logTwo = `12.01 h2 {"level":"warn","process":"node","host":"h2","event":7019,"name":"peer_lost","peer":"h1","time":"2026-03-01T12:01:00Z"}
not a line of a log
{"half":`
)

// read returns a collector that has read both logs.
func read(t *testing.T, request string) *timeline.Collector {
	t.Helper()
	c := timeline.NewCollector(request)
	for _, log := range []string{logTwo, logOne} {
		if err := c.Read(strings.NewReader(log)); err != nil {
			t.Fatal(err)
		}
	}
	return c
}

func TestEntriesAreThoseOfTheRequestAndItsHosts(t *testing.T) {
	is := is.New(t)
	c := read(t, "r-1")
	is.Equal(c.Lines, 8)
	is.Equal(c.Unreadable, 2)
	var names []string
	for _, e := range c.Entries() {
		names = append(names, e.Event)
		is.Equal(e.Host, "h1") // h2 logged nothing of the request
	}
	// Events more than 10 s before the request and those of other requests are left out.
	is.Equal(names, []string{"store_lost", timeline.Received, "attempt_ended", "request_done"})
	all := c.Entries()
	is.Equal(all[1].At, time.Date(2026, 3, 1, 12, 0, 59, 999_500_000, time.UTC))
	is.Equal(all[2].Text(), "target=i-1 how=broken")
	is.Equal(all[0].Text(), `collection=servers error="timed out"`)
	is.True(all[2].Own && !all[0].Own)
}

func TestUnknownRequestHasNoEntries(t *testing.T) {
	is := is.New(t)
	is.Equal(len(read(t, "r-9").Entries()), 0)
	is.Equal(len(read(t, "").Entries()), 0)
}

// A line longer than maxLineBytes is counted as unreadable, and the lines after it are read.
func TestLongLinesCountAsUnreadable(t *testing.T) {
	is := is.New(t)
	c := timeline.NewCollector("r-1")
	is.NoErr(c.Read(strings.NewReader(`{"x":"` + strings.Repeat("a", 3<<20) + `"}` + "\n" + logOne)))
	is.Equal(c.Unreadable, 1)
	is.Equal(len(c.Entries()), 4)
}

// FuzzRead checks that Read and the entries' Text work with any content of a file.
func FuzzRead(f *testing.F) {
	f.Add([]byte(logOne))
	f.Add([]byte(logTwo))
	f.Fuzz(func(t *testing.T, data []byte) {
		c := timeline.NewCollector("r-1")
		if err := c.Read(strings.NewReader(string(data))); err != nil {
			t.Fatal(err)
		}
		for _, e := range c.Entries() {
			_ = e.Text()
		}
	})
}

// Package timeline puts together, from the log lines of several hosts, what
// happened to one request: its own lines, and what its hosts learnt or lost
// meanwhile. It answers the question of a caller's complaint after the fact,
// when no process remembers the request.
package timeline

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"zinniapin/event"
)

const (
	// before is how long before the request's arrival the events of its hosts
	// are shown: a configuration or a lost dependency may be that old.
	before = 10 * time.Second
	// after is the same for its end.
	after = time.Second
	// maxLineBytes bounds a log line; longer ones are counted as unreadable.
	maxLineBytes = 1 << 20
	// maxEvents bounds the events of hosts that are kept while reading.
	maxEvents = 200_000
)

// Received names the arrival of a request, which is worked out from its last
// line.
const Received = "received"

// Entry is one thing that happened.
type Entry struct {
	At   time.Time `json:"at"`
	Host string    `json:"host"`
	// Event is the name of the event, or Received.
	Event string `json:"event"`
	// Own is set for what concerns the request itself, and not its host.
	Own bool `json:"own"`
	// Fields are what the line says besides, in the order of the line.
	Fields []Field `json:"fields,omitempty"`
}

// Field is one field of a line.
type Field struct {
	Name  string          `json:"name"`
	Value json.RawMessage `json:"value"`
}

// Collector reads log lines and keeps what concerns one request.
type Collector struct {
	request string
	own     []Entry
	events  []Entry
	// Lines is the number of lines read, Unreadable those that are no log lines
	// or have no time, Skipped the events of hosts beyond those that are kept.
	Lines, Unreadable, Skipped int
}

// NewCollector returns a collector for a request.
func NewCollector(request string) *Collector { return &Collector{request: request} }

// line is what every log line says.
type line struct {
	Time    time.Time `json:"time"`
	Host    string    `json:"host"`
	Event   int       `json:"event"`
	Name    string    `json:"name"`
	Request string    `json:"request"`
	Millis  float64   `json:"ms"`
}

// usual are the fields that an entry holds otherwise, or that say the same in
// every line.
var usual = map[string]bool{
	"time": true, "host": true, "event": true, "name": true, "request": true, "level": true, "process": true, "message": true,
}

// Read takes the lines of one file. A line may have words before its object, as
// collectors of logs add them. The error is that of the reader.
func (c *Collector) Read(r io.Reader) error {
	lines := bufio.NewReaderSize(r, 64<<10)
	for {
		text, err := readLine(lines)
		if len(text) > 0 {
			c.take(text)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// readLine returns the next line. Of one that is too long it returns the
// beginning, which cannot be decoded and is counted.
func readLine(r *bufio.Reader) ([]byte, error) {
	var text []byte
	for {
		part, more, err := r.ReadLine()
		if len(text) < maxLineBytes {
			text = append(text, part...)
		}
		if err != nil || !more {
			return text, err
		}
	}
}

// take keeps what a line says if it may concern the request.
func (c *Collector) take(text []byte) {
	c.Lines++
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		c.Unreadable++
		return
	}
	text = text[begin:]
	var l line
	if json.Unmarshal(text, &l) != nil || l.Time.IsZero() {
		c.Unreadable++
		return
	}
	switch {
	case l.Request == c.request && c.request != "":
		c.own = append(c.own, Entry{At: l.Time, Host: l.Host, Event: l.Name, Own: true, Fields: fields(text)})
		if l.Event == event.RequestDone.Number {
			arrival := l.Time.Add(-time.Duration(l.Millis * float64(time.Millisecond)))
			c.own = append(c.own, Entry{At: arrival, Host: l.Host, Event: Received, Own: true})
		}
	case l.Request == "" && l.Name != "":
		if len(c.events) >= maxEvents {
			c.Skipped++
			return
		}
		c.events = append(c.events, Entry{At: l.Time, Host: l.Host, Event: l.Name, Fields: fields(text)})
	}
}

// fields returns the fields of a line that not every line has.
func fields(text []byte) []Field {
	d := json.NewDecoder(bytes.NewReader(text))
	if _, err := d.Token(); err != nil {
		return nil // the line was decoded before
	}
	var all []Field
	for d.More() {
		name, err := d.Token()
		if err != nil {
			return all
		}
		var value json.RawMessage
		if d.Decode(&value) != nil {
			return all
		}
		if key, ok := name.(string); ok && !usual[key] {
			all = append(all, Field{key, value})
		}
	}
	return all
}

// Entries returns what happened in the order of time: the lines of the request,
// and the events of the hosts that had it from shortly before its arrival to
// shortly after its end. It is empty when no line names the request.
func (c *Collector) Entries() []Entry {
	if len(c.own) == 0 {
		return nil
	}
	type span struct{ from, to time.Time }
	hosts := make(map[string]span)
	for _, e := range c.own {
		s, ok := hosts[e.Host]
		if !ok || e.At.Before(s.from) {
			s.from = e.At
		}
		if e.At.After(s.to) {
			s.to = e.At
		}
		hosts[e.Host] = s
	}
	all := append([]Entry(nil), c.own...)
	for _, e := range c.events {
		s, ok := hosts[e.Host]
		if ok && !e.At.Before(s.from.Add(-before)) && !e.At.After(s.to.Add(after)) {
			all = append(all, e)
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At.Before(all[j].At) })
	return all
}

// Text returns the fields of an entry as name=value.
func (e Entry) Text() string {
	parts := make([]string, len(e.Fields))
	for i, f := range e.Fields {
		value := string(f.Value)
		var text string
		if json.Unmarshal(f.Value, &text) == nil && !strings.ContainsAny(text, " \t\"=") {
			value = text
		}
		parts[i] = fmt.Sprintf("%s=%s", f.Name, value)
	}
	return strings.Join(parts, " ")
}

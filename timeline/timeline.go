// Package timeline reconstructs from the log files of several hosts what happened to one request:
// the log lines of the request, and the other events on its hosts around that time, such as a new
// configuration or a lost dependency. It serves to investigate a caller's complaint afterwards,
// when no process has any state of the request.
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
	// contextBefore is the time before the arrival of the request from which the events of its
	// hosts are included, since an earlier event, such as a new configuration or a lost dependency,
	// may explain what happened.
	contextBefore = 10 * time.Second
	// contextAfter is the time after the last log line of the request up to which the events of its
	// hosts are included.
	contextAfter = time.Second
	// maxLineBytes bounds a log line. A longer line is counted as unreadable.
	maxLineBytes = 1 << 20
	// maxEvents bounds the host events that are held in memory.
	maxEvents = 200_000
)

// Received is the event name of the entry for the arrival of the request. No log line is written on
// arrival; the time is computed from the line that is logged at the end of the request.
const Received = "received"

// Entry is one event on the timeline.
type Entry struct {
	At   time.Time `json:"at"`
	Host string    `json:"host"`
	// Event is the name of the event in the log line. It is Received in the entry for the arrival
	// of the request, which has no log line.
	Event string `json:"event"`
	// Own is set for events of the request itself and unset for events of its host.
	Own bool `json:"own"`
	// Fields are the other fields of the log line, in their order in the line.
	Fields []Field `json:"fields,omitempty"`
}

// Field is one field of a log line.
type Field struct {
	Name  string          `json:"name"`
	Value json.RawMessage `json:"value"`
}

// Collector reads log lines and keeps those that may concern one request.
type Collector struct {
	requestID     string  // request id
	requestEvents []Entry // events of the request
	hostEvents    []Entry // events of hosts
	// Lines is the number of lines read. Unreadable is the number of those that are no log lines or
	// have no time, Skipped the number of host events dropped because maxEvents are held.
	Lines, Unreadable, Skipped int
}

// NewCollector returns a collector for the request with the id.
func NewCollector(request string) *Collector { return &Collector{requestID: request} }

// logLine holds the fields that are read from a log line.
type logLine struct {
	Time    time.Time `json:"time"`
	Host    string    `json:"host"`
	Event   int       `json:"event"`
	Name    string    `json:"name"`
	Request string    `json:"request"`
	Millis  float64   `json:"ms"`
}

// commonFields are the fields that are left out of Entry.Fields, because Entry has them under other
// names or because they are of no use in a timeline.
var commonFields = map[string]bool{
	"time": true, "host": true, "event": true, "name": true, "request": true, "level": true, "process": true, "message": true,
}

// Read reads the log lines of one file. A line may have text before its JSON object, such as the
// prefix that a log collector adds. An error is that of the reader.
func (c *Collector) Read(r io.Reader) error {
	lines := bufio.NewReaderSize(r, 64<<10)
	for {
		text, err := readLine(lines)
		if len(text) > 0 {
			c.addLine(text)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// readLine returns the next line. Of a line that is too long it returns the beginning, which cannot
// be decoded and is counted as unreadable.
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

// addLine decodes a log line and keeps it if it may concern the request.
func (c *Collector) addLine(text []byte) {
	c.Lines++
	begin := bytes.IndexByte(text, '{')
	if begin < 0 {
		c.Unreadable++
		return
	}
	text = text[begin:]
	var l logLine
	if json.Unmarshal(text, &l) != nil || l.Time.IsZero() {
		c.Unreadable++
		return
	}
	switch {
	case l.Request == c.requestID && c.requestID != "":
		c.requestEvents = append(c.requestEvents, Entry{At: l.Time, Host: l.Host, Event: l.Name, Own: true, Fields: fields(text)})
		if l.Event == event.RequestDone.Number {
			arrival := l.Time.Add(-time.Duration(l.Millis * float64(time.Millisecond)))
			c.requestEvents = append(c.requestEvents, Entry{At: arrival, Host: l.Host, Event: Received, Own: true})
		}
	case l.Request == "" && l.Name != "":
		if len(c.hostEvents) >= maxEvents {
			c.Skipped++
			return
		}
		c.hostEvents = append(c.hostEvents, Entry{At: l.Time, Host: l.Host, Event: l.Name, Fields: fields(text)})
	}
}

// fields returns the fields of a line except commonFields, in their order in the line.
func fields(text []byte) []Field {
	d := json.NewDecoder(bytes.NewReader(text))
	if _, err := d.Token(); err != nil {
		return nil // not reached: addLine has decoded the line
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
		if key, ok := name.(string); ok && !commonFields[key] {
			all = append(all, Field{key, value})
		}
	}
	return all
}

// Entries returns the timeline in order of time: the events of the request, and the events of each
// host that logged it, from contextBefore before the request's first event on that host to
// contextAfter after its last. It is empty if no line has the id of the request.
func (c *Collector) Entries() []Entry {
	if len(c.requestEvents) == 0 {
		return nil
	}
	type span struct{ from, to time.Time }
	hosts := make(map[string]span)
	for _, e := range c.requestEvents {
		s, ok := hosts[e.Host]
		if !ok || e.At.Before(s.from) {
			s.from = e.At
		}
		if e.At.After(s.to) {
			s.to = e.At
		}
		hosts[e.Host] = s
	}
	all := append([]Entry(nil), c.requestEvents...)
	for _, e := range c.hostEvents {
		s, ok := hosts[e.Host]
		if ok && !e.At.Before(s.from.Add(-contextBefore)) && !e.At.After(s.to.Add(contextAfter)) {
			all = append(all, e)
		}
	}
	sort.SliceStable(all, func(i, j int) bool { return all[i].At.Before(all[j].At) })
	return all
}

// Text returns the fields of an entry as name=value pairs separated by spaces.
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

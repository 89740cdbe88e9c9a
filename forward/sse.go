package forward

import (
	"bytes"
)

// eventSplitter splits a stream of server-sent events at event boundaries and records the event
// ids, so that only complete events are sent to the caller and another target can resume a broken
// stream after the last of them.
type eventSplitter struct {
	pending []byte // bytes of the incomplete last event
	lastID  string // id of the last complete event
	count   int    // complete events with an id
}

// maxEventBytes bounds the bytes kept of an incomplete event. An event holds a few tokens; a target that
// never ends one would otherwise fill the memory.
const maxEventBytes = 128 << 10

// add appends bytes of the stream and returns those of complete events.
func (e *eventSplitter) add(p []byte) []byte {
	e.pending = append(e.pending, p...)
	end := lastBoundary(e.pending)
	if end == 0 {
		return nil
	}
	complete := e.pending[:end:end]
	e.pending = append([]byte(nil), e.pending[end:]...)
	e.recordIDs(complete)
	return complete
}

// insideEvent tells whether a stream that ends after the bytes added so far ends inside an event.
// Empty lines and complete comment lines are no part of an event.
func (e *eventSplitter) insideEvent() bool {
	for line := range bytes.Lines(e.pending) {
		blank := len(bytes.Trim(line, "\r\n")) == 0
		comment := line[0] == ':' && line[len(line)-1] == '\n'
		if !blank && !comment {
			return true
		}
	}
	return false
}

// lastBoundary returns the index after the last empty line, which ends an event; 0 if there is
// none.
func lastBoundary(p []byte) int {
	lf := bytes.LastIndex(p, []byte("\n\n"))
	crlf := bytes.LastIndex(p, []byte("\n\r\n"))
	switch {
	case lf < 0 && crlf < 0:
		return 0
	case lf > crlf:
		return lf + 2
	default:
		return crlf + 3
	}
}

// recordIDs counts the events with an id and records the last id.
func (e *eventSplitter) recordIDs(complete []byte) {
	for _, line := range bytes.Split(complete, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		if name, value, found := bytes.Cut(line, []byte(":")); found && string(name) == "id" {
			e.lastID = string(bytes.TrimPrefix(value, []byte(" ")))
			e.count++
		}
	}
}

// firstID returns the first event id in complete events, or "".
func firstID(complete []byte) string {
	for _, line := range bytes.Split(complete, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		if name, value, found := bytes.Cut(line, []byte(":")); found && string(name) == "id" {
			return string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
	return ""
}

package forward

import (
	"bytes"
)

// events splits a stream into whole events and follows their ids, so that only
// whole events are passed on and a broken stream can go on after its last one.
type events struct {
	pending []byte // of an event that is not whole yet
	last    string // id of the last whole event
	count   int    // whole events
}

// maxEventBytes bounds an event that is not whole yet.
const maxEventBytes = 1 << 20

// take adds bytes and returns those of whole events.
func (e *events) take(p []byte) []byte {
	e.pending = append(e.pending, p...)
	end := lastBoundary(e.pending)
	if end == 0 {
		return nil
	}
	whole := e.pending[:end:end]
	e.pending = append([]byte(nil), e.pending[end:]...)
	e.follow(whole)
	return whole
}

// lastBoundary returns the index after the last empty line.
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

// follow counts events and notes the last id.
func (e *events) follow(whole []byte) {
	for _, line := range bytes.Split(whole, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		if name, value, found := bytes.Cut(line, []byte(":")); found && string(name) == "id" {
			e.last = string(bytes.TrimPrefix(value, []byte(" ")))
			e.count++
		}
	}
}

// firstID returns the id of the first event of whole events.
func firstID(whole []byte) string {
	for _, line := range bytes.Split(whole, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		if name, value, found := bytes.Cut(line, []byte(":")); found && string(name) == "id" {
			return string(bytes.TrimPrefix(value, []byte(" ")))
		}
	}
	return ""
}

package forward

import (
	"bytes"
	"errors"
	"strconv"
)

// eventSplitter splits a stream of server-sent events at event boundaries and records the event
// ids, so that only complete events are sent to the caller and another target can resume a broken
// stream after the last of them. What is no event ends the stream: the text of a target's error, or
// its whole head, may come with blank lines.
type eventSplitter struct {
	pending []byte // bytes of the incomplete last event
	lastID  string // id of the last complete event
	count   int    // complete events with an id
	// resumes is set if the first event must be the one after lastID, and joined if the caller has already got events of
	// the stream.
	resumes, joined bool
	begun           bool   // an event is complete
	prelude         []byte // comments and empty lines before the first event; dropped if joined
	err             error  // why nothing more is accepted
}

// newEventSplitter returns the splitter of an attempt of a request.
func (r *request) newEventSplitter() eventSplitter {
	return eventSplitter{lastID: r.lastEventID, resumes: r.lastEventID != "", joined: r.out.Started()}
}

// maxEventBytes bounds the bytes kept of an incomplete event. An event holds a few tokens; a target that
// never ends one would otherwise fill the memory.
const maxEventBytes = 128 << 10

// Errors of what a target sends in place of events.
var (
	errEventGap = errors.New("the first event of the resumed stream does not follow the last event sent to the caller")
	errNotEvent = errors.New("the stream holds something that is no event")
)

// add appends bytes of the stream and returns those of complete events. After something that is no event, err is set.
func (e *eventSplitter) add(p []byte) []byte {
	if e.err != nil {
		return nil
	}
	e.pending = append(e.pending, p...)
	end := lastBoundary(e.pending)
	if end == 0 {
		return nil
	}
	complete := e.pending[:end:end]
	e.pending = append([]byte(nil), e.pending[end:]...)
	return e.accept(complete)
}

// accept returns the events of blocks of lines that each end with an empty line, up to the first one that is no event.
// Comments are no events and may stand anywhere. Nothing is returned before there is an event.
func (e *eventSplitter) accept(blocks []byte) []byte {
	begin, block, offset := 0, 0, 0 // where the accepted bytes, the current block and the next line begin
	isEvent, id, hasID := false, "", false
	for line := range bytes.Lines(blocks) {
		offset += len(line)
		text := bytes.TrimRight(line, "\r\n")
		name, value, _ := bytes.Cut(text, []byte(":"))
		switch {
		case len(text) == 0:
			if isEvent {
				if e.joined && !e.begun {
					begin = block
				}
				if !e.takeEvent(id, hasID) {
					return e.afterPrelude(blocks[begin:block])
				}
			}
			block, isEvent, id, hasID = offset, false, "", false
		case len(name) == 0: // a comment
		case string(name) == "id":
			isEvent, id, hasID = true, string(bytes.TrimPrefix(value, []byte(" "))), true
		case string(name) == "data", string(name) == "event", string(name) == "retry":
			isEvent = true
		default:
			e.err = errNotEvent
			return e.afterPrelude(blocks[begin:block])
		}
	}
	return e.afterPrelude(blocks[begin:])
}

// afterPrelude returns accepted blocks with the prelude before them, or adds them to it if there is no event yet.
func (e *eventSplitter) afterPrelude(blocks []byte) []byte {
	switch {
	case e.begun && len(e.prelude) == 0:
		return blocks
	case e.begun:
		blocks = append(e.prelude, blocks...)
		e.prelude = nil
		return blocks
	case !e.joined:
		e.prelude = append(e.prelude, blocks...)
	}
	return nil
}

// held returns the number of bytes that are held.
func (e *eventSplitter) held() int { return len(e.prelude) + len(e.pending) }

// rest returns what remains of a stream that has ended.
func (e *eventSplitter) rest() []byte { return append(e.prelude, e.pending...) }

// takeEvent takes in a complete event. It returns false if the stream cannot go on with it.
func (e *eventSplitter) takeEvent(id string, hasID bool) bool {
	if e.resumes && !e.begun && !isNextEvent(e.lastID, id) {
		e.err = errEventGap
		return false
	}
	e.begun = true
	if hasID {
		e.lastID = id
		e.count++
	}
	return true
}

// isNextEvent tells whether the event with id first may follow the event with id last. Only numbers can be compared.
func isNextEvent(last, first string) bool {
	before, err := strconv.Atoi(last)
	if err != nil {
		return first != ""
	}
	next, err := strconv.Atoi(first)
	return err == nil && next == before+1
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

package forward

import (
	"net/http"

	"zinniapin/target"
)

// MoveOrder is a call to an engine to copy the memory of a running request to another engine.
type MoveOrder struct {
	Request string    // id of the running request
	Source  target.ID // the engine that runs it
	To      string    // address of the other engine
	// Last makes the engine stop the run and close its stream without the end.
	Last bool
}

// MoveOutcome is what a call to copy or move a request has done.
type MoveOutcome int

// Outcomes of calls.
const (
	// MoveUnknown means that the call may have been carried out or not.
	MoveUnknown MoveOutcome = iota
	// MoveDone means that the memory is at the other engine, and that the run has stopped if the call was the last.
	MoveDone
	// MoveRejected means that the run goes on as if there had been no call.
	MoveRejected
	// MoveKept means that the other engine did not take the memory. If the call was the last, the run has stopped
	// and the source keeps its memory.
	MoveKept
	// moveNotSent means that nothing of the call was written.
	moveNotSent
)

// MoveResult is the decoded answer to such a call.
type MoveResult struct {
	Outcome MoveOutcome
	Handle  string // name of the memory; set with MoveDone and MoveKept
	Created int    // events that the source has generated
}

// MoveProtocol translates the calls that move requests between engines. It is a part of Protocol.
type MoveProtocol interface {
	// MoveRequest returns the method, the path, the headers and the body of a call.
	MoveRequest(o MoveOrder) (method, path string, header http.Header, body []byte)
	// ParseMove decodes the answer to a call.
	ParseMove(status int, body []byte) MoveResult
}

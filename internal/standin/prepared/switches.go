package prepared

import "time"

// Switches are all the ways in which the stand-ins of the prepared machines depart from calm: what the
// platform's protocol allows to targets, the store and the server of the duties. The zero value is calm.
// Shares are from 0 to 1.
type Switches struct {
	Target TargetSwitches
	Store  StoreSwitches
	Duties DutySwitches
}

// TargetSwitches are those of a target.
type TargetSwitches struct {
	// Faults are the faults of the next requests, one a request. After the last, Shares apply.
	Faults []Fault
	// Shares are the shares of requests with each fault; their sum is at most 1.
	Shares map[Fault]float64
	// Header holds further header lines of all responses, each with its line end.
	Header string
	// Delay is the time before the target responds.
	Delay time.Duration
	// SlowShare is the share of requests that wait ten times Delay; the others do not wait then.
	SlowShare float64
	// Shared slows the target at times, which its responses then report.
	Shared SharedMachine
	// EventPause is the time before each event of a stream.
	EventPause time.Duration
	// BreakAfter is the number of events after which a stream breaks off inside the next one; 0: it does
	// not.
	BreakAfter int
	// EndBroken makes a chunked stream that breaks off end with its last chunk.
	EndBroken bool
	// UntilClose makes streams have neither a length nor chunks; they end with their connection.
	UntilClose bool
	// CloseShare is the share of complete responses that say that their connection ends.
	CloseShare float64
	// IdleTime is how long a connection may be idle; the target then drops it without notice. 0: forever.
	IdleTime time.Duration
	// MaxConnections is the number of open connections beyond which the target resets new ones; 0: no limit.
	MaxConnections int
	// AcceptDelay is the time before the target reads from a new connection.
	AcceptDelay time.Duration
	// CrashParts are parts of prompts: the target crashes whenever it begins to write the answer to a
	// request with one of them in its prompt, the last part excepted.
	CrashParts []string
	// CrashBodies are bodies of requests: the target crashes whenever it begins to run a request with one.
	CrashBodies []string
	// CrashEvery is the mean time between crashes under no particular request; 0: none.
	CrashEvery time.Duration
	// RestartAfter is the time after which a target that crashed starts again at its address.
	RestartAfter time.Duration
	// SilentEvery is the mean time between spans of SilentFor in which the target sends nothing on any
	// connection, after which it goes on; 0: none.
	SilentEvery, SilentFor time.Duration
	// MoveFault is the fault of calls that copy or move a running request.
	MoveFault MoveFault
	// MoveTime is the time that such a call takes.
	MoveTime time.Duration
	// MoveTail makes a stopped run send an event that it has created this long after it was stopped; 0: it has
	// created none.
	MoveTail time.Duration
	// RefuseMoved makes the target refuse requests that name the memory of a moved run.
	RefuseMoved bool
}

// StoreSwitches are those of the store.
type StoreSwitches struct {
	// Down makes every call get status 503.
	Down bool
	// Silent leaves every call without an answer.
	Silent bool
	// AnswersToLose is the number of writes to carry out without an answer. LoseShare is the share of
	// writes for which that holds afterwards.
	AnswersToLose int
	LoseShare     float64
	// LateShare is the share of writes without an answer that are carried out after LateBy, or after a time
	// between LateBy and LateMost if that is longer, if their condition holds then.
	LateShare        float64
	LateBy, LateMost time.Duration
	// Delay is the time before each call is carried out.
	Delay time.Duration
	// RefuseShare is the share of calls that get status 429.
	RefuseShare float64
	// WritesPerS and ReadsPerS are the calls a second beyond which calls get status 429; 0: no limit. Reads
	// with Serializable do not count.
	WritesPerS, ReadsPerS int
	// StaleBy is the age up to which reads with Serializable return old data; 0: they return none.
	StaleBy time.Duration
	// MaxWatch is how long a watch may wait; it is then cut off. 0: as long as it asks for.
	MaxWatch time.Duration
	// PageSize is the number of objects in a page of a list; 0: as many as the platform's store gives.
	PageSize int
	// CompactEvery is how often the store drops its change history; 0: never.
	CompactEvery time.Duration
}

// DutySwitches are those of the server of the duties.
type DutySwitches struct {
	// Down makes every call get status 503.
	Down bool
	// Delay is the time before each call is carried out.
	Delay time.Duration
	// LoseShare is the share of calls that are carried out without an answer.
	LoseShare float64
	// LateShare is the share of calls without an answer that are carried out after LateBy.
	LateShare float64
	LateBy    time.Duration
	// RefuseShare is the share of calls that get status 429.
	RefuseShare float64
	// IgnoreFence makes the server accept any fencing token.
	IgnoreFence bool
}

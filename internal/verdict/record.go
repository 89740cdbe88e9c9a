// Package verdict checks a run of the system against what it promises to callers, targets and the
// platform. It judges only what these have observed; it reads neither state nor logs of the product.
package verdict

import (
	"strings"
	"time"
)

// Run is what callers, targets and the platform observed, and what was done to hosts and links. Nothing in
// it needs to be sorted.
type Run struct {
	From, To       time.Time
	Requests       []Request
	Arrivals       []Arrival
	Crashes        []Crash
	Targets        []Target
	Configurations []Configuration
	Duties         []DutyCall
	Disruptions    []Disruption
	OwnEnds        []End
	Violations     []Violation
	Cuts           []Cut
	// Fault is when the last fault began and Back when all hosts had started again after it; zero
	// if recovery is not judged.
	Fault, Back time.Time
}

// Request is one attempt of a caller.
type Request struct {
	ID, Host, Route, Key string
	Method, URI, Body    string // Body may be a digest
	Prompt               Prompt
	Organisation         string  // whose limit applies to it; empty if that is not judged
	Units                float64 // what it counts against that limit
	Content              string  // equal in requests that are repetitions of one; empty if it never recurs
	Crashing             bool    // may crash targets, so that its answer is not missed
	Deadline             time.Duration
	Resumes              string // id of the stream's first request, if this one takes it up
	Kept                 bool   // its connection had served another request
	Sent                 time.Time
	Whole                bool      // all of it was sent
	Begun                time.Time // when the answer's head came; zero if none did
	End                  time.Time // of the answer, or of the connection without one
	Left                 time.Time // when the caller closed the connection early; zero if it did not

	Status    int  // of the answer's head; 0 if none came
	Complete  bool // the answer's framing was complete
	AnswerID  string
	Signature string
	Answer    string // body as far as it came, or a digest of a plain one
	Extra     bool   // bytes followed the answer though no request waited
}

// Prompt is what a request says of its prompt.
type Prompt struct{ Model, Tokens, Parts string }

// Arrival is a request that a target received.
type Arrival struct {
	Request, Target   string
	Method, URI, Body string
	Prompt            Prompt
	Organisation, Key string // Key is empty unless the caller's API key was passed on
	Deadline          time.Duration
	At, Ended         time.Time // Ended is zero if the target was at work when the run ended
	Due               time.Time // when the run would have ended by itself; zero if that is not known
	Ran, PromptOnly   bool
	Misdirected       bool // rejected since another target has the address
	BrokeOff          bool // the target itself broke off the answer
	Status            int  // 0 if the target gave none
	Signature         string
	Answer            string // the whole body; of a stream, from its first event on
	Leaving           bool   // the answer says that the target leaves
	Pause             time.Duration
}

// Span is a time from From to To.
type Span struct{ From, To time.Time }

// Crash is the end of a target. Part or Content names what in the prompt or which request caused it.
type Crash struct {
	Target, Part, Content string
	At                    time.Time
}

// Target is one start of a target.
type Target struct {
	ID, Service string
	Version     string    // of its software
	Listed      time.Time // when the store listed it; zero if from the start
	Leaves      time.Time // when the store acknowledged that it leaves; zero if it does not
	Limits      []Limit
	Silences    []Span // times without a byte after which the target went on
}

// Limit is a time in which a target names how many requests a second it takes.
type Limit struct {
	PerSecond float64
	Span
}

// Configuration is a version that an operator wrote. Versions are in order of Written.
type Configuration struct {
	Written, Acknowledged time.Time
	Routes                map[string]Route
	Keys                  map[string]string            // organisation by API key
	Limits                map[string]OrganisationLimit // by organisation; one without an entry has no limit
}

// OrganisationLimit is the limit of an organisation over all hosts, in units a second and units. A Rate of 0 is no limit.
type OrganisationLimit struct{ Rate, Burst float64 }

// Route is what a configuration says of a route.
type Route struct {
	Service      string
	Once, Stream bool // Once marks requests that may run once at most
	MaxAttempts  int
	Timeout      time.Duration
}

// DutyCall is a call of a duty that the platform received.
type DutyCall struct {
	At                    time.Time
	Subject, Holder, Host string
	Fence                 uint64
	Accepted              bool
	Usage                 bool // a usage report, with Window and Counts by organisation
	Window                int64
	Counts                map[string]int
}

// Cut is a time in which hosts had no links to targets. They stay in touch.
type Cut struct {
	Hosts []string
	Span
}

// Kind is a kind of disruption.
type Kind int

// Kinds of disruptions.
const (
	Harm    Kind = iota // a freeze, a cut or slow link
	Restart             // a kill, or a start by the operator
	Term                // SIGTERM
	Reload              // SIGHUP; hosts stay in touch
)

// Disruption is a disruption of a host or its links, or of the store if Host is empty.
type Disruption struct {
	Host string
	Kind Kind
	Span
}

// End is an end of a host's process that nobody asked for.
type End struct {
	Host string
	At   time.Time
}

// Violation is an invariant that a host found violated, a panic that it contained included.
type Violation struct {
	Host, Text string
	At         time.Time
}

// parts returns the parts of a prompt that other requests may share: all but the last.
func (p Prompt) parts() []string {
	all := strings.Split(p.Parts, ",")
	var ids []string
	for _, part := range all[:len(all)-1] {
		id, _, _ := strings.Cut(part, ":")
		ids = append(ids, id)
	}
	return ids
}

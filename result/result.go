// Package result holds the numbered result codes of zinniapin. One table gives
// each code its name, HTTP status, exit code and texts, and is the source of the
// page docs/RESULT-CODES.md.
package result

import (
	"errors"
	"fmt"
	"sort"
	"time"
)

// Code is a numbered result code. Codes are stable: a number is never reused.
type Code int

// Execution tells whether a request that was refused or failed has run.
type Execution int

// Values of Execution.
const (
	// NotRun means that no target ran any part of the request.
	NotRun Execution = iota
	// Unknown means that a target may have run the request.
	Unknown
	// Ran means that a target ran the request, in whole or in part.
	Ran
)

// String returns the execution state as written in responses and log lines.
func (e Execution) String() string {
	switch e {
	case NotRun:
		return "not_run"
	case Ran:
		return "ran"
	default:
		return "unknown"
	}
}

// Definition is one row of the table of result codes.
type Definition struct {
	Code    Code
	Name    string // stable identifier, snake_case
	Status  int    // HTTP status towards callers
	Exit    int    // exit code of a command that ends with this result
	Meaning string // what happened
	Action  string // what the operator or caller should do
}

// table holds every defined code. Only define writes it, at package
// initialisation.
var table = map[Code]Definition{}

// define adds a row to the table and panics on a number used twice.
func define(code Code, name string, status, exit int, meaning, action string) Code {
	if _, taken := table[code]; taken {
		panic(fmt.Sprintf("result: code %d defined twice", code))
	}
	table[code] = Definition{code, name, status, exit, meaning, action}
	return code
}

// Definition returns the row of the table for the code.
func (c Code) Definition() Definition {
	return table[c]
}

// String returns the name of the code.
func (c Code) String() string {
	return table[c].Name
}

// All returns every definition in ascending order of code.
func All() []Definition {
	all := make([]Definition, 0, len(table))
	for _, d := range table {
		all = append(all, d)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Code < all[j].Code })
	return all
}

// Error is an error with a numbered result code.
type Error struct {
	Code       Code
	Execution  Execution
	Place      string        // field, path or header at fault; may be empty
	Message    string        // details, added to the meaning of the code
	RetryAfter time.Duration // how long to wait before a retry; zero means never or unknown
	Err        error         // cause; may be nil
}

// New returns an error for a request that has not run.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// Wrap returns an error for a request that has not run, caused by err.
func Wrap(err error, code Code, format string, args ...any) *Error {
	e := New(code, format, args...)
	e.Err = err
	return e
}

// At sets the field, path or header at fault and returns the error.
func (e *Error) At(place string) *Error {
	e.Place = place
	return e
}

// Retry sets how long to wait before a retry and returns the error.
func (e *Error) Retry(after time.Duration) *Error {
	e.RetryAfter = after
	return e
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("%d %s: %s", e.Code, e.Code, e.Message)
	if e.Place != "" {
		text += " (at " + e.Place + ")"
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// Of returns the first *Error in the chain of err, or nil.
func Of(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return nil
}

// CodeOf returns the code of the first *Error in the chain of err, or Internal.
func CodeOf(err error) Code {
	if e := Of(err); e != nil {
		return e.Code
	}
	return Internal
}

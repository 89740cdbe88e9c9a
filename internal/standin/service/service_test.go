package service

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// deposit sends a deposit on a new connection.
func deposit(s *Server, id string) (*http.Response, error) {
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return client.Post("http://"+s.Address()+"/deposits", "application/json", strings.NewReader(`{"id":"`+id+`"}`))
}

// The service counts the executions of an operation by its id. A refused call is not
// executed; one whose answer is lost is.
func TestRunsAreCountedAndRefusalsRunNothing(t *testing.T) {
	is := is.New(t)
	s, err := Start("127.0.0.1:0")
	is.NoErr(err)
	defer s.Close()
	s.SetFaults(Faults{Refuse: 1, LoseAnswers: 1})
	r, err := deposit(s, "a")
	is.NoErr(err)
	r.Body.Close()
	is.Equal(r.Header.Get(NotRunHeader), "true")
	is.Equal(s.Runs()["a"], 0)
	_, err = deposit(s, "a")
	is.True(err != nil) // the answer is lost
	is.Equal(s.Runs()["a"], 1)
	r, err = deposit(s, "a")
	is.NoErr(err)
	body, _ := io.ReadAll(r.Body)
	r.Body.Close()
	is.True(strings.Contains(string(body), `"state":"done"`))
	is.Equal(r.Header.Get(NotRunHeader), "")
	is.Equal(s.Runs()["a"], 2) // executed again: the service does not deduplicate by id
}

// The first call crashes the service before it is executed, the second one after it was.
func TestCrashBeforeAndAfter(t *testing.T) {
	is := is.New(t)
	s, err := Start("127.0.0.1:0")
	is.NoErr(err)
	defer s.Close()
	s.SetFaults(Faults{CrashBefore: 1, CrashAfter: 1})
	for want := range 2 {
		_, err = deposit(s, "a")
		is.True(err != nil)
		is.Equal(s.Runs()["a"], want)
		is.NoErr(s.Restart())
	}
}

// TestCrashOnBody checks that each call with the text in its body crashes the service before it is executed.
func TestCrashOnBody(t *testing.T) {
	is := is.New(t)
	s, err := Start("127.0.0.1:0")
	is.NoErr(err)
	defer s.Close()
	s.SetFaults(Faults{CrashOn: "fatal"})
	for range 2 {
		_, err = deposit(s, "fatal-1")
		is.True(err != nil)
		is.Equal(s.Runs()["fatal-1"], 0)
		is.NoErr(s.Restart())
	}
	r, err := deposit(s, "a")
	is.NoErr(err)
	r.Body.Close()
	is.Equal(s.Runs()["a"], 1)
}

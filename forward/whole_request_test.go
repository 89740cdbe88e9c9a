package forward_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"zinniapin/internal/knownred"
	"zinniapin/internal/standin/prepared"
)

// fatalBody is the body of requests that end each target which begins to run them.
const fatalBody = "dead"

// fatalTargets returns targets that end under requests with fatalBody and stay down.
func fatalTargets(count int, role string) []*prepared.Target {
	var all []*prepared.Target
	for i := range count {
		target := engine(fmt.Sprint("t-", i), role)
		target.CrashOnBody(time.Hour, fatalBody)
		all = append(all, target)
	}
	return all
}

// endedTargets returns the number of targets that have ended.
func endedTargets(all []*prepared.Target) (n int) {
	for _, s := range all {
		n += len(s.Crashes())
	}
	return n
}

// The same request comes again and again and ends each target that runs it. After three ends it is
// rejected at once, as not run; other requests of the caller on the path are served.
func TestRequestThatCrashesTargetsIsRejected(t *testing.T) {
	for _, c := range []struct {
		name, service, role, path string
		warm                      bool
		headers                   []string
	}{
		{name: "plain", service: "desk", path: "/read/a"},
		{name: "plain, on kept connections", service: "desk", path: "/read/a", warm: true},
		{name: "plain, not repeatable", service: "desk", path: "/take/a", warm: true},
		{name: "stream", service: "model", role: "decode", path: "/draft/a", headers: []string{"X-Model: m", "X-Token-Count: 100,20", "X-Prompt-Prefix: cc:100"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			all := fatalTargets(8, c.role)
			h := newTestHandler(t, c.service, all...)
			for range 40 { // leaves connections that are kept
				if c.warm {
					h.call(http.MethodPost, c.path, "sound", c.headers...)
				}
			}
			last := callResult{}
			for range 6 {
				last = h.call(http.MethodPost, c.path, fatalBody, c.headers...)
				time.Sleep(150 * time.Millisecond)
			}
			if n := endedTargets(all); n != 3 || last.status != http.StatusServiceUnavailable || last.header.Get("Retry-After") == "" {
				knownred.Fail(t, "../KNOWN-RED.txt", "whole-request", "%d targets ended, status %d, Retry-After %q", n, last.status, last.header.Get("Retry-After"))
			}
			if a := h.call(http.MethodPost, c.path, "sound", c.headers...); a.status != http.StatusOK && endedTargets(all) <= 3 {
				t.Errorf("a sound request got %d", a.status)
			}
		})
	}
}

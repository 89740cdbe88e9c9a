package platform

import (
	"net/http"
	"net/http/httptest"
	"time"

	"zinniapin/provider/httpapi"
	"zinniapin/target"
	"zinniapin/zone"
)

// Faults are what goes wrong at the platform. Counts fall by one with each
// use.
type Faults struct {
	// Outage refuses every call.
	Outage bool `json:"outage,omitempty"`
	// Hang leaves every call unanswered and without effect until its caller
	// gives up.
	Hang bool `json:"hang,omitempty"`
	// DelayMillis delays every call, in milliseconds.
	DelayMillis int `json:"delay_ms,omitempty"`
	// LoseAnswers is the number of calls other than GET that take effect
	// unanswered.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// StaleHosts freezes the list of hosts that is shown.
	StaleHosts bool `json:"stale_hosts,omitempty"`
	// Scarce lets no target be had, of this class if Class is set.
	Scarce bool `json:"scarce,omitempty"`
	// Class limits Scarce to a class.
	Class target.Class `json:"class,omitempty"`
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.hosts.freeze(time.Now(), f.StaleHosts)
}

// postFaults answers POST /faults.
func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !read(w, r, &f) {
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

// reclaim is the body of POST /reclaim.
type reclaim struct {
	Zone         zone.Name `json:"zone"`
	NoticeMillis int       `json:"notice_ms"`
}

// postReclaim answers POST /reclaim.
func (s *Server) postReclaim(w http.ResponseWriter, r *http.Request) {
	var body reclaim
	if !read(w, r, &body) {
		return
	}
	n := s.Reclaim(body.Zone, time.Duration(body.NoticeMillis)*time.Millisecond)
	reply(w, http.StatusOK, httpapi.TargetOrderResult{Accepted: n})
}

// disturb applies the faults to a call.
func (s *Server) disturb(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults
		lose := r.Method != http.MethodGet && f.LoseAnswers > 0 && !f.Outage && !f.Hang
		if lose {
			s.faults.LoseAnswers--
		}
		s.mu.Unlock()
		time.Sleep(time.Duration(f.DelayMillis) * time.Millisecond)
		switch {
		case f.Outage:
			reply(w, http.StatusServiceUnavailable, httpapi.Refusal{Refused: true, Message: "outage"})
		case f.Hang:
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		case lose:
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(w, r)
		}
	})
}

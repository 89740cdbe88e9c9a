package platform

import (
	"net/http"
	"net/http/httptest"
	"time"

	"zinniapin/provider/httpapi"
	"zinniapin/target"
	"zinniapin/zone"
)

// Faults are the faults to inject. LoseAnswers and LoseReports fall by one each time an answer
// is lost.
type Faults struct {
	// Outage makes the platform refuse every call.
	Outage bool `json:"outage,omitempty"`
	// Hang leaves every call unanswered, without effect, until its caller gives up.
	Hang bool `json:"hang,omitempty"`
	// DelayMillis delays every call, in milliseconds.
	DelayMillis int `json:"delay_ms,omitempty"`
	// LoseAnswers is the number of calls other than GET that take effect but get no
	// answer.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// LoseReports is the number of usage reports that take effect but get no answer.
	LoseReports int `json:"lose_reports,omitempty"`
	// StaleHosts freezes the list of hosts that callers see.
	StaleHosts bool `json:"stale_hosts,omitempty"`
	// Scarce makes the platform decline to sell targets, of all classes unless Class is
	// set.
	Scarce bool `json:"scarce,omitempty"`
	// Class limits Scarce to one class of targets.
	Class target.Class `json:"class,omitempty"`
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.hosts.freeze(time.Now(), f.StaleHosts)
}

// Faults returns the faults as they are now.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// postFaults answers POST /faults.
func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !readBody(w, r, &f) {
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
	if !readBody(w, r, &body) {
		return
	}
	n := s.Reclaim(body.Zone, time.Duration(body.NoticeMillis)*time.Millisecond)
	reply(w, http.StatusOK, httpapi.TargetOrderResult{Accepted: n})
}

// injectFaults wraps the handler of a call and applies the faults to it.
func (s *Server) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults
		answers := r.Method != http.MethodGet && !f.Outage && !f.Hang
		loseReport := answers && f.LoseReports > 0 && r.URL.Path == httpapi.ReportsPath
		loseAnswer := answers && f.LoseAnswers > 0 && !loseReport
		if loseReport {
			s.faults.LoseReports--
		}
		if loseAnswer {
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
		case loseAnswer, loseReport:
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		default:
			next.ServeHTTP(w, r)
		}
	})
}
